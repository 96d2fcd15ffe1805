"""What the gateway reads from and writes into messages, free of header names.

The names and formats are those of the platform that the gateway runs on; its
implementation of ``WireFormat`` translates them.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweeddock.gateway.records import Address
from knapweeddock.http1.messages import RequestHead, ResponseHead
from knapweeddock.ids import FailureDomainId, RegionId, ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What a client says about its request.

    Attributes:
        request_id: Identifier of the attempt, or "".
        budget_s: Seconds for which the client waits; None when it does not say.
        object_key: Object that the request concerns, or "".
    """

    request_id: str
    budget_s: float | None = None
    object_key: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Load that a server announces.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
    """

    running: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseFacts:
    """What a server says beside its response.

    Attributes:
        not_run: Whether it states that it did not run the request.
        misdirected: Whether another server was expected at its address.
        signed: Whether the response is marked as the server's own.
        load: Its load, if it announces one.
        server: Identifier of the server, if it names one.
        warmup_left_s: Seconds for which it stays cold, if it says so.
    """

    not_run: bool = False
    misdirected: bool = False
    signed: bool = False
    load: ReportedLoad | None = None
    server: ServerId | None = None
    warmup_left_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LookupQuery:
    """A client's question where to connect.

    Attributes:
        region: Its region, or "".
        failure_domain: Its failure domain, or "".
    """

    region: RegionId
    failure_domain: FailureDomainId


HeaderList = list[tuple[bytes, bytes]]


class WireFormat(ABC):
    """Translates messages of clients and servers."""

    @abstractmethod
    def request_facts(self, head: RequestHead) -> RequestFacts:
        """Read a client's request."""

    @abstractmethod
    def server_request(
        self, head: RequestHead, *, server: ServerId, remaining_s: float
    ) -> HeaderList:
        """Return the headers of a client's request that is sent to ``server``."""

    @abstractmethod
    def echoed(self, facts: RequestFacts) -> tuple[bytes, bytes] | None:
        """Return the header that a server's response repeats."""

    @abstractmethod
    def response_facts(self, head: ResponseHead) -> ResponseFacts:
        """Read a server's response."""

    @abstractmethod
    def client_response(self, head: ResponseHead) -> HeaderList:
        """Return the headers of a server's response that is sent to a client."""

    @abstractmethod
    def refusal(self, facts: RequestFacts | None, *, retry_after_s: float | None) -> HeaderList:
        """Return the headers of a response of the gateway's own."""

    @abstractmethod
    def lookup_query(self, head: RequestHead) -> LookupQuery | None:
        """Read a look-up, or return None when the request is none."""

    @abstractmethod
    def lookup_answer(self, addresses: list[Address], *, lifetime_s: float) -> bytes:
        """Return the body of the answer to a look-up."""

    @abstractmethod
    def is_ready_check(self, head: RequestHead) -> bool:
        """Whether the request asks if the gateway is ready."""
