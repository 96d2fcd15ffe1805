import pytest

from knapweeddock.platform.values import (
    DocumentError,
    address,
    address_text,
    endpoint,
    field,
    identifier,
    number,
    rows,
    seconds,
)


@pytest.mark.parametrize(
    ("text", "expected"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0), ("20s", 20.0)]
)
def test_durations(text, expected):
    assert seconds(text) == pytest.approx(expected)


@pytest.mark.parametrize("text", ["", "s", "5", "5m", "-1s", "1.2.3s", "nans", 5, None, True])
def test_malformed_durations_are_refused(text):
    with pytest.raises(DocumentError):
        seconds(text)


@pytest.mark.parametrize("text", ["", "host", "host:", ":80", "h:0", "h:70000", "h:x", 80, None])
def test_malformed_addresses_are_refused(text):
    with pytest.raises(DocumentError):
        address(text)


@pytest.mark.parametrize("text", ["9" * 400 + "s", "1" + "0" * 30 + "ms"])
def test_durations_that_no_time_can_be_added_to_are_refused(text):
    with pytest.raises(DocumentError):
        seconds(text)


@pytest.mark.parametrize("value", [2**63, -(2**63), 10**20, pytest.param(10**5000, id="long")])
def test_numbers_that_do_not_fit_into_messages_between_gateways_are_refused(value):
    with pytest.raises(DocumentError):
        field({"Slots": value}, "Slots", int)
    with pytest.raises(DocumentError):
        number({"Weight": value}, "Weight", 1.0)


@pytest.mark.parametrize(
    "text",
    [
        "\ufffd\ufffd127.0.0.9:8080",
        "server.example:80",
        "a" * 300 + ":80",
        "10.0.0.1\0:80",
        "10.0.0.1 :80",
        "10.0.0.256:80",
        "10.0.0.1:\u0668\u0660",
        pytest.param("10.0.0.1:" + "9" * 5000, id="long port"),
        "::1:80:x",
    ],
)
def test_addresses_to_which_no_connection_can_be_made_are_refused(text):
    # Connecting raised an error that ended the request without an answer, or looked up a name.
    with pytest.raises(DocumentError):
        address(text)


@pytest.mark.parametrize(
    ("text", "expected"), [("10.0.0.1:80", ("10.0.0.1", 80)), ("[::1]:8080", ("::1", 8080))]
)
def test_address(text, expected):
    assert address(text) == expected
    assert address_text(expected) == text


def test_endpoint_of_the_settings_may_be_a_name():
    assert endpoint("store.example:80") == ("store.example", 80)


@pytest.mark.parametrize("text", ["", "i 1", "i-1\r\nX: y", "\u00fc", "\u4e2d", "i\0", "i" * 16384])
def test_identifiers_that_no_header_can_carry_are_refused(text):
    with pytest.raises(DocumentError):
        identifier(text)


def test_truth_values_are_no_numbers():
    with pytest.raises(DocumentError):
        field({"Slots": True}, "Slots", int)
    with pytest.raises(DocumentError):
        number({"Weight": True}, "Weight", 1.0)


def test_rows_leave_out_what_is_null():
    table = {"Columns": ["a", "b"], "Rows": [[1, None], [2, 3]]}
    assert rows(table) == [{"a": 1}, {"a": 2, "b": 3}]


@pytest.mark.parametrize("table", [None, [], {"Columns": ["a"], "Rows": [[1, 2]]}, {"Rows": []}])
def test_malformed_tables_are_refused(table):
    with pytest.raises(DocumentError):
        rows(table)
