"""Problems: the place and the value must be readable in a terminal."""

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.problems import MAX_FOUND_CHARS, Problem, format_path, show


@pytest.mark.parametrize(
    ("path", "text"),
    [
        ((), ""),
        (("sites", "gp-a", "servers"), "sites.gp-a.servers"),
        (("client_blocks", "10.0.0.0/8"), 'client_blocks["10.0.0.0/8"]'),
        (("links", "a->b", "x", 0), 'links["a->b"].x[0]'),
        (("1a",), '["1a"]'),
    ],
)
def test_format_path(path, text):
    assert format_path(path) == text


def test_message_names_everything():
    problem = Problem(
        code=ResultCode.OVER_CAP, file="a.json", path=("x",), found="9", allowed="at most 3"
    )
    assert str(problem) == "a.json: x: found 9; allowed: at most 3 (307 OVER_CAP)"


def test_long_and_strange_values():
    assert len(show("x" * 10_000)) == MAX_FOUND_CHARS + 3
    assert show("\ud800") == repr("\ud800")
