"""Detection of terminated entry processes: both of their ports refuse connections."""

import asyncio

from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.localmember import REPORT_TIMEOUT_S
from knapweeddock.agent.peers import split_address
from knapweeddock.errors import PeerUnavailable
from knapweeddock.ids import VmId
from knapweeddock.proto.knapweed_pb2 import MemberRecord
from knapweeddock.replication import rank_by_hash
from knapweeddock.state import MemberState

PROBE_TIMEOUT_S = 1.0
"""Timeout of a connection attempt, in seconds. A timeout is not evidence of termination."""

PROBERS_PER_MEMBER = 3
"""Members of a domain that probe a member with overdue heartbeats. The bound keeps the
number of probes per failure independent of the domain's size."""


async def refuses_connections(address: str) -> bool:
    """Return whether ``address`` refuses connections."""
    try:
        host, port = split_address(address)
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (PeerUnavailable, TimeoutError, OSError):
        return False
    writer.close()
    return False


async def entry_refuses_connections(member: MemberRecord) -> bool:
    """Return whether both the public and the internal port of an entry refuse connections."""
    if not member.public_address or not member.internal_address:
        return False
    if not await refuses_connections(member.public_address):
        return False
    return await refuses_connections(member.internal_address)


class EntryProber:
    """Probes the local entry if it is disconnected, and members with overdue heartbeats."""

    def __init__(self, *, core: AgentCore) -> None:
        self.core = core

    async def probe_entries(self, *, is_disconnected: bool) -> None:
        """Probe every entry that may have terminated and mark those that have as down.

        Args:
            is_disconnected: Whether the local entry closed its stream, so that it is
                probed without waiting for its reports to be overdue.
        """
        now = self.core.clock.monotonic()
        is_report_overdue = self.core.local_member.entry_report_age_s(now) >= REPORT_TIMEOUT_S
        if is_disconnected or is_report_overdue:
            await self._probe_local_entry()
        for view in self.core.node.members.overdue_members():
            if self._is_prober(VmId(view.member.vm)):
                await self._probe(view.member)

    async def _probe_local_entry(self) -> None:
        entry = self.core.local_member.current_entry()
        if entry is not None:
            await self._probe(entry)

    def _is_prober(self, vm: VmId) -> bool:
        members = self.core.node.members
        candidates = [*members.responsive_peers(), self.core.node.vm]
        return self.core.node.vm in rank_by_hash(f"probe\0{vm}", candidates)[:PROBERS_PER_MEMBER]

    async def _probe(self, member: MemberRecord) -> None:
        if member.state == MemberState.LEFT.value or not member.entry_incarnation:
            return
        view = self.core.node.members.views.get(VmId(member.vm))
        is_current = view is None or view.member.entry_incarnation == member.entry_incarnation
        if not is_current or (view is not None and view.down):
            return
        if await entry_refuses_connections(member):
            self.core.mark_down(member, "the public and internal ports refuse connections")
