import pytest

from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.platform.answers import decode_events, decode_page
from knapweeddock.platform.documents import decode
from knapweeddock.platform.values import DocumentError, Undecodable
from standins import documents

SURROGATE = rb'"\udcff"'


def page(*items: bytes) -> bytes:
    return b'{"items": [' + b",".join(items) + b'], "HasMore": true, "CurrentRev": 7}'


def item(name: bytes, spec: bytes) -> bytes:
    return b'{"Metadata": {"Name": "%s", "Finalizers": []}, "Spec": %s}' % (name, spec)


def test_page():
    answer = decode_page(page(item(b"a", b'{"Slots": 3}')))
    assert [(each.name, each.spec) for each in answer.objects] == [("a", {"Slots": 3})]
    assert answer.revision == 7 and answer.has_more


def test_content_that_cannot_be_decoded_is_marked_and_the_rest_holds():
    answer = decode_page(page(item(b"a", b"{}"), item(b"b", SURROGATE), item(b"c", b"[1]")))
    assert [each.name for each in answer.objects] == ["a", "b", "c"]
    assert [type(each.spec) for each in answer.objects] == [dict, Undecodable, list]
    assert answer.revision == 7 and answer.has_more


@pytest.mark.parametrize(
    "unnamed",
    [b"3", b"{}", b'{"Metadata": 3}', b'{"Metadata": {"Name": 3}}', item(rb"\udcff", b"{}")],
)
def test_object_without_a_readable_name_does_not_hide_the_others(unnamed):
    # One malformed object made every list of its kind fail.
    answer = decode_page(page(item(b"a", b"{}"), unnamed, item(b"c", b"{}")))
    assert [each.name for each in answer.objects] == ["a", "c"]


def test_field_beside_the_name_that_cannot_be_decoded_leaves_the_object_readable():
    odd = b'{"Metadata": {"Name": "b", "Finalizers": [%s]}, "Spec": {}}' % SURROGATE
    assert [(each.name, each.spec) for each in decode_page(page(odd)).objects] == [("b", {})]


def test_events():
    removed = b'{"Object": %s, "Deleted": true}' % item(b"a", SURROGATE)
    changed = b'{"Object": %s, "Deleted": false}' % item(b"b", SURROGATE)
    answer = decode_events(b'{"events": [%s, %s], "CurrentRev": 9}' % (removed, changed))
    assert [(each.name, each.deleted) for each in answer.objects] == [("a", True), ("b", False)]
    assert isinstance(answer.objects[1].spec, Undecodable)
    assert answer.revision == 9


@pytest.mark.parametrize(
    "body", [b"", b"null", b"[]", b"{", b'{"items": []}', b'{"items": 3, "CurrentRev": 1}', b"\xff"]
)
def test_answer_that_is_malformed_as_a_whole_is_refused(body):
    with pytest.raises(DocumentError):
        decode_page(body)


@pytest.mark.parametrize("depth", range(800, 1000, 20))
def test_content_of_any_depth_is_decoded_or_refused(depth):
    # Content that is just not too deep for the decoder may be too deep for an error message.
    spec = b'{"Zone": %s}' % (b"[" * depth + b"]" * depth)
    (found,) = decode_page(page(item(b"a", spec))).objects
    with pytest.raises(DocumentError):
        decode(Topic.SERVERS, found.name, found.spec, documents.ZONES)
