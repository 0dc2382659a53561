"""The model checker finds nothing in what ships, and finds each planted defect with a trail that replays."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from unittest.mock import patch

import pytest

from stepknot.leases import model as m
from stepknot.leases import owner as owner_module
from stepknot.leases.owner import Owner, Phase
from stepknot.leases.voter import Voter, Way
from stepknot.simulation.lease_model_checker import (
    Breach,
    Parts,
    Result,
    Scope,
    World,
    explore,
    phases,
    replay,
    story,
    walk,
)

pytestmark = pytest.mark.cpu_only

NO_TIME = Scope(claims=3, writes=2, crashes=2, losses=2)
TIME = Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1)
DYING = Scope(claims=2, writes=1, crashes=2, losses=0)
RENEWING = Scope(claims=2, writes=0, crashes=0, losses=0, time=6, lease=2)
WALKS, PHASED = 1200, 2500  # of the sound one; each defect is found within as many


class GrantsAnEpochTwice(Voter):
    def on_claim(self, now: float, who: m.Process, claim: m.Claim) -> m.Message:
        job = self.jobs.get(claim.job)
        if job is not None and claim.epoch == job.promised:
            job.holder = who
        return super().on_claim(now, who, claim)


class VotesAtOnceWithNoMemory(Voter):
    def __init__(self, name: str, settings: m.OwnerSettings, saved: m.Saved | None) -> None:
        super().__init__(name, settings, saved)
        if saved is None:
            self.way, self.life = None, 1


class KeepsItsLife(Voter):
    """What it lost is not told apart from what it holds now."""

    def on_tell_life(self, now: float, who: m.Process, told: m.TellLife) -> None:
        super().on_tell_life(now, who, told)
        if self.way is not None and self.way.life:
            self.way.life = max(self.way.lives.values())


class AcceptsAnEarlierEpoch(Voter):
    def on_write(self, now: float, who: m.Process, write: m.Write) -> m.Message | None:
        job = self.jobs.get(write.job)
        if job is None:
            return None
        kept, job.promised, job.holder = (job.promised, job.holder), write.held.epoch, who
        found = super().on_write(now, who, write)
        job.promised, job.holder = kept
        return found


class ForgetsWhatItIsTold(Voter):
    """On its way back it reads promises and no records."""

    def learn(self, told: m.JobRecord) -> None:
        super().learn(m.JobRecord(told.job, told.promised, told.holder, told.birth, m.Held()))


class ReadsNobody(Voter):
    """Its way back ends with the first answer."""

    def on_recalled(self, now: float, who: m.Process, told: m.Recalled) -> None:
        if isinstance(self.way, Way):
            self.way.done |= set(self.others) - {who[0]}
        super().on_recalled(now, who, told)


class GrantsDuringALease(Voter):
    def on_claim(self, now: float, who: m.Process, claim: m.Claim) -> m.Message:
        job = self.jobs.get(claim.job)
        if job is not None:
            job.until = -1.0
        return super().on_claim(now, who, claim)


class VotesRightAfterItsStart(Voter):
    def start(self, now: float) -> None:
        self.votes_from = now


class CountsFromTheGrant(Owner):
    """The lease is counted from when the last grant came in."""

    def on_granted(self, now: float, voter: str, grant: m.Granted) -> None:
        self.claimed_at = now
        super().on_granted(now, voter, grant)


class CountsRenewalsFromTheAnswer(Owner):
    def on_renewed(self, now: float, voter: str, renewed: m.Renewed) -> None:
        if renewed.number in self.numbers:
            self.numbers[renewed.number] = now, self.numbers[renewed.number][1]
        super().on_renewed(now, voter, renewed)


class OffersBeforeItStops(Owner):
    def hand_over(self, now: float, to: str | None, why: str) -> None:
        if self.phase is Phase.OWNING and to is not None:
            self.send(m.Yield(self.job, self.epoch), self.settings.voters)
            self.send(m.Offer(self.job, self.epoch), (to,))


class DoesNotWriteAnew(Owner):
    """What the last owner left counts as it stands."""

    def propose(self, now: float, value: bytes) -> None:
        if self.step == 0:
            self.step = 1
            self.committed = m.Held(self.epoch, 1, value)
        else:
            super().propose(now, value)


class CountsAtTheFirstAnswer(Owner):
    def on_written(self, now: float, voter: str, written: m.Written) -> None:
        super().on_written(now, voter, written)
        if self.pending is not None and self.pending.acks:
            self.committed, self.pending = self.pending.held, None


def any_reply(replies: Mapping[str, Any]) -> list[str]:
    return list(replies)


WALK, PHASES = "walk", "phases"


def search(way: str, scope: Scope, parts: Parts | None = None) -> Result:
    if way == WALK:
        return walk(scope, parts, range(WALKS), steps=150)
    return phases(scope, parts, range(PHASED), count=16)


@pytest.mark.parametrize(("way", "scope"), [(WALK, NO_TIME), (WALK, TIME), (PHASES, NO_TIME)])
def test_what_ships_breaks_nothing(way: str, scope: Scope) -> None:
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
def test_what_ships_breaks_nothing_in_any_order_of_the_first_actions(scope: Scope) -> None:
    found = explore(scope, most=1200)
    assert not found.breach, f"{found.breach}\n{story(found.trail)}"
    assert found.states >= 1200 and found.deepest >= 4


@pytest.mark.parametrize(
    ("way", "scope", "parts"),
    [
        (WALK, DYING, Parts(told_first=True)),
        (WALK, NO_TIME, Parts(GrantsAnEpochTwice)),
        (PHASES, NO_TIME, Parts(VotesAtOnceWithNoMemory)),
        (WALK, NO_TIME, Parts(AcceptsAnEarlierEpoch)),
        (PHASES, NO_TIME, Parts(owner=CountsAtTheFirstAnswer)),
        (WALK, TIME, Parts(GrantsDuringALease)),
        (WALK, TIME, Parts(VotesRightAfterItsStart)),
        (WALK, TIME, Parts(owner=CountsFromTheGrant)),
        (PHASES, RENEWING, Parts(owner=CountsRenewalsFromTheAnswer)),
        (WALK, TIME, Parts(owner=OffersBeforeItStops)),
    ],
    ids=lambda each: (
        each
        if isinstance(each, str)
        else ""
        if isinstance(each, Scope)
        else "ToldBeforeItIsOnDisk"
        if each.told_first
        else (each.voter if each.voter is not Voter else each.owner).__name__
    ),
)
def test_a_planted_defect_is_found_and_its_trail_replays(
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


def a_voter_loses_its_memory_between_two_answers(parts: Parts) -> World:
    """A accepts x's record, then loses its memory, and is back before C has the record. No majority holds it then."""
    world = World(NO_TIME, parts).begin()
    world.do(("claim", "x"))
    carry(world, "A", "B", "C", "x")
    world.do(("write", "x"))
    carry(world, "A", "x")
    world.do(("lose", "A"))
    for _ in range(4):
        carry(world, "A", "B", "C")
    assert world.voters["A"].way is None
    carry(world, "C", "x")
    return world


