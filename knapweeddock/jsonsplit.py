"""Splits JSON into its members or elements without decoding these.

Text that follows JSON's grammar may still not be decodable: single surrogates, bytes that are no
UTF-8, numbers out of range, nesting deeper than the interpreter's stack. Splitting looks at
strings and brackets only and does not recurse, so what is sound beside such a part can be
decoded by itself.
"""

import re
from collections.abc import Iterator

TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)
"""Strings, brackets and commas; between them are colons, numbers, words and white space."""

MEMBER = re.compile(rb'"(?P<name>(?:[^"\\]|\\.)*)"\s*:\s*(?P<value>.*)', re.DOTALL)
"""A member of an object: its name and its value."""

OPENING = (b"[", b"{")
CLOSING = (b"]", b"}")


def split_members(data: bytes) -> dict[str, bytes]:
    """Return the values of an object, still encoded, by name.

    Names are as they are written: escapes in them are not resolved.

    Raises:
        ValueError: The data is no object.
    """
    members: dict[str, bytes] = {}
    for member in _split(data, b"{", b"}"):
        name, value = _split_name(member)
        members[name] = value
    return members


def split_elements(data: bytes) -> list[bytes]:
    """Return the elements of an array, still encoded.

    Raises:
        ValueError: The data is no array.
    """
    return list(_split(data, b"[", b"]"))


def _split(data: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what stands between the commas of the outermost brackets."""
    data = data.strip()
    if not (data.startswith(opening) and data.endswith(closing)):
        raise ValueError(f"JSON does not begin with {opening.decode()} and end with its pair")
    depth = 0
    start = 1
    for token in TOKENS.finditer(data):
        match token.group():
            case bracket if bracket in OPENING:
                depth += 1
            case bracket if bracket in CLOSING:
                depth -= 1
            case b"," if depth == 1:
                yield data[start : token.start()].strip()
                start = token.end()
    if depth != 0:
        raise ValueError("JSON has brackets without their pair")
    last = data[start:-1].strip()
    if last:
        yield last


def _split_name(member: bytes) -> tuple[str, bytes]:
    found = MEMBER.fullmatch(member)
    if found is None:
        raise ValueError("JSON has a member without a name")
    return found["name"].decode(errors="replace"), found["value"]
