"""Requests that a gateway which reaches no server forwards to a peer."""

import asyncio
import dataclasses
from collections import Counter

import pytest

from knapweeddock.gateway.peering import forwardedrequests
from knapweeddock.gateway.peering.forwardedmessages import (
    REQUEST_HEADER,
    ForwardedRequest,
    encode_header,
)
from knapweeddock.gateway.service import Gateway
from knapweeddock.ids import ServiceId, Version, VmId
from knapweeddock.requeststory import parse_line, tell
from standins import documents
from standins.platformserver import ServerFault
from tests.platform.cutlinks import NewConnections, OpenConnections
from tests.platform.test_cut_off_gateways import NORTH, Region, running_region
from tests.platform.world import read_reply, request_bytes
from tests.waiting import until

SOUTH = [("front-south-a-1", "south-a")]


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


async def cut_off(region: Region, *indices: int) -> None:
    """Cut gateways off from all servers, and wait until they know."""
    for index in indices:
        region.links[index].begin(NewConnections.REFUSED, OpenConnections.RESET)
    for index in indices:
        gateway = region.gateways[index]
        await region.world.ask("/read/first", request_id=f"first-{index}", gateway=gateway)
        await until(lambda gateway=gateway: not gateway.reach_board.reaches_servers)
    await asyncio.sleep(0.5)
    for server in region.world.servers.values():
        server.ran.clear()


def received(region: Region) -> list[int]:
    """Return how many forwarded requests each gateway has accepted."""
    return [each.metrics.forwarded_counts["received", "accepted"] for each in region.gateways]


async def test_request_is_never_forwarded_twice(settings_path):
    # Two gateways that are cut off would send it to and fro until its deadline.
    async with running_region(settings_path, NORTH[:1]) as region:
        await cut_off(region, 0, 1)
        before = received(region)
        reply = await region.world.ask("/read/a", gateway=region.gateways[0])
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert received(region) == before


async def test_refused_without_an_attempt_where_nobody_reaches_a_server(settings_path, logs):
    # A request that cannot be served must not wait for attempts that fail.
    async with running_region(settings_path) as region:
        await cut_off(region, 0, 1, 2)
        statuses = await region.statuses(region.gateways[0], "none", 5)
        assert statuses == {503: 5}
    lines = [parse_line(text) for text in logs.getvalue().splitlines()]
    events = [
        line.event
        for line in lines
        if line and str(line.fields.get("request", "")).startswith("none-")
    ]
    assert events == ["request refused"] * 5


@pytest.mark.parametrize(("path", "method"), [("/read/", "GET"), ("/book/", "POST")])
async def test_request_whose_response_the_peer_loses_may_have_run(settings_path, path, method):
    # Only the peer's own "not run" is a promise.
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        for server in region.world.servers.values():
            server.work_s = 0.4
        asking = asyncio.create_task(
            region.world.ask(f"{path}a", method=method, gateway=region.gateways[0])
        )
        await until(lambda: region.world.ran())
        for peer in region.gateways[1:]:
            for connection in list(peer.forwarding_listener.connections):
                connection.transport.abort()
        reply = await asking
        if method == "GET":
            assert reply.status == 200
        else:
            assert reply.status == 502
            assert len(region.world.ran()) == 1


async def test_attempts_on_both_gateways_count_together(settings_path):
    # The route allows two attempts, whoever makes them.
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        for server in region.world.servers.values():
            server.fault = ServerFault.FAIL
        reply = await region.world.ask("/read/a", gateway=region.gateways[0])
        assert reply.status == 500
        assert len(region.world.ran()) == 2


async def test_peer_that_is_leaving_or_full_is_replaced_by_another(settings_path, monkeypatch):
    monkeypatch.setattr(forwardedrequests, "MAX_FORWARDED_REQUESTS", 0)
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        # A full peer refuses what is not urgent, and nothing has run.
        reply = await region.world.ask("/read/a", gateway=region.gateways[0])
        assert reply.status == 503
        assert region.world.ran() == []
        rows = [documents.route_row("r-read", "/read/", "safe", Priority=0)]
        region.world.store.put("config", "main", documents.config("00000009", rows))
        await until(lambda: all(each.routing_state.config.version == 9 for each in region.gateways))
        await asyncio.sleep(1.1)
        region.gateways[1].forwarded_requests.is_leaving = lambda: True
        assert await region.statuses(region.gateways[0], "urgent", 6) == {200: 6}


