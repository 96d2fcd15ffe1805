"""Memory of an agent's state by the size of the fleet, one JSON line per measure.

Run as ``python -m bench.micro_state``; each size runs in a process of its own,
so that the resident memory is that of one state.
"""

import gc
import multiprocessing

from bench.micro_control import FLEETS, domain_of, emit, make_record, resident_mb
from knapweeddock.ids import VmId
from knapweeddock.spread import SpreadNode


def measure_state(fleet: int) -> None:
    """Fill one agent's state with ``fleet`` members and print its memory."""
    before = resident_mb()
    node = SpreadNode(vm=VmId("vm-0"), failure_domain=domain_of(0))
    node.take([make_record(number) for number in range(fleet)], 0.0)
    gc.collect()
    after = resident_mb()
    emit(
        "state of an agent",
        members=fleet,
        added_mb=round(after - before, 1),
        bytes_per_member=round((after - before) * 1e6 / fleet),
        process_mb=after,
    )


def main() -> None:
    """Measure all sizes."""
    context = multiprocessing.get_context("spawn")
    for fleet in FLEETS:
        child = context.Process(target=measure_state, args=(fleet,))
        child.start()
        child.join()


if __name__ == "__main__":
    main()
