"""The base class of the program's exceptions; each package derives its own in its `errors.py`."""

from __future__ import annotations


class StepknotError(Exception):
    """Base of all errors that this program raises on purpose, so that callers can tell them from defects."""
