"""A voter: what it promises, accepts and writes down; and its way back when it lost its memory.

Each call returns a reply, or none. Whenever `unsaved` is true, `saved()` has to be on disk before any later reply
leaves (invariant 2).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from stepknot.leases import model as m

Process = m.Process


@dataclass(slots=True)
class Job:
    """`until`: the lease runs so long by this voter's clock; not written down."""

    promised: int = 0
    holder: Process = ("", 0)
    held: m.Held = m.Held()
    until: float = -math.inf
    committed: int = 0  # the step of the held epoch that its owner said counts; not written down


@dataclass(slots=True)
class Way:
    """Back to a vote after the memory was lost: first which life this is, then what the others hold."""

    lives: dict[str, int] = field(default_factory=dict)  # by voter: what it knows of ours
    after: dict[str, str] = field(default_factory=dict)  # by voter: the job it told last
    done: set[str] = field(default_factory=set)
    life: int = 0  # 0: not known yet
    ask_at: float = -math.inf


class Voter:
    def __init__(self, name: str, settings: m.OwnerSettings, saved: m.Saved | None) -> None:
        """`saved`: as read from disk; None where there is nothing to read: the memory is lost."""
        self.name, self.settings = name, settings
        self.others = [each for each in settings.voters if each != name]
        self.jobs: dict[str, Job] = {}
        self.life, self.lives = 0, dict.fromkeys(settings.voters, 1)  # each began with its first
        self.votes_from = (
            math.inf
        )  # renewals are not written down: a lease from the start is waited out
        self.way: Way | None = Way()
        self.unsaved = False
        self.broken = ""  # why its disk cannot be trusted any more; it says nothing then
        if saved is not None:
            self.way, self.life = None, saved.life
            self.lives |= {
                voter: max(life, 1) for voter, life in saved.lives.items() if voter in self.lives
            }
            for each in saved.jobs:
                self.jobs[each.job] = Job(each.promised, (each.holder, each.birth), each.held)

    def start(self, now: float) -> None:
        if self.way is None:
            self.votes_from = now + self.settings.hold

    def saved(self) -> m.Saved:
        return m.Saved(
            self.settings.fleet,
            self.name,
            self.life,
            {**self.lives, self.name: self.life},
            [record(name, job) for name, job in sorted(self.jobs.items())],
        )

    def known(self) -> dict[str, int]:
        return {**self.lives, self.name: self.life}

    def receive(self, now: float, who: Process, message: Any) -> m.Message | None:
        answer = self.answers.get(type(message))
        if (
            answer is None
            or self.broken
            or self.way is not None
            and type(message) not in self.with_no_memory
        ):
            return None
        found: m.Message | None = getattr(self, answer)(now, who, message)
        return found

    # --- votes

    def on_claim(self, now: float, who: Process, claim: m.Claim) -> m.Message:
        job = self.jobs.get(claim.job)
        if job is None and len(self.jobs) >= m.MOST_JOBS:
            return m.Refused(
                claim.job, claim.epoch, 0, 60_000, f"{m.MOST_JOBS} jobs are known here already"
            )
        job = job or Job()
        if claim.epoch < job.promised or claim.epoch == job.promised and who != job.holder:
            return self.refuse(now, claim, job, "a later epoch is promised")
        if claim.epoch > job.promised:
            if (
                who != job.holder
                and claim.released != job.promised
                and now < max(job.until, self.votes_from)
            ):
                return self.refuse(
                    now, claim, job, f"{job.holder[0] or 'an earlier owner'}'s lease may still run"
                )
            job.promised, job.holder, self.unsaved = claim.epoch, who, True
            self.jobs[claim.job] = job
        job.until = now + self.settings.hold
        return m.Granted(claim.job, claim.epoch, self.life, self.known(), job.held)

    def refuse(self, now: float, claim: m.Claim, job: Job, why: str) -> m.Refused:
        wait = max(0.0, job.until - now, self.votes_from - now)
        return m.Refused(claim.job, claim.epoch, job.promised, int(wait * 1000) + 1, why[:80])

    def on_renew(self, now: float, who: Process, renew: m.Renew) -> m.Message | None:
        job = self.jobs.get(renew.job)
        if job is None or job.promised != renew.epoch or job.holder != who:
            return m.Refused(
                renew.job, renew.epoch, job.promised if job else 0, 0, "not promised here"
            )
        job.until = now + self.settings.hold
        if job.held.epoch == renew.epoch and job.held.step >= renew.committed:
            job.committed = max(job.committed, renew.committed)
        return m.Renewed(renew.job, renew.epoch, renew.number, self.life, self.known())

    def on_write(self, now: float, who: Process, write: m.Write) -> m.Message | None:
        """Only under the epoch that this voter granted, in this life (invariant 4)."""
        job, held = self.jobs.get(write.job), write.held
        if (
            job is None
            or job.promised != held.epoch
            or job.holder != who
            or write.life != self.life
        ):
            return m.Refused(
                write.job, held.epoch, job.promised if job else 0, 0, "not granted here"
            )
        if held.version > job.held.version:
            if held.epoch != job.held.epoch:
                job.committed = 0
            job.held, self.unsaved = held, True
        return m.Written(write.job, held.epoch, held.step, self.life, self.known())

    def on_yield(self, now: float, who: Process, word: m.Yield) -> None:
        job = self.jobs.get(word.job)
        if job is not None and job.promised == word.epoch and job.holder == who:
            job.until = -math.inf

    def on_ask(self, now: float, who: Process, ask: m.Ask) -> m.Message:
        job = self.jobs.get(ask.job) or Job()
        return m.Holds(ask.job, self.life, self.known(), job.held, job.committed)

    # --- memory lost: others'

    def on_ask_life(self, now: float, who: Process, ask: m.AskLife) -> m.Message | None:
        return m.TellLife(self.lives[who[0]]) if who[0] in self.others else None

    def on_recall(self, now: float, who: Process, recall: m.Recall) -> m.Message | None:
        if who[0] not in self.others or recall.life < self.lives[who[0]]:
            return None
        if recall.life > self.lives[who[0]]:
            self.lives[who[0]], self.unsaved = recall.life, True
        later = sorted(name for name in self.jobs if name > recall.after)
        return m.Recalled(
            recall.life, recall.after, record(later[0], self.jobs[later[0]]) if later else None
        )

    # --- memory lost: its own

    def tick(self, now: float) -> list[tuple[str, m.Message]]:
        """What to ask the others on the way back; of whom nothing came is asked again."""
        way = self.way
        if way is None or self.broken or now < way.ask_at:
            return []
        way.ask_at = now + self.settings.lease / 10
        if not way.life:
            return [(each, m.AskLife()) for each in self.others]
        return [
            (each, m.Recall(way.life, way.after.get(each, "")))
            for each in self.others
            if each not in way.done
        ]

    def on_tell_life(self, now: float, who: Process, told: m.TellLife) -> None:
        """A life that finished its way back is known to a majority of the others: any two such majorities meet."""
        way = self.way
        if way is None or way.life or who[0] not in self.others:
            return
        way.lives[who[0]] = told.life
        if len(way.lives) > len(self.others) // 2:
            way.life, way.ask_at = max(way.lives.values()) + 1, now

    def on_recalled(self, now: float, who: Process, told: m.Recalled) -> None:
        way = self.way
        if way is None or told.life != way.life or not way.life or who[0] not in self.others:
            return
        if told.after != way.after.get(who[0], "") or who[0] in way.done:
            return  # a copy
        if told.record is not None:
            self.learn(told.record)
            way.after[who[0]], way.ask_at = told.record.job, now
            return
        way.done.add(who[0])
        if len(way.done) > len(self.others) // 2:
            self.life, self.way, self.unsaved = way.life, None, True
            self.votes_from = now + self.settings.hold

    def learn(self, told: m.JobRecord) -> None:
        job = self.jobs.setdefault(told.job, Job())
        if told.promised > job.promised:
            job.promised, job.holder = (
                told.promised,
                ("", 0),
            )  # not by this voter: it renews and accepts nothing of it
        if told.held.version > job.held.version:
            job.held = told.held

    answers: dict[type, str] = {
        m.Claim: "on_claim",
        m.Renew: "on_renew",
        m.Write: "on_write",
        m.Yield: "on_yield",
        m.Ask: "on_ask",
        m.AskLife: "on_ask_life",
        m.Recall: "on_recall",
        m.TellLife: "on_tell_life",
        m.Recalled: "on_recalled",
    }
    with_no_memory = (m.TellLife, m.Recalled)


def record(name: str, job: Job) -> m.JobRecord:
    return m.JobRecord(name, job.promised, job.holder[0] or "-", job.holder[1], job.held)