async def test_peers_outside_of_the_allowed_regions_get_nothing(settings_path):
    # Neither the request nor its body may leave the regions of its route.
    async with running_region(settings_path, SOUTH) as region:
        row = documents.route_row("r-home", "/home/", "safe", AllowedRegions=["north"])
        rows = [row, documents.route_row("r-read", "/read/", "safe")]
        region.world.store.put("config", "main", documents.config("00000009", rows))
        await until(lambda: all(each.routing_state.config.version == 9 for each in region.gateways))
        await cut_off(region, 0)
        cut = region.gateways[0]
        assert (await region.world.ask("/home/a", request_id="home", gateway=cut)).status == 503
        assert "home" not in region.world.ran()
        assert (await region.world.ask("/read/a", request_id="any", gateway=cut)).status == 200


async def test_peer_with_an_older_configuration_does_not_take_back_a_newer_one(settings_path):
    async with running_region(settings_path, NORTH[:1]) as region:
        await cut_off(region, 0)
        older = region.gateways[1].routing_state.config
        cut = region.gateways[0].routing_state
        cut.config = dataclasses.replace(older, version=Version(older.version + 2))
        assert (await region.world.ask("/read/a", gateway=region.gateways[0])).status == 503
        assert region.world.ran() == []
        region.gateways[1].routing_state.config = cut.config
        await asyncio.sleep(1.1)
        assert (await region.world.ask("/read/a", gateway=region.gateways[0])).status == 200


async def test_response_is_passed_on_byte_for_byte(settings_path):
    async with running_region(settings_path) as region:
        direct = await region.world.ask("/read/a?size=40", gateway=region.gateways[1])
        await cut_off(region, 0)
        reply = await region.world.ask("/read/a?size=40", gateway=region.gateways[0])
        long = await region.world.ask("/read/a?size=3000000", gateway=region.gateways[0])
    assert (reply.status, reply.body) == (direct.status, direct.body)
    assert set(reply.headers) == set(direct.headers)
    assert len(long.body) == 3_000_000
    assert "knapweed-result" not in long.headers


async def test_long_response_that_is_cut_does_not_look_complete(settings_path):
    async with running_region(settings_path) as region:
        # All parts run in one process, which takes long to make and pass on the response.
        rows = [documents.route_row("r-read", "/read/", "safe", Timeout="60s")]
        region.world.store.put("config", "main", documents.config("00000009", rows))
        await until(lambda: all(each.routing_state.config.version == 9 for each in region.gateways))
        await cut_off(region, 0)
        reader, writer = await region.world.connect()
        writer.write(request_bytes("/read/a?size=120000000", budget_ms=60_000))
        await reader.readexactly(100_000)
        for peer in region.gateways[1:]:
            for connection in list(peer.forwarding_listener.connections):
                connection.transport.abort()
        received = 100_000
        with pytest.raises(ConnectionResetError):
            while data := await reader.read(1 << 20):
                received += len(data)
            raise ConnectionResetError
        assert received < 120_000_000
        writer.close()


async def test_client_that_leaves_stops_the_server_behind_the_peer(settings_path):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        for server in region.world.servers.values():
            server.work_s = 30.0
        _, writer = await region.world.connect()
        writer.write(request_bytes("/read/a", request_id="leaves"))
        await until(lambda: region.world.ran())
        writer.close()
        cut = [server.cut for server in region.world.servers.values()]
        await until(lambda: any("leaves" in each for each in cut))
        assert region.world.ran() == ["leaves"]


async def test_deadline_holds_over_both_gateways(settings_path):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        await region.world.ask("/read/a", gateway=region.gateways[0], budget_ms=700)
        (headers,) = [
            headers
            for server in region.world.servers.values()
            for headers in server.headers[-1:]
            if int(headers["Deadline-Ms"]) <= 700
        ]
        assert headers["Request-Id"] == "q1"
        assert "Knapweed-Forwarded" not in headers


