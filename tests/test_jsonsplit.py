import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.jsonsplit import split_elements, split_members

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@given(value=st.lists(values, max_size=5), indent=st.sampled_from([None, 1]))
def test_elements_of_an_array_are_those_that_decoding_it_gives(value, indent):
    parts = split_elements(json.dumps(value, indent=indent).encode())
    assert [json.loads(part) for part in parts] == value


@given(
    value=st.dictionaries(st.text(), values, max_size=5),
    indent=st.sampled_from([None, 1]),
    ascii_only=st.booleans(),
)
def test_members_of_an_object_are_those_that_decoding_it_gives(value, indent, ascii_only):
    encoded = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
    parts = split_members(encoded.encode("utf-8", "surrogatepass"))
    assert [json.loads(part) for part in parts.values()] == list(value.values())


def test_what_cannot_be_decoded_stands_by_itself():
    data = b'{"a": ["\xff", 1e400, "\\udcff]"], "b": ' + b"[" * 5000 + b"]" * 5000 + b', "c":1}'
    members = split_members(data)
    assert list(members) == ["a", "b", "c"]
    assert split_elements(members["a"]) == [b'"\xff"', b"1e400", b'"\\udcff]"']
    assert members["c"] == b"1"


@pytest.mark.parametrize("data", [b"", b"[", b"[1]]", b"{1}", b'{"a" 1}', b"7", b'"x"', b"[[1]"])
def test_text_without_pairs_of_brackets_is_refused(data):
    with pytest.raises(ValueError):
        split_elements(data)
    with pytest.raises(ValueError):
        split_members(data)
