import json

import pytest

from knapweeddock.errors import ConfigError
from knapweeddock.requeststory import UnknownRequest, parse_line, read_lines, tell


def line(at: int, event: str, vm: str = "front-1", **fields) -> str:
    return json.dumps({"event": event, "timestamp": f"T{at:03}", "vm": vm, **fields})


LINES = [
    line(1, "gateway started"),
    line(2, "configuration in force", version=4),
    line(3, "configuration in force", version=7),
    line(4, "configuration in force", vm="front-2", version=9),
    line(5, "store lost", reason="silent"),
    line(6, "attempt unsuccessful", request="q1", server="i-1", end="lost"),
    line(7, "request failed", request="q1", servers=["i-1"], status=502),
    line(8, "server not back", server="i-1"),
    line(9, "server not back", server="i-2"),
    line(10, "configuration in force", version=9),
    line(11, "request refused", request="q2", reason="no_site"),
]


def parsed() -> list:
    return [parse_line(text) for text in LINES]


def test_story_has_what_the_gateway_believed_at_that_moment():
    story = tell("q1", parsed())
    assert story.vm == "front-1"
    assert [(each.event, each.fields.get("version")) for each in story.beliefs] == [
        ("gateway started", None),
        ("configuration in force", 7),
        ("store lost", None),
    ]


def test_story_has_the_steps_and_the_servers_that_were_tried():
    story = tell("q1", reversed(parsed()))
    assert [each.event for each in story.steps] == ["attempt unsuccessful", "request failed"]
    assert [each.fields["server"] for each in story.servers] == ["i-1"]


def test_unknown_request_is_an_error():
    with pytest.raises(UnknownRequest):
        tell("q9", parsed())


@pytest.mark.parametrize("text", ["", "no json", '{"event": ', "[1]", '{"level": "info"}'])
def test_other_lines_are_passed_over(text):
    assert parse_line(text) is None


def test_words_of_a_collector_before_the_object_are_passed_over():
    assert parse_line("  12.3 front-1 " + LINES[0]).event == "gateway started"


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(ConfigError):
        list(read_lines([tmp_path / "none.log"]))
