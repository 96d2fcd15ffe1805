"""Client blocks: guards against a shorter prefix that wins and ranges that leak."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddock.blocks import BlockTable, parse_address
from knapweeddock.errors import ConfigError


def find(table: BlockTable, address: str) -> str | None:
    return table.find(parse_address(address)).location


def test_the_longest_prefix_wins_and_the_outer_one_resumes():
    table = BlockTable([("10.0.0.0/8", "a"), ("10.1.0.0/16", "b"), ("10.1.2.0/24", "c")])
    addresses = ["9.255.255.255", "10.0.0.0", "10.1.1.255", "10.1.2.3", "10.1.3.0", "11.0.0.0"]
    assert [find(table, address) for address in addresses] == [None, "a", "b", "c", "b", None]
    assert find(table, "10.255.255.255") == "a"


def test_edges_of_the_address_space():
    """The range after the last address has no start and must not wrap around."""
    table = BlockTable([("255.255.255.255/32", "last"), ("0.0.0.0/0", "all"), ("ff00::/8", "six")])
    assert find(table, "255.255.255.255") == "last"
    assert find(table, "0.0.0.0") == "all"
    assert find(table, "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff") == "six"
    assert find(table, "::1") is None


def test_ipv6_prefixes_longer_than_64_bits():
    table = BlockTable([("2001:db8::/32", "a"), ("2001:db8::8000:0:0:0/65", "b")])
    assert find(table, "2001:db8::1") == "a"
    assert find(table, "2001:db8::8000:0:0:1") == "b"
    assert find(table, "2001:db8:0:1::") == "a"


def test_mapped_addresses_are_ipv4():
    """Dual-stack sockets report IPv4 clients in this form."""
    assert find(BlockTable([("10.0.0.0/8", "a")]), "::ffff:10.1.2.3") == "a"


def test_a_malformed_prefix_does_not_take_the_others_away():
    table = BlockTable([("10.0.0.0/40", "a"), ("nonsense", "a"), ("10.0.0.0/8", "a")])
    assert find(table, "10.0.0.1") == "a"
    assert table.skipped == 2
    assert "10.0.0.0/40" in table.problems[0]


@pytest.mark.parametrize("text", ["", "10.0.0", "1.2.3.4.5", "host", "10.0.0.1/8", "::g", "\x00"])
def test_malformed_addresses_are_refused(text: str):
    with pytest.raises(ConfigError):
        parse_address(text)


def test_addresses_of_a_block_share_a_key():
    """The key decides which entry a client gets; neighbours should get the same one."""
    table = BlockTable([("10.0.0.0/24", "a"), ("10.0.1.0/24", "a")])
    keys = [table.find(parse_address(f"10.0.{n}.{host}")).key for n in (0, 1) for host in (1, 9)]
    assert keys[0] == keys[1] != keys[2] == keys[3]
    assert table.find(parse_address("8.8.8.8")).key == table.find(parse_address("8.8.8.9")).key


prefixes_v4 = st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)).map(
    lambda pair: ipaddress.ip_network(pair, strict=False)
)
prefixes_v6 = st.tuples(
    st.integers(0, 255).map(lambda n: (n << 120) | (n << 62) | n), st.integers(0, 128)
).map(lambda pair: ipaddress.ip_network((ipaddress.IPv6Address(pair[0]), pair[1]), strict=False))


def edges(network) -> list:
    """Return the first and the last address of a network and the one after it."""
    found = [network[0], network[-1]]
    if int(network[-1]) + 1 < 2**network.max_prefixlen:
        found.append(network[-1] + 1)
    # Mapped addresses are taken for IPv4, which has a test of its own.
    return [address for address in found if not getattr(address, "ipv4_mapped", None)]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.one_of(prefixes_v4, prefixes_v6), max_size=12, unique=True))
def test_equals_a_search_of_all_prefixes(networks):
    """The oracle is the definition: the longest of all prefixes that contain the address."""
    table = BlockTable((str(network), f"at-{network}") for network in networks)
    for network in networks:
        for address in edges(network):
            holding = [other for other in networks if address in other]
            best = max(holding, key=lambda other: other.prefixlen, default=None)
            expected = f"at-{best}" if best is not None else None
            assert find(table, str(address)) == expected
