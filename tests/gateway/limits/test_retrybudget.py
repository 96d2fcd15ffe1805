import dataclasses

from knapweeddock.gateway.limits.retrybudget import RetryBudgetLimits, RetryBudgetShare

GATEWAYS = 11
LIMITS = RetryBudgetLimits(ratio=0.2, allowance=62.0, window_s=10.0)


def budget_share() -> RetryBudgetShare:
    return RetryBudgetShare(limits=LIMITS)


def test_all_gateways_together_stay_within_the_budget():
    # All servers shed load, so every request of every gateway needs a retry.
    budgets = [budget_share() for _ in range(GATEWAYS)]
    retried = []
    requested = []
    for tick in range(2000):
        now = tick * 0.01
        budget = budgets[tick % GATEWAYS]
        budget.record_request(now)
        requested.append(now)
        if budget.allows(GATEWAYS, now):
            budget.record_retry(now)
            retried.append(now)
    for start in range(10):
        window = [at for at in retried if start <= at < start + 10]
        requests = [at for at in requested if start <= at < start + 10]
        assert len(window) <= 0.2 * len(requests) + 62


def test_gateway_without_traffic_has_its_part_of_the_slack():
    budget = budget_share()
    for index in range(3):
        assert budget.allows(GATEWAYS, float(index))
        budget.record_retry(float(index))
    assert not budget.allows(GATEWAYS, 3.0)


def test_retries_are_forgotten_after_the_window():
    budget = budget_share()
    for _ in range(3):
        budget.record_retry(0.0)
    assert not budget.allows(GATEWAYS, 9.0)
    assert budget.allows(GATEWAYS, 10.5)


def test_changed_bounds_hold_for_what_was_counted_before():
    # Reloaded settings must also apply to services that already have requests.
    budget = budget_share()
    for _ in range(3):
        budget.record_retry(0.0)
    assert not budget.allows(GATEWAYS, 1.0)
    budget.limits = dataclasses.replace(LIMITS, allowance=124.0)
    assert budget.allows(GATEWAYS, 1.0)
