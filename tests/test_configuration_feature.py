"""Steps of ``configuration.feature``."""

import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from knapweeddock import porcelain
from knapweeddock.clock import ManualClock
from knapweeddock.drains import Targets
from knapweeddock.errors import KnapweedError
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.porcelain import Session
from tests.documents import DOCUMENT, write_folder

scenarios("features/configuration.feature")


class Platform(MemoryObjectStore):
    """A store in which another operator's change arrives just before a write."""

    before_put = None

    async def put(self, key, value, *, expected_version):
        if self.before_put is not None:
            hook, self.before_put = self.before_put, None
            await hook()
        return await super().put(key, value, expected_version=expected_version)


class World:
    def __init__(self, directory):
        self.directory = directory
        self.store = Platform()
        self.results = {}
        self.calls = 0

    def session(self, name):
        async def no_wait(_seconds):
            await asyncio.sleep(0)

        return Session(
            platform="http://p",
            store=self.store,
            operator=name,
            clock=ManualClock(),
            sleep=no_wait,
        )

    async def apply(self, name, entries=None):
        folder = write_folder(self.directory / name, DOCUMENT)
        if entries is not None:
            content = json.dumps({"lookup": {"entries": entries}})
            (folder / "lookup.json").write_text(content)
        self.calls = self.store.calls
        try:
            self.results[name] = await porcelain.apply(self.session(name), folder)
        except (KnapweedError, ExceptionGroup) as error:
            self.results[name] = error

    def document(self):
        return asyncio.run(porcelain.read_current(self.store)).document


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


@given("operators ann and bob have seen the same version")
def _(world):
    for name in ("ann", "bob"):
        asyncio.run(world.apply(name))


@given(parsers.parse("the platform loses {what}"))
def _(world, what):
    world.store.lose_answers = int(what != "the update")
    world.store.lose_writes = int(what != "the answer")


@when(parsers.parse("{name} applies {entries:d} entries per look-up"))
def _(world, name, entries):
    asyncio.run(world.apply(name, entries))


@when(
    parsers.parse(
        "ann's change arrives between bob's read and write of {entries:d} entries per look-up"
    )
)
def _(world, entries):
    async def race():
        world.store.before_put = lambda: world.apply("ann", 3)
        await world.apply("bob", entries)

    asyncio.run(race())


@when("bob looks at the difference")
def _(world):
    asyncio.run(porcelain.diff(world.session("bob"), world.directory / "bob"))


@when("bob drains server a")
def _(world):
    asyncio.run(porcelain.drain(world.session("bob"), Targets(servers=["a"])))


@then("bob gets code 309 with the change of ann")
def _(world):
    error = world.results["bob"]
    assert error.code == 309
    assert [change.operator for change in error.changes] == ["ann"]


@then(parsers.parse("{name} gets code {code:d} for {file}"))
def _(world, name, code, file):
    [problem] = world.results[name].exceptions
    assert (problem.code, problem.file) == (code, file)


@then("nothing was sent to the platform")
def _(world):
    assert world.store.calls == world.calls


@then("ann's change is accepted once")
def _(world):
    report = world.results["ann"]
    head = asyncio.run(porcelain.read_current(world.store)).head
    assert head.recent_ids.count(report.change_id) == 1
    assert head.version == report.version == len(head.changes)


@then(parsers.parse("the platform holds {entries:d} entries per look-up"))
def _(world, entries):
    assert world.document()["lookup"] == {"entries": entries}


@then("server a is drained")
def _(world):
    assert world.document()["drains"] == {"servers": {"a": True}}