async def test_others_believe_nothing_of_what_a_cut_gateway_says_of_servers(settings_path):
    # They would limit warm servers to the rate of cold ones, and refuse requests under which
    # a connection was lost by the cut.
    async with running_region(settings_path) as region:
        for server in region.world.servers.values():
            server.work_s = 0.3
        in_flight = asyncio.create_task(region.statuses(region.gateways[0], "before", 8))
        await until(lambda: len(region.world.ran()) >= 4)
        region.links[0].begin(NewConnections.REFUSED, OpenConnections.RESET)
        await in_flight
        await region.statuses(region.gateways[0], "cut", 40)
        now = asyncio.get_running_loop().time()
        for gateway in region.gateways[1:]:
            states = gateway.routing_state.fleet.servers.values()
            assert not any(state.is_cold(now) for state in states)
            assert gateway.notice_board.suspects.is_empty


async def test_gateway_uses_servers_again_when_the_cut_is_over(settings_path):
    async with running_region(settings_path) as region:
        cut = region.gateways[0]
        await cut_off(region, 0)
        changes = []
        cut.reach_board.on_change = changes.append
        region.links[0].end()
        await until(lambda: cut.reach_board.reaches_servers)
        sent = cut.metrics.forwarded_counts["sent", "server"]
        assert await region.statuses(cut, "after", 20) == {200: 20}
        assert cut.metrics.forwarded_counts["sent", "server"] == sent
        assert len(changes) == 1


async def test_lookups_name_gateways_that_reach_servers(settings_path):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        target = "/api/resolve?Name=ring.example&Region=north&Zone=north-a"
        cut_port = str(region.gateways[0].settings.front[1])
        for gateway in region.gateways:
            reply = await region.world.get(gateway.settings.lookup, target)
            assert reply.status == 200
            assert cut_port not in reply.body.decode()
        ready = await region.world.get(region.gateways[0].settings.ready, "/api/ready")
        assert ready.status == 200


def has_warm_servers(gateway: Gateway, service: str) -> bool:
    """Whether a gateway knows servers of a service, and that they are warm."""
    now = asyncio.get_running_loop().time()
    states = gateway.routing_state.fleet.group(service, "north")
    return bool(states) and not any(state.is_cold(now) for state in states)


async def test_one_service_is_out_of_reach(settings_path):
    # The gateway reaches servers, but none that may run the request.
    async with running_region(settings_path) as region:
        names = list(region.world.servers)
        for name in names[:3]:
            entry = region.world.servers[name].entry(
                region.world.addresses[name], "north-a", "archive"
            )
            region.world.store.put("servers", name, entry)
        rows = [
            documents.route_row("r-read", "/read/", "safe"),
            documents.route_row("r-old", "/old/", "safe", Service="archive"),
        ]
        config = documents.config("00000009", rows, services=("ledger", "archive"))
        region.world.store.put("config", "main", config)
        await until(lambda: all(each.routing_state.config.version == 9 for each in region.gateways))
        # Servers that register anew are cold at first.
        await until(lambda: all(has_warm_servers(each, "archive") for each in region.gateways))
        region.links[0].begin(
            NewConnections.REFUSED,
            OpenConnections.RESET,
            [region.world.addresses[name] for name in names[:3]],
        )
        await region.statuses(region.gateways[0], "early", 4, path="/old/")
        assert await region.statuses(region.gateways[0], "old", 20, path="/old/") == {200: 20}
        reach = region.gateways[0].reach_board
        assert not reach.of("archive").reaches_servers
        assert reach.of("ledger").reaches_servers
        assert await region.statuses(region.gateways[0], "new", 20) == {200: 20}


async def test_demand_is_counted_where_the_client_is(settings_path):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        recorded = Counter()
        for gateway in region.gateways:
            vm = gateway.settings.vm
            gateway.attempt_tracker.record_request = lambda *_, vm=vm: recorded.update([vm])
        await region.statuses(region.gateways[0], "counted", 10)
        assert recorded == {region.gateways[0].settings.vm: 10}


async def test_clients_cannot_use_the_port_for_peers(settings_path):
    async with running_region(settings_path, NORTH[:1]) as region:
        gateway = region.gateways[1]
        gateway.routing_state.gateways = {}
        reader, writer = await asyncio.open_connection(*gateway.settings.forwarding)
        header = encode_header(
            REQUEST_HEADER,
            ForwardedRequest(origin=VmId("x"), version=Version(1), service=ServiceId("ledger")),
        )
        request = request_bytes("/read/a").replace(b"Cookie", b": ".join(header) + b"\r\nCookie", 1)
        writer.write(request)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await read_reply(reader)
        assert region.world.ran() == []
        writer.close()


