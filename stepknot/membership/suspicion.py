"""The failure detector: decides when an unresponsive subject is declared suspect or dead (invariants 1, 2 and 3)."""

from __future__ import annotations

import msgspec

from stepknot.membership.correlated_failures import many_failed, views_agree
from stepknot.membership.isolation import Isolation
from stepknot.membership.local_health import LocalHealth
from stepknot.membership.model import MembershipSettings, Record, State
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView

UNRESPONSIVE_PERIODS = 3.0  # periods without a sign of life until helpers are asked
# If many members fail at once, this multiple of `probe_helpers` must confirm a death.
MANY_FAILED_FACTOR = 3


class Suspicion:
    """Finds unresponsive subjects and declares them suspect or dead."""

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
        """Return the subjects without a sign of life for a while, and remove the confirmations of all others."""
        unresponsive = []
        for name, subject in self._view.subjects.items():
            if subject.unresponsive_time(now) >= UNRESPONSIVE_PERIODS * self._settings.period:
                unresponsive.append(name)
            else:
                subject.confirmations.clear()
        return unresponsive

    def possible_helpers(self, now: float) -> list[str]:
        """Members that may be asked for an indirect probe.

        These are the members in state ALIVE, except subjects without a sign of life here for over `suspect_after`.
        """
        return [
            record.name
            for record in self._view.others_present(self._view.own_name)
            if record.state is State.ALIVE and not self._is_unresponsive(now, record.name)
        ]

    def evaluate(self, now: float, names: list[str], helper_count: int) -> None:
        """Declare each of these subjects suspect or dead if the conditions for that hold now."""
        for name in names:
            if self._view.is_suspect(name):
                self._evaluate_suspect(now, name, helper_count)
            else:
                self._evaluate_unresponsive(now, name, helper_count)

    def _evaluate_unresponsive(self, now: float, name: str, helper_count: int) -> None:
        subject = self._view.subjects[name]
        if (
            subject.unresponsive_time(now) > self._settings.suspect_after
            and self._health.is_healthy(now)
            and is_confirmed(subject, self._settings, helper_count, now)
        ):
            self._declare(now, name, State.SUSPECT)

    def _evaluate_suspect(self, now: float, name: str, helper_count: int) -> None:
        if now - self._view.table.last_changes[name].at < self._settings.suspect_after:
            # The suspect gets time to learn of the suspicion and to refute it, however long it was unresponsive.
            return
        subject = self._view.subjects[name]
        if (
            subject.unresponsive_time(now) > self._settings.dead_after
            and self._health.is_healthy(now)
            and is_confirmed(subject, self._settings, helper_count, now)
            and not self._isolation.is_isolated
            and self._is_partition_ruled_out(now, subject, helper_count)
        ):
            self._declare(now, name, State.DEAD)
            self._isolation.update(now)  # with this death, half of all members may have failed

    def _is_partition_ruled_out(self, now: float, subject: Subject, helper_count: int) -> bool:
        """Whether too few members failed at once for a partition, or the evidence for a death is strong enough.

        The more members fail at once, the more likely a partition is the cause. If many failed, a death takes twice the
        time without a sign of life, confirmations by more helpers, and most neighbours' views equal to this one, so
        that all updates arrive before a member is declared dead.
        """
        settings = self._settings
        if not many_failed(self._view.table, settings, now):
            return True
        return (
            subject.unresponsive_time(now) > 2 * settings.dead_after
            and is_confirmed_by_many(subject, settings, helper_count)
            and views_agree(self._view.subjects.values(), now - settings.suspect_after)
        )

    def _declare(self, now: float, name: str, state: State) -> None:
        subject, record = self._view.subjects[name], self._view.table.records[name]
        reason = _evidence(subject, subject.unresponsive_time(now))
        self._view.merge(now, _with_state(record, state), reason)

    def _is_unresponsive(self, now: float, name: str) -> bool:
        subject = self._view.subjects.get(name)
        return subject is not None and subject.unresponsive_time(now) > self._settings.suspect_after


def is_confirmed(
    subject: Subject, settings: MembershipSettings, helper_count: int, now: float
) -> bool:
    """Whether enough helpers confirmed within `suspect_after` that they have no later observation.

    If fewer helpers can be asked than the settings require, all of them have to confirm.
    """
    subject.drop_confirmations(now - settings.dead_after)
    recent = sum(at >= now - settings.suspect_after for at in subject.confirmations.values())
    return recent >= min(settings.min_confirmations, helper_count)


def is_confirmed_by_many(subject: Subject, settings: MembershipSettings, helper_count: int) -> bool:
    """Whether as many helpers confirmed in the last `dead_after` seconds as a death takes when many members failed.

    A partition that only a few members can reach across looks like a failure of many members.
    """
    return len(subject.confirmations) >= min(
        MANY_FAILED_FACTOR * settings.probe_helpers, helper_count
    )


def _with_state(record: Record, state: State) -> Record:
    return msgspec.structs.replace(record, state=state)


def _evidence(subject: Subject, seconds: float) -> str:
    last = f"last: {subject.last_sign_source}" if subject.last_sign_source else "none before"
    confirming = ", ".join(sorted(subject.confirmations)) or "no helper"
    return f"no sign of life for {seconds:.2f} s ({last}); absence of a newer sign confirmed by {confirming}"
