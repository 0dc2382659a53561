"""One planted defect: a piece of a source file, what replaces it, and the tests that must fail then."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    """A replacement in one source file that at least one of `tests` has to detect.

    `original` must occur exactly once in the file at `path`, which is relative to the root of the
    checkout, as are the paths in `tests` (pytest node identifiers). `invariant` is the number of
    the invariant that the defect breaks, where the package numbers its invariants.
    """

    path: str
    original: str
    replacement: str
    tests: tuple[str, ...]
    invariant: str = ""
