from knapweeddock.gateway.peers import (
    HEARTBEAT_TIMEOUT_S,
    MAX_OTHER_REGION_RECEIVERS,
    MAX_OWN_REGION_RECEIVERS,
    GatewayPhase,
    Heartbeat,
    Peers,
    ReceivedHeartbeat,
    choose_receivers,
    listen_for_heartbeats,
)
from tests.gateway.support import make_gateway
from tests.waiting import until


def heartbeat(vm: str, **changes) -> Heartbeat:
    values = {
        "vm": vm,
        "incarnation": f"{vm}-1",
        "phase": GatewayPhase.SERVING,
        "region": "north",
        "work": {"ledger": 1.5},
        "objects": {"ledger": 40},
        "shares": {},
    }
    return Heartbeat(**{**values, **changes})


def peers_of(vm: str, *entries) -> Peers:
    return Peers(
        vm=vm, region="north", gateways=lambda: entries, own_heartbeat=lambda: heartbeat(vm)
    )


async def test_heartbeats_arrive():
    second = peers_of("two")
    async with listen_for_heartbeats(second, ("127.0.0.1", 0)):
        address = second.transport.get_extra_info("sockname")
        first = peers_of("one", make_gateway("two", peer_address=address))
        async with listen_for_heartbeats(first, ("127.0.0.1", 0)):
            first.send_heartbeats()
            await until(lambda: second.latest_heartbeats)
    assert second.latest_heartbeats["one"].heartbeat == heartbeat("one")


async def test_datagram_of_somebody_else_is_ignored():
    peers = peers_of("one")
    peers.datagram_received(b"\xc1 nonsense", ("127.0.0.1", 9))
    assert peers.latest_heartbeats == {}


def test_silent_gateway_is_not_alive():
    peers = peers_of("one")
    peers.latest_heartbeats["two"] = ReceivedHeartbeat(
        heartbeat=heartbeat("two"), received_at=0.0, address=("10.0.0.3", 82)
    )
    assert len(peers.live_heartbeats(HEARTBEAT_TIMEOUT_S)) == 1
    assert peers.live_heartbeats(HEARTBEAT_TIMEOUT_S + 0.1) == []


def test_number_of_receivers_does_not_grow_with_the_fleet():
    near = [make_gateway(f"n{index}") for index in range(500)]
    far = [make_gateway(f"f{index}", region="south") for index in range(500)]
    found = choose_receivers("n0", "north", near + far)
    assert len(found) == MAX_OWN_REGION_RECEIVERS + MAX_OTHER_REGION_RECEIVERS
    assert all(entry.vm != "n0" for entry in found)


def test_small_fleet_hears_everybody():
    entries = [make_gateway(f"n{index}") for index in range(6)]
    assert len(choose_receivers("n0", "north", entries)) == 5
