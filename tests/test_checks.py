"""All checks: each mistake is found, named with its place, and none is invented."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock.checks import check_folder, config_of, parse_block
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.folder import Folder, read_folder
from tests.documents import DOCUMENT, document, write_folder

EXAMPLES = Path(__file__).parent.parent / "examples"
CLASS = DOCUMENT["services"]["shop"]["classes"]["view"]
SITE = DOCUMENT["sites"]["w-s1"]
TWIN = SITE | {"servers": {"t": {"address": "127.0.0.1:9"}}}


def check(content: dict):
    return check_folder(Folder(directory=Path("d"), files=[], document=content, origins={}))


def problems_of(content: dict) -> list:
    try:
        check(content)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


def test_valid_document():
    assert check(DOCUMENT).sites["w-s1"].servers["c"].slots == 2


@pytest.mark.parametrize(("name", "servers"), [("karoo-vaal", 40), ("registry", 45)])
def test_examples_are_valid(name, servers):
    """Operators copy the examples; one with a problem would stop them at the first step."""
    config = check_folder(read_folder(EXAMPLES / name))
    assert len(config.regions) == 3
    assert all(len(region.failure_domains) == 2 for region in config.regions.values())
    assert sum(len(site.servers) for site in config.sites.values()) == servers
    assert len(config.links) == 6


MISTAKES = [
    ("sites/w-s1/kap", 1, ResultCode.UNKNOWN_FIELD, "sites.w-s1.kap"),
    ("extra", {}, ResultCode.UNKNOWN_FIELD, "extra"),
    ("sites/w-s1/cap", "2", ResultCode.WRONG_TYPE, "sites.w-s1.cap"),
    ("sites/w-s1/cap", True, ResultCode.WRONG_TYPE, "sites.w-s1.cap"),
    ("sites/w-s1/cap", 1.0, ResultCode.WRONG_TYPE, "sites.w-s1.cap"),
    ("sites/w-s1/cap", None, ResultCode.WRONG_TYPE, "sites.w-s1.cap"),
    ("services/shop/hosts", ["a.example", None], ResultCode.WRONG_TYPE, "services.shop.hosts[1]"),
    ("sites/w-s1/cap", -1, ResultCode.OUT_OF_RANGE, "sites.w-s1.cap"),
    ("sites/w-s1/shift_start", 1.5, ResultCode.OUT_OF_RANGE, "sites.w-s1.shift_start"),
    ("sites/w-s1/servers", {}, ResultCode.OUT_OF_RANGE, "sites.w-s1.servers"),
    ("sites/w-s1/servers/c/address", "c:80", ResultCode.OUT_OF_RANGE, "servers.c.address"),
    ("sites/w-s1/servers/c/address", "127.0.0.1:0", ResultCode.OUT_OF_RANGE, "servers.c.address"),
    ("regions/a b", {"failure_domains": ["x"]}, ResultCode.OUT_OF_RANGE, 'regions["a b"]'),
    ("services/shop/hosts", ["Shop.example"], ResultCode.OUT_OF_RANGE, "services.shop.hosts[0]"),
    ("services/shop/classes/view/methods", ["get"], ResultCode.OUT_OF_RANGE, "view.methods[0]"),
    ("services/shop/classes/buy/path_prefix", "buy", ResultCode.OUT_OF_RANGE, "buy.path_prefix"),
    ("services/shop/classes/buy/path_prefix", "/knapweed/x", ResultCode.OUT_OF_RANGE, "buy.path"),
    ("services/shop/classes/buy/streaming", True, ResultCode.OUT_OF_RANGE, "buy.streaming"),
    ("services/shop/classes/buy/service_time_ms", 9000, ResultCode.OUT_OF_RANGE, "buy.service"),
    ("services/shop/classes/buy/pool", "wrk", ResultCode.UNKNOWN_REFERENCE, "classes.buy.pool"),
    ("sites/w-s1/failure_domain", "s9", ResultCode.UNKNOWN_REFERENCE, "w-s1.failure_domain"),
    ("sites/w-n1/shares", {"n9": 1}, ResultCode.UNKNOWN_REFERENCE, "sites.w-n1.shares.n9"),
    ("sites/new", TWIN | {"pool": "spare"}, ResultCode.UNKNOWN_REFERENCE, "sites.new.pool"),
    ("links/north->south/caps", {"wrk": 1}, ResultCode.UNKNOWN_REFERENCE, ".caps.wrk"),
    ("links/north->east", {}, ResultCode.UNKNOWN_REFERENCE, 'links["north->east"]'),
    ("links/north-south", {}, ResultCode.OUT_OF_RANGE, "links.north-south"),
    ("links/north->north", {}, ResultCode.OUT_OF_RANGE, 'links["north->north"]'),
    ("sites/w-n1/cap", 7, ResultCode.OVER_CAP, "sites.w-n1.cap"),
    ("sites/w-n1/shift_cap", 6, ResultCode.OVER_CAP, "sites.w-n1.shift_cap"),
    ("sites/w-n1/shares", {"n1": 3, "n2": 3}, ResultCode.OVER_CAP, "sites.w-n1.shares"),
    ("sites/w-n1/shares", {"n2": 2, "s1": 2}, ResultCode.OVER_CAP, "sites.w-n1.shares"),
    ("links/south->north", {"caps": {"work": 1}}, ResultCode.OVER_CAP, "caps.work"),
    ("services/shop/classes/again", CLASS, ResultCode.AMBIGUOUS, "classes.again"),
    ("services/other", DOCUMENT["services"]["shop"], ResultCode.AMBIGUOUS, "other.hosts[0]"),
    ("services/shop/hosts", ["a", "a"], ResultCode.AMBIGUOUS, "services.shop.hosts[1]"),
    ("regions/east", {"failure_domains": ["n1"]}, ResultCode.AMBIGUOUS, "failure_domains[0]"),
    ("regions/n1", {"failure_domains": ["e1"]}, ResultCode.AMBIGUOUS, "failure_domains[0]"),
    ("sites/w-s1/servers/a", {"address": "127.0.0.1:9"}, ResultCode.AMBIGUOUS, "servers.a"),
    ("sites/w-s1/servers/d", {"address": "127.0.0.1:20001"}, ResultCode.AMBIGUOUS, "servers.d"),
    ("sites/w-s1/pool", 7, ResultCode.WRONG_TYPE, "sites.w-s1.pool"),
    ("drains", {}, ResultCode.UNKNOWN_FIELD, "drains"),
]


@pytest.mark.parametrize(("path", "value", "code", "place"), MISTAKES)
def test_mistake_is_named_with_its_place(path, value, code, place):
    """Exactly one problem: a second one would send the operator to a wrong place."""
    [problem] = problems_of(document((path, value)))
    assert problem.code is code
    assert place in str(problem)
    assert problem.found
    assert problem.allowed
    assert f"({int(code)} {code.name})" in str(problem)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("sites/w-s1/shares", {"n1": 1, "n2": 1}),
        ("links/south->north", {"caps": {"work": 2}}),
        ("links/north->south/caps", {"work": 0}),
        ("regions/south/delay_ms", 2),
    ],
)
def test_allowed_value(path, value):
    assert problems_of(document((path, value))) == []


def test_two_sites_of_a_pool_in_a_domain():
    """Both would rank the same domain's slots apart, and the caps would not hold."""
    [problem] = problems_of(document(("sites/twin", TWIN)))
    assert problem.code is ResultCode.AMBIGUOUS


