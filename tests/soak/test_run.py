"""A short soak with a fixed seed: processes under faults keep their promises."""

from soak.faults import Size
from soak.run import SoakPlan, soak

PLAN = SoakPlan(
    seed=7, faults=8, round_s=6.0, callers=6, size=Size(gateways=3, servers=6, domains=3)
)


async def test_short_soak_breaks_no_promise(tmp_path):
    result = await soak(PLAN, tmp_path)
    assert result.broken == []
    assert len(result.drawn) == PLAN.faults
    assert len(result.seen.executions) > PLAN.callers
    assert result.seen.calm_spans
