"""Slow start: limits the parts sent to a server that is warming up. Types: `stepknot/interface.py`.

All instances together must not overload a cold server. Each instance sends at most its fair share of what the
server can sustain, measured in work by class over any window of the rule's `fall_time`. Unused quota does not
accumulate: instances that had been idle could otherwise all spend it at once.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container

from stepknot.decisions.capsule import SERVER_SAMPLE_WEIGHT, Throttle
from stepknot.decisions.records import Capsule, ColdQuota, WorkEstimate
from stepknot.decisions.turn import Turn
from stepknot.interface import InstancesCounted

# Fraction of a cold server's sustainable load that is used. The rest allows for random variation and for
# parts whose work differs from the estimate.
COLD_UTILIZATION = 0.8
# A part's work is estimated as this quantile of the response times per call in flight.
WORK_QUANTILE = 0.25
WORK_SAMPLE_WEIGHT = SERVER_SAMPLE_WEIGHT / 4  # weight of one response in that estimate
ALL_CLASSES = ""  # key of the estimate over all classes


class SlowStart:
    """This instance's quotas for servers that are warming up, and the estimated work of a part by class."""

    __slots__ = (
        "_default_work",
        "_removed",
        "_turn",
        "began_at",
        "instances",
        "quotas",
        "work",
    )

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn = turn
        self._default_work = throttle.initial_mean
        self.began_at = math.inf  # time of this aggregator's first turn
        self.instances = turn.settings.instances  # maximum number that share a cold server
        self.quotas: dict[str, ColdQuota] = {}  # by server
        # Servers that were removed from the list, with the time, in that order.
        self._removed: deque[tuple[float, str]] = deque()
        self.work: dict[str, WorkEstimate] = {}  # by class, and one over all classes

    def on_instances_counted(self, event: InstancesCounted) -> None:
        """Set the number of instances that share a cold server's sustainable load."""
        self.instances = max(event.instances, 1)

    def quota_of(self, server: str) -> ColdQuota:
        """The server's quota; a new one if there is none."""
        return self.quotas.setdefault(server, ColdQuota())

    def on_server_removed(self, server: str) -> None:
        """The server left the list: its quota is kept while a part of it is within the last window."""
        if self._is_in_use(server):
            self._removed.append((self._turn.now, server))
        else:
            self.quotas.pop(server, None)

    def forget_expired_quotas(self, listed: Container[str]) -> None:
        """Delete the quotas of servers that were removed from the list at least one window ago."""
        removed, until = self._removed, self._turn.now - self._turn.settings.rules.fall_time
        while removed and removed[0][0] <= until:
            server = removed.popleft()[1]
            if server not in listed and not self._is_in_use(server):
                self.quotas.pop(server, None)

    def _is_in_use(self, server: str) -> bool:
        """Whether the server got a part within the last window."""
        quota = self.quotas.get(server)
        since = self._turn.now - self._turn.settings.rules.fall_time
        return quota is not None and bool(quota.spent) and quota.spent[-1][0] > since

    def is_cold(self, capsule: Capsule) -> bool:
        """Whether the server is warming up."""
        up_since = capsule.entry.up_since
        return up_since > 0 and self._turn.now - up_since < self._turn.settings.rules.cold_time

    def part_work(self, class_name: str) -> float:
        """The estimated work of a part in seconds: of its class, else over all classes, else the default."""
        found = self.work.get(class_name) or self.work.get(ALL_CLASSES)
        return found.seconds if found else self._default_work

    def learn_work(self, class_name: str, seconds: float) -> None:
        """Update the estimated work of a part with a response.

        The estimate is a low quantile, which is close to the work of parts that did not wait in a queue. A
        mean would count queueing as work, and new servers would get the fewest parts when load is highest.
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
        """Count a part of this class against the server's quota, if the server is cold."""
        if self.is_cold(capsule):
            capsule.quota.spent.append((self._turn.now, self.part_work(class_name)))

    def refund(self, capsule: Capsule) -> None:
        """Remove the last part from the quota again, because it was not sent."""
        if self.is_cold(capsule):
            capsule.quota.spent.pop()

    def has_capacity(self, capsule: Capsule, class_name: str) -> bool:
        """Whether the server may get one more part of this class.

        If the fair share includes a fraction of a part, that fraction of the instances gets a whole part.
        Each instance draws a random number for this only once: with a new draw each time, every instance
        would get the part after enough tries.
        """
        if not self.is_cold(capsule):
            return True
        now, rules, quota = self._turn.now, self._turn.settings.rules, capsule.quota
        if quota.draw is None:
            quota.draw = self._turn.random.random()
        age = max(now - capsule.entry.up_since, 0.0)
        capacity = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
        sustainable = rules.fall_multiple * capacity * rules.fall_time
        fair_share = COLD_UTILIZATION * sustainable / (capsule.entry.sharers or self.instances)
        _forget_expired(quota.spent, now - rules.fall_time)
        remaining = fair_share - sum(work for _, work in quota.spent)
        cost = self.part_work(class_name)
        # The previous process of a restarted instance may have sent its share within the same window.
        return now >= self.began_at + rules.fall_time and remaining + cost * quota.draw >= cost


def _forget_expired(spent: list[tuple[float, float]], until: float) -> None:
    """Delete the parts up to this time; they are in the order of their times."""
    expired = 0
    while expired < len(spent) and spent[expired][0] <= until:
        expired += 1
    del spent[:expired]
