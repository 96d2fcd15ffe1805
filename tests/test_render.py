"""Text of reports: differences and members that operators act on."""

from knapweeddock.codes import ResultCode
from knapweeddock.ids import Version
from knapweeddock.render import MAX_PATCH_LINES, patch_lines, render
from knapweeddock.reports import ChangeReport, DiffReport, InForce, StatusReport


def test_patch_lines():
    patch = {"sites": {"a": {"cap": 3, "shares": {}}, "b": None}, "links": {"x->y": {"caps": [1]}}}
    assert list(patch_lines(patch)) == [
        "+ sites.a.cap = 3",
        "+ sites.a.shares = {}",
        "- sites.b",
        '+ links["x->y"].caps = [1]',
    ]


def test_long_patch_is_cut_with_a_hint():
    report = DiffReport(
        version=Version(7),
        patch={f"k{number}": number for number in range(MAX_PATCH_LINES + 1)},
        base_version=Version(3),
        others=None,
        warnings=["w"],
    )
    lines = list(render(report))
    assert lines[1] == "the changes since version 3 are no longer listed one by one"
    assert lines[-2:] == ["  ... (all differences with --json)", "warning: w"]
    assert len(lines) == MAX_PATCH_LINES + 5


def test_wait_without_members():
    """ "in force" must never be printed without evidence."""
    for in_force, reason in (
        (InForce(version=Version(1), error="e"), "  members unknown: e"),
        (InForce(version=Version(1)), "  no VM serves"),
    ):
        report = ChangeReport(
            code=ResultCode.NOT_IN_FORCE,
            version=Version(1),
            change_id=None,
            patch={},
            in_force=in_force,
        )
        lines = list(render(report))
        assert lines[-1] == reason
        assert not any(line.startswith("in force") for line in lines)


def test_status_without_platform():
    report = StatusReport(code=ResultCode.STORE_UNAVAILABLE, errors=["platform: down"])
    assert list(render(report)) == ["unavailable: platform: down"]
