"""Choice of a server among the free slots of a site."""

from collections.abc import Collection, Mapping, Sequence
from math import inf

from knapweeddock.grants import Slot
from knapweeddock.health import ALL_SLOTS, REPORT_LIFE_S, ServerRecord
from knapweeddock.ids import ServerId
from knapweeddock.slots import SlotKey, key_of

Candidate = tuple[ServerId, Sequence[Slot], ServerRecord]


def choose(
    free: Mapping[ServerId, Sequence[Slot]],
    records: Mapping[ServerId, ServerRecord],
    in_flight: Mapping[ServerId, int],
    now: float,
    *,
    exclude: Collection[ServerId] = frozenset(),
    within: Collection[SlotKey] | None = None,
    lowest: bool = False,
) -> Slot | None:
    """Return the free slot to use next.

    The server with the fewest own requests and the smallest reported load is
    best. Reports include this entry's own requests, so the larger of both
    counts. Servers that are set aside are used only when all servers are.

    Args:
        free: Free slots by server, in rank order; may be none for a server.
        records: Health by server.
        in_flight: Own requests by server.
        now: Monotonic time.
        exclude: Servers not to use.
        within: Slots to choose from; all when None.
        lowest: Whether to prefer low ranks (remote work) to high ones.
    """
    healthy, aside = _split(free, records, now)
    if not healthy:
        return _last_resort(aside, now, exclude, within, lowest)
    best: Slot | None = None
    best_load = inf
    for server, slots, record in healthy:
        if not slots or server in exclude:
            continue
        load = in_flight.get(server, 0)
        if record.in_flight:
            reported = record.in_flight * (1.0 - (now - record.measured_at) / REPORT_LIFE_S)
            load = reported if reported > load else load
        if load > best_load:
            continue
        warm = within is None and record.opened == ALL_SLOTS
        slot = slots[0 if lowest else -1] if warm else _pick(slots, record, now, within, lowest)
        if slot is not None and (load < best_load or (slot.rank < best.rank) == lowest):
            best = slot
            best_load = load
    return best


def _split(
    free: Mapping[ServerId, Sequence[Slot]],
    records: Mapping[ServerId, ServerRecord],
    now: float,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the servers that are fit for use and those that are set aside."""
    healthy = []
    aside = []
    for server, slots in free.items():
        record = records.get(server)
        if record is None or record.leaving:
            continue
        if record.retry_at is not None and record.is_set_aside(now):
            aside.append((server, slots, record))
        else:
            healthy.append((server, slots, record))
    return healthy, aside


def _pick(
    slots: Sequence[Slot],
    record: ServerRecord,
    now: float,
    within: Collection[SlotKey] | None,
    lowest: bool,
) -> Slot | None:
    """Return the lowest or highest of the slots of one server that may be used."""
    opened = record.open_slots(now)
    for slot in slots if lowest else reversed(slots):
        if slot.index < opened and (within is None or key_of(slot) in within):
            return slot
    return None


def _last_resort(
    aside: Sequence[Candidate],
    now: float,
    exclude: Collection[ServerId],
    within: Collection[SlotKey] | None,
    lowest: bool,
) -> Slot | None:
    """Return a slot of the server whose trial is due first."""
    for server, slots, record in sorted(aside, key=lambda entry: (entry[2].retry_at, entry[0])):
        if server not in exclude:
            slot = _pick(slots, record, now, within, lowest)
            if slot is not None:
                return slot
    return None
