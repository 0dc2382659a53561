"""Slow start: how much this aggregator sends to a server that warms up. Types: `stepknot/interface.py`.

All instances together must not send a cold server so much that it falls over. Each one sends its fair part
of that, counted over any window of the rule's time and in the work of each class. Nothing is saved up: what
idle instances had saved, all would send at once.
"""

from __future__ import annotations

import math
from collections.abc import Container

from stepknot.decisions.capsule import SERVER_SAMPLE_WEIGHT, Throttle
from stepknot.decisions.records import Capsule, ColdQuota, WorkEstimate
from stepknot.decisions.turn import Turn
from stepknot.interface import InstancesCounted

# Of what a cold server can bear: the rest is for chance, and for work unlike the mean.
COLD_UTILIZATION = 0.8
WORK_QUANTILE = 0.25  # share of responses that are quicker than what is taken for a part's work
WORK_SAMPLE_WEIGHT = SERVER_SAMPLE_WEIGHT / 4  # of a response in that estimate
ALL_CLASSES = ""  # the name under which the work of a part of any class is kept


class SlowStart:
    """Each instance's quota of a server that warms up, and the work of a part, by class."""

    __slots__ = ("_default_work", "_turn", "began_at", "instances", "quotas", "work")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn = turn
        self._default_work = throttle.unknown_mean
        self.began_at = math.inf  # this aggregator's first turn
        self.instances = turn.settings.instances  # that may be there: they share a cold server
        self.quotas: dict[str, ColdQuota] = {}  # by server
        self.work: dict[str, WorkEstimate] = {}  # by class, and of all classes

    def on_instances_counted(self, event: InstancesCounted) -> None:
        """Share what a cold server bears among this many instances from now on."""
        self.instances = max(event.instances, 1)

    def quota_of(self, server: str) -> ColdQuota:
        """The server's quota; a new one if none is kept."""
        return self.quotas.setdefault(server, ColdQuota())

    def forget_quotas(self, listed: Container[str]) -> None:
        """Forget the quotas of servers that are not listed and got nothing in the last window."""
        since = self._turn.now - self._turn.settings.rules.fall_time
        self.quotas = {
            server: quota
            for server, quota in self.quotas.items()
            if server in listed or (quota.spent and quota.spent[-1][0] > since)
        }

    def is_cold(self, capsule: Capsule) -> bool:
        """Whether the server warms up."""
        up_since = capsule.entry.up_since
        return up_since > 0 and self._turn.now - up_since < self._turn.settings.rules.cold_time

    def part_work(self, class_name: str) -> float:
        """What a part of this class costs a server, in seconds: by its class, else by all classes."""
        found = self.work.get(class_name) or self.work.get(ALL_CLASSES)
        return found.seconds if found else self._default_work

    def learn_work(self, class_name: str, seconds: float) -> None:
        """Learn from a response what a part costs.

        The estimate is of those that waited for little: a quarter of the responses is quicker. A mean would
        take a jam for work, and new servers would get least when they are needed most.
        """
        for name in (class_name, ALL_CLASSES):
            found = self.work.get(name)
            if found is None:
                found = self.work[name] = WorkEstimate(0, self._default_work)
            found.responses += 1
            step = max(WORK_SAMPLE_WEIGHT, 1 / found.responses)
            change = WORK_QUANTILE if seconds > found.seconds else WORK_QUANTILE - 1
            found.seconds *= math.exp(step * change)

    def spend(self, capsule: Capsule, class_name: str) -> None:
        """Count a part of this class against the quota, if the server is cold."""
        if self.is_cold(capsule):
            capsule.quota.spent.append((self._turn.now, self.part_work(class_name)))

    def refund(self, capsule: Capsule) -> None:
        """Take the last part back, which was not sent."""
        if self.is_cold(capsule):
            capsule.quota.spent.pop()

    def has_capacity(self, capsule: Capsule, class_name: str) -> bool:
        """Whether the server may get one more part of this class.

        Where the fair share is less than one part, so many of the instances have one part: each draws once,
        because to wait would be to draw again.
        """
        if not self.is_cold(capsule):
            return True
        now, rules, quota = self._turn.now, self._turn.settings.rules, capsule.quota
        if quota.draw is None:
            quota.draw = self._turn.random.random()
        age = max(now - capsule.entry.up_since, 0.0)
        capacity = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
        bearable = rules.fall_multiple * capacity * rules.fall_time
        fair_share = COLD_UTILIZATION * bearable / (capsule.entry.sharers or self.instances)
        spent = quota.spent
        while spent and spent[0][0] <= now - rules.fall_time:
            spent.popleft()
        left = fair_share - sum(work for _, work in spent)
        cost = self.part_work(class_name)
        # A process that just began may have sent its share already, in the life before.
        return now >= self.began_at + rules.fall_time and left + cost * quota.draw >= cost
