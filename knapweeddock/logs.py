"""Logs as JSON lines, for structlog and for libraries that use ``logging``."""

import logging
import sys
from typing import Any, TextIO

import msgspec
import structlog

VERBOSE_LOGGERS = ("hpack", "h2", "asyncio")
"""Libraries whose debug lines, several for each message, would hide all others."""

_encoder = msgspec.json.Encoder(enc_hook=repr)


def configure_logs(*, level: str = "info", stream: TextIO | None = None, **fields: str) -> None:
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
