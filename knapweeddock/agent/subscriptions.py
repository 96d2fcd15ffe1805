"""Streams of node state to local processes and operators' tools."""

import asyncio

from knapweeddock.ids import VmId
from knapweeddock.proto.knapweed_pb2 import NodeStateMessage, SubscribeRequest
from knapweeddock.replication import ReplicationNode

MAX_STREAMS = 64
"""Largest number of concurrent streams. A VM has two local processes and serves a few
look-up daemons of other VMs."""


class Subscription:
    """Changes not yet sent to one subscriber.

    Attributes:
        role: Role given in the subscription request.
        accepts_partial: Whether messages after the first may carry only changed
            members.
        sent_version: Configuration version sent last.
    """

    def __init__(self, *, request: SubscribeRequest) -> None:
        self.role = request.role
        self.accepts_partial = request.accepts_partial
        self.sent_version = 0
        self._change_event = asyncio.Event()
        self._changed: set[VmId] = set()
        self._sequence = 0

    def notify(self, vms: set[VmId]) -> None:
        """Record a change of the state.

        Args:
            vms: VMs of the changed or removed members.
        """
        self._changed |= vms
        self._change_event.set()

    async def wait(self, timeout: float) -> None:
        """Wait for a change of the state, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._change_event.wait()
        except TimeoutError:
            return

    def next_message(self, node: ReplicationNode) -> NodeStateMessage:
        """Return the message that brings the subscriber up to date."""
        self._change_event.clear()
        changed = self._changed
        self._changed = set()
        views = node.members.views
        message = NodeStateMessage(
            config_version=node.history.version,
            leaving_servers=node.members.leaving_servers,
            sequence=self._sequence,
        )
        is_first = self._sequence == 0
        if not is_first and node.history.version == self.sent_version:
            message.document_unchanged = True
        else:
            message.document = node.history.encoded
        if is_first or not self.accepts_partial:
            message.members.extend(views.values())
        else:
            message.members_partial = True
            message.members.extend(views[vm] for vm in sorted(changed) if vm in views)
            message.removed_members.extend(vm for vm in sorted(changed) if vm not in views)
        self._sequence += 1
        self.sent_version = node.history.version
        return message


class Subscriptions:
    """The subscriptions of an agent.

    Attributes:
        active: Subscriptions with an open stream.
    """

    def __init__(self) -> None:
        self.active: set[Subscription] = set()

    def notify(self, vms: set[VmId]) -> None:
        """Notify all subscribers of a change of the state."""
        for subscription in self.active:
            subscription.notify(vms)
