import asyncio

import msgspec
import pytest

from knapweeddock.http1.client import HttpClientConnection
from standins import documents
from standins.platformserver import ServerFault
from tests.http1.scripted import read_head, scripted_server
from tests.platform.world import read_reply, request_bytes, running_world
from tests.waiting import until


@pytest.fixture
def settings_path(tmp_path):
    return tmp_path / "boot.toml"


def first_server(world) -> str:
    """Return the name of the server that got a request."""
    return next(name for name, server in world.servers.items() if server.headers)


async def test_request_and_response_pass_unchanged(settings_path):
    async with running_world(settings_path) as world:
        reply = await world.ask("/read/a?b=c")
        name = first_server(world)
        assert (reply.status, reply.body) == (200, f"{name} ran /read/a?b=c".encode())
        assert reply.headers["response-signature"] == "signed"
        assert "server-load" not in reply.headers
        sent = world.servers[name].headers[0]
        assert sent["Expected-Instance"] == name
        assert sent["Host"] == "ring.example"
        assert sent["Request-Id"] == "q1"
        assert 1000 < int(sent["Deadline-Ms"]) <= 1500


async def test_requests_for_one_object_go_to_one_server(settings_path):
    async with running_world(settings_path, servers=4) as world:
        for index in range(10):
            await world.ask("/read/a", request_id=str(index))
        assert sorted(len(server.ran) for server in world.servers.values()) == [0, 0, 0, 10]


async def test_body_reaches_the_server_whole(settings_path):
    body = bytes(range(256)) * 1200
    async with running_world(settings_path) as world:
        reply = await world.ask("/book/a", method="POST", body=body)
        assert reply.status == 200
        assert world.servers[first_server(world)].bodies == [body]


async def test_unknown_route_is_answered_404(settings_path):
    async with running_world(settings_path) as world:
        assert (await world.ask("/none/")).status == 404
        assert (await world.ask("/read/a", host="other.example")).status == 404
        assert world.ran() == []


async def test_gateway_without_configuration_refuses_and_is_not_ready(settings_path):
    async with running_world(settings_path, configured=False) as world:
        reply = await world.ask("/read/a")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        ready = world.gateway.settings.ready
        assert (await world.get(ready, "/api/ready")).status == 503
        world.store.put("config", "main", documents.config())
        await until(lambda: world.gateway.phase.value == "serving")
        assert (await world.get(ready, "/api/ready")).status == 200


async def test_lookup_names_the_gateway(settings_path):
    async with running_world(settings_path) as world:
        await until(lambda: world.gateway.routing_state.gateways)
        lookup = world.gateway.settings.lookup
        reply = await world.get(lookup, "/api/resolve?Name=h&Region=north&Zone=north-a")
        front = world.gateway.settings.front
        assert msgspec.json.decode(reply.body)["Addresses"] == [f"{front[0]}:{front[1]}"]