def test_missing_field():
    content = document()
    del content["sites"]["w-s1"]["pool"]
    [problem] = problems_of(content)
    assert problem.code is ResultCode.MISSING_FIELD
    assert problem.path == ("sites", "w-s1", "pool")


@pytest.mark.parametrize(
    ("prefix", "code"),
    [
        ("10.1.0.1/16", ResultCode.OUT_OF_RANGE),
        ("10.1.0.0", ResultCode.OUT_OF_RANGE),
        ("10.1.0.0/255.255.0.0", ResultCode.OUT_OF_RANGE),
        ("x/8", ResultCode.OUT_OF_RANGE),
        ("10.1.0.0/016", ResultCode.AMBIGUOUS),
        ("2001:db8:0::/48", ResultCode.AMBIGUOUS),
    ],
)
def test_client_blocks(prefix, code):
    content = document()
    content["client_blocks"]["2001:db8::/48"] = "n2"
    content["client_blocks"][prefix] = "n1"
    [problem] = problems_of(content)
    assert problem.code is code
    assert problem.path == ("client_blocks", prefix)


def test_unknown_place_of_a_block():
    content = document()
    content["client_blocks"]["10.9.0.0/16"] = "nowhere"
    [problem] = problems_of(content)
    assert problem.code is ResultCode.UNKNOWN_REFERENCE
    assert "one of n1, n2, north, s1, south" in problem.allowed


def test_all_problems_at_once_with_their_files(tmp_path):
    """An operator who gets one problem per run needs as many runs as mistakes."""
    content = document(("sites/w-s1/cap", -1), ("links/north->x", {}), ("drains", {"vms": {}}))
    with pytest.raises(ExceptionGroup) as raised:
        check_folder(read_folder(write_folder(tmp_path, content)))
    found = {(problem.file, problem.code) for problem in raised.value.exceptions}
    assert found == {
        ("sites.json", ResultCode.OUT_OF_RANGE),
        ("links.json", ResultCode.UNKNOWN_REFERENCE),
        ("drains.json", ResultCode.UNKNOWN_FIELD),
    }


def test_folder_without_a_required_part(tmp_path):
    """An incomplete copy of a folder must not remove all services."""
    content = document()
    del content["services"]
    del content["links"]
    with pytest.raises(ExceptionGroup) as raised:
        check_folder(read_folder(write_folder(tmp_path, content)))
    codes = {problem.code for problem in raised.value.exceptions}
    assert ResultCode.MISSING_FIELD in codes


def test_document_above_the_size_limit():
    content = document()
    for number in range(40_000):
        content["client_blocks"][f"10.{number // 256}.{number % 256}.128/25"] = "n1"
    assert [problem.code for problem in problems_of(content)] == [ResultCode.TOO_LARGE]


JUNK = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=3)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=2),
        st.dictionaries(st.sampled_from(["n1", "x->y", "pool", "servers"]), inner, max_size=2),
    ),
    max_leaves=5,
)
PLACES = st.sampled_from(sorted({case[0] for case in MISTAKES} | set(DOCUMENT) | {"services/x"}))


@settings(derandomize=True, deadline=None, max_examples=100)
@given(path=PLACES, junk=JUNK)
def test_no_document_breaks_the_checks(path, junk):
    """A crash of the checks would hide the problem from the operator."""
    for problem in problems_of(document((path, junk))):
        assert isinstance(problem.code, ResultCode)


def test_parse_block():
    assert parse_block("10.0.0.0/8").num_addresses == 2**24
    assert parse_block("10.0.0.0/33") is None


def test_document_of_the_platform():
    """A newer field must not stop the commands; a malformed document must not end in a crash."""
    assert config_of(document(("sites/w-s1/later", 1))).sites["w-s1"].pool == "work"
    with pytest.raises(ConfigError):
        config_of(document(("sites/w-s1/servers", 1)))
