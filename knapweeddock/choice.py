"""Choice of a server among the free slots of a site."""

from collections.abc import Collection, Mapping, Sequence

from knapweeddock.grants import Slot
from knapweeddock.health import ServerRecord
from knapweeddock.ids import ServerId
from knapweeddock.slots import SlotKey, key_of


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
        free: Free slots by server, in rank order; a server without free slots
            is listed with none.
        records: Health by server.
        in_flight: Own requests by server.
        now: Monotonic time.
        exclude: Servers not to use.
        within: Slots to choose from; all when None.
        lowest: Whether to prefer low ranks (remote work) to high ones.
    """
    best: Slot | None = None
    best_order = (True, 0.0, 0)
    any_healthy = False
    for server, slots in free.items():
        record = records.get(server)
        if record is None or record.listed_leaving or record.left_at is not None:
            continue
        aside = record.retry_at is not None and record.is_set_aside(now)
        any_healthy = any_healthy or not aside
        if not slots or server in exclude:
            continue
        slot = _pick(slots, record.open_slots(now), within, lowest)
        if slot is None:
            continue
        load = max(in_flight.get(server, 0), record.reported_load(now))
        order = (aside, load, slot.rank if lowest else -slot.rank)
        if best is None or order < best_order:
            best = slot
            best_order = order
    if best is not None and best_order[0] and any_healthy:
        return None
    return best


def _pick(
    slots: Sequence[Slot], opened: int, within: Collection[SlotKey] | None, lowest: bool
) -> Slot | None:
    for slot in slots if lowest else reversed(slots):
        if slot.index < opened and (within is None or key_of(slot) in within):
            return slot
    return None
