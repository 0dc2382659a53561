"""The queue of gossip updates: a changed record is sent in a few rounds, to fewer members where many change at once."""

from __future__ import annotations

import math


class GossipQueue:
    """Names whose records changed, with the rounds that are left for each.

    In a storm, which is more than `storm_rate` updates a second, an update would reach each member many times. Then the
    fan-out is one, and anti-entropy finds what is missed.
    """

    def __init__(self, rounds: int, storm_rate: int) -> None:
        self.rounds = rounds
        self.storm_rate = storm_rate  # updates a second
        self.rounds_left: dict[str, int] = {}
        self.recent, self.recent_at = 0.0, 0.0  # decaying count of updates, and when it held

    def add(self, now: float, name: str) -> None:
        """Take a changed record."""
        self.rounds_left[name] = self.rounds
        self.recent = self.update_rate(now) + 1
        self.recent_at = now

    def replace_all(self, name: str, rounds: int) -> None:
        """Send nothing but this record, in so many rounds."""
        self.rounds_left = {name: rounds}

    def update_rate(self, now: float) -> float:
        """Updates of about the last second."""
        return self.recent * math.exp2(self.recent_at - now) if self.recent else 0.0

    def fanout(self, now: float, max_fanout: int) -> int:
        """To how many members a round goes."""
        return max_fanout if self.update_rate(now) <= self.storm_rate else 1

    def pick(self, max_updates: int) -> list[str]:
        """The names that were sent in the fewest rounds."""
        return sorted(self.rounds_left, key=lambda name: -self.rounds_left[name])[:max_updates]

    def mark_sent(self, names: list[str]) -> None:
        """Count a round for these names."""
        for name in names:
            self.rounds_left[name] -= 1
            if self.rounds_left[name] <= 0:
                del self.rounds_left[name]
