"""Ages in admin answers."""

from __future__ import annotations

import math

AGE_DIGITS = 3  # milliseconds


def age(now: float, at: float) -> float | None:
    """Seconds since then; None if it never was."""
    return round(now - at, AGE_DIGITS) if at > -math.inf else None
