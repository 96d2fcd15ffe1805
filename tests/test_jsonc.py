"""JSON with comments: guards against lines that are lost or read as something else."""

import pytest

from knapweeddock import jsonc
from knapweeddock.codes import ResultCode


def problems_of(text: str | bytes) -> list:
    data = text if isinstance(text, bytes) else text.encode()
    with pytest.raises(ExceptionGroup) as raised:
        jsonc.parse(data, file="a.jsonc")
    return list(raised.value.exceptions)


def test_comments_and_trailing_commas():
    text = '// c\n{"a": 1, /* c */ b: [1, 2,], "c": {"d": 1.5e3},}\n'
    expected = {"a": 1, "b": [1, 2], "c": {"d": 1500.0}}
    assert jsonc.parse(text.encode(), file="a") == expected
    assert jsonc.parse(b'\xef\xbb\xbf{"a": "//x"}', file="a") == {"a": "//x"}


@pytest.mark.parametrize("comment", ["", "// forces the json5 parser\n"])
def test_doubled_key_is_an_error_with_its_places(comment):
    """A second line for the same key would silently replace the first one."""
    [problem] = problems_of(comment + '{\n  "a": {"cap": 1,\n    "cap": 2}, "b": {"cap": 3}}')
    assert problem.code is ResultCode.DUPLICATE_KEY
    first = 2 + len(comment.splitlines())
    assert f'"cap" twice in one object (line:column of this key: {first}:9, {first + 1}:5' in str(
        problem
    )


@pytest.mark.parametrize(
    ("text", "code", "place"),
    [
        ('{"a": 1\n "b": 2}', ResultCode.SYNTAX, "a.jsonc:2:2: "),
        ("", ResultCode.SYNTAX, "a.jsonc: "),
        ('{"a": NaN}', ResultCode.SYNTAX, "NaN is not a number"),
        ('{"a": 1e999}', ResultCode.SYNTAX, "too large for a number"),
        ("[" * 5000, ResultCode.SYNTAX, "nested too deeply"),
        ("[1]", ResultCode.WRONG_TYPE, "an object"),
        (b'{"a": "\xff"}', ResultCode.UNREADABLE, "UTF-8"),
        (b" " * (jsonc.MAX_FILE_BYTES + 1), ResultCode.TOO_LARGE, "bytes"),
    ],
)
def test_unusable_text(text, code, place):
    [problem] = problems_of(text)
    assert problem.code is code
    assert place in str(problem)
