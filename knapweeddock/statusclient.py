"""Reads the members and their configuration versions from a look-up process."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from knapweeddock.errors import PeerUnavailable
from knapweeddock.ids import FailureDomainId, Version, VmId
from knapweeddock.state import MemberState

TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5

MAX_STATUS_BYTES = 4_000_000
"""Bound on an answer; 5,500 members of about 200 bytes each take 1.1 MB."""


@dataclass(frozen=True, kw_only=True)
class MemberStatus:
    """What a look-up process knows of one entry VM.

    Attributes:
        vm: The VM.
        failure_domain: Its failure domain.
        state: State of its entry process.
        down: Whether there is evidence that the process is gone.
        suspected: Whether its heartbeats are missing.
        config_version: Version of the configuration in force on it.
        load: Busy fraction of its slots.
    """

    vm: VmId
    failure_domain: FailureDomainId
    state: MemberState
    down: bool = False
    suspected: bool = False
    config_version: Version | None = None
    load: float = 0.0

    @property
    def serves(self) -> bool:
        """Whether a change has to be in force on this VM."""
        return self.state is MemberState.SERVING and not self.down


@dataclass(frozen=True, kw_only=True)
class SystemStatus:
    """Answer to ``GET /v1/status``.

    Attributes:
        config_version: Version in force on the answering VM.
        members: All members that it knows.
    """

    config_version: Version
    members: list[MemberStatus] = field(default_factory=list)


class StatusSource(ABC):
    """Where the operators' command learns the state of the system."""

    @abstractmethod
    async def fetch(self) -> SystemStatus:
        """Return the current status.

        Raises:
            PeerUnavailable: No look-up process answered.
        """


class MemoryStatusSource(StatusSource):
    """Answers for tests; the last one is repeated.

    Attributes:
        answers: Statuses, or errors to raise, in the order of the calls.
        calls: Number of calls.
    """

    def __init__(self, *, answers: Sequence[SystemStatus | PeerUnavailable]) -> None:
        self.answers = list(answers)
        self.calls = 0

    async def fetch(self) -> SystemStatus:
        """Return or raise the next answer."""
        answer = self.answers[min(self.calls, len(self.answers) - 1)]
        self.calls += 1
        if isinstance(answer, PeerUnavailable):
            raise answer
        return answer


class HttpStatusSource(StatusSource):
    """Asks look-up processes over HTTP, one after the other.

    Attributes:
        urls: Base URLs of look-up processes, the preferred one first.
    """

    def __init__(self, *, urls: Sequence[str]) -> None:
        self.urls = [url.rstrip("/") for url in urls]

    async def fetch(self) -> SystemStatus:
        """Return the status of the first look-up process that answers."""
        failures = []
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for url in self.urls:
                try:
                    return await self._fetch(session, url)
                except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                    failures.append(f"{url}: {str(error) or type(error).__name__}")
        raise PeerUnavailable("no look-up process answered: " + "; ".join(failures))

    async def _fetch(self, session: aiohttp.ClientSession, url: str) -> SystemStatus:
        async with session.get(f"{url}/v1/status") as response:
            if response.status != 200:
                raise aiohttp.ClientPayloadError(f"status {response.status}")
            body = bytearray()
            async for chunk in response.content.iter_chunked(64 * 1024):
                body += chunk
                if len(body) > MAX_STATUS_BYTES:
                    raise aiohttp.ClientPayloadError(f"more than {MAX_STATUS_BYTES} bytes")
            return msgspec.json.decode(bytes(body), type=SystemStatus)
