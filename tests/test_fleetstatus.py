import dataclasses

import aiohttp
import pytest
import structlog

from knapweeddock import cli
from knapweeddock.codes import ResultCode
from knapweeddock.errors import PeerUnavailable
from knapweeddock.fleetstatus import (
    HttpMetricsSource,
    MetricsSource,
    ServiceStatus,
    fleet_status,
    gauge,
)
from knapweeddock.gateway.records import ServerPhase
from knapweeddock.gateway.routes import RoutingConfig
from knapweeddock.gateway.store.inmemorystore import InMemoryStore
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.ids import FailureDomainId, Version
from knapweeddock.render import render
from standins import documents
from tests.gateway.support import make_gateway, make_route, make_server
from tests.platform.world import running_world


@pytest.fixture(autouse=True)
def logs_of_the_command():
    """Undo the command's logging, whose captured stream is closed after the test."""
    yield
    structlog.reset_defaults()


class MemoryMetricsSource(MetricsSource):
    def __init__(self, texts: dict[str, str]) -> None:
        self.texts = texts

    async def read(self, entry) -> str:
        if entry.vm not in self.texts:
            raise PeerUnavailable(f"{entry.vm}: refused")
        return self.texts[entry.vm]


def metrics_text(version: int) -> str:
    return f"# TYPE x gauge\nknapweed_config_version {version}.0\nknapweed_store_age_seconds 0.25\n"


@pytest.fixture
def store_client():
    store_client = InMemoryStore()
    store_client.put(
        Topic.CONFIGURATION, "main", RoutingConfig(version=Version(7), routes=(make_route(),))
    )
    store_client.put(Topic.GATEWAYS, "front-1", make_gateway("front-1"))
    store_client.put(Topic.GATEWAYS, "front-2", make_gateway("front-2"))
    store_client.put(Topic.GATEWAYS, "front-3", make_gateway("front-3"))
    return store_client


async def test_gateways_that_are_behind_or_silent_are_named(store_client):
    """An operator must see on which VM a change is not in force."""
    source = MemoryMetricsSource({"front-1": metrics_text(7), "front-2": metrics_text(6)})
    report = await fleet_status(store_client, source)
    assert report.code is ResultCode.OK
    assert report.version == Version(7)
    assert [status.version for status in report.gateways] == [7, 6, None]
    assert [status.vm for status in report.behind] == ["front-2"]
    text = "\n".join(render(report))
    assert "3 gateways, 1 behind" in text
    assert "front-2 in north-a, version 00000006, view of the store 0.2 s old (behind)" in text
    assert "front-3 in north-a, unavailable: front-3: refused" in text


async def test_servers_are_counted_by_service_and_domain(store_client):
    store_client.put(Topic.SERVERS, "i-1", make_server("i-1"))
    store_client.put(Topic.SERVERS, "i-2", make_server("i-2"))
    leaving = dataclasses.replace(make_server("i-3"), phase=ServerPhase.DRAINING)
    store_client.put(Topic.SERVERS, "i-3", leaving)
    store_client.put(Topic.EVACUATIONS, "south-a", FailureDomainId("south-a"))
    report = await fleet_status(store_client, MemoryMetricsSource({}))
    one = make_server("i-1")
    assert report.services == [
        ServiceStatus(
            service=one.service,
            failure_domain=one.failure_domain,
            ready=2,
            draining=1,
            slots=2 * one.slots,
        )
    ]
    assert "evacuated: south-a" in list(render(report))


async def test_store_that_is_away_is_an_error_of_the_report(store_client):
    """A report without servers must not be read as a deployment without servers."""
    store_client.down = True
    report = await fleet_status(store_client, MemoryMetricsSource({}))
    assert report.code is ResultCode.STORE_UNAVAILABLE
    assert len(report.errors) == len(Topic)
    assert report.version is None


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("a 1.5\n", 1.5),
        ('a{vm="x"} 2\n', 2.0),
        ("ab 1\n", None),
        ("a nonsense\n", None),
        ("", None),
    ],
)
def test_gauge(text, value):
    assert gauge(text, "a") == value


async def test_metrics_of_a_running_gateway_are_read(tmp_path):
    """The names of the gauges must be those that gateways serve."""
    async with running_world(tmp_path / "boot.toml") as world, aiohttp.ClientSession() as session:
        settings = world.gateway.settings
        source = HttpMetricsSource(session=session, port=settings.metrics[1])
        report = await fleet_status(world.gateway.store_client, source)
        assert report.errors == []
        assert [status.version for status in report.gateways] == [Version(7)]
        assert report.gateways[0].store_age_s is not None
        assert report.behind == []


async def test_gateway_that_is_gone_is_unavailable(unused_tcp_port):
    async with aiohttp.ClientSession() as session:
        source = HttpMetricsSource(session=session, port=unused_tcp_port)
        with pytest.raises(PeerUnavailable):
            await source.read(
                dataclasses.replace(make_gateway("a"), front_address=("127.0.0.1", 1))
            )


def test_command_reports_a_store_that_is_away(tmp_path, capsys, unused_tcp_port):
    path = tmp_path / "boot.toml"
    path.write_text(documents.settings_text(store=f"127.0.0.1:{unused_tcp_port}"))
    assert cli.main(["status", "--gateway-settings", str(path)]) != 0
    assert "unavailable: configuration" in capsys.readouterr().out


def test_command_with_unreadable_settings_is_an_error(tmp_path, capsys):
    assert cli.main(["status", "--gateway-settings", str(tmp_path / "none.toml")]) != 0
    assert "none.toml" in capsys.readouterr().err
