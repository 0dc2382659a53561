"""The model checker finds no breach in the package, and finds each planted defect with a trail that replays."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from unittest.mock import patch

import msgspec
import pytest

from stepknot.leases import messages, quorum
from stepknot.leases.candidate import LeaseCandidate, Phase
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.simulation.lease_model_checker import Result, explore, phases, replay, story, walk
from stepknot.simulation.lease_model_world import Breach, Parts, Scope, World

pytestmark = pytest.mark.cpu_only

UNTIMED = Scope(claims=3, writes=2, crashes=2, losses=2)
TIMED = Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1)
CRASHES = Scope(claims=2, writes=1, crashes=2, losses=0)
RENEWALS = Scope(claims=2, writes=0, crashes=0, losses=0, time=6, lease=2)
# Number of runs of each search, the same for the package as it is and for each planted defect.
WALK_RUNS, PHASES_RUNS = 1200, 2500


class PromisesAnEpochTwice(LeaseVoter):
    """Violates invariant 1."""

    def on_prepare(
        self, now: float, sender: ProcessId, request: messages.PrepareRequest
    ) -> messages.Message:
        job = self.jobs.get(request.job)
        if job is not None and request.epoch == job.promised_epoch:
            job.holder = sender
        return super().on_prepare(now, sender, request)


class VotesWithoutItsState(LeaseVoter):
    """Violates invariant 5."""

    def __init__(
        self, name: str, settings: LeaseSettings, stored: messages.VoterState | None
    ) -> None:
        super().__init__(name, settings, stored)
        if stored is None:
            self.recovery, self.incarnation = None, 1


class KeepsItsIncarnation(LeaseVoter):
    """Violates invariant 3: replies from before the loss of its state cannot be distinguished from later ones."""

    def on_incarnation_reply(
        self, now: float, sender: ProcessId, reply: messages.IncarnationReply
    ) -> None:
        super().on_incarnation_reply(now, sender, reply)
        if self.recovery is not None and self.recovery.incarnation:
            self.recovery.incarnation = max(self.recovery.known_incarnations.values())


class AcceptsAnEarlierEpoch(LeaseVoter):
    """Violates invariant 4."""

    def on_accept(self, sender: ProcessId, request: messages.AcceptRequest) -> messages.Message:
        job = self.jobs.get(request.job)
        if job is None:
            return super().on_accept(sender, request)
        kept = job.promised_epoch, job.holder
        job.promised_epoch, job.holder = request.record.epoch, sender
        reply = super().on_accept(sender, request)
        job.promised_epoch, job.holder = kept
        return reply


class ForgetsRecordsOfItsRecovery(LeaseVoter):
    """Violates invariant 5: it adopts promises and no records."""

    def merge_state(self, state: messages.VoterJobState) -> None:
        super().merge_state(msgspec.structs.replace(state, record=messages.NO_RECORD))


class RecoversFromOneVoter(LeaseVoter):
    """Violates invariant 5: its recovery ends with the first reply."""

    def on_recovery_reply(
        self, now: float, sender: ProcessId, reply: messages.RecoveryReply
    ) -> None:
        if self.recovery is not None:
            self.recovery.finished_voters |= set(self.other_voters) - {sender.name}
        super().on_recovery_reply(now, sender, reply)


class PromisesDuringALease(LeaseVoter):
    """Promises the job to a candidate while another process's lease runs."""

    def on_prepare(
        self, now: float, sender: ProcessId, request: messages.PrepareRequest
    ) -> messages.Message:
        job = self.jobs.get(request.job)
        if job is not None:
            job.lease_expires_at = -1.0
        return super().on_prepare(now, sender, request)


class VotesRightAfterItsStart(LeaseVoter):
    """Does not wait for the duration of a lease after its start."""

    def start(self, now: float) -> None:
        self.votes_from = now


class CountsTheLeaseFromThePromise(LeaseCandidate):
    """Counts the lease from when the last promise was received."""

    def on_promise(self, now: float, voter: str, promise: messages.Promise) -> None:
        self.election.started_at = now
        super().on_promise(now, voter, promise)


class CountsRenewalsFromTheReply(LeaseCandidate):
    """Counts a renewed lease from when the last reply was received."""

    def receive(self, now: float, voter: str, message: messages.Message) -> None:
        if isinstance(message, messages.RenewReply) and message.number in self.renewal.rounds:
            self.renewal.rounds[message.number].sent_at = now
        super().receive(now, voter, message)


