import zlib

import msgspec
import pytest

from knapweeddock.errors import MessageError
from knapweeddock.gateway.membership.regionfeed import Pulse
from knapweeddock.gateway.membership.relaymessages import LENGTH_PREFIX, Compressed, decode, encode
from knapweeddock.gateway.store.storecache import StoreCache, Update
from knapweeddock.gateway.store.storeclient import Snapshot, Topic
from tests.gateway.membership.test_relay import CONFIG, populated_cache
from tests.gateway.support import at, make_server


@pytest.mark.parametrize("topic", list(Topic))
def test_every_topic_survives_encoding(topic):
    update = populated_cache().full_update(topic, grace_s=0.0)
    assert decode(encode(update)[LENGTH_PREFIX.size :]) == update


def test_pulse_and_removal_survive_encoding():
    removal = Update(topic=Topic.SERVERS, whole=False, items={"a": None}, position=at(3))
    for message in (Pulse(connected=False), removal):
        assert decode(encode(message)[LENGTH_PREFIX.size :]) == message


def test_object_that_cannot_be_encoded_does_not_hide_the_changes_beside_it():
    # Subscribers take the next update after this one, and would use server "a" for good.
    items = {"a": None, "b": make_server("b", slots=10**20), "c": make_server("c")}
    update = Update(topic=Topic.SERVERS, whole=False, items=items, position=at(3))
    received = decode(encode(update)[LENGTH_PREFIX.size :])
    assert received == msgspec.structs.replace(update, items={**items, "b": None})


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x81\xa4type\xa5other", encode(CONFIG)[4:]])
def test_anything_else_is_refused(data):
    with pytest.raises(MessageError):
        decode(data)


def test_large_message_is_compressed():
    # All subscribers of a relay take the servers at once, over a link of a few Mbit/s.
    servers = {
        f"i-{number:08x}": make_server(f"i-{number:08x}", address=(f"10.0.{number % 250}.7", 8080))
        for number in range(500)
    }
    store_cache = StoreCache()
    store_cache.apply_snapshot(Topic.SERVERS, Snapshot(items=servers, position=at(3)), grace_s=0.0)
    update = store_cache.full_update(Topic.SERVERS, grace_s=0.0)
    data = encode(update)
    assert decode(data[LENGTH_PREFIX.size :]) == update
    assert len(data) < len(msgspec.msgpack.encode(update)) / 5


@pytest.mark.parametrize("spoil", [lambda data: data[:-5], lambda _: b"nonsense"])
def test_compressed_message_that_is_cut_or_spoilt_is_refused(spoil):
    data = zlib.compress(msgspec.msgpack.encode(Pulse(connected=True)))
    with pytest.raises(MessageError):
        decode(msgspec.msgpack.encode(Compressed(data=spoil(data))))


def test_message_that_is_compressed_twice_is_refused():
    inner = msgspec.msgpack.encode(Compressed(data=b""))
    with pytest.raises(MessageError):
        decode(msgspec.msgpack.encode(Compressed(data=zlib.compress(inner))))
