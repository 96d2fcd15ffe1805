import io
import json
import logging
import os

import pytest
import structlog

from knapweeddock.logs import DroppingStream, configure_logs


@pytest.fixture
def stream():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    configure_logs(level="info", stream=stream, vm="vm1")
    yield stream
    root.handlers[:] = handlers
    root.setLevel(level)
    structlog.contextvars.clear_contextvars()
    structlog.reset_defaults()


def lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_both_libraries_write_one_json_object_per_line(stream):
    """Guards against plain-text lines of libraries between the JSON lines."""
    structlog.get_logger().info("server set aside", server="s1", reason=ValueError("x"))
    logging.getLogger("aiohttp.server").warning("bad %s", "request\nline")
    own, foreign = lines(stream)
    assert (own["event"], own["server"], own["vm"]) == ("server set aside", "s1", "vm1")
    assert (own["level"], own["reason"]) == ("info", "ValueError('x')")
    assert (foreign["event"], foreign["vm"]) == ("bad request\nline", "vm1")
    assert foreign["logger"] == "aiohttp.server"


def test_level_is_honoured_and_tracebacks_are_structured(stream):
    """Guards against debug output in production and multi-line tracebacks."""
    logger = structlog.get_logger()
    logger.debug("not written")
    try:
        raise RuntimeError("broken")
    except RuntimeError:
        logger.exception("task ended")
    (line,) = lines(stream)
    assert line["exception"][0]["exc_value"] == "broken"


def test_stream_drops_what_a_full_pipe_does_not_take():
    # A reader that has stopped must not stop the process that logs.
    reading, writing = os.pipe()
    stream = DroppingStream(descriptor=writing)
    while not stream.dropped:
        stream.write("x" * 4096)
    assert stream.write("one more") == len("one more")
    assert stream.dropped == 2
    os.close(reading)
    os.close(writing)
