"""The model checker finds nothing in what ships, and finds each planted defect with a trail that replays."""

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

NO_TIME = Scope(claims=3, writes=2, crashes=2, losses=2)
TIME = Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1)
DYING = Scope(claims=2, writes=1, crashes=2, losses=0)
RENEWING = Scope(claims=2, writes=0, crashes=0, losses=0, time=6, lease=2)
WALKS, PHASED = 1200, 2500  # of the sound one; each defect is found within as many


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
    """Violates invariant 3: replies from before the loss are not told apart from later ones."""

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
        found = super().on_accept(sender, request)
        job.promised_epoch, job.holder = kept
        return found


class ForgetsRecordsOfItsRecovery(LeaseVoter):
    """Violates invariant 5: it takes over promises and no records."""

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
    def on_prepare(
        self, now: float, sender: ProcessId, request: messages.PrepareRequest
    ) -> messages.Message:
        job = self.jobs.get(request.job)
        if job is not None:
            job.lease_expires_at = -1.0
        return super().on_prepare(now, sender, request)


class VotesRightAfterItsStart(LeaseVoter):
    def start(self, now: float) -> None:
        self.votes_from = now


class CountsTheLeaseFromThePromise(LeaseCandidate):
    """The lease is counted from when the last promise came in."""

    def on_promise(self, now: float, voter: str, promise: messages.Promise) -> None:
        self.election.started_at = now
        super().on_promise(now, voter, promise)


class CountsRenewalsFromTheReply(LeaseCandidate):
    def receive(self, now: float, voter: str, message: messages.Message) -> None:
        if isinstance(message, messages.RenewReply) and message.number in self.renewal.rounds:
            self.renewal.rounds[message.number].sent_at = now
        super().receive(now, voter, message)


class OffersBeforeItStops(LeaseCandidate):
    def hand_over(self, now: float, successor: str | None, reason: str) -> None:
        if self.phase is Phase.HOLDING and successor is not None:
            self.send(messages.ReleaseNotice(self.job, self.epoch), self.settings.voters)
            self.send(messages.HandoverOffer(self.job, self.epoch), (successor,))


class DoesNotCommitTheBaseAnew(LeaseCandidate):
    """Violates invariant 4: what the last lease holder left counts as it stands."""

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
    return list(replies)


WALK, PHASES = "walk", "phases"


def search(way: str, scope: Scope, parts: Parts | None = None) -> Result:
    if way == WALK:
        return walk(scope, parts, range(WALKS), steps=150)
    return phases(scope, parts, range(PHASED), count=16)


@pytest.mark.parametrize(("way", "scope"), [(WALK, NO_TIME), (WALK, TIME), (PHASES, NO_TIME)])
def test_the_protocol_violates_no_invariant(way: str, scope: Scope) -> None:
    found = search(way, scope)
    assert not found.breach, f"{found.breach}\n{story(found.trail)}"
    assert found.states >= 100_000


@pytest.mark.parametrize(
    "scope",
    [
        Scope(claims=1, writes=1, crashes=1, losses=1),
        Scope(claims=1, writes=0, crashes=1, losses=0, time=3, lease=2, handovers=1),
    ],
    ids=["clocks astray", "clocks in step"],
)
def test_the_protocol_violates_no_invariant_in_any_order_of_the_first_actions(scope: Scope) -> None:
    found = explore(scope, most=1200)
    assert not found.breach, f"{found.breach}\n{story(found.trail)}"
    assert found.states >= 1200 and found.deepest >= 4


