"""Structured logs: one JSON line an event on standard error, by level."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

import structlog

DEBUG_EVENTS = {"call_sent", "query_ended"}  # one for each query: shown with --log-level debug
ERROR_EVENTS = {"task_failed", "endpoint_list_rejected", "subset_disabled"}


def make_log(level: str, **bound: object) -> Callable[..., None]:
    """Make the function that logs an event.

    Args:
        level: The lowest level that is written: debug, info or error.
        bound: Fields that each line has.

    Returns:
        A function that takes an event's name and its fields; the event's name decides its level.
    """
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
    info, error = log.info, log.error
    # Below the level the logger's own call is left out: there are some events for each query.
    debug = log.debug if level == "debug" else _write_nothing

    def note(event: str, **fields: object) -> None:
        (debug if event in DEBUG_EVENTS else error if event in ERROR_EVENTS else info)(
            event, **fields
        )

    return note


def _write_nothing(_event: str, **_fields: object) -> None:
    """Take an event that the level leaves out."""
