"""Whether a request under which servers have ended may run.

Load pattern: a request that crashes every server that begins to run it comes again and again,
at any gateway, among requests that were lost with it by chance.

A request with an end is a suspect: it runs one at a time, on an idle server if there is one,
and is not sent to another server if that one ends. When ``QUARANTINE_ENDS`` servers have ended
under it one after the other, it is refused (``suspect`` tells which ends count). A refused
request gets a trial ``TRIAL_DELAYS_S`` after its last end, by one gateway after the other, so
that one that was there by chance is cleared.
"""

from collections.abc import Collection
from dataclasses import dataclass

from knapweeddock.gateway.evidence.suspect import QUARANTINE_ENDS, Suspect
from knapweeddock.ids import RequestDigest, VmId
from knapweeddock.rendezvous import hash_parts

SPREAD_S = 5.0
"""Time in seconds after the third end in which all gateways have heard of it. Ends after that
come from trials."""

TRIAL_DELAYS_S = (20.0, 600.0)
"""Times in seconds after the last end at which the first and the second round of trials begin.
There is no third one while the request is remembered."""

TRIAL_SLOT_S = 3.0
"""Time in seconds for which one gateway after the other may begin a trial."""

TRIAL_START_S = 1.0
"""Part of a slot in seconds in which the trial may begin; the rest is for the others to hear of
its end."""

SUSPECT_RETRY_AFTER_S = 0.5
"""Retry-After in seconds of a suspect that must wait for another run of the same request."""

MAX_RETRY_AFTER_S = 60.0
"""Longest Retry-After in seconds of a refused request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unsuspected:
    """No server is known to have ended under the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspected:
    """The request may run, but not be sent to another server if one ends under it.

    Attributes:
        ends: Number of servers that ended under it.
        is_trial: Whether it would be refused if it were not this gateway's turn to try it.
    """

    ends: int
    is_trial: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Quarantined:
    """The request is not run now.

    Attributes:
        ends: Number of servers that ended under it.
        retry_after_s: Time in seconds after which it may be tried again.
        is_waiting: Whether it only has to wait for another run of the same request.
    """

    ends: int
    retry_after_s: float
    is_waiting: bool = False


Verdict = Unsuspected | Suspected | Quarantined


def judge(
    digest: RequestDigest, suspect: Suspect, *, vm: VmId, gateway_vms: Collection[VmId], now: float
) -> Verdict:
    """Decide whether a request may run.

    Args:
        digest: Digest of the request.
        suspect: What is known of it.
        vm: VM of this gateway.
        gateway_vms: All gateways, among which trials are shared out.
        now: Monotonic time in seconds.
    """
    ends = len(suspect.ends)
    if ends == 0:
        return Unsuspected()
    is_trial = suspect.is_quarantined and is_own_trial(
        digest, suspect, vm=vm, gateway_vms=gateway_vms, now=now
    )
    if suspect.is_quarantined and not is_trial:
        return Quarantined(ends=ends, retry_after_s=time_to_trials_s(suspect, now))
    if suspect.running:
        return Quarantined(ends=ends, retry_after_s=SUSPECT_RETRY_AFTER_S, is_waiting=True)
    return Suspected(ends=ends, is_trial=is_trial)


def is_own_trial(
    digest: RequestDigest, suspect: Suspect, *, vm: VmId, gateway_vms: Collection[VmId], now: float
) -> bool:
    """Whether it is the turn of the gateway ``vm`` to run a refused request once more.

    Gateways that know the same list and the same ends agree on whose turn it is.
    """
    delay_s = _trial_delay_s(suspect)
    if delay_s is None or vm not in gateway_vms:
        return False
    elapsed_s = now - suspect.ends[-1].at - delay_s
    slot, since_start_s = divmod(elapsed_s, TRIAL_SLOT_S)
    if elapsed_s < 0 or since_start_s >= TRIAL_START_S:
        return False
    order = sorted(gateway_vms, key=lambda each: (hash_parts("trial", digest.hex(), each), each))
    return order[int(slot) % len(order)] == vm


def time_to_trials_s(suspect: Suspect, now: float) -> float:
    """Return the time in seconds until a refused request may get a trial."""
    delay_s = _trial_delay_s(suspect)
    if delay_s is None:
        return MAX_RETRY_AFTER_S
    remaining_s = suspect.ends[-1].at + delay_s - now
    return min(MAX_RETRY_AFTER_S, max(TRIAL_SLOT_S, remaining_s))


def _trial_delay_s(suspect: Suspect) -> float | None:
    """Return the time in seconds after the last end at which trials begin; None for never."""
    if len(suspect.ends) < QUARANTINE_ENDS:
        return TRIAL_DELAYS_S[0]
    trials_from = suspect.ends[QUARANTINE_ENDS - 1].at + SPREAD_S
    failed_trials = sum(end.at > trials_from for end in suspect.ends)
    return TRIAL_DELAYS_S[failed_trials] if failed_trials < len(TRIAL_DELAYS_S) else None
