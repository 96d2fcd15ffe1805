"""Result codes: guards against a code without a meaning or with a false outcome."""

from knapweeddock.codes import CODE_INFO, Outcome, ResultCode, exit_status, outcome_of


def test_every_code_is_described():
    """A code without an entry would fail only when it is first answered."""
    assert set(CODE_INFO) == set(ResultCode)


def test_request_codes_group_by_outcome():
    """A refusal in the 100s is taken as "not run" by callers, one in the 200s as unknown."""
    for code in ResultCode:
        if 100 <= code < 200:
            assert outcome_of(code) is Outcome.NOT_RUN
        if 200 <= code < 300:
            assert outcome_of(code) is Outcome.UNKNOWN


def test_exit_status_is_the_group():
    assert exit_status(ResultCode.OK) == 0
    assert exit_status(ResultCode.CONFLICT) == 3
