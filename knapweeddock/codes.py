"""Numbered result codes, their meaning and how they are reported over HTTP.

``docs/result-codes.md`` is the table for operators; a test keeps both equal.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Outcome(Enum):
    """What a caller may conclude about the work it asked for."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Number of a result; the hundreds digit names the group."""

    OK = 0

    BAD_REQUEST = 101
    UNKNOWN_SERVICE = 102
    UNKNOWN_CLASS = 103
    DEADLINE_PASSED = 104
    KEY_MISSING = 105
    KEY_EXPIRED = 106
    KEY_MISMATCH = 107
    KEY_REVOKED = 108
    KEY_TABLE_FULL = 109
    QUEUE_FULL = 111
    WAIT_TOO_LONG = 112
    DRAINING = 113
    BODY_TOO_LARGE = 114
    HEADER_TOO_LARGE = 115
    GRANT_LAPSED = 116
    SHED = 117
    NO_SITE = 118
    NOT_READY = 119
    QUARANTINED = 120
    PEER_BUSY = 121

    SERVER_LOST = 201
    DEADLINE_DURING_RUN = 202
    ENTRY_LOST = 203
    OTHER_INCARNATION = 204
    INCOMPLETE_ANSWER = 205
    ANSWER_NOT_KEPT = 206
    KEY_FORGOTTEN = 207
    HANDLER_FAILED = 208

    SYNTAX = 301
    DUPLICATE_KEY = 302
    UNKNOWN_FIELD = 303
    WRONG_TYPE = 304
    OUT_OF_RANGE = 305
    UNKNOWN_REFERENCE = 306
    OVER_CAP = 307
    TOO_LARGE = 308
    CONFLICT = 309
    AMBIGUOUS = 310
    MISSING_FIELD = 311
    UNREADABLE = 312

    STORE_UNAVAILABLE = 401
    VERSION_CONFLICT = 402
    RATE_LIMITED = 403
    WRITE_OUTCOME_UNKNOWN = 404
    NOT_IN_FORCE = 405

    MALFORMED_MESSAGE = 501
    UNKNOWN_MESSAGE = 502
    PEER_UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class CodeInfo:
    """How one result code is reported.

    Attributes:
        http_status: Status of an HTTP answer that carries the code.
        outcome: What the caller may conclude about its work.
        meaning: One sentence for operators.
    """

    http_status: int
    outcome: Outcome
    meaning: str


def _not_run(http_status: int, meaning: str) -> CodeInfo:
    return CodeInfo(http_status=http_status, outcome=Outcome.NOT_RUN, meaning=meaning)


def _unknown(http_status: int, meaning: str) -> CodeInfo:
    return CodeInfo(http_status=http_status, outcome=Outcome.UNKNOWN, meaning=meaning)


CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(
        http_status=200, outcome=Outcome.COMPLETE, meaning="The whole answer was delivered."
    ),
    ResultCode.BAD_REQUEST: _not_run(400, "The request or one of its headers is malformed."),
    ResultCode.UNKNOWN_SERVICE: _not_run(404, "No service has this host name."),
    ResultCode.UNKNOWN_CLASS: _not_run(404, "No request class matches this method and path."),
    ResultCode.DEADLINE_PASSED: _not_run(504, "The deadline passed before the request was sent."),
    ResultCode.KEY_MISSING: _not_run(
        400, "A non-idempotent request lacks its key, incarnation or not-after header."
    ),
    ResultCode.KEY_EXPIRED: _not_run(
        409, "The not-after time has passed or is too far in the future."
    ),
    ResultCode.KEY_MISMATCH: _not_run(
        422, "The key was used before with a different request; this request was not run."
    ),
    ResultCode.KEY_REVOKED: _not_run(
        409, "The key was declared never to be started by an outcome query or a refusal."
    ),
    ResultCode.KEY_TABLE_FULL: _not_run(503, "The table of idempotency keys is full."),
    ResultCode.QUEUE_FULL: _not_run(503, "The queue of the pool is full."),
    ResultCode.WAIT_TOO_LONG: _not_run(
        503, "The expected wait for a slot exceeds the remaining time."
    ),
    ResultCode.DRAINING: _not_run(503, "The entry is stopping and takes no new requests."),
    ResultCode.BODY_TOO_LARGE: _not_run(413, "The request body exceeds the limit."),
    ResultCode.HEADER_TOO_LARGE: _not_run(431, "The request headers exceed the limit."),
    ResultCode.GRANT_LAPSED: _not_run(
        503, "The grant has lapsed or belongs to an earlier incarnation of the lender."
    ),
    ResultCode.SHED: _not_run(503, "The backend servers shed the request."),
    ResultCode.NO_SITE: _not_run(503, "No site can serve the pool."),
    ResultCode.NOT_READY: _not_run(503, "The process has no configuration yet."),
    ResultCode.QUARANTINED: _not_run(
        503, "Backend servers have ended while they ran the same request before."
    ),
    ResultCode.PEER_BUSY: _not_run(
        503, "The peer to which the request was forwarded handles too many of them."
    ),
    ResultCode.SERVER_LOST: _unknown(
        502, "The connection to the backend server was lost after the request was sent."
    ),
    ResultCode.DEADLINE_DURING_RUN: _unknown(504, "The deadline passed while the request ran."),
    ResultCode.ENTRY_LOST: _unknown(
        502, "The connection to the lending entry was lost after the request was sent."
    ),
    ResultCode.OTHER_INCARNATION: _unknown(
        409, "Not run by this entry; only the incarnation named in the request knows the key."
    ),
    ResultCode.INCOMPLETE_ANSWER: _unknown(502, "The backend server's answer was not complete."),
    ResultCode.ANSWER_NOT_KEPT: _unknown(
        409, "The request ran once; its answer was too large to keep for a repeated request."
    ),
    ResultCode.KEY_FORGOTTEN: _unknown(
        409, "The not-after time passed so long ago that the key is no longer remembered."
    ),
    ResultCode.HANDLER_FAILED: _unknown(
        500, "The process failed unexpectedly while it handled the request."
    ),
    ResultCode.SYNTAX: _not_run(400, "A file is not valid JSON with comments."),
    ResultCode.DUPLICATE_KEY: _not_run(400, "An object names the same key twice."),
    ResultCode.UNKNOWN_FIELD: _not_run(400, "A field is not known."),
    ResultCode.WRONG_TYPE: _not_run(400, "A value has the wrong type."),
    ResultCode.OUT_OF_RANGE: _not_run(400, "A value is outside its range."),
    ResultCode.UNKNOWN_REFERENCE: _not_run(400, "A name refers to an object that is not defined."),
    ResultCode.OVER_CAP: _not_run(400, "Guaranteed shares exceed the cap, or a cap the slots."),
    ResultCode.TOO_LARGE: _not_run(413, "A document, table or message exceeds its size limit."),
    ResultCode.CONFLICT: _not_run(409, "Another operator changed the configuration first."),
    ResultCode.AMBIGUOUS: _not_run(400, "Two definitions match the same requests or addresses."),
    ResultCode.MISSING_FIELD: _not_run(400, "A required field is missing."),
    ResultCode.UNREADABLE: _not_run(400, "A file or folder cannot be read."),
    ResultCode.STORE_UNAVAILABLE: _not_run(503, "The platform's object API is unavailable."),
    ResultCode.VERSION_CONFLICT: _not_run(412, "The object changed since it was read."),
    ResultCode.RATE_LIMITED: _not_run(429, "The platform's rate limit was reached."),
    ResultCode.WRITE_OUTCOME_UNKNOWN: _unknown(
        504, "The answer to a write was lost and could not be determined by reading back."
    ),
    ResultCode.NOT_IN_FORCE: CodeInfo(
        http_status=200,
        outcome=Outcome.COMPLETE,
        meaning="The change is accepted but was not in force on every VM within the wait.",
    ),
    ResultCode.MALFORMED_MESSAGE: _not_run(400, "A message of a peer cannot be decoded."),
    ResultCode.UNKNOWN_MESSAGE: _not_run(400, "A message of a peer has an unknown kind."),
    ResultCode.PEER_UNAVAILABLE: _not_run(503, "A peer process cannot be reached."),
}


def outcome_of(code: ResultCode) -> Outcome:
    """Return what a caller may conclude from ``code``."""
    return CODE_INFO[code].outcome


def exit_status(code: ResultCode) -> int:
    """Return the exit status of a command that ended with ``code``.

    The status is the group of the code (its hundreds digit), 0 for success.
    """
    return int(code) // 100
