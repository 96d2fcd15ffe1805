"""Operations: what they claim must be what the platform and the members hold."""

import pytest

from knapweeddock import base as bases
from knapweeddock import changes, porcelain
from knapweeddock.base import ChangedByOthers
from knapweeddock.clock import ManualClock
from knapweeddock.codes import ResultCode
from knapweeddock.drains import Targets
from knapweeddock.errors import ConfigError, PeerUnavailable, StoreUnavailable
from knapweeddock.explain import Request
from knapweeddock.objectstore import MemoryObjectStore
from knapweeddock.porcelain import Session
from knapweeddock.state import MemberState
from knapweeddock.statusclient import MemberStatus, MemoryStatusSource, SystemStatus
from tests.documents import DOCUMENT, document, write_folder


def session(store, *, operator="ann", answers=(), platform="http://p") -> Session:
    clock = ManualClock()

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)

    return Session(
        platform=platform,
        store=store,
        operator=operator,
        status=MemoryStatusSource(answers=answers) if answers else None,
        clock=clock,
        sleep=sleep,
    )


def members(**versions: int | None) -> SystemStatus:
    return SystemStatus(
        config_version=1,
        members=[
            MemberStatus(
                vm=vm, failure_domain="n1", state=MemberState.SERVING, config_version=version
            )
            for vm, version in versions.items()
        ],
    )


@pytest.fixture
def folder(tmp_path):
    return write_folder(tmp_path / "config", DOCUMENT)


@pytest.fixture
def store():
    return MemoryObjectStore()


async def held(store) -> dict:
    return (await porcelain.read_current(store)).document


def test_check_counts(folder):
    counts = porcelain.check(folder).counts
    assert (counts.sites, counts.servers, counts.client_blocks) == (2, 3, 2)
    assert counts.document_bytes == len(changes.encode(DOCUMENT))


async def test_apply_then_unchanged(store, folder):
    first = await porcelain.apply(session(store), folder)
    assert (first.code, first.version) == (ResultCode.OK, 1)
    assert await held(store) == DOCUMENT
    again = await porcelain.apply(session(store), folder)
    assert (again.version, again.change_id) == (1, None)
    # After a lost answer the command is run again without a base.
    (folder / bases.BASE_FILE).unlink()
    assert (await porcelain.apply(session(store), folder)).change_id is None


async def test_change_of_others_is_not_overwritten(store, folder, tmp_path):
    """The second operator's folder would undo the first one's change without notice."""
    await porcelain.apply(session(store), folder)
    theirs = write_folder(tmp_path / "b", document(("lookup/entries", 3)))
    with pytest.raises(ChangedByOthers):
        await porcelain.apply(session(store, operator="bob"), theirs)
    await porcelain.diff(session(store, operator="bob"), theirs)
    await porcelain.apply(session(store, operator="bob"), theirs)
    write_folder(folder, document(("lookup/entries", 2)))
    with pytest.raises(ChangedByOthers) as raised:
        await porcelain.apply(session(store), folder)
    assert raised.value.code is ResultCode.CONFLICT
    assert [change.operator for change in raised.value.changes] == ["bob"]
    assert (await held(store))["lookup"] == {"entries": 3}
    shown = await porcelain.diff(session(store), folder)
    assert shown.patch == {"lookup": {"entries": 2}}
    assert [change.operator for change in shown.others] == ["bob"]
    assert (await porcelain.apply(session(store), folder)).version == 3


async def test_given_base_and_base_of_another_platform(store, folder):
    """Versions of two platforms are unrelated numbers."""
    await porcelain.apply(session(store), folder)
    write_folder(folder, document(("lookup/entries", 2)))
    with pytest.raises(ChangedByOthers):
        await porcelain.apply(session(store), folder, base_version=0)
    with pytest.raises(ChangedByOthers, match="right platform"):
        await porcelain.apply(session(store), folder, base_version=9)
    with pytest.raises(ChangedByOthers):
        await porcelain.apply(session(store, platform="http://other"), folder)
    assert (await porcelain.apply(session(store), folder, base_version=1)).version == 2


async def test_unwritable_base_is_a_warning(store, folder):
    """The change is accepted all the same, and the command must say so."""
    (folder / ".knapweed").write_text("in the way")
    report = await porcelain.apply(session(store), folder, base_version=0)
    assert report.change_id is not None
    assert "use --base 1" in report.warnings[0]


async def test_wait_names_the_missing(store, folder):
    answers = [members(v1=0, v2=None), PeerUnavailable("x"), members(v1=1, v2=0)]
    report = await porcelain.apply(session(store, answers=answers), folder, wait_s=5)
    assert report.code is ResultCode.NOT_IN_FORCE
    assert report.change_id is not None
    assert [member.vm for member in report.in_force.missing] == ["v2"]


