"""From the id of a failed request to its cause, by logs and metrics alone.

Each test is one of the cases of ``docs/OPERATIONS.md``.
"""

import io

from knapweeddock.requeststory import RequestStory, parse_line, tell
from standins import documents
from standins.platformserver import ServerFault
from tests.platform.world import World, running_world
from tests.waiting import until


def story_of(request: str, logs: io.StringIO) -> RequestStory:
    return tell(request, [line for line in map(parse_line, logs.getvalue().split("\n")) if line])


async def metrics_of(world: World) -> str:
    reply = await world.get(world.gateway.settings.metrics, "/metrics")
    return reply.body.decode()


async def test_refused_at_once(tmp_path, logs):
    async with running_world(tmp_path / "boot.toml") as world:
        world.store.put("evacuations", "north-a", {})
        await until(lambda: world.gateway.routing_state.fleet.evacuated_domains)
        assert (await world.ask("/read/a", request_id="lost-1")).status == 503
        metrics = await metrics_of(world)
    story = story_of("lost-1", logs)
    assert [(line.event, line.fields["reason"]) for line in story.steps] == [
        ("request refused", "no_site")
    ]
    assert story.steps[0].fields["config_version"] == 7
    assert "evacuations changed" in logs.getvalue()
    assert 'outcome="refused",process="knapweed-gateway",reason="no_site"' in metrics


async def test_outcome_unknown_after_a_server_went_silent(tmp_path, logs):
    async with running_world(tmp_path / "boot.toml", servers=1) as world:
        world.servers["i-0"].fault = ServerFault.RESET_AFTER_RUN
        reply = await world.ask("/book/a", method="POST", body=b"x", request_id="lost-2")
        assert reply.status == 502
        metrics = await metrics_of(world)
    attempt, end = story_of("lost-2", logs).steps
    assert (attempt.event, attempt.fields["end"]) == ("attempt unsuccessful", "lost")
    assert attempt.fields["server"] == "i-0"
    assert attempt.fields["next_attempt"] is False
    assert (end.event, end.fields["reason"]) == ("request failed", "server_lost")
    assert 'knapweed_attempts_total{end="lost"' in metrics


async def test_sent_to_a_server_of_the_wrong_version(tmp_path, logs):
    async with running_world(tmp_path / "boot.toml") as world:
        world.store.deaf = True
        moved = documents.route_row("r-read", "/read/", "safe", Service="elsewhere")
        world.store.put("config", "main", documents.config("00000009", [moved]))
        for server in world.servers.values():
            server.fault = ServerFault.FAIL
        assert (await world.ask("/read/a", request_id="lost-3")).status == 500
        metrics = await metrics_of(world)
    story = story_of("lost-3", logs)
    versions = {line.fields.get("config_version", 7) for line in story.steps}
    in_force = [line for line in story.beliefs if line.event == "configuration in force"]
    assert versions == {7}
    assert [line.fields["version"] for line in in_force] == [7]
    assert "knapweed_config_version" in metrics
    assert "knapweed_store_age_seconds" in metrics


async def test_refused_because_servers_ended_under_the_same_request(tmp_path, logs):
    async with running_world(tmp_path / "boot.toml", servers=6) as world:
        for server in world.servers.values():
            server.on_run = lambda server, request, _: request.startswith("q") and server.end()
        for index in range(5):
            await world.ask("/book/a", method="POST", request_id=f"q{index}")
        metrics = await metrics_of(world)
    story = story_of("q4", logs)
    (refusal,) = story.steps
    assert (refusal.event, refusal.fields["reason"]) == ("request refused", "quarantined")
    assert refusal.fields["ends"] == 3
    ends = [line for line in story.evidence if line.event == "server ended under a request"]
    assert [line.fields["request"] for line in ends] == ["q0", "q1", "q2"]
    assert "request quarantined" in [line.event for line in story.evidence]
    assert 'reason="quarantined"' in metrics
    assert 'knapweed_suspect_requests{process="knapweed-gateway",treatment="quarantined"' in metrics


async def test_failed_by_an_unexpected_error_of_the_gateway(tmp_path, logs, monkeypatch):
    async with running_world(tmp_path / "boot.toml") as world:

        async def fail(*arguments, **options):
            raise ValueError("a fault of the gateway")

        monkeypatch.setattr(world.gateway.attempt_runner, "run", fail)
        reply = await world.ask("/book/a", method="POST", body=b"x", request_id="lost-5")
        assert reply.status == 500
    cause, end = story_of("lost-5", logs).steps
    assert cause.event == "request not handled"
    assert "a fault of the gateway" in logs.getvalue()
    assert (end.event, end.fields["reason"]) == ("request failed", "handler_failed")
