"""Evidence that an entry process is gone: both of its ports refuse connections."""

import asyncio

from knapweeddock.agent.core import AgentCore
from knapweeddock.agent.ownmember import REPORT_TIMEOUT_S
from knapweeddock.agent.peers import split_address
from knapweeddock.errors import PeerUnavailable
from knapweeddock.ids import VmId
from knapweeddock.proto.knapweed_pb2 import MemberRecord
from knapweeddock.spread import rank_by_hash
from knapweeddock.state import MemberState

PROBE_TIMEOUT_S = 1.0
"""Longest time to connect; a port that does not answer is no evidence."""

PROBERS_PER_MEMBER = 3
"""Members of a domain that probe a silent one, so that the probes of one failure
do not grow with the domain."""


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
    """Return whether both the public and the internal port refuse connections."""
    if not member.public_address or not member.internal_address:
        return False
    if not await refuses_connections(member.public_address):
        return False
    return await refuses_connections(member.internal_address)


class EntryProber:
    """Probes the own entry when it is disconnected, and silent members of the domain."""

    def __init__(self, *, core: AgentCore) -> None:
        self.core = core

    async def probe_entries(self, *, is_disconnected: bool) -> None:
        """Probe every entry that may be gone.

        Args:
            is_disconnected: Whether the own entry closed its stream, which is
                a reason to probe at once.
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
        candidates = [*members.live_peers(), self.core.node.vm]
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
