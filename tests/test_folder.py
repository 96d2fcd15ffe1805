"""Merging a folder: guards against a wrong order and a wrong file in messages."""

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.folder import read_folder


def write(directory, **files: str):
    for name, text in files.items():
        stem, _, suffix = name.rpartition("_")
        (directory / f"{stem}.{suffix}").write_text(text)
    return directory


def problems_of(directory) -> list:
    with pytest.raises(ExceptionGroup) as raised:
        read_folder(directory)
    return list(raised.value.exceptions)


def test_later_names_win_and_origins_follow(tmp_path):
    write(
        tmp_path,
        b_jsonc='{"s": {"y": 2, "z": {"q": 1}}} // later',
        a_json='{"s": {"x": 1, "y": 1, "z": [1]}}',
        c_json5="{s: {x: null}}",
        d_txt="not read",
    )
    (tmp_path / ".hidden.json").write_text("{")
    folder = read_folder(tmp_path)
    assert folder.files == ["a.json", "b.jsonc", "c.json5"]
    assert folder.document == {"s": {"y": 2, "z": {"q": 1}}}
    assert folder.origin(("s", "y")) == "b.jsonc"
    assert folder.origin(("s", "z", "q", "missing")) == "b.jsonc"
    assert folder.origin(("s", "x")) == "a.json"
    assert folder.origin(()) == str(tmp_path)


def test_replaced_object_forgets_its_origins(tmp_path):
    """A message would otherwise name a file whose value is not in force."""
    write(tmp_path, a_json='{"s": {"x": 1}}', b_json='{"s": 2}', c_json='{"s": {"y": 1}}')
    folder = read_folder(tmp_path)
    assert folder.document == {"s": {"y": 1}}
    assert folder.origin(("s", "x")) == "c.json"


def test_null_must_remove_something(tmp_path):
    """A null for a mistyped key would leave the old value in force without notice."""
    write(tmp_path, a_json='{"s": {"x": 1}}', b_json='{"s": {"X": null}}')
    [problem] = problems_of(tmp_path)
    assert (problem.code, problem.file, problem.path) == (
        ResultCode.WRONG_TYPE,
        "b.json",
        ("s", "X"),
    )


def test_problems_of_all_files_are_reported_at_once(tmp_path):
    write(tmp_path, a_json="{", b_json='{"x": 1, "x": 2}', c_json='{"ok": 1}')
    (tmp_path / "d.json").write_bytes(b"\xff")
    assert [problem.code for problem in problems_of(tmp_path)] == [
        ResultCode.SYNTAX,
        ResultCode.DUPLICATE_KEY,
        ResultCode.UNREADABLE,
    ]


@pytest.mark.parametrize("name", ["empty", "missing"])
def test_folder_without_files(tmp_path, name):
    """An empty folder must not be taken for the wish to remove everything."""
    (tmp_path / "empty").mkdir()
    [problem] = problems_of(tmp_path / name)
    assert problem.code is ResultCode.UNREADABLE
