"""Load levels around the capacity of all usable slots, with a change and a drain."""

from bench.operations import usual_operations
from bench.run import RunPlan, TimedAction
from bench.worker import Phase

LEVELS = (0.5, 0.8, 1.0, 1.2, 2.0)
WARM_S = 4.0
FIRST_S = 14.0
LEVEL_S = 11.0
GAP_S = 3.0


def level_plan(example: str, name: str, **options: object) -> RunPlan:
    """Return a run through all levels; the first one is longer, for the operations."""
    phases = [Phase(name="warm", level=0.5, start_at=0.0, duration_s=WARM_S)]
    start = WARM_S
    for level in LEVELS:
        duration = FIRST_S if level == LEVELS[0] else LEVEL_S
        phases.append(Phase(name=f"{level:g}", level=level, start_at=start, duration_s=duration))
        start += duration + GAP_S
    return RunPlan(name=name, example=example, phases=phases, **options)


def level_actions() -> list[TimedAction]:
    """Return the operations during the first level."""
    return usual_operations(WARM_S + 1.0)
