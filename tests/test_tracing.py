import io
import json

from multidict import CIMultiDict
from opentelemetry.trace import SpanKind

from knapweeddock.settings import TracingSettings
from knapweeddock.tracing import Tracing

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def hop(tracing, headers):
    outgoing = CIMultiDict()
    with tracing.span("send", SpanKind.CLIENT, tracing.extract(headers)) as span:
        tracing.inject(span, outgoing)
    return outgoing


def test_context_passes_through_unchanged_without_an_exporter():
    """Guards against a trace that breaks at a process that records nothing."""
    tracing = Tracing(settings=TracingSettings(), process="entry")
    outgoing = hop(tracing, CIMultiDict({"Traceparent": PARENT, "tracestate": "a=1"}))
    assert outgoing == {"traceparent": PARENT, "tracestate": "a=1"}
    assert hop(tracing, CIMultiDict({"traceparent": "junk"})) == {}
    assert hop(tracing, CIMultiDict()) == {}


def test_each_hop_has_a_span_below_the_one_before():
    """Guards against spans that are not linked to the caller's trace."""
    stream = io.StringIO()
    settings = TracingSettings(exporter="console")
    tracing = Tracing(settings=settings, process="entry", stream=stream)
    outgoing = hop(tracing, CIMultiDict({"TRACEPARENT": PARENT}))
    tracing.close()
    (span,) = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert span["parent_id"] == "0xb7ad6b7169203331"
    assert span["context"]["trace_id"] == f"0x{TRACE_ID}"
    assert outgoing["traceparent"].split("-")[2] == span["context"]["span_id"][2:]
