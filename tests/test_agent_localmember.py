"""Local member record: guards against publishing too much, too little or a false state."""

import pytest

from knapweeddock.agent.localmember import (
    MEMBER_REFILL_S_PER_RECIPIENT,
    PUBLISH_BURST,
    LocalMember,
    Publication,
)
from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, Incarnation, VmId
from knapweeddock.proto.knapweed_pb2 import ReportRequest
from tests.test_records import make_member


def make_local_member(start_ms: int = 100) -> LocalMember:
    return LocalMember(
        vm=VmId("own"),
        failure_domain=FailureDomainId("gp-1"),
        incarnation=Incarnation("agent-new"),
        start_ms=start_ms,
        agent_address="127.0.0.1:1",
        now=0.0,
    )


def make_report(incarnation: str = "e1", **fields) -> ReportRequest:
    values = {"state": "serving", "public_address": "127.0.0.1:2", **fields}
    return ReportRequest(vm="own", role="entry", incarnation=incarnation, **values)


def publish(
    own: LocalMember,
    now: float = 0.0,
    *,
    may_publish_joining: bool = True,
    previous_terminated: bool = False,
    member_count: int = 12,
) -> Publication:
    return own.publish(
        now,
        member_count=member_count,
        domain_size=2,
        may_publish_joining=may_publish_joining,
        previous_terminated=previous_terminated,
    )


def states(publication: Publication) -> list[str]:
    return [record.member.state for record in publication.global_records]


def test_a_vm_without_an_entry_is_joining_once_it_is_synced():
    own = make_local_member()
    assert states(publish(own, may_publish_joining=False)) == []
    assert states(publish(own)) == ["joining"]
    assert states(publish(own)) == []


def test_a_restarted_agent_does_not_replace_a_running_entry_by_joining():
    """Guards against peers that take over slots which the entry still uses."""
    own = make_local_member()
    own.observe_record(make_member("own", start=50, entry_incarnation="e1"))
    assert states(publish(own)) == []
    assert own.current_entry().entry_incarnation == "e1"
    assert states(publish(own, previous_terminated=True)) == ["joining"]
    own.accept_report(make_report(), 1.0)
    assert states(publish(own, 1.0)) == ["serving"]


def test_records_of_an_earlier_agent_with_a_later_start_lose():
    """Guards against a wall clock that stepped back between the starts of the two agents."""
    own = make_local_member(start_ms=100)
    own.accept_report(make_report(), 0.0)
    publish(own)
    own.observe_record(make_member("own", start=500))
    record = publish(own).global_records[0]
    assert record.incarnation_start_ms == 501


def test_state_changes_go_everywhere_at_once_and_settled_views_to_the_domain():
    own = make_local_member()
    own.accept_report(make_report(), 0.0)
    publish(own)
    own.accept_report(make_report(settled_views={"s": "v"}), 0.1)
    changed = publish(own, 0.1)
    assert changed.global_records == []
    assert changed.domain_records[0].detail.settled_views == {"s": "v"}
    own.accept_report(make_report(state="leaving", settled_views={"s": "v"}), 0.2)
    assert states(publish(own, 0.2)) == ["leaving"]


def test_the_published_version_is_that_of_the_entry():
    own = make_local_member()
    own.accept_report(make_report(config_version=7), 0.0)
    assert publish(own).global_records[0].member.config_version == 7


def test_versions_and_loads_are_rate_limited_with_many_members():
    """Guards against 5,500 members that publish every change and overload each other."""
    own = make_local_member()
    published = 0
    for second in range(1000):
        own.accept_report(make_report(config_version=second, load=second % 2), float(second))
        published += len(publish(own, float(second), member_count=1000).global_records)
    each = PUBLISH_BURST + 1000 / (1000 * MEMBER_REFILL_S_PER_RECIPIENT)
    assert published <= 1 + 2 * each + 1
    assert published > PUBLISH_BURST


def test_changes_of_load_do_not_delay_the_version_in_force():
    """Guards against load changes that use up the rate limit of versions.

    An operator waits until the version is seen in force; under load that took 7 s.
    """
    own = make_local_member()
    for tick in range(100):
        own.accept_report(make_report(load=tick % 2), tick / 10)
        publish(own, tick / 10)
    own.accept_report(make_report(load=0.5, config_version=2), 10.0)
    assert publish(own, 10.0).global_records[0].member.config_version == 2


def test_small_changes_of_load_are_not_published():
    own = make_local_member()
    own.accept_report(make_report(load=0.50), 0.0)
    publish(own)
    own.accept_report(make_report(load=0.55), 1.0)
    assert publish(own, 1.0) == Publication()


def test_a_report_of_a_replaced_incarnation_is_rejected():
    """Guards against a late report that restores an incarnation others consider terminated."""
    own = make_local_member()
    own.accept_report(make_report("e1"), 0.0)
    own.accept_report(make_report("e2"), 1.0)
    with pytest.raises(MessageError):
        own.accept_report(make_report("e1"), 2.0)
    assert own.current_entry().entry_incarnation == "e2"


def test_the_lookup_address_is_published_while_it_reports():
    own = make_local_member()
    own.accept_report(ReportRequest(vm="own", role="lookup", lookup_address="127.0.0.1:3"), 0.0)
    own.accept_report(make_report(), 0.0)
    assert publish(own).global_records[0].member.lookup_address == "127.0.0.1:3"
    own.accept_report(make_report(), 9.0)
    assert publish(own, 9.0).global_records[0].member.lookup_address == ""


@pytest.mark.parametrize(
    "request_",
    [
        ReportRequest(vm="other", role="entry", incarnation="e", state="serving"),
        ReportRequest(vm="own", role="broker", incarnation="e", state="serving"),
        ReportRequest(vm="own", role="entry", incarnation="", state="serving"),
        ReportRequest(vm="own", role="entry", incarnation="e", state="asleep"),
    ],
)
def test_malformed_reports_are_rejected(request_: ReportRequest):
    own = make_local_member()
    with pytest.raises(MessageError):
        own.accept_report(request_, 0.0)
    assert own.entry is None