@pytest.mark.parametrize(
    ("way", "scope", "parts"),
    [
        (WALK, DYING, Parts(replies_first=True)),
        (WALK, NO_TIME, Parts(PromisesAnEpochTwice)),
        (PHASES, NO_TIME, Parts(VotesWithoutItsState)),
        (WALK, NO_TIME, Parts(AcceptsAnEarlierEpoch)),
        (PHASES, NO_TIME, Parts(candidate=CommitsAtTheFirstAck)),
        (WALK, TIME, Parts(PromisesDuringALease)),
        (WALK, TIME, Parts(VotesRightAfterItsStart)),
        (WALK, TIME, Parts(candidate=CountsTheLeaseFromThePromise)),
        (PHASES, RENEWING, Parts(candidate=CountsRenewalsFromTheReply)),
        (WALK, TIME, Parts(candidate=OffersBeforeItStops)),
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
    way: str, scope: Scope, parts: Parts
) -> None:
    found = search(way, scope, parts)
    assert found.breach
    assert replay(scope, parts, found.trail) == found.breach
    assert not replay(scope, None, found.trail)
    assert len(story(found.trail).splitlines()) == len(found.trail) <= 80


def carry(world: World, *names: str) -> None:
    """All that these send each other, until nothing new comes; their disks take what they should."""
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
    """A accepts x's record, then loses its memory, and is back before C has the record. No majority holds it then."""
    world = World(NO_TIME, parts).begin()
    world.do(("claim", "x"))
    carry(world, "A", "B", "C", "x")
    world.do(("write", "x"))
    carry(world, "A", "x")
    world.do(("lose", "A"))
    for _ in range(4):
        carry(world, "A", "B", "C")
    assert world.voters["A"].recovery is None
    carry(world, "C", "x")
    return world


def test_a_reply_from_before_the_state_was_lost_commits_nothing() -> None:
    world = a_voter_loses_its_state_between_two_acks(Parts())
    assert (1, 2) not in world.counted
    for _ in range(2):  # it hears of the first epoch, then asks for the second
        world.do(("claim", "y"))
        carry(world, "A", "B", "y")
    assert (2, 1) in world.counted


@pytest.mark.parametrize("defect", ["any reply counts", "the incarnation stays"])
def test_without_incarnations_that_reply_would_commit_a_record_that_is_lost(defect: str) -> None:
    parts = Parts(KeepsItsIncarnation) if defect == "the incarnation stays" else Parts()
    patched = any_voter if defect == "any reply counts" else quorum.valid_voters
    with patch.object(quorum, "valid_voters", patched):
        world = a_voter_loses_its_state_between_two_acks(parts)
        assert (1, 2) in world.counted
        world.do(("claim", "y"))
        carry(world, "A", "B", "y")
        world.do(("claim", "y"))
        with pytest.raises(Breach, match="does not continue"):
            carry(world, "A", "B", "y")


def act(world: World, action: Any, *names: str) -> None:
    """What was on the way before is lost; what comes of this is carried among these."""
    world.sent.clear()
    world.do(action)
    carry(world, *names)


def claims(world: World, name: str, *voters: str) -> None:
    """It hears of the greatest epoch first, then claims above it."""
    for _ in range(2):
        act(world, ("claim", name), *voters, name)


def a_record_at_a_minority_is_taken_over(parts: Parts) -> World:
    """A alone has x's record; y takes it over from A; then A is cut off and x owns again."""
    world = World(NO_TIME, parts).begin()
    act(world, ("claim", "x"), "A", "B", "C", "x")
    act(world, ("write", "x"), "A", "x")
    world.do(("stop", "x"))
    claims(world, "y", "A", "B")
    claims(world, "x", "B", "C")
    return world


def a_voter_reads_others_in_its_recovery(parts: Parts) -> World:
    """A and C have x's record, and it counts. A loses its memory, reads B at once, and C is cut off then."""
    world = World(NO_TIME, parts).begin()
    act(world, ("claim", "x"), "A", "B", "C", "x")
    act(world, ("write", "x"), "A", "C", "x")
    assert (1, 2) in world.counted
    act(world, ("lose", "A"), "A", "B", "C")  # which life this is
    for other in ("B", "C"):
        for _ in range(3):
            if world.voters["A"].recovery is not None:
                act(world, ("way", "A"), "A", other)
    assert world.voters["A"].recovery is None
    claims(world, "y", "A", "B")
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
    one, other = World(NO_TIME, Parts()).begin(), World(NO_TIME, Parts()).begin()
    one.do(("claim", "x"))
    one.do(("lose", "A"))
    other.do(("claim", "y"))
    assert one.key() != other.key()
    other.do(("lose", "C"))
    assert one.key() == other.key()
