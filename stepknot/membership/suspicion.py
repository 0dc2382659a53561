"""The failure detector's verdicts: when a silent subject becomes suspect, and when dead (invariants 1, 2 and 3)."""

from __future__ import annotations

import msgspec

from stepknot.membership.correlated_failures import many_failed, views_agree
from stepknot.membership.isolation import Isolation
from stepknot.membership.local_health import LocalHealth
from stepknot.membership.model import MembershipSettings, Record, State
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView

UNRESPONSIVE_PERIODS = 3.0  # without a sign of life, after which helpers are asked
# Times `probe_helpers`: helpers that must have confirmed before one of many that failed at once is declared dead.
WIDE_FACTOR = 3


class Suspicion:
    """Declares subjects suspect or dead."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        isolation: Isolation,
        health: LocalHealth,
    ) -> None:
        self._settings = settings
        self._view = view
        self._isolation = isolation
        self._health = health

    def unresponsive_subjects(self, now: float) -> list[str]:
        """Subjects without a sign of life for a while; the other ones' confirmations are dropped."""
        found = []
        for name, subject in self._view.subjects.items():
            if subject.silence(now) >= UNRESPONSIVE_PERIODS * self._settings.period:
                found.append(name)
            else:
                subject.confirmations.clear()
        return found

    def possible_helpers(self, now: float) -> list[str]:
        """Members that may be asked: neither suspect, nor silent here for as long as a suspect is."""
        return [
            record.name
            for record in self._view.others_present(self._view.own_name)
            if record.state is State.ALIVE and not self._is_silent(now, record.name)
        ]

    def judge(self, now: float, names: list[str], helper_count: int) -> None:
        """Declare those of these subjects suspect or dead for which that holds now."""
        for name in names:
            if self._view.is_suspect(name):
                self._judge_suspect(now, name, helper_count)
            else:
                self._judge_unresponsive(now, name, helper_count)

    def _judge_unresponsive(self, now: float, name: str, helper_count: int) -> None:
        subject = self._view.subjects[name]
        if (
            subject.silence(now) > self._settings.suspect_after
            and self._health.is_awake(now)
            and is_confirmed(subject, self._settings, helper_count, now)
        ):
            self._declare(now, name, State.SUSPECT)

    def _judge_suspect(self, now: float, name: str, helper_count: int) -> None:
        if now - self._view.table.last_changes[name].at < self._settings.suspect_after:
            return  # it must learn of the suspicion and have time to refute it, however long it was silent here
        subject = self._view.subjects[name]
        if (
            subject.silence(now) > self._settings.dead_after
            and self._health.is_awake(now)
            and is_confirmed(subject, self._settings, helper_count, now)
            and not self._isolation.is_isolated
            and self._is_no_cut(now, subject, helper_count)
        ):
            self._declare(now, name, State.DEAD)
            self._isolation.update(now)  # with this one, half of all members may be dead

    def _is_no_cut(self, now: float, subject: Subject, helper_count: int) -> bool:
        """Where many members failed at once: whether all updates about that came in before one is declared dead.

        The more members fail at once, the more it looks like a cut. Then a death takes twice as long, until most
        neighbours' views agree with this one, and more helpers' confirmations.
        """
        settings = self._settings
        if not many_failed(self._view.table, settings, now):
            return True
        return (
            subject.silence(now) > 2 * settings.dead_after
            and is_widely_confirmed(subject, settings, helper_count)
            and views_agree(self._view.subjects.values(), now - settings.suspect_after)
        )

    def _declare(self, now: float, name: str, state: State) -> None:
        subject, record = self._view.subjects[name], self._view.table.records[name]
        reason = _evidence(subject, subject.silence(now))
        self._view.merge(now, _with_state(record, state), reason)

    def _is_silent(self, now: float, name: str) -> bool:
        subject = self._view.subjects.get(name)
        return subject is not None and subject.silence(now) > self._settings.suspect_after


def is_confirmed(
    subject: Subject, settings: MembershipSettings, helper_count: int, now: float
) -> bool:
    """Whether enough helpers had no younger observation just now; where there is none to ask, none has to."""
    subject.drop_confirmations(now - settings.dead_after)
    recent = sum(at >= now - settings.suspect_after for at in subject.confirmations.values())
    return recent >= min(settings.min_confirmations, helper_count)


def is_widely_confirmed(subject: Subject, settings: MembershipSettings, helper_count: int) -> bool:
    """Whether more helpers than that had no younger observation, though not all of them just now.

    A cut that only a few members can see past looks like a failure of many.
    """
    return len(subject.confirmations) >= min(WIDE_FACTOR * settings.probe_helpers, helper_count)


def _with_state(record: Record, state: State) -> Record:
    return msgspec.structs.replace(record, state=state)


def _evidence(subject: Subject, silence: float) -> str:
    last = f"last {subject.last_sign_source}" if subject.last_sign_source else "never heard"
    confirming = ", ".join(sorted(subject.confirmations)) or "nobody"
    return f"silent for {silence:.2f} s ({last}); {confirming} had nothing younger"