def test_an_answer_from_before_the_memory_was_lost_does_not_count() -> None:
    world = a_voter_loses_its_memory_between_two_answers(Parts())
    assert (1, 2) not in world.counted
    for _ in range(2):  # it hears of the first epoch, then asks for the second
        world.do(("claim", "y"))
        carry(world, "A", "B", "y")
    assert (2, 1) in world.counted


@pytest.mark.parametrize("defect", ["any reply counts", "the life stays"])
def test_without_lives_that_answer_would_count_and_be_lost(defect: str) -> None:
    parts = Parts(KeepsItsLife) if defect == "the life stays" else Parts()
    with patch.object(
        owner_module, "sound", any_reply if defect == "any reply counts" else owner_module.sound
    ):
        world = a_voter_loses_its_memory_between_two_answers(parts)
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


def a_voter_reads_others_on_its_way_back(parts: Parts) -> World:
    """A and C have x's record, and it counts. A loses its memory, reads B at once, and C is cut off then."""
    world = World(NO_TIME, parts).begin()
    act(world, ("claim", "x"), "A", "B", "C", "x")
    act(world, ("write", "x"), "A", "C", "x")
    assert (1, 2) in world.counted
    act(world, ("lose", "A"), "A", "B", "C")  # which life this is
    for other in ("B", "C"):
        for _ in range(3):
            if world.voters["A"].way is not None:
                act(world, ("way", "A"), "A", other)
    assert world.voters["A"].way is None
    claims(world, "y", "A", "B")
    return world


@pytest.mark.parametrize(
    ("script", "defect", "last"),
    [
        (a_record_at_a_minority_is_taken_over, Parts(owner=DoesNotWriteAnew), (3, 1)),
        (a_voter_reads_others_on_its_way_back, Parts(ReadsNobody), (2, 1)),
        (a_voter_reads_others_on_its_way_back, Parts(ForgetsWhatItIsTold), (2, 1)),
    ],
)
def test_what_no_walk_finds_soon_is_found_by_hand(
    script: Any, defect: Parts, last: tuple[int, int]
) -> None:
    assert last in script(Parts()).counted
    with pytest.raises(Breach, match="does not continue"):
        script(defect)


def test_worlds_that_differ_in_names_only_are_one() -> None:
    one, other = World(NO_TIME, Parts()).begin(), World(NO_TIME, Parts()).begin()
    one.do(("claim", "x"))
    one.do(("lose", "A"))
    other.do(("claim", "y"))
    assert one.key() != other.key()
    other.do(("lose", "C"))
    assert one.key() == other.key()
