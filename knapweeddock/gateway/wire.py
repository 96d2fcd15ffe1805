"""Metadata of requests and responses, and the interface that maps it to headers.

Header names and formats are specific to the platform that the gateway runs on; the
platform's package implements ``WireFormat``.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweeddock.gateway.records import Address
from knapweeddock.http1.messages import RequestHead, ResponseHead
from knapweeddock.ids import FailureDomainId, RegionId, ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata of a client's request.

    Attributes:
        request_id: Identifier that the client gave to this request, or "". A retry by
            the client is another request.
        timeout_s: Time in seconds for which the client waits; None when not specified.
        object_key: Key of the object that the request is about, or "".
        caller: Who sends the request, as far as servers can tell from its headers.
    """

    request_id: str
    timeout_s: float | None = None
    object_key: str = ""
    caller: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Load that a server reports in a response.

    Attributes:
        running: Number of requests that the server is running, not counting the one that
            it responds to.
        waiting: Number of requests in its queue.
    """

    running: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """Metadata of a server's response.

    Attributes:
        not_run: Whether the server states that it did not run the request.
        misdirected: Whether the request was meant for another server.
        signed: Whether the response has the header that marks it as the server's own.
        load: Load of the server, if reported.
        server_id: Identifier of the server, if reported.
        warmup_left_s: Time in seconds for which the server stays cold, if reported.
        leaving: Whether the server announces that it leaves.
        pause_s: Time in seconds for which the server asks this gateway to send nothing;
            None unless it turned the request away and asked for a pause.
        limit_per_s: Requests per second that the server takes from all gateways together;
            None if it names no limit.
    """

    not_run: bool = False
    misdirected: bool = False
    signed: bool = False
    load: ReportedLoad | None = None
    server_id: ServerId | None = None
    warmup_left_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LookupQuery:
    """A client's look-up of the gateways to connect to.

    Attributes:
        region: Region of the client, or "".
        failure_domain: Failure domain of the client, or "".
    """

    region: RegionId
    failure_domain: FailureDomainId


HeaderList = list[tuple[bytes, bytes]]
"""Header names and values in the order in which they are sent."""


class WireFormat(ABC):
    """Reads and writes the headers and look-ups of a platform."""

    @abstractmethod
    def parse_request(self, head: RequestHead) -> RequestMetadata:
        """Return the metadata of a client's request."""

    @abstractmethod
    def forwarded_request_headers(
        self, head: RequestHead, *, server_id: ServerId | None, remaining_s: float
    ) -> HeaderList:
        """Return the headers with which a client's request is forwarded.

        Args:
            head: Request line and headers from the client.
            server_id: Identifier of the server that the request is sent to; None if a peer is
                to choose one.
            remaining_s: Time in seconds until the request times out.
        """

    @abstractmethod
    def echoed_header(self, metadata: RequestMetadata) -> tuple[bytes, bytes] | None:
        """Return the header that a server's response has to echo.

        Returns:
            Lower-case name and value, or None if the request has nothing to echo.
        """

    @abstractmethod
    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a server's response."""

    @abstractmethod
    def forwarded_response_headers(
        self, head: ResponseHead, metadata: RequestMetadata
    ) -> HeaderList:
        """Return the headers with which a server's response is sent on.

        Args:
            head: Status line and headers from the server.
            metadata: Metadata of the request, which the response has to name.
        """

    @abstractmethod
    def error_headers(
        self, metadata: RequestMetadata | None, *, retry_after_s: float | None
    ) -> HeaderList:
        """Return the headers of an error response of the gateway itself.

        Args:
            metadata: Metadata of the request, if it could be read.
            retry_after_s: Time in seconds after which the client may retry a request
                that was rejected; None for all other errors.
        """

    @abstractmethod
    def parse_lookup(self, head: RequestHead) -> LookupQuery | None:
        """Return the look-up that a request asks for; None if it is no look-up."""

    @abstractmethod
    def encode_lookup_response(self, addresses: list[Address], *, ttl_s: float) -> bytes:
        """Return the body of a look-up response.

        Args:
            addresses: Addresses of the gateways that the client may use.
            ttl_s: Time in seconds for which the response may be cached.
        """

    @abstractmethod
    def is_readiness_check(self, head: RequestHead) -> bool:
        """Whether the request is a readiness check."""
