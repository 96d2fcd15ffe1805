import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweeddock.gateway.records import KeptEnd, KeptSuspect, ServerPhase
from knapweeddock.gateway.store.storeclient import Topic
from knapweeddock.ids import RequestDigest
from knapweeddock.platform.documents import decode, encode_gateway
from knapweeddock.platform.values import DocumentError
from standins import documents
from tests.gateway.support import make_gateway

ZONES = documents.ZONES


def test_configuration():
    rows = [
        documents.route_row("r1", "/a/", "safe"),
        documents.route_row("r2", "/b/", "unsafe", Timeout="2s", Priority=1),
        documents.route_row(
            "r3",
            "/c/",
            "download",
            AllowedRegions=["north"],
            WeightedServices=[{"Service": "x", "Weight": 90}, {"Service": "y", "Weight": 10}],
            Service=None,
        ),
    ]
    config = decode(Topic.CONFIGURATION, "main", documents.config("0000000c", rows), ZONES)
    assert config.version == 12
    first, second, third = config.routes
    assert first.idempotent and first.timeout_s == 1.5 and first.target_latency_s == 0.4
    assert not second.idempotent and second.timeout_s == 2.0 and second.priority == 1
    assert third.idempotent and third.bulk and third.regions == {"north"}
    assert [(part.service, part.weight) for part in third.services] == [("x", 90), ("y", 10)]
    assert config.services["ledger"].warmup_s == 3.0
    assert config.limits.idle_timeout_s == 15.0


def test_unknown_type_of_route_is_not_repeated():
    # Repeating a request of a type that is not known could run it twice.
    rows = [documents.route_row("r", "/a/", "odd")]
    config = decode(Topic.CONFIGURATION, "main", documents.config(rows=rows), ZONES)
    assert not config.routes[0].idempotent


def test_server():
    entry = decode(Topic.SERVERS, "i-1", documents.server(WarmupLeft="1500ms"), ZONES)
    assert entry.server == "i-1"
    assert entry.address == ("10.128.0.9", 8080)
    assert entry.region == "north"
    assert entry.warmup_left_s == 1.5
    assert entry.started_at_ms == 1790000000000
    assert entry.phase is ServerPhase.READY


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "odd"},
        {"State": 3},
        {"Address": None},
        {"Address": "nowhere"},
        {"Zone": "elsewhere"},
        {"Slots": 0},
        {"Slots": True},
        {"Slots": "3"},
        {"Service": None},
        {"born": "yesterday"},
        {"Slots": 10**20},
        {"born": 2**64},
    ],
)
def test_entries_of_other_writers_name_no_server(changes):
    with pytest.raises(DocumentError):
        decode(Topic.SERVERS, "i-1", documents.server(**changes), ZONES)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@given(
    topic=st.sampled_from([Topic.SERVERS, Topic.CONFIGURATION, Topic.GATEWAYS]),
    field=st.sampled_from([*documents.server(), *documents.config()]),
    value=json_values,
)
def test_any_content_is_decoded_or_refused(topic, field, value):
    # An unreadable entry must not end the process that reads it.
    spec = {**documents.server(), **documents.config(), field: value}
    try:
        decode(topic, "name", spec, ZONES)
    except DocumentError as error:
        assert str(error)


@given(value=json_values)
def test_any_document_is_decoded_or_refused(value):
    for topic in (Topic.SERVERS, Topic.CONFIGURATION, Topic.GATEWAYS):
        with pytest.raises(DocumentError):
            decode(topic, "name", value, ZONES)


def test_evacuation_names_a_failure_domain():
    assert decode(Topic.EVACUATIONS, "north-a", {}, ZONES) == "north-a"


def test_gateway_survives_encoding():
    entry = make_gateway("front-1", link_mbps=200.0)
    assert decode(Topic.GATEWAYS, "front-1", encode_gateway(entry), ZONES) == entry


def test_refused_requests_survive_encoding():
    suspect = KeptSuspect(
        digest=RequestDigest(b"d" * 16), ends=(KeptEnd(server="i-1", ended_at_ms=7),)
    )
    entry = make_gateway("front-1", suspects=(suspect,))
    assert decode(Topic.GATEWAYS, "front-1", encode_gateway(entry), ZONES) == entry


@pytest.mark.parametrize(
    "suspect", ["x", {"digest": "zz", "ends": {}}, {"digest": "00", "ends": {"i": "soon"}}, {}]
)
def test_refused_requests_that_cannot_be_read_leave_the_gateway_known(suspect):
    content = {**encode_gateway(make_gateway("front-1")), "suspects": [suspect]}
    assert decode(Topic.GATEWAYS, "front-1", content, ZONES) == make_gateway("front-1")


def test_gateway_of_an_earlier_version_is_known_without_its_bandwidth():
    content = encode_gateway(make_gateway("front-1", link_mbps=200.0))
    del content["link_mbps"]
    assert decode(Topic.GATEWAYS, "front-1", content, ZONES) == make_gateway("front-1")


@pytest.mark.parametrize("bandwidth", ["200", -1, True, float("nan"), float("inf")])
def test_gateway_with_an_absurd_bandwidth_is_refused(bandwidth):
    # A bandwidth that cannot be compared would leave the gateways without a common order.
    content = {**encode_gateway(make_gateway("front-1")), "link_mbps": bandwidth}
    with pytest.raises(DocumentError):
        decode(Topic.GATEWAYS, "front-1", content, ZONES)


def test_address_for_forwarded_requests_survives_encoding():
    entry = make_gateway("front-1", forwarding_address=("10.0.0.2", 83))
    content = encode_gateway(entry)
    assert decode(Topic.GATEWAYS, "front-1", content, ZONES) == entry
    # A gateway of an earlier version writes none, and gets no forwarded requests.
    del content["forwarding"]
    assert decode(Topic.GATEWAYS, "front-1", content, ZONES) == make_gateway("front-1")
    with pytest.raises(DocumentError):
        decode(Topic.GATEWAYS, "front-1", {**content, "forwarding": "somewhere"}, ZONES)
