"""Answers of the platform's store to lists and watches, object by object.

The store holds what all its writers have put there. Content that cannot be decoded is marked as
such; the other objects of the same answer hold.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog

from knapweeddock.jsonsplit import split_elements, split_members
from knapweeddock.platform.values import DocumentError, Undecodable, field, optional

log = structlog.get_logger(__name__)

DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)
"""What is raised for JSON that cannot be decoded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedContent:
    """An object of the store.

    Attributes:
        name: Its name.
        spec: What its writer put into it, or ``Undecodable``.
        deleted: Whether it was removed.
    """

    name: str
    spec: object
    deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An answer of the store.

    Attributes:
        objects: Its objects; those without a readable name are left out.
        revision: Revision of the store.
        has_more: Whether the list has another page.
    """

    objects: list[NamedContent]
    revision: int
    has_more: bool = False


def decode_page(body: bytes) -> Answer:
    """Decode a page of a list.

    Raises:
        DocumentError: The answer is malformed as a whole.
    """
    page = _decode_answer(body, "items", _decode_object)
    return Answer(
        objects=_readable(field(page, "items", list), _listed),
        revision=field(page, "CurrentRev", int),
        has_more=optional(page, "HasMore", bool, False),
    )


def decode_events(body: bytes) -> Answer:
    """Decode the answer to a watch.

    Raises:
        DocumentError: The answer is malformed as a whole.
    """
    batch = _decode_answer(body, "events", _decode_event)
    return Answer(
        objects=_readable(optional(batch, "events", list, []), _changed),
        revision=field(batch, "CurrentRev", int),
    )


def _readable(contents: list[object], read: Callable[[object], NamedContent]) -> list[NamedContent]:
    """Return the objects of a list, without those that have no readable name."""
    found = []
    for content in contents:
        try:
            found.append(read(content))
        except DocumentError as error:
            log.warning("object without a readable name", reason=str(error))
    return found


def _listed(content: object) -> NamedContent:
    document = _mapping(content)
    name = field(_mapping(document.get("Metadata")), "Name", str)
    return NamedContent(name=name, spec=document.get("Spec"))


def _changed(content: object) -> NamedContent:
    event = _mapping(content)
    listed = _listed(event.get("Object"))
    deleted = optional(event, "Deleted", bool, False)
    return NamedContent(name=listed.name, spec=listed.spec, deleted=deleted)


def _mapping(value: object) -> Mapping[str, Any]:
    if isinstance(value, Undecodable):
        raise DocumentError(value.reason)
    if not isinstance(value, Mapping):
        raise DocumentError(f"{type(value).__name__} in place of an object")
    return value


# Decoding


def _decode_answer(
    body: bytes, list_name: str, decode_element: Callable[[bytes], object]
) -> Mapping[str, Any]:
    """Decode an answer at once, or element by element if that fails."""
    content = _decode(body)
    if not isinstance(content, Undecodable):
        return _mapping(content)
    try:
        members = split_members(body)
        elements = split_elements(members.pop(list_name, b"[]"))
    except ValueError as error:
        raise DocumentError(content.reason) from error
    parts: dict[str, object] = {name: _decode(part) for name, part in members.items()}
    parts[list_name] = [decode_element(element) for element in elements]
    return parts


def _decode(data: bytes) -> object:
    try:
        return msgspec.json.decode(data)
    except DECODING_ERRORS as error:
        return Undecodable(reason=str(error))


def _decode_object(data: bytes) -> object:
    return _decode_members(data, {"Metadata": _decode_metadata})


def _decode_event(data: bytes) -> object:
    return _decode_members(data, {"Object": _decode_object})


def _decode_metadata(data: bytes) -> object:
    return _decode_members(data, {})


def _decode_members(data: bytes, decoders: Mapping[str, Callable[[bytes], object]]) -> object:
    """Decode an object at once, or member by member if that fails."""
    content = _decode(data)
    if not isinstance(content, Undecodable):
        return content
    try:
        members = split_members(data)
    except ValueError:
        return content
    return {name: decoders.get(name, _decode)(part) for name, part in members.items()}
