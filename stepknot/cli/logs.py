"""Structured logs: a JSON line an event on standard error, quieter events left out below the level."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

import structlog

QUIET = {"call_sent", "query_ended"}  # one for each query: shown with --log-level debug
ERRORS = {"internal_error", "box_list_not_taken", "subset_off"}


def make_log(level: str, **bound: object) -> Callable[..., None]:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    log = structlog.get_logger().bind(**bound)
    debug, info, error = log.debug, log.info, log.error
    if level != "debug":  # not worth a call for each query

        def debug(event: str, **fields: object) -> None:
            return None

    def note(event: str, **fields: object) -> None:
        (debug if event in QUIET else error if event in ERRORS else info)(event, **fields)

    return note
