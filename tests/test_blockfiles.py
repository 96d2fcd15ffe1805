"""Block files: guards against lost lines, wrong order and messages without a place."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from knapweeddock import blockfiles, porcelain
from knapweeddock.blockfiles import format_prefix, parse_prefix, read_block_files
from knapweeddock.checks import parse_block
from knapweeddock.codes import ResultCode
from tests.documents import DOCUMENT, write_folder


def write_blocks(directory, **files: str):
    (directory / "blocks").mkdir(parents=True, exist_ok=True)
    for name, text in files.items():
        (directory / "blocks" / f"{name}.txt").write_text(text)
    return directory


def table_of(found) -> dict[str, str]:
    return {
        format_prefix(prefix, family.bits): family.names[location]
        for family in found.families
        for prefix, location in zip(family.prefixes, family.locations, strict=True)
    }


def test_later_file_overrides_and_both_families_are_sorted(tmp_path):
    write_blocks(
        tmp_path,
        b="10.0.0.0/8 s1 # moved\n\n2001:db8::/32 n1",
        a="# first\n10.0.0.0/8\tn1\n9.0.0.0/8 n1\n10.0.0.0/16 n2\n",
    )
    (tmp_path / "blocks" / ".hidden.txt").write_text("x")
    (tmp_path / "blocks" / "readme.md").write_text("x")
    found, problems = read_block_files(tmp_path)
    assert (found.files, problems, found.count) == (["a.txt", "b.txt"], [], 4)
    assert list(table_of(found).items()) == [
        ("9.0.0.0/8", "n1"),
        ("10.0.0.0/8", "s1"),
        ("10.0.0.0/16", "n2"),
        ("2001:db8::/32", "n1"),
    ]


@pytest.mark.parametrize(
    ("text", "line", "code"),
    [
        ("10.0.0.0/8", 1, ResultCode.SYNTAX),
        ("\n10.0.0.0/8 n1 n2", 2, ResultCode.SYNTAX),
        ("10.0.0.1/8 n1", 1, ResultCode.OUT_OF_RANGE),
        ("10.0.0.0/33 n1", 1, ResultCode.OUT_OF_RANGE),
        ("10.0.0.0 n1", 1, ResultCode.OUT_OF_RANGE),
        ("10.0.0.0/٨ n1", 1, ResultCode.OUT_OF_RANGE),
        ("10.0/16 n1", 1, ResultCode.OUT_OF_RANGE),
        ("2001:db8::1/32 n1", 1, ResultCode.OUT_OF_RANGE),
        ("10.0.0.0/8 n1\n#\n10.0.0.0/8 n1", 3, ResultCode.AMBIGUOUS),
    ],
)
def test_bad_lines_are_named(tmp_path, text, line, code):
    _, [problem] = read_block_files(write_blocks(tmp_path, a="9.0.0.0/8 n1", b=text))
    assert (problem.code, problem.file) == (code, f"blocks/b.txt:{line}")


def test_unreadable_files_and_empty_folder(tmp_path, monkeypatch):
    """A folder without files would remove all blocks."""
    (tmp_path / "blocks").mkdir()
    assert read_block_files(tmp_path)[1][0].code is ResultCode.UNREADABLE
    (tmp_path / "blocks" / "a.txt").write_bytes(b"\xff")
    assert read_block_files(tmp_path)[1][0].code is ResultCode.UNREADABLE
    monkeypatch.setattr(blockfiles, "MAX_PROBLEMS", 3)
    assert len(read_block_files(write_blocks(tmp_path, a="x\n" * 9))[1]) == 3
    monkeypatch.setattr(blockfiles, "MAX_LINES", 1)
    _, [problem] = read_block_files(write_blocks(tmp_path, a="9.0.0.0/8 n1\n8.0.0.0/8 n1"))
    assert problem.code is ResultCode.TOO_LARGE


def test_check_counts_tables_and_names_unknown_locations(tmp_path):
    folder = write_folder(tmp_path, DOCUMENT)
    write_blocks(folder, a="10.2.0.0/16 north\n10.3.0.0/16 n2")
    report = porcelain.check(folder)
    assert report.counts.client_blocks == 4
    assert report.files[-1] == "blocks/a.txt"
    write_blocks(folder, a="10.2.0.0/16 north\n10.3.0.0/16 n9\n10.4.0.0/16 n9", b="x")
    (folder / "z.json").write_text('{"block_chunks": {}}')
    with pytest.raises(ExceptionGroup) as raised:
        porcelain.check(folder)
    [problem] = raised.value.exceptions
    assert problem.file == "blocks/b.txt:1"
    (folder / "blocks" / "b.txt").unlink()
    with pytest.raises(ExceptionGroup) as raised:
        porcelain.check(folder)
    found = {(problem.code, problem.file) for problem in raised.value.exceptions}
    assert found == {
        (ResultCode.UNKNOWN_REFERENCE, "blocks/a.txt:2"),
        (ResultCode.UNKNOWN_FIELD, "z.json"),
    }


@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
@given(
    value=st.integers(0, 2**32 - 1),
    length=st.integers(0, 34),
    has_host_bits=st.booleans(),
    is_v6=st.booleans(),
)
def test_prefixes_agree_with_the_check_of_the_document(value, length, has_host_bits, is_v6):
    """A prefix must not be accepted in one place and refused in the other."""
    if not has_host_bits:
        value = value >> (32 - min(length, 32)) << (32 - min(length, 32))
    high, low = value >> 16, value & 0xFFFF
    dotted = ".".join(str(part) for part in value.to_bytes(4, "big"))
    text = f"{high:x}:{low:x}::/{length}" if is_v6 else f"{dotted}/{length}"
    network = parse_block(text)
    if network is None:
        with pytest.raises(ValueError, match="/"):
            parse_prefix(text)
    else:
        assert format_prefix(*parse_prefix(text)) == str(network)
