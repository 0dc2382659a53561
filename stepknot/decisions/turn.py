"""The current turn, which all modules of an aggregator share. Types: `stepknot/interface.py`.

A turn is the processing of one call of `Aggregator.handle`.
"""

from __future__ import annotations

import random

from stepknot.interface import Action, Narrow, Settings

EPSILON = 1e-6  # tolerance for rounding errors in sums of weights and in times


class Turn:
    """The current call of `Aggregator.handle`: its time, its number, and its actions so far.

    It also holds what stays the same over all turns: the settings, the caller's rule for candidates, and the
    seeded random generator, which is the only source of randomness.
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
