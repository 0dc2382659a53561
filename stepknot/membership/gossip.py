"""News that go round: each name's record is pushed in a few rounds, to fewer members where many come at once."""

from __future__ import annotations

import math


class News:
    """Names whose records changed, with the rounds that are left."""

    def __init__(self, rounds: int, storm: int) -> None:
        """`storm`: news a second beyond which what comes in through many hands would be sent many times for nothing;
        comparing tables finds what is missed."""
        self.rounds, self.storm = rounds, storm
        self.left: dict[str, int] = {}
        self.heard, self.heard_at = 0.0, 0.0

    def add(self, now: float, name: str) -> None:
        self.left[name] = self.rounds
        self.heard, self.heard_at = self.rate(now) + 1, now

    def only(self, name: str, rounds: int) -> None:
        self.left = {name: rounds}

    def rate(self, now: float) -> float:
        """News of about the last second."""
        return self.heard * math.exp2(self.heard_at - now) if self.heard else 0.0

    def fanout(self, now: float, most: int) -> int:
        return most if self.rate(now) <= self.storm else 1

    def pick(self, most: int) -> list[str]:
        """Those that went out least."""
        return sorted(self.left, key=lambda name: -self.left[name])[:most]

    def went(self, names: list[str]) -> None:
        for name in names:
            self.left[name] -= 1
            if self.left[name] <= 0:
                del self.left[name]
