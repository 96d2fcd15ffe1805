import asyncio
import time

import msgspec

from knapweeddock.gateway.membership.peers import (
    FIRST_RELAYS,
    MAX_OTHER_REGION_RECEIVERS,
    MAX_OWN_REGION_RECEIVERS,
    Peers,
    choose_receivers,
    listen_for_heartbeats,
)
from knapweeddock.gateway.membership.relaytree import relay_order
from tests.gateway.support import make_feed, make_gateway, make_heartbeat, make_server
from tests.waiting import until


def make_peers(vm: str, *entries, subscribed=False, relay=False, region="north") -> Peers:
    return Peers(
        entry=make_gateway(vm, region=region),
        feed=make_feed(vm, region=region),
        gateways=lambda: {entry.vm: entry for entry in entries},
        is_subscribed=lambda: subscribed,
        is_relay=lambda: relay,
    )


class RecordingTransport:
    """Records what is sent, by receiver."""

    def __init__(self) -> None:
        self.sent: dict[tuple[str, int], list[object]] = {}

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.setdefault(address, []).append(msgspec.msgpack.decode(data)[0])


async def test_heartbeats_arrive():
    second = make_peers("two")
    async with listen_for_heartbeats(second, ("127.0.0.1", 0)):
        address = second.transport.get_extra_info("sockname")
        first = make_peers("one", make_gateway("two", peer_address=address))
        async with listen_for_heartbeats(first, ("127.0.0.1", 0)):
            first.send()
            await until(lambda: second.feed.liveness.live_heartbeats("north", 0.0))
    assert second.feed.liveness.live_heartbeats("north", 0.0) == [make_heartbeat("one")]


def test_datagram_of_somebody_else_is_ignored():
    peers = make_peers("one")
    peers.datagram_received(b"\xc1 nonsense", ("127.0.0.1", 9))
    assert peers.feed.live_gateways(0.0) == ["one"]


async def test_gateway_that_has_a_relay_sends_nothing_to_others():
    # Heartbeats to all others would cost more with each gateway that is added.
    peers = make_peers("one", make_gateway("two"), subscribed=True)
    peers.transport = RecordingTransport()
    peers.send()
    assert peers.transport.sent == {}


async def test_relay_sends_summaries_to_the_other_regions():
    near = make_gateway("two", peer_address=("10.0.0.3", 82))
    far = make_gateway("far", region="south", peer_address=("10.0.0.4", 82))
    peers = make_peers("one", near, far, relay=True)
    peers.transport = RecordingTransport()
    peers.send()
    assert peers.transport.sent == {
        ("10.0.0.3", 82): ["heartbeat", "summary"],
        ("10.0.0.4", 82): ["summary"],
    }


async def test_relay_of_a_large_region_sends_no_summaries_in_it():
    # Each gateway there knows enough others to have a relay, which tells it the same.
    near = [make_gateway(f"g{each}", peer_address=("10.0.0.3", each)) for each in range(9)]
    peers = make_peers("one", *near, relay=True)
    peers.transport = RecordingTransport()
    peers.send()
    assert set(map(tuple, peers.transport.sent.values())) == {("heartbeat",)}


def test_number_of_receivers_does_not_grow_with_the_fleet():
    near = [make_gateway(f"n{index}") for index in range(500)]
    far = [make_gateway(f"f{index}", region="south") for index in range(500)]
    found = choose_receivers(make_gateway("n0"), near + far)
    assert len(found) == MAX_OWN_REGION_RECEIVERS + MAX_OTHER_REGION_RECEIVERS
    assert all(entry.vm != "n0" for entry in found)


def test_receivers_include_the_relays_of_a_region():
    far = [make_gateway(f"f{index}", region="south") for index in range(500)]
    found = [entry.vm for entry in choose_receivers(make_gateway("n0"), far)]
    relays = relay_order("south", {entry.vm: entry.link_mbps for entry in far})[:FIRST_RELAYS]
    assert found[:FIRST_RELAYS] == relays


def test_small_fleet_hears_everybody():
    entries = [make_gateway(f"n{index}") for index in range(6)]
    assert len(choose_receivers(make_gateway("n0"), entries)) == 5


async def test_gateway_without_a_relay_tells_the_others_which_server_it_cannot_reach():
    # While the store is away nobody has a relay, and each one would find out for itself.
    second, far = make_peers("two"), make_peers("far", region="south")
    for peers in (second, far):
        peers.feed.notice_board.cold.fleet.replace_all([make_server("s")], 0.0, grace_s=0.0)
    async with (
        listen_for_heartbeats(second, ("127.0.0.1", 0)),
        listen_for_heartbeats(far, ("127.0.0.1", 0)),
    ):
        entries = [
            make_gateway(
                peers.entry.vm,
                region=peers.entry.region,
                peer_address=peers.transport.get_extra_info("sockname"),
            )
            for peers in (second, far)
        ]
        first = make_peers("one", *entries)
        board = first.feed.notice_board.cold
        board.fleet.replace_all([make_server("s")], 0.0, grace_s=0.0)
        async with listen_for_heartbeats(first, ("127.0.0.1", 0)):
            now = asyncio.get_running_loop().time()
            board.record_unreachable(board.fleet.servers["s"], now)
            first.send_notices(now)
            for peers in (second, far):
                state = peers.feed.notice_board.cold.fleet.servers["s"]
                await until(lambda state=state: state.is_cold(now))
                assert state.presumed_cold_until > now


async def test_relay_and_subscriber_leave_notices_to_their_connection():
    for role in ({"subscribed": True}, {"relay": True}):
        peers = make_peers("one", make_gateway("two"), **role)
        peers.transport = RecordingTransport()
        board = peers.feed.notice_board.cold
        board.fleet.replace_all([make_server("s")], 0.0, grace_s=0.0)
        board.record_unreachable(board.fleet.servers["s"], 5.0)
        peers.send_notices(5.0)
        assert peers.transport.sent == {}


def test_heartbeat_of_an_earlier_version_reaches_servers():
    # It does not tell; a gateway that is taken for cut off would be named to no client.
    peers = make_peers("one")
    member = ["two", "i", "serving", "north"]
    data = msgspec.msgpack.encode(["heartbeat", member, {}, {}, {}])

    async def receive() -> None:
        peers.datagram_received(data, ("10.0.0.3", 82))

    asyncio.run(receive())
    now = time.monotonic()
    assert peers.feed.liveness.live_members(now)["two"].reaches_servers
