"""The page of result codes: guards against a table that no longer matches the program."""

from pathlib import Path

from knapweeddock.codes import ResultCode
from knapweeddock.codesdoc import page

PAGE = Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_page_is_up_to_date():
    """Repair with ``python -m knapweeddock.codesdoc > docs/result-codes.md``."""
    assert PAGE.read_text() == page()


def test_every_code_has_a_row():
    for code in ResultCode:
        assert page().count(f"| {int(code)} | {code.name} |") == 1
