"""What those remember that carry a job's records out (invariant 6): the newest version, and nothing older after it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stepknot.leases.model import Held, Holds
from stepknot.leases.quorum import sound


@dataclass(slots=True)
class Fence:
    """Of one job. Until a majority of the voters told what they hold, nothing is taken: a process that just started
    remembers nothing, and an owner that is long gone may be the first that it hears."""

    majority: int
    newest: Held | None = None
    answers: dict[str, Holds] = field(default_factory=dict)
    ready: bool = False
    refused: int = 0

    def hear(self, voter: str, holds: Holds) -> bool:
        """A voter's word on what it holds. Whether something newer counts now."""
        self.answers[voter] = holds
        able = {each: self.answers[each] for each in sound(self.answers)}
        if len(able) < self.majority:
            return False
        found = counted(able, self.majority)
        newest = max((each.held for each in able.values()), key=lambda held: held.version)
        if newest.step and (found is None or found.version < newest.version):
            return False  # it may count, and the process before this one may have taken it: its owner will say
        self.ready = True
        return found is not None and self.admit(found)

    def admit(self, held: Held) -> bool:
        """A record that counts, by its owner's or the voters' word. Whether it is newer than all before."""
        if self.newest is not None and held.version <= self.newest.version:
            self.refused += held.version < self.newest.version
            return False
        self.newest = held
        return True


def counted(answers: Mapping[str, Holds], majority: int) -> Held | None:
    """The newest record that is known to count: its owner said so, or a majority holds just this one."""
    held = [each.held for each in answers.values()]
    found: Iterable[Held] = [
        each.held
        for each in answers.values()
        if each.held.step
        and (each.committed >= each.held.step or held.count(each.held) >= majority)
    ]
    return max(found, key=lambda each: each.version, default=None)
