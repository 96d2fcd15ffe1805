"""Stalls in logs: lack of processor time excuses late answers, blocking work does not."""

import json
import time
from datetime import UTC, datetime

from soak.observations import Observations
from soak.stalls import note_logged_stalls


def seen_of(tmp_path, **fields) -> Observations:
    stamp = datetime.fromtimestamp(time.time(), UTC).isoformat().replace("+00:00", "Z")
    line = {"event": "process stalled", "timestamp": stamp, **fields}
    (tmp_path / "front-1.log").write_text(json.dumps(line) + "\nno JSON\n")
    seen = Observations()
    note_logged_stalls(seen, tmp_path, 0.25)
    return seen


def test_stall_of_the_machine_is_a_disturbance(tmp_path):
    now = time.monotonic()
    seen = seen_of(tmp_path, stall_s=3.0, processor_s=0.1)
    assert seen.process_faults == []
    assert seen.disturbance_of({"front-1"}, now - 2.0, now - 1.0)
    assert not seen.disturbance_of({"front-1"}, now - 9.0, now - 8.0)
    assert not seen.disturbance_of({"front-2"}, now - 2.0, now - 1.0)


def test_process_that_blocks_itself_is_a_fault(tmp_path):
    """A gateway that computes for seconds must not be excused."""
    seen = seen_of(tmp_path, stall_s=2.0, processor_s=1.9)
    assert seen.process_faults == ["front-1 blocked itself for 2.0 s"]
    assert seen.disturbances == []
