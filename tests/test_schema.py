"""The walk over a document: formats, and what is left of a document with mistakes."""

import dataclasses
import typing

import pytest

from knapweeddock import model
from knapweeddock.model import Config, decode_config
from knapweeddock.schema import FORMATS, LIMITS, NOT_EMPTY, Walk, is_server_address
from tests.documents import document


@pytest.mark.parametrize(
    ("text", "good"),
    [
        ("127.0.0.1:80", True),
        ("[::1]:80", True),
        ("::1:80", False),
        ("127.0.0.1", False),
        ("127.0.0.1:65536", False),
        ("127.0.0.1:²", False),
        ("server:80", False),
        ("[server]:80", False),
    ],
)
def test_server_address(text, good):
    assert bool(is_server_address(text)) is good


def test_usable_parts_of_a_document_with_mistakes():
    """One unusable server must not hide the other objects from the checks."""
    walk = Walk(origin=lambda _: "f")
    edits = (("sites/w-n1/servers/a", 3), ("sites/w-s1/cap", "x"), ("links", []))
    config = decode_config(walk.usable(document(*edits), Config))
    assert len(walk.problems) == 3
    assert set(config.sites["w-n1"].servers) == {"b"}
    assert config.sites["w-s1"].cap is None
    assert config.links == {}


def test_every_number_has_a_limit_and_every_rule_a_field():
    """A number without a limit ends the check with a KeyError; a rule for no field is dead."""
    records = [kind for kind in vars(model).values() if dataclasses.is_dataclass(kind)]
    hints = {
        (kind, name): hint for kind in records for name, hint in typing.get_type_hints(kind).items()
    }
    numbers = {
        rule for rule, hint in hints.items() if {int, float} & {hint, *typing.get_args(hint)}
    }
    assert numbers == set(LIMITS)
    assert set(FORMATS) | set(NOT_EMPTY) <= set(hints)
