"""The world of the leases' model checker: voters and candidates that ship, and all actions that may happen.

A world is some voters and two candidates. What was ever sent may be delivered at any time, in any order, again, or
never. A voter dies before or after its disk has what it promised, and may come back without its state. Two scopes:

- without time: voters' leases never hold anybody back and candidates' never run out, as if all clocks were astray. The
  records that are committed must form one history, each continuing from the one before (invariants 1 to 5 alone).
- with time: clocks in step, leases as configured. No two candidates may hold the lease at once.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from stepknot.leases import messages
from stepknot.leases.candidate import LeaseCandidate, Phase
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.simulation.lease_model_messages import decode, encode, fields, held

JOB = "j"
VOTERS, CANDIDATES = ("A", "B", "C"), ("x", "y")
Action = tuple[Any, ...]


class Breach(Exception):
    """What must never be; its text says what."""


@dataclass(frozen=True, slots=True)
class Scope:
    """How much may happen."""

    claims: int = 2  # of each candidate
    writes: int = 1  # of each epoch, beyond the record that is committed anew
    crashes: int = 1  # of voters, with their state
    losses: int = 1  # of voters' states, one at a time: a majority's is assumed to last
    time: int = 0  # steps of the clock; 0: without time
    lease: int = 2  # steps
    handovers: int = 0


@dataclass(frozen=True, slots=True)
class Parts:
    """What is checked; tests plant defects in subclasses."""

    voter: type[LeaseVoter] = LeaseVoter
    candidate: type[LeaseCandidate] = LeaseCandidate
    replies_first: bool = False  # a defect of the driver: replies are sent before the save


@dataclass
class World:
    """All state of one run: voters with their disks, candidates, and what was ever sent."""

    scope: Scope
    parts: Parts
    now: int = 0
    voters: dict[str, LeaseVoter] = field(default_factory=dict)
    disks: dict[str, messages.VoterState | None] = field(default_factory=dict)
    waiting: dict[str, list[tuple[str, Any]]] = field(
        default_factory=dict
    )  # replies until the disk has them
    candidates: dict[str, LeaseCandidate] = field(default_factory=dict)
    sent: dict[tuple[str, str, bytes], None] = field(
        default_factory=dict
    )  # all that ever was: to, from, what
    claims: dict[str, int] = field(default_factory=dict)
    writes: dict[str, int] = field(default_factory=dict)
    crashes: int = 0
    losses: int = 0
    handovers: int = 0
    counted: dict[tuple[int, int], bytes] = field(default_factory=dict)

    # --- beginning

    def begin(self) -> World:
        for name in VOTERS:
            self.disks[name] = messages.VoterState("f", name, 1, {}, [])
            self.restart(name)
            self.voters[name].votes_from = float("-inf")  # the first start of a fleet
        for number, name in enumerate(CANDIDATES):
            self.candidates[name] = self.parts.candidate(
                JOB, ProcessId(name, number), self.settings(candidate=True), 0
            )
            self.claims[name] = self.writes[name] = 0
        return self

    def settings(self, candidate: bool) -> LeaseSettings:
        lease = float(self.scope.lease) if self.scope.time else 1e9 if candidate else 0.0
        return LeaseSettings(VOTERS, "f", lease, 0.0)

    def restart(self, name: str) -> None:
        self.voters[name] = voter = self.parts.voter(
            name, self.settings(candidate=False), self.disks[name]
        )
        voter.start(self.now)
        self.waiting[name] = []

    # --- what may happen

    def actions(self) -> list[Action]:
        found: list[Action] = [("deliver", *each) for each in self.sent]
        scope = self.scope
        for name, candidate in self.candidates.items():
            if candidate.phase is not Phase.HOLDING and self.claims[name] < scope.claims:
                found.append(("claim", name))
            if candidate.phase is Phase.HOLDING:
                found.append(("nudge", name))
                if not scope.time:
                    found.append(("stop", name))
                if (
                    not candidate.has_pending_record
                    and candidate.committed is not None
                    and self.writes[name] < scope.writes
                ):
                    found.append(("write", name))
                if self.handovers < scope.handovers:
                    found.append(("hand over", name))
                if scope.time and candidate.renewal.next_at <= self.now:
                    found.append(("renew", name))
        for name, voter in self.voters.items():
            if voter.unsaved:
                found.append(("disk", name))
            if self.crashes < scope.crashes:
                found.append(("crash", name))
            if self.losses < scope.losses and all(
                each.recovery is None for each in self.voters.values()
            ):
                found.append(("lose", name))
            if voter.recovery is not None:
                found.append(("way", name))
        if self.now < scope.time:
            found.append(("time",))
        return found

    def do(self, action: Action) -> None:
        getattr(self, "do_" + action[0].replace(" ", "_"))(*action[1:])
        self.check()

    def do_deliver(self, to: str, source: str, data: bytes) -> None:
        message = decode(data)
        if to in self.voters:
            birth = self.candidates[source].process.birth if source in self.candidates else 0
            reply = self.voters[to].receive(self.now, ProcessId(source, birth), message)
            if reply is not None:
                self.reply(to, source, reply)
        else:
            candidate = self.candidates[to]
            if isinstance(message, messages.HandoverOffer):
                if candidate.phase is Phase.IDLE and self.claims[to] < self.scope.claims:
                    self.claims[to] += 1
                    self.writes[to] = 0
                    candidate.highest_epoch = max(candidate.highest_epoch, message.epoch)
                    candidate.start_election(self.now, released_epoch=message.epoch)
            else:
                candidate.receive(self.now, source, message)
            self.carry(to)

    def reply(self, voter: str, to: str, message: Any) -> None:
        if self.voters[voter].unsaved and not self.parts.replies_first:
            self.waiting[voter].append((to, message))
        else:
            self.sent[to, voter, encode(message)] = None

    def do_disk(self, name: str) -> None:
        voter = self.voters[name]
        self.disks[name], voter.unsaved = voter.state(), False
        for to, message in self.waiting[name]:
            self.sent[to, name, encode(message)] = None
        self.waiting[name] = []

    def do_crash(self, name: str) -> None:
        self.crashes += 1
        self.restart(name)

    def do_lose(self, name: str) -> None:
        self.losses += 1
        self.disks[name] = None
        self.restart(name)

    def do_way(self, name: str) -> None:
        voter = self.voters[name]
        assert voter.recovery is not None
        voter.recovery.resend_at = float("-inf")
        for to, message in voter.due_requests(self.now):
            self.sent[to, name, encode(message)] = None

    def do_claim(self, name: str) -> None:
        candidate = self.candidates[name]
        self.claims[name] += 1
        self.writes[name] = 0
        if candidate.phase is Phase.ELECTING:
            candidate.abandon_election(self.now, "")
        candidate.start_election(self.now)
        self.carry(name)

    def do_nudge(self, name: str) -> None:
        """All that is sent again in time: records on their way, and claims to those that did not grant."""
        candidate = self.candidates[name]
        if candidate.replication.pending is not None:
            candidate.replication.pending.send_at = float("-inf")
        candidate.replicate(self.now)
        candidate.send_prepare()
        self.carry(name)

    def do_stop(self, name: str) -> None:
        """Its lease ran out, or it was started again."""
        self.candidates[name].stop(self.now, "")
        self.carry(name)

    def do_renew(self, name: str) -> None:
        self.candidates[name].renew(self.now)
        self.carry(name)

    def do_write(self, name: str) -> None:
        candidate = self.candidates[name]
        assert candidate.committed is not None
        self.writes[name] += 1
        candidate.propose(
            self.now, candidate.committed.value + f"{candidate.epoch}.{self.writes[name]} ".encode()
        )
        self.carry(name)

    def do_hand_over(self, name: str) -> None:
        self.handovers += 1
        other = next(each for each in CANDIDATES if each != name)
        self.candidates[name].hand_over(self.now, other, "")
        self.carry(name)

    def do_time(self) -> None:
        self.now += 1
        for name, candidate in self.candidates.items():
            candidate.backoff.next_election_at = float("inf")  # claims are actions of their own
            if candidate.phase is Phase.HOLDING and self.now >= candidate.lease_expires_at:
                candidate.stop(self.now, "")
            self.carry(name)

    def carry(self, name: str) -> None:
        candidate = self.candidates[name]
        for to, message in candidate.outbox:
            self.sent[to, name, encode(message)] = None
        candidate.outbox = []
        candidate.events = []
        candidate.backoff.next_election_at = 0.0

    # --- what must hold

    def check(self) -> None:
        for name, candidate in self.candidates.items():
            held = candidate.committed
            if held is not None and self.counted.setdefault(held.version, held.value) != held.value:
                raise Breach(f"{name}: two records count as {held.version}")
        rows = sorted(self.counted.items())
        for (before, old), (after, new) in itertools.pairwise(rows):
            if not new.startswith(old):
                raise Breach(f"{after} {new!r} does not continue from {before} {old!r}")
        if self.scope.time:
            owning = [
                name
                for name, candidate in self.candidates.items()
                if candidate.phase is Phase.HOLDING and self.now < candidate.lease_expires_at
            ]
            if len(owning) > 1:
                raise Breach(f"{' and '.join(owning)} own at {self.now}")

    # --- alike or not

    def key(self) -> str:
        """The same for worlds that differ in voters' and candidates' names only."""
        return min(
            self.text(dict(zip((*VOTERS, *CANDIDATES), (*some, *others), strict=True)))
            for some in itertools.permutations(VOTERS)
            for others in itertools.permutations(CANDIDATES)
        )

    def text(self, names: dict[str, str]) -> str:
        """All that later behaviour hangs on, under other names."""

        def of(given: Any) -> Any:
            """A dict or a set by its new names, in their order."""
            if isinstance(given, dict):
                return sorted((names[name], value) for name, value in given.items())
            return sorted(names[name] for name in given)

        def msg(message: Any) -> tuple[Any, ...]:
            return fields(message, names)

        voters = []
        for name, voter in self.voters.items():
            jobs = [
                (
                    job.promised_epoch,
                    names.get(job.holder.name, ""),
                    job.lease_expires_at,
                    held(job.record),
                    job.committed_step,
                )
                for job in voter.jobs.values()
            ]
            recovery = voter.recovery and (
                of(voter.recovery.known_incarnations),
                of(voter.recovery.cursors),
                of(voter.recovery.finished_voters),
                voter.recovery.incarnation,
            )
            disk = self.disks[name]
            kept = disk and (
                disk.incarnation,
                of({**dict.fromkeys(VOTERS, 1), **disk.incarnations}),
                [
                    (each.promised_epoch, names.get(each.holder, ""), held(each.record))
                    for each in disk.jobs
                ],
            )
            waiting = sorted((names[to], msg(each)) for to, each in self.waiting[name])
            voters.append(
                (
                    names[name],
                    jobs,
                    voter.incarnation,
                    of(voter.known_incarnations),
                    voter.votes_from,
                    recovery,
                    voter.unsaved,
                    kept,
                    waiting,
                )
            )
        candidates = []
        for name, candidate in self.candidates.items():
            election, replication = candidate.election, candidate.replication
            pending = replication.pending and (
                held(replication.pending.record),
                of(
                    {
                        each: (ack.incarnation, of(ack.incarnations))
                        for each, ack in replication.pending.acks.items()
                    }
                ),
            )
            times = (
                (
                    candidate.lease_expires_at,
                    election.started_at,
                    candidate.renewal.next_at,
                    [
                        (
                            number,
                            each_round.sent_at,
                            of({each: msg(reply) for each, reply in each_round.replies.items()}),
                        )
                        for number, each_round in candidate.renewal.rounds.items()
                    ],
                )
                if self.scope.time
                else ()
            )
            candidates.append(
                (
                    names[name],
                    candidate.phase.name,
                    candidate.epoch,
                    candidate.highest_epoch,
                    election.released_epoch,
                    of({each: msg(promise) for each, promise in election.promises.items()}),
                    of(election.rejections),
                    held(replication.base),
                    replication.step,
                    times,
                    pending,
                    candidate.committed and held(candidate.committed),
                    self.claims[name],
                    self.writes[name],
                )
            )
        sent = sorted(
            repr((names[to], names[source], msg(decode(data)))) for to, source, data in self.sent
        )
        counts = sorted((version, value) for version, value in self.counted.items())
        return repr(
            (
                sorted(voters),
                sorted(candidates),
                sent,
                counts,
                self.now,
                self.crashes,
                self.losses,
                self.handovers,
            )
        )
