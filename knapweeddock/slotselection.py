"""Selects a backend server among the free slots of a site."""

from collections.abc import Collection, Mapping, Sequence
from math import inf

from knapweeddock.health import ALL_SLOTS, SHED_PENALTY_LOAD, ServerRecord
from knapweeddock.ids import ServerId
from knapweeddock.slots import SlotKey, slot_key
from knapweeddock.slottypes import Slot

SLOW_START_MAX_FRACTION = 0.5
"""Servers with closed slots, as a fraction of the eligible ones, above which all slots open."""

Candidate = tuple[ServerId, Sequence[Slot], ServerRecord, int]
"""A server, its free slots, its health record and its open limit."""


def select_slot(
    free: Mapping[ServerId, Sequence[Slot]],
    records: Mapping[ServerId, ServerRecord],
    own_in_flight: Mapping[ServerId, int],
    now: float,
    *,
    exclude: Collection[ServerId] = frozenset(),
    allowed: Collection[SlotKey] | None = None,
    lowest_rank_first: bool = False,
) -> Slot | None:
    """Return the free slot to use next, or None if there is none.

    Selects the least loaded server; its load is the larger of this entry's own and the
    reported requests, which include the own ones. Servers that shed a request a moment
    ago come last, and ejected servers are used only when no server is eligible. Eligible
    servers have a health record and are neither ejected nor draining.

    Args:
        free: Free slots by server, in rank order; the list may be empty.
        records: Health records by server.
        own_in_flight: Requests of this entry in flight, by server.
        now: Monotonic time.
        exclude: Servers not to use.
        allowed: Slots to select from; any slot if None.
        lowest_rank_first: Whether to prefer low ranks (for remote requests) to high ones.
    """
    eligible, ejected = split_by_health(free, records, now)
    best: Slot | None = None
    best_load = inf
    for server, slots, record, open_limit in eligible:
        load = own_in_flight.get(server, 0)
        if record.reported_in_flight > load:
            load = max(load, record.reported_load(now))
        if record.shed_until > now:
            load += SHED_PENALTY_LOAD
        if load > best_load or not slots or server in exclude:
            continue
        if allowed is None and open_limit == ALL_SLOTS:
            slot = slots[0 if lowest_rank_first else -1]
        else:
            slot = _select_open_slot(slots, open_limit, allowed, lowest_rank_first)
        if slot is not None and (load < best_load or (slot.rank < best.rank) == lowest_rank_first):
            best = slot
            best_load = load
    return best if eligible else _select_ejected(ejected, exclude, allowed, lowest_rank_first)


def split_by_health(
    free: Mapping[ServerId, Sequence[Slot]],
    records: Mapping[ServerId, ServerRecord],
    now: float,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the eligible and the ejected servers of a site.

    Slow start shifts load to servers that are fully open. When the servers that are
    not (cold or in slow start, ejected ones included) outnumber
    ``SLOW_START_MAX_FRACTION`` of the eligible ones, there are too few open ones, and
    closed slots would only cause refusals; all slots of eligible servers are open then.
    """
    eligible = []
    ejected = []
    slow_starting = 0
    for server, slots in free.items():
        record = records.get(server)
        if record is None or record.draining:
            continue
        open_limit = record.open_limit
        if open_limit != ALL_SLOTS:
            open_limit = record.advance_slow_start(now)
            slow_starting += open_limit != ALL_SLOTS
        candidate = (server, slots, record, open_limit)
        if record.trial_at is not None and record.is_blocked(now):
            ejected.append(candidate)
        else:
            eligible.append(candidate)
    if slow_starting > len(eligible) * SLOW_START_MAX_FRACTION:
        eligible = [(server, slots, record, ALL_SLOTS) for server, slots, record, _ in eligible]
    return eligible, ejected


def _select_open_slot(
    slots: Sequence[Slot],
    open_limit: int,
    allowed: Collection[SlotKey] | None,
    lowest_rank_first: bool,
) -> Slot | None:
    """Return the usable slot of one server with the lowest or highest rank."""
    for slot in slots if lowest_rank_first else reversed(slots):
        if slot.index < open_limit and (allowed is None or slot_key(slot) in allowed):
            return slot
    return None


def _select_ejected(
    ejected: Sequence[Candidate],
    exclude: Collection[ServerId],
    allowed: Collection[SlotKey] | None,
    lowest_rank_first: bool,
) -> Slot | None:
    """Return an open slot of the ejected server with the earliest trial time, if any."""
    for server, slots, _, open_limit in sorted(
        ejected, key=lambda candidate: (candidate[2].trial_at, candidate[0])
    ):
        if server not in exclude:
            slot = _select_open_slot(slots, open_limit, allowed, lowest_rank_first)
            if slot is not None:
                return slot
    return None
