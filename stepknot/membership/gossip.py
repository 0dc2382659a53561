"""The queue of gossip updates.

Each changed record is sent once in each of several rounds. While many records change, each round goes to only one
member.
"""

from __future__ import annotations

import math


class GossipQueue:
    """The names whose records changed, and the number of rounds in which each is still to be sent.

    Above `storm_rate` updates a second, each update would reach each member many times. The fan-out is reduced to one
    then, and anti-entropy repairs what members have missed.
    """

    def __init__(self, rounds: int, storm_rate: int) -> None:
        self.rounds = rounds
        self.storm_rate = storm_rate  # updates a second
        self.rounds_left: dict[str, int] = {}
        # Number of updates, halved with each second since `counted_at`.
        self.decayed_count, self.counted_at = 0.0, 0.0

    def add(self, now: float, name: str) -> None:
        """Queue a changed record."""
        self.rounds_left[name] = self.rounds
        self.decayed_count = self.update_rate(now) + 1
        self.counted_at = now

    def replace_all(self, name: str, rounds: int) -> None:
        """Empty the queue and queue only this record, for this number of rounds."""
        self.rounds_left = {name: rounds}

    def update_rate(self, now: float) -> float:
        """Approximate number of updates that were queued in the last second."""
        return self.decayed_count * math.exp2(self.counted_at - now) if self.decayed_count else 0.0

    def fanout(self, now: float, max_fanout: int) -> int:
        """The number of members that a round is sent to."""
        return max_fanout if self.update_rate(now) <= self.storm_rate else 1

    def pick(self, max_updates: int) -> list[str]:
        """The queued names that have the most rounds left."""
        return sorted(self.rounds_left, key=lambda name: -self.rounds_left[name])[:max_updates]

    def mark_sent(self, names: list[str]) -> None:
        """Count one round as sent for each of these names."""
        for name in names:
            self.rounds_left[name] -= 1
            if self.rounds_left[name] <= 0:
                del self.rounds_left[name]
