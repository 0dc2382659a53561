"""Selection of the helpers that are asked for indirect probes of unresponsive subjects (SWIM's ping-req)."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from stepknot.membership.model import MembershipSettings
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView


class HelperSelection:
    """Selects helpers by earlier reports, by rings, by recent contact, and by rotation.

    All random choices come from the given generator.
    """

    def __init__(
        self, settings: MembershipSettings, view: MembershipView, rng: random.Random
    ) -> None:
        self._settings = settings
        self._view = view
        self._rng = rng

    def helpers_for(self, names: list[str], others: list[str]) -> list[str]:
        """Select at most `2 * probe_helpers` helpers for these unresponsive subjects.

        The order of preference is: the members that last reported a sign of life of a subject, some observers of the
        subjects, some members whose datagrams arrive here, so that their answers can arrive too, and then all others
        by rotation.

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
        helpers |= dict.fromkeys(self._by_rotation(names, others, subjects)[:count])
        return list(helpers)[: 2 * count]

    def _observers_of(self, names: list[str], others: list[str]) -> list[str]:
        """Some observers of the subjects, which are the most likely members to have a later sign of life."""
        allowed = set(others)
        selected = []
        for name in names:
            observers = self._view.rings.neighbours_of(name, self._view.is_suspect).nearest
            candidates = [each for each in observers if each in allowed]
            selected += self._rng.sample(
                candidates, min(len(candidates), self._settings.probe_helpers // 2)
            )
        return selected

    def _by_rotation(
        self, names: list[str], others: list[str], subjects: Mapping[str, Subject]
    ) -> list[str]:
        """All other members, sorted by when they last answered about the subjects.

        Members that never answered come first; ties are in random order. A member that can still reach a subject
        is therefore asked within a few rounds.
        """
        answered_at: dict[str, float] = {}
        for name in names:
            for other, at in subjects[name].confirmations.items():
                answered_at[other] = max(answered_at.get(other, -math.inf), at)
        rotation = self._rng.sample(others, len(others))
        rotation.sort(key=lambda other: answered_at.get(other, -math.inf))
        return rotation