class OffersBeforeItStops(LeaseCandidate):
    """Releases the voters and offers the job without giving up the lease."""

    def hand_over(self, now: float, successor: str | None, reason: str) -> None:
        if self.phase is Phase.HOLDING and successor is not None:
            self.send(messages.ReleaseNotice(self.job, self.epoch), self.settings.voters)
            self.send(messages.HandoverOffer(self.job, self.epoch), (successor,))


class DoesNotCommitTheBaseAnew(LeaseCandidate):
    """Violates invariant 4: it treats the previous lease holder's record as committed under its own epoch."""

    def propose(self, now: float, value: bytes) -> None:
        if self.replication.step == 0:
            self.replication.step = 1
            self.replication.committed = messages.LedgerRecord(self.epoch, 1, value)
        else:
            super().propose(now, value)


class CommitsAtTheFirstAck(LeaseCandidate):
    """Violates invariant 4."""

    def on_accepted(self, now: float, voter: str, ack: messages.Accepted) -> None:
        super().on_accepted(now, voter, ack)
        pending = self.replication.pending
        if pending is not None and pending.acks:
            self.replication.committed, self.replication.pending = pending.record, None


def any_voter(replies: Mapping[str, Any]) -> list[str]:
    """Violates invariant 3, in place of `valid_voters`: every reply is valid."""
    return list(replies)


WALK, PHASES = "walk", "phases"


def search(method: str, scope: Scope, parts: Parts | None = None) -> Result:
    if method == WALK:
        return walk(scope, parts, range(WALK_RUNS), steps=150)
    return phases(scope, parts, range(PHASES_RUNS), count=16)


@pytest.mark.parametrize(("method", "scope"), [(WALK, UNTIMED), (WALK, TIMED), (PHASES, UNTIMED)])
def test_the_protocol_violates_no_invariant(method: str, scope: Scope) -> None:
    result = search(method, scope)
    assert not result.breach, f"{result.breach}\n{story(result.trail)}"
    assert result.states >= 100_000


@pytest.mark.parametrize(
    "scope",
    [
        Scope(claims=1, writes=1, crashes=1, losses=1),
        Scope(claims=1, writes=0, crashes=1, losses=0, time=3, lease=2, handovers=1),
    ],
    ids=["clocks without bound", "clocks within the drift"],
)
def test_the_protocol_violates_no_invariant_in_any_order_of_the_first_actions(scope: Scope) -> None:
    result = explore(scope, most=1200)
    assert not result.breach, f"{result.breach}\n{story(result.trail)}"
    assert result.states >= 1200 and result.deepest >= 4


@pytest.mark.parametrize(
    ("method", "scope", "parts"),
    [
        (WALK, CRASHES, Parts(replies_first=True)),
        (WALK, UNTIMED, Parts(PromisesAnEpochTwice)),
        (PHASES, UNTIMED, Parts(VotesWithoutItsState)),
        (WALK, UNTIMED, Parts(AcceptsAnEarlierEpoch)),
        (PHASES, UNTIMED, Parts(candidate=CommitsAtTheFirstAck)),
        (WALK, TIMED, Parts(PromisesDuringALease)),
        (WALK, TIMED, Parts(VotesRightAfterItsStart)),
        (WALK, TIMED, Parts(candidate=CountsTheLeaseFromThePromise)),
        (PHASES, RENEWALS, Parts(candidate=CountsRenewalsFromTheReply)),
        (WALK, TIMED, Parts(candidate=OffersBeforeItStops)),
    ],
    ids=lambda each: (
        each
        if isinstance(each, str)
        else ""
        if isinstance(each, Scope)
        else "RepliesBeforeTheSave"
        if each.replies_first
        else (each.voter if each.voter is not LeaseVoter else each.candidate).__name__
    ),
)
def test_a_planted_defect_is_detected_and_its_trail_replays(
    method: str, scope: Scope, parts: Parts
) -> None:
    result = search(method, scope, parts)
    assert result.breach
    assert replay(scope, parts, result.trail) == result.breach
    assert not replay(scope, None, result.trail)
    assert len(story(result.trail).splitlines()) == len(result.trail) <= 80


def deliver_among(world: World, *names: str) -> None:
    """Deliver these processes' messages to each other and do their saves and recovery requests, until none is left."""
    done: set[Any] = set()
    while due := [
        each
        for each in world.actions()
        if each not in done
        and (
            (each[0] == "deliver" and {each[1], each[2]} <= set(names))
            or (each[0] in ("disk", "way") and each[1] in names)
        )
    ]:
        if due[0][0] != "disk":
            done.add(due[0])
        world.do(due[0])


