"""Values about slots: borrow requests, grants, borrowed slots and server reports."""

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
        rank: Rank of the slot in its site, from 0. Limits on remote use refer to it.
        address: ``host:port`` of the server.
    """

    site: SiteId
    server: ServerId
    index: int
    rank: int
    address: str


class SlotOutcome(Enum):
    """How the request on a slot ended, as evidence of the server's health.

    Attributes:
        ANSWERED: The server responded.
        FAILED: The server could not be reached, failed or was too slow.
        SHED: The server stated that it did not start the request.
        UNUSED: The end of the request is no evidence.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    UNUSED = "unused"


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowRequest:
    """A request of one entry to borrow slots that another entry owns.

    Attributes:
        borrower: VM that asks.
        failure_domain: Failure domain of the borrower.
        incarnation: Incarnation of the borrower's entry process.
        site: Site of the slots.
        wanted: Number of slots.
    """

    borrower: VmId
    failure_domain: FailureDomainId
    incarnation: Incarnation
    site: SiteId
    wanted: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A lease on slots of a lender, which runs the borrower's requests for one term.

    Attributes:
        grant_id: Identifier chosen by the lender.
        lender: VM that owns the slots.
        incarnation: Incarnation of the lender's entry process.
        site: Site of the slots.
        count: Number of slots, which is the number of concurrent requests.
        term_s: Length of the term in seconds.
        internal_address: ``host:port`` of the lender for the requests.
    """

    grant_id: GrantId
    lender: VmId
    incarnation: Incarnation
    site: SiteId
    count: int
    term_s: float
    internal_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A lender's response that it lends nothing now.

    Attributes:
        code: The reason.
        retry_after_s: Delay in seconds after which to ask again.
    """

    code: ResultCode
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowedSlot:
    """One borrowed slot, used for one request.

    Attributes:
        grant_id: Grant under which the slot is borrowed.
        lender: VM that owns the slot.
        incarnation: Incarnation of the lender's entry process.
        site: Site of the slot.
        internal_address: ``host:port`` of the lender for the request.
    """

    grant_id: GrantId
    lender: VmId
    incarnation: Incarnation
    site: SiteId
    internal_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LenderCandidate:
    """An entry that may be asked to lend slots of a site.

    Attributes:
        vm: The lender.
        lending_address: ``host:port`` of its lending service.
        site: The site.
    """

    vm: VmId
    lending_address: str
    site: SiteId


class ServerHealth(Enum):
    """Health of a backend server, as its health endpoint or its responses tell it."""

    OK = "ok"
    COLD = "cold"
    DRAINING = "draining"
    DRAINING_ANNOUNCED = "announced"
    """A response to a request announced that the server is draining."""
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A measurement of a backend server.

    Attributes:
        server: The server.
        health: Health of the server.
        in_flight: Number of running requests that it reports; None if unknown.
        measured_at: Monotonic time of the measurement in this process.
    """

    server: ServerId
    health: ServerHealth
    in_flight: int | None
    measured_at: float
