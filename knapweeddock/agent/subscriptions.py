"""Streams of node state to the local processes and to operators' tools."""

import asyncio

from knapweeddock.ids import VmId
from knapweeddock.proto.knapweed_pb2 import NodeStateMessage, SubscribeRequest
from knapweeddock.spread import SpreadNode

MAX_STREAMS = 64
"""Streams at a time; a VM has two local processes and a few look-ups of neighbours."""


class Subscription:
    """What one subscriber has not been told yet.

    Attributes:
        role: Role that the subscriber names.
        sent_version: Configuration version that was sent last.
    """

    def __init__(self, *, request: SubscribeRequest) -> None:
        self.role = request.role
        self.accepts_partial = request.accepts_partial
        self.sent_version = 0
        self._change_event = asyncio.Event()
        self._changed: set[VmId] = set()
        self._sequence = 0

    def notify(self, vms: set[VmId]) -> None:
        """Note that the state changed."""
        self._changed |= vms
        self._change_event.set()

    async def wait(self, timeout: float) -> None:
        """Return when the state changed, or after ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._change_event.wait()
        except TimeoutError:
            return

    def next_message(self, node: SpreadNode) -> NodeStateMessage:
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
    """All streams of an agent."""

    def __init__(self) -> None:
        self.active: set[Subscription] = set()

    def notify(self, vms: set[VmId]) -> None:
        """Tell all subscribers that the state changed."""
        for subscription in self.active:
            subscription.notify(vms)
