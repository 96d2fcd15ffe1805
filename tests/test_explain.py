"""Explanations: the same rules as the look-up and the request path."""

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.explain import Request, explain_request
from knapweeddock.model import decode_config
from tests.documents import document


def explained(*edits, client="10.1.2.3", host="shop.example", **request):
    config = decode_config(document(*edits))
    return explain_request(config, Request(client=client, host=host, **request))


def test_longest_block_and_nearest_sites_first():
    found = explained(method="POST", path="/buy/1?x=/")
    assert (found.block, found.place, found.nearest) == ("10.1.0.0/16", "s1", "s1")
    assert (found.service, found.request_class, found.idempotent) == ("shop", "buy", False)
    assert [(site.site, site.delay_ms) for site in found.sites] == [("w-s1", 0), ("w-n1", 12)]
    assert (found.sites[1].share, found.sites[1].shift_cap, found.sites[1].cap) == (2, 3, 5)
    assert found.code is ResultCode.OK


def test_block_of_a_region_and_link_cap():
    found = explained(client="10.9.0.1")
    assert (found.place, found.nearest) == ("north", "n1")
    assert [step.failure_domain for step in found.domains] == ["n1", "n2", "s1"]
    assert [site.link_cap for site in found.sites] == [None, 4]
    moved = explained(("drains/failure_domains", {"n1": True}), client="10.9.0.1")
    assert moved.nearest == "n2"
    assert moved.sites[0].usable == 0


def test_address_without_a_block():
    found = explained(client="192.0.2.1")
    assert (found.block, found.nearest) == (None, None)
    assert {site.delay_ms for site in found.sites} == {None}


def test_drains_reduce_what_is_usable():
    found = explained(("drains", {"servers": {"a": True, "c": False}, "sites": {"w-s1": True}}))
    assert [(site.usable, site.drains) for site in found.sites] == [
        (0, ["site w-s1"]),
        (3, ["server a"]),
    ]
    everything = {"sites": {"w-s1": True, "w-n1": True}}
    assert explained(("drains", everything)).code is ResultCode.NO_SITE


@pytest.mark.parametrize(
    ("request_fields", "code"),
    [
        ({"host": "other.example"}, ResultCode.UNKNOWN_SERVICE),
        ({"host": "Shop.Example:8080"}, ResultCode.OK),
        ({"method": "PUT"}, ResultCode.UNKNOWN_CLASS),
        ({"method": "POST", "path": "/view"}, ResultCode.UNKNOWN_CLASS),
    ],
)
def test_refusals(request_fields, code):
    assert explained(**request_fields).code is code


def test_malformed_address():
    with pytest.raises(ConfigError):
        explained(client="10.1")
