import pytest

from knapweeddock.gateway.evidence.quarantine import (
    SPREAD_S,
    TRIAL_DELAYS_S,
    TRIAL_SLOT_S,
    TRIAL_START_S,
    Quarantined,
    Suspected,
    Unsuspected,
    is_own_trial,
    judge,
    time_to_trials_s,
)
from knapweeddock.gateway.evidence.suspect import MAX_ENDS, ServerEnd, Suspect, explains_its_ends
from knapweeddock.ids import RequestDigest

DIGEST = RequestDigest(b"d" * 16)
VMS = [f"vm-{index}" for index in range(12)]


def make_suspect(*ended_at: float, quarantined: bool = False) -> Suspect:
    suspect = Suspect(is_quarantined=quarantined)
    for index, at in enumerate(ended_at):
        suspect.add(ServerEnd(server=f"s-{index}", at=at))
    return suspect


def verdict_on(suspect: Suspect, now: float = 10.0):
    return judge(DIGEST, suspect, vm="vm-0", gateway_vms=VMS, now=now)


def other_ends(count: int, at: float) -> list[ServerEnd]:
    return [ServerEnd(server=f"other-{index}", at=at) for index in range(count)]


def test_request_under_which_no_server_ended_runs():
    assert verdict_on(Suspect()) == Unsuspected()


def test_suspects_run_one_at_a_time():
    suspect = make_suspect(1.0)
    assert verdict_on(suspect) == Suspected(ends=1)
    suspect.running = 1
    assert isinstance(verdict_on(suspect), Quarantined)
    assert verdict_on(suspect).is_waiting


def test_quarantined_request_is_refused_until_its_trials():
    suspect = make_suspect(1.0, 2.0, 3.0, quarantined=True)
    verdict = verdict_on(suspect)
    assert verdict == Quarantined(ends=3, retry_after_s=3.0 + TRIAL_DELAYS_S[0] - 10.0)


def test_three_ends_are_the_cause_unless_as_many_other_servers_end():
    # A failure domain loses power with all the requests in flight there.
    suspect = make_suspect(10.0, 10.3, 10.6)
    assert explains_its_ends(suspect, [])
    assert explains_its_ends(suspect, other_ends(3, 10.2))
    assert not explains_its_ends(suspect, other_ends(4, 10.2))
    assert explains_its_ends(suspect, other_ends(30, 5.0))


def test_request_that_goes_on_after_a_loss_of_power_is_found_out():
    suspect = make_suspect(10.0, 10.3, 10.6)
    others = other_ends(30, 10.2)
    for index, at in enumerate((13.0, 13.2, 13.4)):
        assert not explains_its_ends(suspect, others)
        suspect.add(ServerEnd(server=f"later-{index}", at=at))
    assert explains_its_ends(suspect, others)


def test_two_ends_are_no_proof():
    assert not explains_its_ends(make_suspect(10.0, 10.3), [])


def test_each_gateway_has_a_trial_of_its_own():
    # Two at the same time would end two servers before either could tell.
    suspect = make_suspect(1.0, 2.0, 3.0, quarantined=True)
    begin = 3.0 + TRIAL_DELAYS_S[0]
    in_turn = []
    for slot in range(len(VMS)):
        for offset_s in (0.1, TRIAL_START_S + 0.1):
            now = begin + slot * TRIAL_SLOT_S + offset_s
            in_turn += [
                vm for vm in VMS if is_own_trial(DIGEST, suspect, vm=vm, gateway_vms=VMS, now=now)
            ]
    assert sorted(in_turn) == sorted(VMS)
    assert not any(
        is_own_trial(DIGEST, suspect, vm=vm, gateway_vms=VMS, now=begin - 0.1) for vm in VMS
    )


@pytest.mark.parametrize("failed_trials", [0, 1, 2])
def test_trials_that_fail_become_rarer_and_end(failed_trials):
    # No more than three tries may follow the third end.
    ended_at = [1.0, 2.0, 3.0]
    for _ in range(failed_trials):
        ended_at.append(ended_at[-1] + max(SPREAD_S + 1, *TRIAL_DELAYS_S))
    suspect = make_suspect(*ended_at, quarantined=True)
    trials = sum(
        is_own_trial(DIGEST, suspect, vm=vm, gateway_vms=VMS, now=ended_at[-1] + second)
        for second in range(3600)
        for vm in VMS
    )
    assert bool(trials) == (failed_trials < len(TRIAL_DELAYS_S))
    assert time_to_trials_s(suspect, ended_at[-1]) > 0


def test_same_end_is_counted_once_whoever_reports_it():
    suspect = make_suspect(10.0)
    assert not suspect.add(ServerEnd(server="s-0", at=10.4))
    assert suspect.add(ServerEnd(server="s-0", at=14.0))


def test_order_of_many_ends_does_not_matter():
    ends = [ServerEnd(server=f"s-{index}", at=float(index)) for index in range(3 * MAX_ENDS)]
    forward, backward = Suspect(), Suspect()
    for end in ends:
        forward.add(end)
    for end in reversed(ends):
        backward.add(end)
    assert forward.ends == backward.ends
    assert len(forward.ends) == MAX_ENDS
    assert not any(backward.add(end) for end in ends)


def test_run_to_a_response_clears_what_was_before():
    suspect = make_suspect(1.0, 2.0, 3.0, quarantined=True)
    assert suspect.clear(4.0)
    assert verdict_on(suspect) == Unsuspected()
    assert not suspect.add(ServerEnd(server="late report", at=3.5))
    assert suspect.add(ServerEnd(server="s", at=4.5))
    assert not suspect.clear(4.0)


def test_often_repeated_request_is_not_the_cause_of_a_common_loss():
    # It ran on each of the servers that ended together, for all gateways.
    ends = [
        ServerEnd(server=f"s-{index}", at=10.0 + index / 50, ran_s=0.3, reporter=index)
        for index in range(12)
    ]
    suspect = Suspect()
    for end in ends:
        suspect.add(end)
    assert not explains_its_ends(suspect, [])


@pytest.mark.parametrize("delay_s", [0.0, 0.04])
def test_runs_at_different_gateways_need_a_margin(delay_s):
    # How long a report was on its way is not known.
    suspect = make_suspect(10.0, 10.4)
    suspect.add(ServerEnd(server="near", at=10.5 + delay_s, ran_s=0.05, reporter=7))
    assert not explains_its_ends(suspect, [])
    suspect.add(ServerEnd(server="far", at=10.6, ran_s=0.05, reporter=7))
    assert explains_its_ends(suspect, [])