@pytest.mark.parametrize(
    "data",
    [
        request_bytes("/read/a"),
        request_bytes("/read/a").replace(b"Cookie", b"Knapweed-Forwarded: {}\r\nCookie"),
        request_bytes("/read/a").replace(b"Cookie", b"Knapweed-Forwarded: \xff[\r\nCookie"),
        b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 20_000,
        b"\x00\x01\x02 no request at all\r\n\r\n",
    ],
    ids=["without header", "without fields", "no JSON", "without end", "no HTTP"],
)
async def test_malformed_requests_of_peers_are_answered_with_an_error(settings_path, data):
    async with running_region(settings_path, NORTH[:1]) as region:
        reader, writer = await asyncio.open_connection(*region.gateways[1].settings.forwarding)
        writer.write(data)
        assert (await read_reply(reader)).status in (400, 431)
        writer.close()
        assert region.world.ran() == []
        assert (await region.world.ask("/read/a", gateway=region.gateways[1])).status == 200


async def test_both_gateways_tell_of_a_forwarded_request(settings_path, logs):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        await region.world.ask("/read/a", request_id="told", gateway=region.gateways[0])
        reply = await region.world.get(region.gateways[0].settings.metrics, "/metrics")
    lines = [line for text in logs.getvalue().splitlines() if (line := parse_line(text))]
    story = tell("told", lines)
    assert sorted(line.event for line in story.steps) == [
        "request forwarded to a peer",
        "serving a request for a peer",
    ]
    assert "reach of servers changed" in [line.event for line in story.beliefs]
    assert 'knapweed_forwarded_requests_total{direction="sent",end="server"' in reply.body.decode()
    assert "knapweed_reaches_servers" in reply.body.decode()


@pytest.mark.parametrize(("path", "method"), [("/read/a", "GET"), ("/book/a", "POST")])
async def test_request_that_runs_behind_a_peer_at_its_deadline_is_not_called_not_run(
    settings_path, path, method
):
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        for server in region.world.servers.values():
            server.work_s = 5.0
        reply = await region.world.ask(
            path, method=method, gateway=region.gateways[0], budget_ms=600
        )
        assert len(region.world.ran()) == 1
        assert reply.status == 504


async def test_planned_stop_of_a_peer_cuts_no_forwarded_request(settings_path):
    async with running_region(settings_path) as region:
        await cut_off(region, 1)
        for server in region.world.servers.values():
            server.work_s = 0.2
        sending = asyncio.create_task(
            region.statuses(region.gateways[1], "stop", 90, path="/book/", method="POST")
        )
        await asyncio.sleep(0.5)
        region.world.stop.set()
        statuses = await sending
        # A request that the peer refuses goes to another one.
        assert statuses == {200: 90}
        await region.world.running


async def test_long_body_that_a_peer_loses_is_not_called_not_run(settings_path):
    # It is passed on while it arrives, so that it cannot be sent again.
    async with running_region(settings_path) as region:
        await cut_off(region, 0)
        for server in region.world.servers.values():
            server.work_s = 0.4
        asking = asyncio.create_task(
            region.world.ask(
                "/book/a", method="POST", body=b"x" * 300_000, gateway=region.gateways[0]
            )
        )
        await until(lambda: region.world.ran())
        for peer in region.gateways[1:]:
            for connection in list(peer.forwarding_listener.connections):
                connection.transport.abort()
        assert (await asking).status == 502
        assert len(region.world.ran()) == 1


async def test_deadline_while_no_connection_to_a_peer_can_be_opened(settings_path, logs):
    async with running_region(settings_path, NORTH[:1]) as region:
        await cut_off(region, 0)

        async def hang(_) -> None:
            await asyncio.Event().wait()

        region.gateways[0].peer_forwarder.pool.close()
        region.gateways[0].peer_forwarder.pool.connect = hang
        reply = await region.world.ask("/read/a", gateway=region.gateways[0], budget_ms=300)
        assert reply.status == 504
    assert "request handler failed" not in logs.getvalue()