async def test_request_that_is_shed_goes_to_another_server(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        world.servers[first_server(world)].fault = ServerFault.SHED
        reply = await world.ask("/book/a", method="POST", request_id="q2", body=b"x")
        assert reply.status == 200
        assert world.ran().count("q2") == 1


async def test_request_that_all_servers_shed_is_refused_as_not_run(settings_path):
    async with running_world(settings_path) as world:
        for server in world.servers.values():
            server.fault = ServerFault.SHED
        reply = await world.ask("/book/a", method="POST", body=b"x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert world.ran() == []


async def test_non_idempotent_request_is_not_repeated_when_its_answer_is_lost(settings_path):
    # The server ran it; a repetition would charge twice, a 503 would invite one.
    async with running_world(settings_path) as world:
        for server in world.servers.values():
            server.fault = ServerFault.RESET_AFTER_RUN
        reply = await world.ask("/book/a", method="POST", body=b"x")
        assert reply.status == 502
        assert world.ran() == ["q1"]


async def test_idempotent_request_is_repeated_when_its_answer_is_lost(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        world.servers[first_server(world)].fault = ServerFault.RESET_AFTER_RUN
        reply = await world.ask("/read/a", request_id="q2")
        assert reply.status == 200
        assert world.ran().count("q2") == 2


async def test_failed_idempotent_request_is_tried_elsewhere(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        world.servers[first_server(world)].fault = ServerFault.FAIL
        assert (await world.ask("/read/a", request_id="q2")).status == 200


async def test_failure_of_the_last_attempt_is_delivered(settings_path):
    async with running_world(settings_path) as world:
        for server in world.servers.values():
            server.fault = ServerFault.FAIL
        assert (await world.ask("/read/a")).status == 500
        assert len(world.ran()) == 2


async def test_success_without_the_servers_mark_is_not_delivered(settings_path):
    async with running_world(settings_path) as world:
        for server in world.servers.values():
            server.fault = ServerFault.UNSIGNED
        assert (await world.ask("/book/a", method="POST", body=b"x")).status == 502


async def test_silent_server_ends_with_the_timeout_of_the_route(settings_path):
    async with running_world(settings_path, servers=1) as world:
        row = documents.route_row("r-book", "/book/", "unsafe", Timeout="200ms")
        world.store.put("config", "main", documents.config("00000009", [row]))
        await until(lambda: world.gateway.routing_state.config.version == 9)
        server = world.servers["i-0"]
        server.fault = ServerFault.SILENT
        reply = await world.ask("/book/a", method="POST", body=b"x")
        assert reply.status == 504
        await until(lambda: server.cut == ["q1"])


async def test_timeout_during_the_first_attempt_is_not_answered_as_not_run(settings_path):
    # The attempt is still running when the time is over; a 503 would be false.
    async with running_world(settings_path, servers=1) as world:
        world.servers["i-0"].work_s = 5.0
        reply = await world.ask("/book/a", method="POST", body=b"x", budget_ms=150)
        assert reply.status == 504


async def test_clients_leaving_ends_the_work_of_the_server(settings_path):
    async with running_world(settings_path, servers=1) as world:
        server = world.servers["i-0"]
        server.work_s = 30.0
        _, writer = await world.connect()
        writer.write(request_bytes("/read/a"))
        await until(lambda: server.ran)
        writer.close()
        await until(lambda: server.cut)
        assert server.cut == ["q1"]
        metrics = await world.get(world.gateway.settings.metrics, "/metrics")
        assert 'outcome="left"' in metrics.body.decode()


async def test_draining_server_gets_nothing_more(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        name = first_server(world)
        entry = world.servers[name].entry(world.addresses[name], "north-a", "ledger")
        world.store.put("servers", name, {**entry, "State": "draining"})
        await until(lambda: len(world.gateway.routing_state.fleet.group("ledger", "north")) == 1)
        for index in range(5):
            assert (await world.ask("/read/a", request_id=f"n{index}")).status == 200
        assert world.servers[name].ran == ["q1"]


async def test_evacuated_zone_gets_nothing(settings_path):
    async with running_world(settings_path) as world:
        world.store.put("evacuations", "north-a", {})
        await until(lambda: world.gateway.routing_state.fleet.evacuated_domains)
        assert (await world.ask("/read/a")).status == 503
        assert world.ran() == []


async def test_server_at_a_reused_address_does_not_run_the_request(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        name = first_server(world)
        world.servers[name].name = "somebody-else"
        reply = await world.ask("/read/a", request_id="q2")
        assert reply.status == 200
        assert world.servers[name].ran == ["q1"]


async def test_server_that_cannot_be_reached_is_passed_over(settings_path):
    async with running_world(settings_path) as world:
        await world.ask("/read/a")
        name = first_server(world)
        server = world.servers[name]
        entry = server.entry(("127.0.0.1", 1), "north-a", "ledger")
        world.store.put("servers", name, {**entry, "born": entry["born"] + 1})
        await until(lambda: world.gateway.routing_state.fleet.servers[name].entry.address[1] == 1)
        world.gateway.routing_state.fleet.servers[name].cold_until = 0.0
        world.gateway.routing_state.fleet.servers[name].resumes_at = 0.0
        assert (await world.ask("/read/a", request_id="q2")).status == 200
        assert not world.gateway.routing_state.fleet.servers[name].health.is_usable()
        assert server.ran == ["q1"]


async def test_stop_finishes_what_runs_and_refuses_the_rest(settings_path):
    async with running_world(settings_path, servers=1, grace="2s") as world:
        server = world.servers["i-0"]
        server.work_s = 0.3
        reader, writer = await world.connect()
        writer.write(request_bytes("/read/a"))
        await until(lambda: server.ran)
        world.stop.set()
        ready = world.gateway.settings.ready
        await until(lambda: world.gateway.phase.value == "leaving")
        assert (await world.get(ready, "/api/ready")).status == 503
        reply = await read_reply(reader)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        writer.close()
        await asyncio.wait_for(world.running, 10.0)


async def test_server_that_comes_back_cold_is_loaded_within_its_bound(settings_path):
    async with running_world(settings_path, servers=1) as world:
        await world.settle()
        state = world.gateway.routing_state.fleet.servers["i-0"]
        state.health.record_unreachable(0.0)
        world.servers["i-0"].warmup_ms = 5000
        await until(state.health.is_usable)
        assert world.servers["i-0"].probes == 1
        replies = [await world.ask("/read/a", request_id=f"n{index}") for index in range(20)]
        bound = 3.5 * 1.5 + 5
        assert len(world.ran()) <= bound
        assert {reply.status for reply in replies} == {200, 503}


async def test_server_that_is_too_busy_for_the_health_check_is_not_taken_for_warm(settings_path):
    # It may have started again; a rejected check does not tell how long it stays cold.
    async with running_world(settings_path, servers=1) as world:
        await world.settle()
        state = world.gateway.routing_state.fleet.servers["i-0"]
        world.servers["i-0"].rejects_probes = True
        state.health.record_unreachable(0.0)
        await until(state.health.is_usable)
        for index in range(20):
            await world.ask("/read/a", request_id=f"n{index}")
        assert len(world.ran()) <= 3.5 * 1.5 + 5


async def test_server_that_breaks_off_connections_but_lives_gets_requests_on(settings_path):
    async with running_world(settings_path, servers=1) as world:
        world.servers["i-0"].fault = ServerFault.RESET_AFTER_RUN
        assert (await world.ask("/read/a", request_id="broken")).status == 502
        world.servers["i-0"].fault = ServerFault.NONE
        assert (await world.ask("/read/a", request_id="next")).status == 200
        assert world.gateway.routing_state.fleet.servers["i-0"].health.is_usable()


async def test_server_behind_a_proxy_that_starts_again_is_known_to_be_cold(settings_path):
    # The proxy accepts connections for it, and the store tells nothing of the restart.
    async with running_world(settings_path, servers=1) as world:
        server = world.servers["i-0"]
        server.fault = ServerFault.RESET_AFTER_RUN
        server.warmup_ms = 3000
        await world.ask("/read/a", request_id="lost")
        state = world.gateway.routing_state.fleet.servers["i-0"]
        await until(lambda: state.is_cold(asyncio.get_running_loop().time()))
        assert state.health.is_usable()


async def test_server_that_ends_under_a_request_is_known_to_be_away(settings_path):
    # Other requests would be lost or refused by its port one after the other.
    async with running_world(settings_path, servers=2) as world:
        server = world.servers["i-0"]
        server.on_run = lambda server, _, __: server.end()
        states = world.gateway.routing_state.fleet.servers
        for index in range(8):
            await world.ask("/read/a", request_id=f"q{index}", key=str(index))
        assert len(server.ran) == 1
        await until(lambda: not states["i-0"].health.is_usable())
        assert states["i-0"].is_cold(asyncio.get_running_loop().time())


async def test_metrics_count_requests_by_route_outcome_and_reason(settings_path):
    async with running_world(settings_path, servers=1) as world:
        await world.ask("/read/a")
        await world.ask("/none/")
        world.servers["i-0"].fault = ServerFault.SHED
        await world.ask("/read/a", request_id="q2")
        reply = await world.get(world.gateway.settings.metrics, "/metrics")
        text = reply.body.decode()
        assert 'knapweed_config_version{process="knapweed-gateway"' in text
        for expected in (
            'outcome="delivered",process="knapweed-gateway",reason="200",route="r-read"',
            'outcome="failed",process="knapweed-gateway",reason="unknown_service",route="-"',
            'outcome="refused"',
            'end="not run"',
        ):
            assert expected in text
        assert (await world.get(world.gateway.settings.metrics, "/other")).status == 404


async def test_stopping_gateway_serves_clients_that_still_name_it(settings_path):
    # Look-up answers are cached; a port that closes at once would refuse their clients.
    async with running_world(settings_path, servers=1, grace="4s") as world:
        world.stop.set()
        await until(lambda: world.gateway.phase.value == "leaving")
        # Longer than the interval at which the stop looks for open connections.
        await asyncio.sleep(0.3)
        reply = await world.ask("/read/a")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"


async def test_server_that_sends_bytes_without_end_is_passed_over(settings_path):
    # The gateway would read until the deadline and run out of memory.
    async def script(reader, writer):
        await read_head(reader)
        while True:
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 1000)
            await writer.drain()

    async with running_world(settings_path, servers=2) as world, scripted_server(script) as address:
        entry = world.servers["i-0"].entry(address, "north-a", "ledger")
        world.store.put("servers", "i-0", {**entry, "born": entry["born"] + 1})
        states = world.gateway.routing_state.fleet.servers
        await until(lambda: states["i-0"].entry.address == address)
        states["i-0"].cold_until = states["i-0"].resumes_at = 0.0
        replies = [
            await world.ask("/read/a", request_id=f"q{index}", key=str(index))
            for index in range(10)
        ]
        assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize(("method", "path"), [("POST", "/book/a"), ("GET", "/read/a")])
async def test_only_requests_that_can_be_repeated_leave_a_silent_server(
    settings_path, monkeypatch, method, path
):
    # A server that is frozen for longer than 3 s would have its running work given up.
    waits = []
    start_exchange = HttpClientConnection.start_exchange

    def record(connection, data, **options):
        start_exchange(connection, data, **options)
        waits.append(options.get("silence_s", 0.0))

    async with running_world(settings_path, servers=1) as world:
        monkeypatch.setattr(HttpClientConnection, "start_exchange", record)
        route = documents.route_row("r-book", "/book/", "unsafe", Timeout="8s")
        read = documents.route_row("r-read", "/read/", "safe", Timeout="8s")
        world.store.put("config", "main", documents.config("00000009", [route, read]))
        await until(lambda: world.gateway.routing_state.config.version == 9)
        waits.clear()
        reply = await world.ask(path, method=method, body=b"b", budget_ms=7000)
        assert reply.status == 200
        # The platform's store is called on such connections, too, without a wait of its own.
        longest_s = max(waits)
        assert 6.0 < longest_s <= 7.0 if method == "POST" else longest_s == 0.0
