"""HTTP interface of the look-up daemon."""

import dataclasses

import msgspec
from aiohttp import web

from knapweeddock.codes import CODE_INFO, ResultCode
from knapweeddock.errors import KnapweedError
from knapweeddock.lookup import Lookup
from knapweeddock.metrics import ProcessMetrics
from knapweeddock.metricsweb import MetricsHandler
from knapweeddock.state import Member
from knapweeddock.statusclient import MemberStatus, SystemStatus

RETRY_AFTER_MS = 500
"""Time after which a caller that got no entry should retry, in milliseconds. Members change
within seconds."""

MAX_PARAMETER_LENGTH = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorBody:
    """Body of an error response."""

    code: int
    name: str
    message: str
    retry_after_ms: int


class LookupHandlers:
    """HTTP request handlers of the look-up daemon."""

    def __init__(self, *, lookup: Lookup, metrics: ProcessMetrics) -> None:
        self.lookup = lookup
        self.metrics = metrics
        self.lookups = metrics.counter("knapweed_lookups_total", "Look-ups by result code.")
        self.config_version = metrics.gauge(
            "knapweed_config_version", "Version of the configuration that answers are based on."
        )

    def build_app(self) -> web.Application:
        """Return the application that handles look-ups."""
        app = web.Application(client_max_size=1024)
        app.router.add_get("/v1/lookup", self.handle_lookup)
        app.router.add_get("/v1/status", self.handle_status)
        return app

    def build_metrics_app(self) -> web.Application:
        """Return the application that exports metrics."""
        app = web.Application(client_max_size=1024)
        app.router.add_get("/metrics", self.handle_metrics)
        return app

    async def handle_lookup(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/lookup?service=S&client=IP``."""
        try:
            service = _query_parameter(request, "service")
            client = _query_parameter(request, "client")
            answer = self.lookup.answer(service, client)
        except KnapweedError as error:
            return self._error_response(error)
        self.lookups.inc({"code": str(int(ResultCode.OK))})
        return web.Response(
            body=msgspec.json.encode(answer),
            content_type="application/json",
            headers={"Cache-Control": f"max-age={answer.lifetime_ms // 1000}"},
        )

    async def handle_status(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/status``: return the members as known to this process."""
        state = self.lookup.state
        if state is None:
            error = KnapweedError("no state of an agent yet", code=ResultCode.NOT_READY)
            return self._error_response(error)
        status = SystemStatus(
            config_version=state.config_version,
            members=[_member_status(member) for member in state.members.values()],
        )
        return web.Response(body=msgspec.json.encode(status), content_type="application/json")

    def _error_response(self, error: KnapweedError) -> web.Response:
        status = CODE_INFO[error.code].http_status
        retry_after_ms = RETRY_AFTER_MS if status == 503 else 0
        self.lookups.inc({"code": str(int(error.code))})
        body = ErrorBody(
            code=int(error.code),
            name=error.code.name,
            message=str(error),
            retry_after_ms=retry_after_ms,
        )
        headers = {"Cache-Control": "no-store"}
        if retry_after_ms:
            headers["Retry-After"] = str(-(-retry_after_ms // 1000))
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=headers,
        )

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Handle ``GET /metrics``."""
        state = self.lookup.state
        self.config_version.set({}, state.config_version if state else 0)
        return await MetricsHandler(metrics=self.metrics).handle(request)


def _member_status(member: Member) -> MemberStatus:
    return MemberStatus(
        vm=member.vm,
        failure_domain=member.failure_domain,
        state=member.state,
        down=member.down,
        suspected=member.suspected,
        config_version=member.config_version,
        load=member.load,
    )


def _query_parameter(request: web.Request, name: str) -> str:
    values = request.query.getall(name, [])
    if len(values) != 1 or not 0 < len(values[0]) <= MAX_PARAMETER_LENGTH:
        raise KnapweedError(
            f"parameter {name!r} is required once, with 1 to {MAX_PARAMETER_LENGTH} characters",
            code=ResultCode.BAD_REQUEST,
        )
    return values[0]
