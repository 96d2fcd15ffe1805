"""Admission control: accepts a request as new, matches it with its key, or refuses it."""

from knapweeddock.attempts import Operation
from knapweeddock.classify import Classification, Classifier
from knapweeddock.codes import ResultCode
from knapweeddock.dispatchsettings import DispatchSettings
from knapweeddock.events import Arrival
from knapweeddock.idempotency import KeyRecord, KeyState, KeyTable
from knapweeddock.model import Config, RequestClass


class Admission:
    """Classifies requests and checks their idempotency keys and deadlines.

    The key is checked before anything else that can refuse a request: a refusal
    tells the caller that the operation was not run, and only the key table
    knows whether that is true.

    Attributes:
        config: Current configuration; None before the first one.
        classifier: Classifier for ``config``.
        draining: Whether new requests are refused because the process is stopping.
    """

    def __init__(self, *, settings: DispatchSettings, key_table: KeyTable) -> None:
        self.settings = settings
        self.key_table = key_table
        self.config: Config | None = None
        self.classifier: Classifier | None = None
        self.draining = False

    def update(self, config: Config) -> None:
        """Switch to ``config`` for all later requests."""
        if config is not self.config:
            self.config = config
            self.classifier = Classifier(config)

    def check(self, arrival: Arrival, now: float) -> Operation | KeyRecord | ResultCode:
        """Return a new operation, the record of a repeated key, or why the request is refused."""
        classification = self._classify(arrival)
        idempotent = _is_idempotent(classification)
        found = self._check_key(arrival, idempotent)
        if found is not None:
            return found
        if isinstance(classification, ResultCode):
            return classification
        if self.draining:
            return ResultCode.DRAINING
        timeout_s = self.timeout_s(arrival, classification.request_class)
        if not timeout_s > 0:
            return ResultCode.DEADLINE_PASSED
        if not idempotent and arrival.key is None and arrival.grant_use is None:
            return ResultCode.KEY_MISSING
        return self._new_operation(arrival, classification, now + timeout_s, now)

    def timeout_s(self, arrival: Arrival, request_class: RequestClass) -> float:
        """Return the time in seconds that a request may take.

        The caller's value is limited to the larger of the class's default and
        ``max_timeout_s``.
        """
        default_s = request_class.deadline_ms / 1000
        if arrival.timeout_s is None:
            return default_s
        return min(arrival.timeout_s, max(default_s, self.settings.max_timeout_s))

    def revoke_refused_key(self, arrival: Arrival, code: ResultCode) -> None:
        """Revoke the key of a new request that is refused.

        Without this, a copy of the request that was delayed on the network
        could start after the caller was told "not run". A full key table cannot
        record the revocation.
        """
        key = arrival.key
        if key is None or arrival.grant_use is not None or code not in REVOKING_CODES:
            return
        if _is_idempotent(self._classify(arrival)):
            return
        if self.key_table.check(key, arrival.fingerprint) is None:
            self.key_table.revoke(key, arrival.fingerprint)

    def _classify(self, arrival: Arrival) -> Classification | ResultCode:
        if self.classifier is None:
            return ResultCode.NOT_READY
        return self.classifier.classify(arrival.host, arrival.method, arrival.path)

    def _check_key(self, arrival: Arrival, idempotent: bool) -> KeyRecord | ResultCode | None:
        if arrival.key is None or arrival.grant_use is not None:
            return None
        found = self.key_table.check(arrival.key, arrival.fingerprint)
        if not idempotent:
            return found
        # The class may have been non-idempotent when the key was first used.
        may_have_run = isinstance(found, KeyRecord) and found.state is not KeyState.NOT_RUN
        return found if may_have_run else None

    def _new_operation(
        self, arrival: Arrival, classification: Classification, deadline: float, now: float
    ) -> Operation:
        """Return a new operation, or ``KEY_EXPIRED`` if its key has expired."""
        operation = Operation(
            request=arrival.request,
            service=classification.service,
            request_class=classification.request_class,
            deadline=deadline,
            start_by=deadline,
            grant_use=arrival.grant_use,
        )
        if arrival.key is None or classification.request_class.idempotent:
            return operation
        if arrival.grant_use is None:
            operation.key = arrival.key
        start_limit = now + self.key_table.remaining_s(arrival.key)
        if start_limit < deadline:
            operation.start_by = start_limit
            operation.expiry_code = ResultCode.KEY_EXPIRED
        # The key table refuses expired keys of direct callers. A request under a
        # grant may have been delayed on its way here until its key expired.
        return operation if operation.start_by > now else ResultCode.KEY_EXPIRED


def _is_idempotent(classification: Classification | ResultCode) -> bool:
    return isinstance(classification, Classification) and classification.request_class.idempotent


REVOKING_CODES = frozenset(
    {
        ResultCode.BAD_REQUEST,
        ResultCode.UNKNOWN_SERVICE,
        ResultCode.UNKNOWN_CLASS,
        ResultCode.DEADLINE_PASSED,
        ResultCode.NO_SITE,
        ResultCode.NOT_READY,
    }
)
"""Refusals whose cause may pass, so that a delayed copy could still be accepted.

``DRAINING`` is missing because it is final for the incarnation. Once a request is
admitted, ``Dispatcher._fail`` revokes its key.
"""
