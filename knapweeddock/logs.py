"""Logs as JSON lines, for structlog and for libraries that use ``logging``."""

import logging
import os
import sys
from typing import Any, TextIO

import msgspec
import structlog

VERBOSE_LOGGERS = ("hpack", "h2", "asyncio")
"""Libraries whose debug lines, several for each message, would hide all others."""

_encoder = msgspec.json.Encoder(enc_hook=repr)


class DroppingStream:
    """A text stream that never blocks: what the descriptor does not take is dropped.

    Attributes:
        dropped: Number of lines that were dropped.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it when the reader is too slow."""
        data = text.encode("utf-8", "replace")
        try:
            written = os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self.dropped += 1
            return len(text)
        if written < len(data):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; nothing is buffered."""


def configure_logs(
    *, level: str = "info", stream: TextIO | DroppingStream | None = None, **fields: str
) -> None:
    """Send all logs of the process to ``stream`` as one JSON object per line.

    Args:
        level: Least severe level that is written.
        stream: Where lines go; standard error when it is not given.
        fields: Fields that every line carries, such as the VM.
    """
    stream = stream or sys.stderr
    threshold = logging.getLevelNamesMapping()[level.upper()]
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.dict_tracebacks,
    ]
    structlog.configure(
        processors=[*shared, structlog.processors.JSONRenderer(serializer=_serialize)],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=False,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[*shared, structlog.stdlib.add_logger_name],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], level=threshold, force=True)
    for name in VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(max(threshold, logging.INFO))
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**fields)


def _serialize(event: dict[str, Any], **_: Any) -> str:
    """Encode a line; values that JSON cannot hold appear as their repr."""
    return _encoder.encode(event).decode("utf-8")