def a_voter_loses_its_state_between_two_acks(parts: Parts) -> World:
    """A accepts x's record, loses its state and recovers before C accepts the record. No majority holds it then."""
    world = World(UNTIMED, parts).begin()
    world.do(("claim", "x"))
    deliver_among(world, "A", "B", "C", "x")
    world.do(("write", "x"))
    deliver_among(world, "A", "x")
    world.do(("lose", "A"))
    for _ in range(4):
        deliver_among(world, "A", "B", "C")
    assert world.voters["A"].recovery is None
    deliver_among(world, "C", "x")
    return world


def test_a_reply_from_before_the_state_was_lost_commits_nothing() -> None:
    world = a_voter_loses_its_state_between_two_acks(Parts())
    assert (1, 2) not in world.counted
    for _ in range(2):  # the first rejection reports the first epoch; then y uses a later one
        world.do(("claim", "y"))
        deliver_among(world, "A", "B", "y")
    assert (2, 1) in world.counted


@pytest.mark.parametrize("defect", ["any reply counts", "the incarnation stays"])
def test_without_incarnations_that_reply_would_commit_a_record_that_is_lost(defect: str) -> None:
    parts = Parts(KeepsItsIncarnation) if defect == "the incarnation stays" else Parts()
    patched = any_voter if defect == "any reply counts" else quorum.valid_voters
    with patch.object(quorum, "valid_voters", patched):
        world = a_voter_loses_its_state_between_two_acks(parts)
        assert (1, 2) in world.counted
        world.do(("claim", "y"))
        deliver_among(world, "A", "B", "y")
        world.do(("claim", "y"))
        with pytest.raises(Breach, match="does not continue"):
            deliver_among(world, "A", "B", "y")


def act_alone(world: World, action: Any, *names: str) -> None:
    """Lose all earlier messages, do an action, and deliver the messages that follow from it between these processes."""
    world.sent.clear()
    world.do(action)
    deliver_among(world, *names)


def elect(world: World, name: str, *voters: str) -> None:
    """Two elections: rejections in the first one report the greatest epoch, and the second one uses a later one."""
    for _ in range(2):
        act_alone(world, ("claim", name), *voters, name)


def a_record_at_a_minority_is_taken_over(parts: Parts) -> World:
    """Only A has x's record; y adopts it from A; then A is cut off and x holds the lease again."""
    world = World(UNTIMED, parts).begin()
    act_alone(world, ("claim", "x"), "A", "B", "C", "x")
    act_alone(world, ("write", "x"), "A", "x")
    world.do(("stop", "x"))
    elect(world, "y", "A", "B")
    elect(world, "x", "B", "C")
    return world


def a_voter_reads_others_in_its_recovery(parts: Parts) -> World:
    """A and C have x's record, so it is committed. A loses its state and recovers from B, then C is cut off."""
    world = World(UNTIMED, parts).begin()
    act_alone(world, ("claim", "x"), "A", "B", "C", "x")
    act_alone(world, ("write", "x"), "A", "C", "x")
    assert (1, 2) in world.counted
    act_alone(world, ("lose", "A"), "A", "B", "C")  # A gets its new incarnation
    for other in ("B", "C"):
        for _ in range(3):
            if world.voters["A"].recovery is not None:
                act_alone(world, ("way", "A"), "A", other)
    assert world.voters["A"].recovery is None
    elect(world, "y", "A", "B")
    return world


@pytest.mark.parametrize(
    ("script", "defect", "last"),
    [
        (a_record_at_a_minority_is_taken_over, Parts(candidate=DoesNotCommitTheBaseAnew), (3, 1)),
        (a_voter_reads_others_in_its_recovery, Parts(RecoversFromOneVoter), (2, 1)),
        (a_voter_reads_others_in_its_recovery, Parts(ForgetsRecordsOfItsRecovery), (2, 1)),
    ],
)
def test_a_defect_that_walks_seldom_reach_is_detected_by_a_script(
    script: Any, defect: Parts, last: tuple[int, int]
) -> None:
    assert last in script(Parts()).counted
    with pytest.raises(Breach, match="does not continue"):
        script(defect)


def test_worlds_that_differ_in_names_only_have_one_key() -> None:
    one, other = World(UNTIMED, Parts()).begin(), World(UNTIMED, Parts()).begin()
    one.do(("claim", "x"))
    one.do(("lose", "A"))
    other.do(("claim", "y"))
    assert one.key() != other.key()
    other.do(("lose", "C"))
    assert one.key() == other.key()
