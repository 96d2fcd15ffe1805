"""Conversion between the protobuf messages of an agent and ``state.NodeState``.

The configuration is sent as the JSON document that :func:`model.decode_config`
decodes. A message may omit the document if it equals that of the previous message.
"""

import msgspec

from knapweeddock.codes import ResultCode
from knapweeddock.errors import MessageError
from knapweeddock.ids import FailureDomainId, Incarnation, ServerId, SiteId, Version, ViewId, VmId
from knapweeddock.model import Config, decode_config
from knapweeddock.proto.knapweed_pb2 import MemberRecord, MemberView, NodeStateMessage
from knapweeddock.state import Member, MemberState, NodeState


def member_to_record(
    member: Member, *, heartbeat: int = 0, config_version: int = 0
) -> MemberRecord:
    """Return the record of ``member``, without the fields that its observer sets.

    Args:
        member: The member.
        heartbeat: Heartbeat counter of the record.
        config_version: Configuration version in force in the member's entry process.
    """
    return MemberRecord(
        vm=member.vm,
        failure_domain=member.failure_domain,
        entry_incarnation=member.incarnation,
        state=member.state.value,
        public_address=member.public_address,
        internal_address=member.internal_address,
        lending_address=member.lending_address,
        lookup_address=member.lookup_address,
        agent_address=member.agent_address,
        settled_views=dict(member.settled_views),
        load=member.load,
        heartbeat=heartbeat,
        config_version=config_version,
    )


def member_from_record(
    record: MemberRecord, *, suspected: bool = False, down: bool = False
) -> Member:
    """Return the member that ``record`` describes.

    Args:
        record: The member's own record.
        suspected: Whether the observer suspects the member.
        down: Whether there is evidence that the incarnation has terminated.

    Raises:
        MessageError: The record has no VM or an unknown state.
    """
    if not record.vm:
        raise MessageError("member record: vm is empty; a VM id is required")
    try:
        state = MemberState(record.state)
    except ValueError:
        allowed = ", ".join(known.value for known in MemberState)
        raise MessageError(
            f"member record of {record.vm}: state is {record.state!r}; allowed: {allowed}"
        ) from None
    return Member(
        vm=VmId(record.vm),
        failure_domain=FailureDomainId(record.failure_domain),
        incarnation=Incarnation(record.entry_incarnation),
        state=state,
        public_address=record.public_address,
        internal_address=record.internal_address,
        lending_address=record.lending_address,
        lookup_address=record.lookup_address,
        agent_address=record.agent_address,
        settled_views={SiteId(site): ViewId(view) for site, view in record.settled_views.items()},
        load=record.load,
        config_version=Version(record.config_version),
        suspected=suspected,
        down=down,
    )


def state_to_message(
    state: NodeState,
    *,
    document: bytes | None = None,
    document_unchanged: bool = False,
    sequence: int = 0,
) -> NodeStateMessage:
    """Return the message that carries ``state``.

    Args:
        state: The snapshot.
        document: The merged configuration document as JSON. By default
            ``state.config`` is encoded.
        document_unchanged: Whether to omit the document because the previous
            message on the same stream carried it.
        sequence: Sequence number of the message on its stream.
    """
    if document_unchanged:
        document = b""
    elif document is None:
        document = msgspec.json.encode(state.config)
    members = [
        MemberView(
            member=member_to_record(member, config_version=member.config_version),
            suspected=member.suspected,
            down=member.down,
        )
        for member in state.members.values()
    ]
    return NodeStateMessage(
        config_version=state.config_version,
        document=document,
        members=members,
        leaving_servers=sorted(state.leaving_servers),
        document_unchanged=document_unchanged,
        sequence=sequence,
    )


def state_from_message(
    message: NodeStateMessage, *, previous: NodeState | None = None
) -> NodeState:
    """Return the snapshot that ``message`` carries.

    Args:
        message: A message of an agent.
        previous: Snapshot of the previous message on the same stream. It supplies
            the configuration if the document is unchanged, and the members that a
            partial message does not list.

    Raises:
        MessageError: The message is malformed, or omits a document that was not
            sent before.
    """
    members: dict[VmId, Member] = {}
    if message.members_partial:
        if previous is None:
            raise MessageError("node state: the first message on a stream has only partial members")
        members.update(previous.members)
        for vm in message.removed_members:
            members.pop(VmId(vm), None)
    for view in message.members:
        member = member_from_record(view.member, suspected=view.suspected, down=view.down)
        members[member.vm] = member
    return NodeState(
        config_version=Version(message.config_version),
        config=_decode_config(message, previous),
        members=members,
        leaving_servers=frozenset(ServerId(server) for server in message.leaving_servers),
    )


def with_newest_config(state: NodeState, current: NodeState | None) -> NodeState:
    """Return ``state``, with the configuration of ``current`` if that is newer.

    A process never goes back to a lower version, although an agent that has just
    started, or another agent that it fails over to, may send one.
    """
    if current is None or state.config_version >= current.config_version:
        return state
    return NodeState(
        config_version=current.config_version,
        config=current.config,
        members=state.members,
        leaving_servers=state.leaving_servers,
    )


def _decode_config(message: NodeStateMessage, previous: NodeState | None) -> Config:
    if message.document_unchanged:
        if previous is None or previous.config_version != message.config_version:
            raise MessageError(
                f"node state: document of version {message.config_version} is omitted "
                "but was not sent before"
            )
        return previous.config
    if not message.document:
        return Config()
    try:
        return decode_config(msgspec.json.decode(message.document, type=dict[str, object]))
    except msgspec.ValidationError as error:
        raise MessageError(f"node state: configuration document: {error}") from error
    except msgspec.DecodeError as error:
        raise MessageError(
            f"node state: configuration document is not JSON: {error}",
            code=ResultCode.MALFORMED_MESSAGE,
        ) from error
