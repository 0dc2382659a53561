"""Processor time at two sizes, to tell costs that grow faster than they should from those that do not."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

Prepared = TypeVar("Prepared")

SMALL, LARGE = 200, 3200  # such as nodes of a fleet
RATIO = LARGE / SMALL
MAX_RATIO_IN_PROPORTION = (
    RATIO**1.5
)  # between a cost in proportion and one that grows with the square
MAX_RATIO_OF_CONSTANTS = RATIO**0.5  # between a cost that is the same and one in proportion
REPEATS = 3


def processor_time(run: Callable[[Prepared], object], prepare: Callable[[], Prepared]) -> float:
    """Seconds of the fastest of some runs, each with what was prepared for it before."""
    times = []
    for _ in range(REPEATS):
        prepared = prepare()
        begun = time.thread_time()
        run(prepared)
        times.append(time.thread_time() - begun)
    return min(times)
