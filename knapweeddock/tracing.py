"""Traces by OpenTelemetry with W3C trace context in and out.

Each hop of a request has one span of its own: the handling in a process and
each call that it makes to the next one. With the exporter ``none`` nothing is
recorded, and incoming trace context is passed on unchanged.
"""

from collections.abc import Iterator, Mapping, MutableMapping
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import TextIO

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.propagators.textmap import DefaultGetter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import INVALID_SPAN, NonRecordingSpan, Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from knapweeddock.settings import TracingSettings

TRACE_HEADERS = frozenset({"traceparent", "tracestate"})
"""Names of the headers that carry trace context."""

MAX_QUEUED_SPANS = 2048
"""Spans that wait for export; more are dropped rather than held in memory."""

_NO_CONTEXT = Context()
"""Shared by all requests without trace context; contexts are immutable."""

_propagator = TraceContextTextMapPropagator()


class _HeaderGetter(DefaultGetter):
    """Reads headers one by one, since the mapping's keys keep their case."""

    def get(self, carrier: Mapping[str, str], key: str) -> list[str] | None:
        value = carrier.get(key)
        return None if value is None else [value]


_getter = _HeaderGetter()


class Tracing:
    """The spans of one process.

    Attributes:
        recording: Whether spans are recorded.
    """

    def __init__(
        self,
        *,
        settings: TracingSettings,
        process: str,
        vm: str = "",
        stream: TextIO | None = None,
    ) -> None:
        """Set up the exporter.

        Args:
            settings: Where spans go.
            process: Name of the binary.
            vm: The VM.
            stream: Where the console exporter writes; standard output by default.
        """
        self.recording = settings.exporter != "none"
        self.provider: TracerProvider | None = None
        if not self.recording:
            return
        resource = Resource.create({"service.name": process, "host.id": vm})
        sampler = ParentBased(TraceIdRatioBased(settings.sample_ratio))
        self.provider = TracerProvider(resource=resource, sampler=sampler)
        self.provider.add_span_processor(
            BatchSpanProcessor(_exporter(settings, stream), max_queue_size=MAX_QUEUED_SPANS)
        )
        self.tracer = self.provider.get_tracer("knapweeddock")

    def extract(self, headers: Mapping[str, str]) -> Context:
        """Return the trace context that incoming headers carry.

        Args:
            headers: Headers with case-insensitive names.
        """
        if "traceparent" not in headers:
            return _NO_CONTEXT
        return _propagator.extract(headers, context=Context(), getter=_getter)

    def inject(self, span: Span, headers: MutableMapping[str, str]) -> None:
        """Write the context of ``span`` into the headers of an outgoing request."""
        if span is INVALID_SPAN:
            return
        context = trace.set_span_in_context(span, _NO_CONTEXT)
        _propagator.inject(headers, context=context)

    def span(self, name: str, kind: SpanKind, parent: Context) -> AbstractContextManager[Span]:
        """Record a hop while the body of the ``with`` statement runs.

        Args:
            name: What is done, without identifiers.
            kind: Whether a request is handled or sent.
            parent: Context of the hop before.
        """
        if self.recording:
            return self._recorded(name, kind, parent)
        if not parent:
            return nullcontext(INVALID_SPAN)
        return nullcontext(NonRecordingSpan(trace.get_current_span(parent).get_span_context()))

    @contextmanager
    def _recorded(self, name: str, kind: SpanKind, parent: Context) -> Iterator[Span]:
        span = self.tracer.start_span(name, context=parent, kind=kind)
        try:
            yield span
        except Exception as error:
            span.record_exception(error)
            raise
        finally:
            span.end()

    def context_of(self, span: Span) -> Context:
        """Return the context whose current span is ``span``."""
        if span is INVALID_SPAN:
            return _NO_CONTEXT
        return trace.set_span_in_context(span, _NO_CONTEXT)

    def close(self) -> None:
        """Export what is queued and stop; blocks for at most the exporter's timeout."""
        if self.provider is not None:
            self.provider.shutdown()


def _exporter(settings: TracingSettings, stream: TextIO | None) -> SpanExporter:
    if settings.exporter == "otlp":
        return OTLPSpanExporter(endpoint=settings.endpoint, timeout=5)
    options = {} if stream is None else {"out": stream}
    return ConsoleSpanExporter(formatter=lambda span: span.to_json(indent=None) + "\n", **options)
