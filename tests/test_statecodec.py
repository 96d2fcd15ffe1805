"""Node state messages: guards against lost fields and invalid messages."""

import pytest

from knapweeddock.errors import MessageError
from knapweeddock.model import BackendServer, Config, RequestClass, Service, Site
from knapweeddock.proto.knapweed_pb2 import NodeStateMessage
from knapweeddock.state import Member, MemberState, NodeState
from knapweeddock.statecodec import state_from_message, state_to_message


def make_state():
    classes = {
        "read": RequestClass(methods=["GET"], path_prefix="/", idempotent=True, pool="accounts")
    }
    site = Site(
        pool="accounts",
        failure_domain="d1",
        servers={"s1": BackendServer(address="127.0.0.1:1")},
        shares={"d2": 1},
    )
    member = Member(
        vm="vm1",
        failure_domain="d1",
        incarnation="i1",
        state=MemberState.LEAVING,
        public_address="127.0.0.1:2",
        internal_address="127.0.0.1:3",
        lending_address="127.0.0.1:4",
        settled_views={"accounts-d1": "ab"},
        load=0.5,
        suspected=True,
        down=True,
    )
    return NodeState(
        config_version=7,
        config=Config(
            services={"ledger": Service(hosts=["ledger"], classes=classes)},
            sites={"accounts-d1": site},
        ),
        members={"vm1": member},
        leaving_servers=frozenset({"s1", "s2"}),
    )


def test_round_trip_keeps_every_field():
    """Guards against a field that is lost between an agent and a local process."""
    message = NodeStateMessage.FromString(state_to_message(make_state()).SerializeToString())
    assert state_from_message(message) == make_state()


def test_unchanged_document_comes_from_the_previous_message():
    """Guards against an empty configuration after a message without a document."""
    message = state_to_message(make_state(), document_unchanged=True)
    assert message.document == b""
    assert state_from_message(message, previous=make_state()) == make_state()


def test_unchanged_document_without_previous_message_is_rejected():
    """Guards against serving with no services after a lost first message."""
    message = state_to_message(make_state(), document_unchanged=True)
    with pytest.raises(MessageError):
        state_from_message(message)


@pytest.mark.parametrize(
    "document", [b"{", b"[]", b'{"sites": 3}', b'{"services": {"a": {"hosts": "x"}}}']
)
def test_invalid_document_is_rejected_with_a_result_code(document):
    """Guards against a decode error that ends the subscription task of a local process."""
    with pytest.raises(MessageError) as caught:
        state_from_message(NodeStateMessage(config_version=1, document=document))
    assert caught.value.code == 501


def test_unknown_member_state_is_rejected():
    """Guards against treating an unknown state of a newer software version as serving."""
    message = state_to_message(make_state())
    message.members[0].member.state = "dozing"
    with pytest.raises(MessageError, match="allowed: joining"):
        state_from_message(message)
