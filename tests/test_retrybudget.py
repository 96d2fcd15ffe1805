"""Retry budget: guards against retries that multiply the load on failing servers."""

from knapweeddock.dispatchsettings import RetryBudgetLimits
from knapweeddock.retrybudget import RetryBudget


def withdraw_all(budget: RetryBudget, now: float) -> int:
    return sum(1 for _ in iter(lambda: budget.withdraw(now), False))


def test_a_service_with_little_traffic_has_the_minimum_each_second():
    budget = RetryBudget(limits=RetryBudgetLimits(), now=0.0)
    assert withdraw_all(budget, 0.0) == 3
    assert withdraw_all(budget, 0.5) == 1
    assert withdraw_all(budget, 100.0) == 3


def test_requests_earn_their_ratio_and_no_more_than_the_limit():
    budget = RetryBudget(limits=RetryBudgetLimits(min_retries_per_s=0.0, ratio=0.125), now=0.0)
    for _ in range(40):
        budget.record_request()
    assert withdraw_all(budget, 0.0) == 5
    for _ in range(10_000):
        budget.record_request()
    assert withdraw_all(budget, 0.0) == 50
