"""The base class of the program's exceptions; each package has its own under it in its `errors.py`."""

from __future__ import annotations


class StepknotError(Exception):
    """Any error that this program raises itself and that a caller may want to tell from a defect."""
