"""Which members are asked for indirect probes of unresponsive subjects (SWIM's ping-req). Chance is handed in."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from stepknot.membership.model import MembershipSettings
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView


class HelperSelection:
    """Selects helpers by rings, by recent contact, and in turn."""

    def __init__(
        self, settings: MembershipSettings, view: MembershipView, rng: random.Random
    ) -> None:
        self._settings = settings
        self._view = view
        self._rng = rng

    def helpers_for(self, names: list[str], others: list[str]) -> list[str]:
        """Helpers for these unresponsive subjects, twice `probe_helpers` at most.

        In this order: members that reported a sign of life last, some observers of the subjects, some members that are
        received here and so can answer, and the rest in turn.

        Args:
            names: The unresponsive subjects.
            others: Members that may be asked.
        """
        count = self._settings.probe_helpers
        subjects = self._view.subjects
        responsive = [name for name in others if name in subjects]
        reporters = dict.fromkeys(subjects[name].last_reporter for name in names)
        helpers = dict.fromkeys(name for name in others if name in reporters)
        helpers |= dict.fromkeys(self._observers_of(names, others)[: count // 2])
        helpers |= dict.fromkeys(self._rng.sample(responsive, min(len(responsive), count // 2)))
        helpers |= dict.fromkeys(self._in_turn(names, others, subjects)[:count])
        return list(helpers)[: 2 * count]

    def _observers_of(self, names: list[str], others: list[str]) -> list[str]:
        """Some observers of the subjects: if any member has a younger sign of life, they have."""
        able = set(others)
        found = []
        for name in names:
            observers = self._view.rings.neighbours_of(name, self._view.is_suspect).nearest
            free = [each for each in observers if each in able]
            found += self._rng.sample(free, min(len(free), self._settings.probe_helpers // 2))
        return found

    def _in_turn(
        self, names: list[str], others: list[str], subjects: Mapping[str, Subject]
    ) -> list[str]:
        """All others in random order, those first that never answered about the subjects, or longest ago.

        So whichever member has a way to them is found within few rounds.
        """
        answered_at: dict[str, float] = {}
        for name in names:
            for other, at in subjects[name].confirmations.items():
                answered_at[other] = max(answered_at.get(other, -math.inf), at)
        found = self._rng.sample(others, len(others))
        found.sort(key=lambda other: answered_at.get(other, -math.inf))
        return found
