"""The present turn of an aggregator and what all its parts share. Types: `stepknot/interface.py`."""

from __future__ import annotations

import random

from stepknot.interface import Action, Narrow, Settings

EPSILON = 1e-6  # weights add up to 1 and timers come due except for rounding


class Turn:
    """One call of `Aggregator.handle`: its time, its number, the actions so far.

    Also holds what never changes: the settings, the caller's rule on candidates and the seeded generator,
    which is the only source of chance.
    """

    __slots__ = ("actions", "narrow", "now", "number", "random", "settings")

    def __init__(self, settings: Settings, seed: int, narrow: Narrow | None) -> None:
        self.settings = settings
        self.narrow = narrow
        self.random = random.Random(seed)
        self.now = 0.0
        self.number = 0
        self.actions: list[Action] = []

    def begin(self, now: float) -> None:
        """Start the next turn."""
        self.now = now
        self.number += 1
        self.actions = []
