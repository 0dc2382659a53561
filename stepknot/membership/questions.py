"""Whom a member asks about the silent ones that it watches, and how much of others' word is enough for a verdict.

No I/O and no clock; chance is handed in. Times in seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from stepknot.membership.model import MembershipSettings, State
from stepknot.membership.rings import Rings
from stepknot.membership.table import Table
from stepknot.membership.watched import Watched

BREADTH = 3  # times `helpers`: others that must have had nothing younger before one of many lost at once is held dead


class Questions:
    def __init__(
        self, settings: MembershipSettings, table: Table, rings: Rings, chance: random.Random
    ) -> None:
        self.settings, self.table, self.rings, self.random = settings, table, rings, chance

    def helpers_for(
        self, names: list[str], others: list[str], watched: Mapping[str, Watched]
    ) -> list[str]:
        """Whom of the others to ask about these: who told of a sign last, some that watch them, some that are heard
        here and so can answer, and the rest in turn; twice `helpers` at the most."""
        count = self.settings.helpers
        heard = [name for name in others if name in watched]
        tellers = dict.fromkeys(watched[name].teller for name in names)
        asked = dict.fromkeys(name for name in others if name in tellers)
        asked |= dict.fromkeys(self.watchers_of(names, others)[: count // 2])
        asked |= dict.fromkeys(self.random.sample(heard, min(len(heard), count // 2)))
        asked |= dict.fromkeys(self.in_turn(names, others, watched)[:count])
        return list(asked)[: 2 * count]

    def watchers_of(self, names: list[str], others: list[str]) -> list[str]:
        """Some of those that watch the silent ones: if anybody has a younger sign of life, it is they."""
        here, free = self.table.present, set(others)
        found = []
        for name in names:
            nearest, _ = self.rings.around(name, lambda each: here[each].state is State.SUSPECT)
            able = [each for each in nearest if each in free]
            found += self.random.sample(able, min(len(able), self.settings.helpers // 2))
        return found

    def in_turn(
        self, names: list[str], others: list[str], watched: Mapping[str, Watched]
    ) -> list[str]:
        """All others at random, those first that said nothing of these, or longest ago: whoever has a way to them is
        found within few rounds."""
        told_at: dict[str, float] = {}
        for name in names:
            for other, at in watched[name].told.items():
                told_at[other] = max(told_at.get(other, -math.inf), at)
        found = self.random.sample(others, len(others))
        found.sort(key=lambda other: told_at.get(other, -math.inf))
        return found


def confirmed(watched: Watched, settings: MembershipSettings, others: int, now: float) -> bool:
    """Whether enough of so many others had nothing younger just now; where there is nobody to ask, nobody has to."""
    watched.forget_told(now - settings.dead_after)
    lately = sum(at >= now - settings.suspect_after for at in watched.told.values())
    return lately >= min(settings.proofs, others)


def widely_confirmed(watched: Watched, settings: MembershipSettings, others: int) -> bool:
    """The same of more others, though not of all of them just now: a cut that only a few can see past looks like a loss
    of many."""
    return len(watched.told) >= min(BREADTH * settings.helpers, others)
