"""Fixtures of the tests on the users' platform."""

import io

import pytest
import structlog

from knapweeddock.logs import configure_logs


@pytest.fixture
def logs():
    """Return what the gateways of a test log, as lines of JSON."""
    stream = io.StringIO()
    configure_logs(stream=stream, vm="front-north-a-1")
    yield stream
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()
