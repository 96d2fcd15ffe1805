"""Messages about slots: requests to borrow, grants, loans and server reports."""

from dataclasses import dataclass
from enum import Enum

from knapweeddock.codes import ResultCode
from knapweeddock.ids import FailureDomainId, GrantId, Incarnation, ServerId, SiteId, VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """The right to run one request on a backend server.

    Attributes:
        site: Site of the server.
        server: The backend server.
        index: Number of the slot on its server, from 0.
        rank: Rank of the slot in its site, from 0.
        address: ``host:port`` of the server.
    """

    site: SiteId
    server: ServerId
    index: int
    rank: int
    address: str


class SlotOutcome(Enum):
    """How the use of a slot ended, as evidence of the server's health."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    UNUSED = "unused"


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowRequest:
    """A request of one entry to use slots that another entry owns.

    Attributes:
        borrower: VM that asks.
        failure_domain: Failure domain of the borrower.
        incarnation: Incarnation of the borrower's entry process.
        site: Site to use.
        wanted: Number of concurrent requests.
    """

    borrower: VmId
    failure_domain: FailureDomainId
    incarnation: Incarnation
    site: SiteId
    wanted: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A lender's promise to run a number of concurrent requests for one term.

    Attributes:
        grant: Identifier chosen by the lender.
        lender: VM that owns the slots.
        incarnation: Incarnation of the lender's entry process.
        site: Site to use.
        count: Concurrent requests.
        term_s: Length of the term in seconds.
        internal_address: ``host:port`` that takes the requests.
    """

    grant: GrantId
    lender: VmId
    incarnation: Incarnation
    site: SiteId
    count: int
    term_s: float
    internal_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A lender's answer that it lends nothing now.

    Attributes:
        code: Why.
        retry_after_s: When to ask again.
    """

    code: ResultCode
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """The use of one borrowed slot for one request."""

    grant: GrantId
    lender: VmId
    incarnation: Incarnation
    site: SiteId
    internal_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LenderCandidate:
    """An entry that may lend slots of a site.

    Attributes:
        vm: The lender.
        lending_address: ``host:port`` of its lending service.
        site: The site.
    """

    vm: VmId
    lending_address: str
    site: SiteId


class ServerHealth(Enum):
    """What a backend server says of itself."""

    OK = "ok"
    COLD = "cold"
    DRAINING = "draining"
    ANNOUNCED = "announced"
    """An answer to a request said that the server is leaving."""
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A measurement of a backend server.

    Attributes:
        server: The server.
        health: What it says of itself.
        in_flight: Requests that it reports; None when unknown.
        measured_at: Monotonic time of the measurement at this process.
    """

    server: ServerId
    health: ServerHealth
    in_flight: int | None
    measured_at: float