async def test_wait_ends_when_in_force(store, folder):
    """Members that are down or do not serve yet cannot hold up the wait."""
    gone = MemberStatus(
        vm="v3", failure_domain="n1", state=MemberState.SERVING, down=True, config_version=0
    )
    joining = MemberStatus(vm="v4", failure_domain="n1", state=MemberState.JOINING)
    last = SystemStatus(config_version=1, members=[*members(v1=1).members, gone, joining])
    report = await porcelain.apply(session(store, answers=[members(v1=0), last]), folder, wait_s=5)
    assert (report.code, report.in_force.serving) == (ResultCode.OK, 1)


@pytest.mark.parametrize("answers", [(), [PeerUnavailable("x")], [members()]])
async def test_wait_without_members_claims_nothing(store, folder, answers):
    """No known member is no evidence that the change is in force."""
    report = await porcelain.apply(session(store, answers=answers), folder, wait_s=1)
    assert report.code is ResultCode.NOT_IN_FORCE


async def test_drain_and_undrain(store, folder):
    await porcelain.apply(session(store), folder)
    targets = Targets(servers=["a"], sites=["w-s1"], failure_domains=["n1"], vms=["v1"])
    report = await porcelain.drain(session(store), targets)
    assert report.warnings == ["no site of pool work is left in service"]
    assert (await held(store))["drains"]["servers"] == {"a": True}
    assert (await porcelain.drain(session(store), targets)).change_id is None
    await porcelain.undrain(session(store), targets)
    again = await porcelain.undrain(session(store), targets)
    assert (again.version, again.change_id) == (3, None)
    assert not any((await held(store))["drains"].values())


async def test_drain_of_unknown_names_changes_nothing(store, folder):
    """A mistyped name would leave the server in service that is about to be stopped."""
    await porcelain.apply(session(store), folder)
    with pytest.raises(ExceptionGroup) as raised:
        await porcelain.drain(session(store), Targets(servers=["a", "z"], sites=["y"]))
    assert {error.path[1:] for error in raised.value.exceptions} == {
        ("servers", "z"),
        ("sites", "y"),
    }
    with pytest.raises(ConfigError):
        await porcelain.drain(session(store), Targets())
    assert "drains" not in await held(store)
    source = session(store, answers=[members(v1=1)])
    report = await porcelain.drain(source, Targets(vms=["v1", "v9"]))
    assert report.warnings == ["no member is named v9"]


async def test_removed_server_leaves_an_unused_drain(store, folder):
    """Draining and then removing a server is the usual order and must be possible."""
    await porcelain.apply(session(store), folder)
    await porcelain.drain(session(store), Targets(servers=["b"]))
    content = document(("sites/w-n1/cap", 3), ("sites/w-n1/shares", {}))
    del content["sites"]["w-n1"]["servers"]["b"]
    await porcelain.apply(session(store), write_folder(folder, content))
    report = await porcelain.status(session(store))
    assert report.drains.servers == {"b": True}
    assert report.unused_drains == ["drains.servers.b"]


async def test_status_shows_what_can_be_read(store, folder):
    await porcelain.apply(session(store), folder)
    report = await porcelain.status(session(store, answers=[members(v1=1, v2=0)]))
    assert (report.code, report.version, len(report.changes)) == (ResultCode.OK, 1, 1)
    assert [member.vm for member in report.behind] == ["v2"]
    report = await porcelain.status(session(store, answers=[PeerUnavailable("x")]))
    assert (report.code, report.version) == (ResultCode.PEER_UNAVAILABLE, 1)
    store.down = True
    report = await porcelain.status(session(store, answers=[members(v1=1)]))
    assert (report.code, report.version) == (ResultCode.STORE_UNAVAILABLE, None)
    assert len(report.members) == 1


async def test_explain_from_platform_and_folder(store, folder):
    request = Request(client="10.1.2.3", host="shop.example")
    await porcelain.apply(session(store), folder)
    await porcelain.drain(session(store), Targets(sites=["w-s1"]))
    drained = await porcelain.explain(session(store), request)
    assert drained.sites[0].drains == ["site w-s1"]
    assert (await porcelain.explain(None, request, directory=folder)).sites[0].drains == []


async def test_replaced_snapshot_is_read_from_the_newer_head(store, folder, monkeypatch):
    """A snapshot that is deleted between two reads is no failure of the platform."""
    monkeypatch.setattr(changes, "MAX_INLINE_BYTES", 0)
    monkeypatch.setattr(changes, "KEPT_INLINE_BYTES", 0)
    await porcelain.apply(session(store), folder)

    class Moving(MemoryObjectStore):
        async def get(self, key):
            if key.startswith(changes.SNAPSHOT_PREFIX) and not moved:
                moved.append(key)
                await porcelain.drain(session(store), Targets(servers=["a"]))
                await porcelain.drain(session(store), Targets(servers=["b"]))
            return await super().get(key)

    moved: list[str] = []
    moving = Moving()
    moving.objects = store.objects
    assert (await porcelain.read_current(moving)).head.version == 3
    del store.objects[(await porcelain.read_current(store)).head.snapshot]
    with pytest.raises(StoreUnavailable, match="is gone"):
        await porcelain.read_current(store)
