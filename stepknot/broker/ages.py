"""Ages in admin answers."""

from __future__ import annotations

import math

AGE_DIGITS = 3  # digits after the point, so ages are in whole milliseconds


def age(now: float, at: float) -> float | None:
    """Seconds from `at` to `now`; None if `at` is -inf, which stands for never."""
    return round(now - at, AGE_DIGITS) if at > -math.inf else None
