"""The current turn, which all modules of an aggregator share. Types: `stepknot/interface.py`.

A turn is the processing of one call of `Aggregator.handle`.
"""

from __future__ import annotations

import random

from stepknot.interface import Action, Narrow, Settings

EPSILON = 1e-6  # tolerance for rounding errors in sums of weights and in times


class Turn:
    """The current call of `Aggregator.handle`: its time, its number (from 1), and its actions so far.

    Each aggregator has one object of this class, and `begin` prepares it for the next call. The object also
    holds what all calls use: the settings, the caller's rule for candidates, and the random generator, which
    is seeded once and is the only source of randomness.
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
