"""The page for on-call engineers names every event and metric of the gateway."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
PACKAGES = ("gateway", "http1", "platform")
LEVELS = {"info", "warning", "error", "exception"}


def calls() -> list[ast.Call]:
    found = []
    paths = [ROOT / "knapweeddock" / "stalls.py"]
    for package in PACKAGES:
        paths += sorted((ROOT / "knapweeddock" / package).rglob("*.py"))
    for path in paths:
        tree = ast.parse(path.read_text())
        found += [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return found


def events() -> set[str]:
    """Return the first arguments of all calls of a logger."""
    found = set()
    for call in calls():
        function = call.func
        if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
            continue
        if isinstance(function.value, ast.Name) and function.value.id == "log":
            constants = [node for node in ast.walk(call.args[0]) if isinstance(node, ast.Constant)]
            found |= {
                node.value for node in constants if isinstance(node.value, str) and node.value
            }
    return found


def metrics() -> set[str]:
    source = (ROOT / "knapweeddock" / "gateway" / "metrics.py").read_text()
    return set(re.findall(r'"(knapweed_\w+)"', source))


@pytest.mark.parametrize("event", sorted(events()))
def test_event_is_documented(event):
    # Engineers search the logs by the names on the page.
    assert f"`{event}`" in PAGE


@pytest.mark.parametrize("metric", sorted(metrics()))
def test_metric_is_documented(metric):
    assert f"`{metric}`" in PAGE
