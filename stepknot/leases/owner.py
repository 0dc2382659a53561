"""One job as seen by a broker that may own it: claims it, renews its lease, writes its ledger, hands it over.

Time here is this process's own clock. Nothing is acted on unless `acting(now)` holds at that moment (the first line of
defence); and nothing counts unless a majority of voters wrote it down under this epoch (the second).
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from stepknot.leases import model as m
from stepknot.leases.quorum import sound

CLAIM_TIME = 0.5  # of a lease, for a majority's answers to a claim
REPEAT = 0.05  # of a lease, between two sendings of what was not answered
BACKOFF = 0.25  # of a lease, before the second try of a claim; then doubled
DOUBLINGS = 3
RENEWALS = 8  # whose answers are waited for


class Phase(Enum):
    IDLE = "idle"
    CLAIMING = "claiming"
    OWNING = "owning"


@dataclass(slots=True)
class Pending:
    """A record on its way to the voters."""

    held: m.Held
    acks: dict[str, m.Written] = field(default_factory=dict)
    send_at: float = -math.inf


class Owner:
    def __init__(self, job: str, me: m.Process, settings: m.OwnerSettings, seed: int) -> None:
        self.job, self.me, self.settings = job, me, settings
        self.random = random.Random(seed)
        self.phase = Phase.IDLE
        self.epoch = self.known_epoch = 0
        self.released = 0  # the epoch that was handed over to us
        self.grants: dict[str, m.Granted] = {}
        self.bypassed = False  # a voter that would grant a later epoch cannot grant this one
        self.refusals: dict[str, m.Refused] = {}  # of this claim
        self.base = m.Held()  # what the ledger said when this epoch began
        self.claimed_at = self.until = self.next_claim = self.resend_at = self.renew_at = -math.inf
        self.since = -math.inf
        self.tries = 0
        self.step = 0
        self.pending: Pending | None = None
        self.committed: m.Held | None = None  # under this epoch
        self.numbers: dict[int, tuple[float, dict[str, m.Renewed]]] = {}
        self.number = 0
        self.why = ""  # it last stopped, or was refused
        self.out: list[tuple[str, m.Message]] = []
        self.news: list[str] = []  # what happened: owning, lost, ...

    # --- asked

    def acting(self, now: float) -> bool:
        """Whether it may act at this very moment."""
        return self.phase is Phase.OWNING and now < self.until and self.committed is not None

    # --- in time

    def tick(self, now: float, wanted: bool) -> None:
        """`wanted`: nobody is known to own the job, and it is this broker's turn to."""
        if self.phase is Phase.OWNING and now >= self.until:
            self.stop(now, "its lease ran out before a majority renewed it")
        if (
            self.phase is Phase.CLAIMING
            and now >= self.claimed_at + CLAIM_TIME * self.settings.lease
        ):
            self.give_up(
                now, f"{len(self.grants)} of {len(self.settings.voters)} voters granted it in time"
            )
        if self.phase is Phase.IDLE and wanted and now >= self.next_claim:
            self.claim(now)
        if self.phase is Phase.CLAIMING and now >= self.resend_at:
            self.resend_at = now + REPEAT * self.settings.lease
            self.send(m.Claim(self.job, self.epoch, self.released), self.missing())
        elif self.phase is Phase.OWNING:
            self.renew(now)
            self.push(now)

    def claim(self, now: float, released: int = 0) -> None:
        self.known_epoch = max(self.known_epoch, self.epoch) + 1
        self.epoch, self.released = self.known_epoch, released
        self.bypassed = False
        self.phase, self.claimed_at, self.resend_at = (
            Phase.CLAIMING,
            now,
            now + REPEAT * self.settings.lease,
        )
        self.grants, self.refusals, self.numbers, self.pending, self.committed, self.step = (
            {},
            {},
            {},
            None,
            None,
            0,
        )
        self.send(m.Claim(self.job, self.epoch, released), self.settings.voters)

    def give_up(self, now: float, why: str, wait: float = 0.0) -> None:
        """Of a claim. Who granted it need not hold it for a lease; two that duel try again at times that differ."""
        self.send(
            m.Yield(self.job, self.epoch),
            tuple(each for each in self.settings.voters if each not in self.refusals),
        )
        self.phase, self.why = Phase.IDLE, why
        pause = BACKOFF * self.settings.lease * 2 ** min(self.tries, DOUBLINGS)
        self.tries += 1
        self.next_claim = now + max(wait, 0.0) + self.random.uniform(0.2, 1.0) * pause

    def stop(self, now: float, why: str) -> None:
        """No act under this epoch from here on."""
        if self.phase is Phase.OWNING:
            self.news.append("lost")
            self.next_claim = now + self.random.uniform(0.2, 1.0) * BACKOFF * self.settings.lease
        self.phase, self.why, self.until, self.pending = Phase.IDLE, why, -math.inf, None

    def hand_over(self, now: float, to: str | None, why: str) -> None:
        """Stop, then say so to the voters and to the next one: one round trip for whoever takes it."""
        if self.phase is Phase.OWNING:
            epoch = self.epoch
            self.stop(now, why)
            self.next_claim = now + 2 * self.settings.lease
            self.send(m.Yield(self.job, epoch), self.settings.voters)
            if to is not None:
                self.send(m.Offer(self.job, epoch), (to,))
        elif self.phase is Phase.CLAIMING:
            self.give_up(now, why)

    def propose(self, now: float, value: bytes) -> None:
        """Write the job's next record. It counts once `committed` is it."""
        assert self.phase is Phase.OWNING and self.pending is None and len(value) <= m.MOST_VALUE
        self.step += 1
        self.pending = Pending(m.Held(self.epoch, self.step, value))
        self.push(now)

    def push(self, now: float) -> None:
        pending = self.pending
        if pending is not None and now >= pending.send_at:
            pending.send_at = now + REPEAT * self.settings.lease
            for voter, grant in self.grants.items():
                if voter not in pending.acks:
                    self.send(m.Write(self.job, grant.life, pending.held), (voter,))

    def renew(self, now: float) -> None:
        if now < self.renew_at:
            return
        if self.bypassed and self.pending is None and self.committed is not None:
            self.claim(
                now
            )  # its leases are this process's own: all voters grant it at once, and each counts then
            return
        self.renew_at = now + self.settings.renew
        self.number += 1
        self.numbers[self.number] = now, {}
        self.numbers.pop(self.number - RENEWALS, None)
        done = self.committed.step if self.committed is not None else 0
        self.send(m.Renew(self.job, self.epoch, self.number, done), tuple(self.grants))
        self.send(
            m.Claim(self.job, self.epoch, self.released), self.missing()
        )  # who was away may join the others

    def missing(self) -> tuple[str, ...]:
        return tuple(each for each in self.settings.voters if each not in self.grants)

    # --- answers

    def receive(self, now: float, voter: str, message: Any) -> None:
        """From a voter, of this job."""
        if (
            voter in self.settings.voters
            and (answer := self.answers.get(type(message))) is not None
        ):
            getattr(self, answer)(now, voter, message)

    def on_granted(self, now: float, voter: str, grant: m.Granted) -> None:
        if (
            grant.epoch != self.epoch or self.phase is Phase.IDLE
        ):  # given up meanwhile: it need not hold it
            self.send(m.Yield(self.job, grant.epoch), (voter,))
            return
        if self.phase is Phase.OWNING:
            self.join_late(now, voter, grant)
            return
        self.grants[voter] = grant
        self.refusals.pop(voter, None)
        if now >= self.claimed_at + self.settings.own:
            return
        able = sound(self.grants)
        if len(able) >= self.settings.majority:
            self.grants = {each: self.grants[each] for each in able}
            self.base = max(
                (each.held for each in self.grants.values()), key=lambda held: held.version
            )
            self.phase, self.until, self.since, self.tries = (
                Phase.OWNING,
                self.claimed_at + self.settings.own,
                now,
                0,
            )
            self.renew_at = now + self.settings.renew
            self.news.append("owning")
            # What the last owner left may be on a minority only: it counts once it is written anew.
            self.propose(now, self.base.value)

    def join_late(self, now: float, voter: str, grant: m.Granted) -> None:
        """Its word is as good as the others', unless it holds what this epoch does not continue from."""
        if voter in self.grants and grant.life <= self.grants[voter].life:
            return
        newest = max(self.base.version, (self.epoch, self.step))
        if (
            grant.held.version > newest
            or grant.held.epoch != self.epoch
            and grant.held.version > self.base.version
        ):
            self.hand_over(now, None, f"{voter} holds a later record than this epoch began with")
            return
        self.grants[voter] = grant
        if self.pending is not None:
            self.pending.acks.pop(voter, None)

    def on_refused(self, now: float, voter: str, refused: m.Refused) -> None:
        self.known_epoch = max(self.known_epoch, refused.promised)
        if self.phase is Phase.OWNING and voter not in self.grants and refused.epoch == self.epoch:
            self.bypassed |= refused.promised >= self.epoch and refused.wait <= 1
        if refused.epoch != self.epoch or self.phase is not Phase.CLAIMING:
            return
        self.refusals[voter] = refused
        self.why = f"{voter}: {refused.why}"
        left = self.settings.majority - (len(self.settings.voters) - len(self.refusals))
        if left > 0:  # no majority can grant it any more, until so many of these would
            self.give_up(
                now, self.why, sorted(each.wait for each in self.refusals.values())[left - 1] / 1000
            )

    def on_renewed(self, now: float, voter: str, renewed: m.Renewed) -> None:
        if (
            renewed.epoch != self.epoch
            or self.phase is not Phase.OWNING
            or renewed.number not in self.numbers
        ):
            return
        asked, answers = self.numbers[renewed.number]
        answers[voter] = renewed
        mine = {
            each: answer
            for each, answer in answers.items()
            if each in self.grants and answer.life == self.grants[each].life
        }
        if len(sound(mine)) >= self.settings.majority:
            self.until = max(self.until, asked + self.settings.own)

    def on_written(self, now: float, voter: str, written: m.Written) -> None:
        pending = self.pending
        if (
            pending is None
            or (written.epoch, written.step) != pending.held.version
            or voter not in self.grants
            or (written.life != self.grants[voter].life)
        ):
            return
        pending.acks[voter] = written
        if len(sound(pending.acks)) >= self.settings.majority:
            self.committed, self.pending = pending.held, None
            self.news.append("committed")
            self.renew_at = min(self.renew_at, now)  # voters hear that it counts

    answers: dict[type, str] = {
        m.Granted: "on_granted",
        m.Refused: "on_refused",
        m.Renewed: "on_renewed",
        m.Written: "on_written",
    }

    def send(self, message: m.Message, voters: tuple[str, ...]) -> None:
        self.out += [(voter, message) for voter in voters]
