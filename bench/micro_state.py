"""Memory of an agent's and an entry's state, one JSON line per measure.

Run as ``python -m bench.micro_state``; each size runs in a process of its own,
so that the resident memory is that of one state.
"""

import gc
import multiprocessing
import random

from bench.measures import emit, resident_mb
from bench.micro_control import FLEETS, domain_of, make_document, make_record, make_state
from knapweeddock.ids import VmId
from knapweeddock.model import decode_config
from knapweeddock.replication import ReplicationNode
from knapweeddock.slotcapacity import SlotCapacity


def measure_state(fleet: int) -> None:
    """Fill one agent's state with ``fleet`` members and print its memory."""
    before = resident_mb()
    node = ReplicationNode(vm=VmId("vm-0"), failure_domain=domain_of(0))
    node.merge([make_record(number) for number in range(fleet)], 0.0)
    gc.collect()
    after = resident_mb()
    emit(
        "state of an agent",
        members=fleet,
        added_mb=round(after - before, 1),
        bytes_per_member=round((after - before) * 1e6 / fleet),
        process_mb=after,
    )


def measure_entry() -> None:
    """Take a state with all members and sites into one entry and print its memory."""
    before = resident_mb()
    state = make_state(decode_config(make_document()))
    member = next(iter(state.members.values()))
    capacity = SlotCapacity(
        vm=member.vm,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        internal_address=member.internal_address,
        now=0.0,
        rng=random.Random(1),
    )
    capacity.update(state, 0.0)
    gc.collect()
    after = resident_mb()
    emit(
        "state of an entry",
        members=len(state.members),
        sites=len(state.config.sites),
        added_mb=round(after - before, 1),
    )


def main() -> None:
    """Measure each state in a process of its own."""
    context = multiprocessing.get_context("spawn")
    measures = [(measure_state, (fleet,)) for fleet in FLEETS]
    for target, arguments in [*measures, (measure_entry, ())]:
        child = context.Process(target=target, args=arguments)
        child.start()
        child.join()


if __name__ == "__main__":
    main()
