"""Membership's decisions fed by hand and by hypothesis: wrong datagrams, absurd records, names used twice."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from stepknot.membership import wire
from stepknot.membership.model import (
    MAX_EPOCH,
    MAX_INCARNATION,
    PRESENT_STATES,
    MembershipSettings,
    Record,
    State,
)
from stepknot.membership.protocol import MembershipProtocol
from stepknot.membership.rings import ObserverRings
from stepknot.membership.table import MemberTable, identity_of
from stepknot.simulation.membership_model import Model

pytestmark = pytest.mark.cpu_only


def record(
    name: str = "x",
    epoch: int = 5,
    birth: int = 1,
    incarnation: int = 0,
    state: State = State.ALIVE,
    port: int = 77,
) -> Record:
    return Record(name, "127.0.0.1", port, epoch, birth, incarnation, state)


def member(**given: Any) -> MembershipProtocol:
    found = MembershipProtocol(MembershipSettings(**given), record("me", epoch=10, port=1), seed=1)
    found.tick(0.0)
    found.take()
    return found


def datagram(sender: Record, message: wire.Message, fleet: str = "stepknot") -> bytes:
    return wire.encode(fleet, sender, message)


def beat(sender: Record) -> bytes:
    return datagram(sender, wire.Heartbeat(-1, 0))


def packed(sender: list[Any]) -> bytes:
    return msgspec.msgpack.encode([wire.VERSION, "stepknot", sender, [1, 0, 0]])


def test_what_is_absurd_is_counted_and_changes_nothing() -> None:
    found, chance = member(), random.Random(1)
    whole = beat(record())
    bad = {
        "too long": [bytes(65_507), whole + bytes(1200)],
        "malformed": [
            b"",
            b"\xc1",
            whole[:-1],
            whole[:5],
            chance.randbytes(100),
            b"\x91" * 1000,
            packed(["x", "h", 0, 1, 1, 0, 1]),
            packed(["x", "h", 1, MAX_EPOCH, 1, 0, 1]),
            packed(["x", "h", 1, 1, 1, MAX_INCARNATION, 1]),
            packed(["x" * 65, "h", 1, 1, 1, 0, 1]),
            packed(["x", "h", 1, 1, 1, 0, 9]),
        ],
        "another version": [
            whole.replace(bytes([0x94, wire.VERSION]), bytes([0x94, wire.VERSION - 1]), 1)
        ],
        "another fleet": [datagram(record(), wire.Heartbeat(-1, 0), fleet="other")],
    }
    for reason, datagrams in bad.items():
        for data in datagrams:
            found.receive(0.1, data)
        assert found.counters[f"dropped: {reason}"] == len(datagrams), reason
    assert list(found.table.records) == ["me"] and not found.take()[0]
    found.receive(0.1, whole)
    assert set(found.table.records) == {"me", "x"}


def test_a_datagram_cut_or_flipped_anywhere_hurts_nothing() -> None:
    whole = datagram(record(), wire.Gossip([record("y"), record("z", state=State.SUSPECT)]))
    found = member()
    for at in range(len(whole)):
        found.receive(0.1, whole[:at])
        found.receive(0.1, whole[:at] + bytes([whole[at] ^ 0x55]) + whole[at + 1 :])
    assert len(found.table.records) < 500


def test_whatever_is_well_formed_but_makes_no_sense_is_borne() -> None:
    """Any message from anybody in any state, the own name among them: nothing is raised, and the table fits itself."""
    for seed in range(30):
        chance, found, now = random.Random(seed), member(max_records=12, tombstone=60.0), 0.0

        def any_record(chance: random.Random = chance) -> Record:
            return record(
                chance.choice(["me", *"abcdefghijklmnop"]),
                chance.randrange(12),
                chance.randrange(3),
                chance.randrange(3),
                State(chance.randrange(5)),
                chance.randrange(1, 9),
            )

        for _ in range(400):
            now += chance.choice([0.0, 0.05, 0.3, 4.0])
            name = any_record().name
            message = chance.choice(
                [
                    wire.Heartbeat(
                        chance.randrange(-1, 5000),
                        chance.randrange(2**62),
                        chance.randrange(-1, 3),
                        chance.random() < 0.5,
                        chance.random() < 0.5,
                    ),
                    wire.IndirectProbeRequest(
                        [any_record().name for _ in range(chance.randrange(5))]
                    ),
                    wire.JoinRequest(),
                    wire.IndirectProbeAnswer(
                        [
                            wire.Observation(
                                name,
                                chance.randrange(12),
                                chance.randrange(3),
                                chance.randrange(-1, 9000),
                            )
                        ]
                    ),
                    wire.Gossip(
                        [any_record() for _ in range(chance.randrange(9))],
                        [
                            wire.ShortUpdate(
                                chance.choice([*found.table.identities, 7]),
                                chance.randrange(3),
                                State(chance.randrange(5)),
                            )
                            for _ in range(chance.randrange(4))
                        ],
                    ),
                    wire.RecordRequest(
                        [chance.choice([*found.table.identities, 7])],
                        chance.randbytes(chance.randrange(60)),
                    ),
                    wire.AntiEntropyRequest(
                        chance.randrange(64),
                        chance.randrange(64),
                        chance.randbytes(chance.randrange(60)),
                    ),
                ]
            )
            found.receive(now, datagram(any_record(), message))
            found.tick(now)
            count = found.count(now)
            assert 1 <= count.lower_bound <= count.upper_bound and len(found.table.records) <= 12
            assert (
                sum(found.table.counts) == len(found.table.records) == len(found.table.fingerprints)
            )
            assert {name: each.identity for name, each in found.table.known.items()} == {
                name: each for each, name in found.table.identities.items()
            }
            assert set(found.table.known) == set(found.table.records)
            assert all(len(data) <= wire.MAX_DATAGRAM_BYTES for _, data in found.take()[0])


def test_ten_thousand_invented_members_take_no_more_room_than_the_bound_and_old_ones_stay() -> None:
    found = member(max_records=100)
    found.receive(0.1, beat(record("real")))
    for number in range(10_000):
        found.receive(0.1, datagram(record("real"), wire.Gossip([record(f"invented{number}")])))
    assert len(found.table.records) == 100 and found.table.refused > 9_000
    assert {"me", "real"} <= set(found.table.records)
    assert sum(len(data) for _, data in found.take()[0]) <= 1.5 * found.settings.burst


def test_every_datagram_fits_also_with_the_longest_names() -> None:
    found = member()
    for number in range(60):
        name = f"{number:03}" + "n" * 61
        found.receive(
            0.1,
            datagram(
                Record(
                    name,
                    "1" * 45,
                    65535,
                    MAX_EPOCH - 1,
                    2**32 - 1,
                    MAX_INCARNATION - 1,
                    State.ALIVE,
                ),
                wire.JoinRequest(),
            ),
        )
    for step in range(1, 200):
        found.tick(step / 10)
    sent = found.take()[0]
    assert sent and max(len(data) for _, data in sent) <= wire.MAX_DATAGRAM_BYTES
    assert any(isinstance(wire.decode(data, "stepknot").message, wire.Gossip) for _, data in sent)


def test_names_of_four_bytes_a_letter_get_through_too() -> None:
    """Sixteen of these are over a datagram's size: fewer go at once, and none is held back for good."""
    names = {f"{number:02}" + chr(0x1F004) * 62 for number in range(20)}
    teller = member()
    for name in names:
        teller.receive(0.1, beat(record(name)))
    teller.take()
    teller.dissemination.send_full_records(
        6.0, ("127.0.0.1", 77), [teller.table.records[name] for name in names]
    )
    sent = [data for _, data in teller.take()[0]]
    assert max(map(len, sent)) <= wire.MAX_DATAGRAM_BYTES and not teller.counters["kept back"]
    assert names == {
        each.name for data in sent for each in wire.decode(data, "stepknot").message.records
    }


def test_of_a_process_long_known_only_what_changed_is_told_and_who_lacks_it_asks() -> None:
    teller, knows, lacks = member(), member(), member()
    for each in (teller, knows):
        each.receive(0.1, beat(record()))
    teller.tick(0.2)
    teller.take()
    teller.receive(9.0, datagram(record(incarnation=3), wire.Heartbeat(-1, 0)))
    news, count = teller.dissemination.pack(9.0, [teller.table.records["x"]])
    assert (
        count == 1 and not news.records and [word.incarnation for word in news.short_updates] == [3]
    )
    knows.receive(9.1, datagram(record("t"), news))
    assert knows.table.records["x"].incarnation == 3
    lacks.receive(9.1, datagram(record("t"), news))
    need = [wire.decode(data, "stepknot").message for _, data in lacks.take()[0]]
    asked = [each for each in need if isinstance(each, wire.RecordRequest)]
    assert asked and "x" not in lacks.table.records
    teller.receive(9.2, datagram(record("lacks"), asked[0]))
    for _, data in teller.take()[0]:  # all three have one name here: another brings it
        lacks.receive(9.3, datagram(record("t"), wire.decode(data, "stepknot").message))
    assert lacks.table.records["x"].incarnation == 3
    fresh, _ = teller.dissemination.pack(9.2, [teller.table.records["lacks"]])
    assert fresh.records and not fresh.short_updates


def test_short_news_of_an_earlier_process_do_not_touch_the_one_that_took_its_name() -> None:
    found, old = member(), record(epoch=5)
    found.receive(0.1, beat(record(epoch=6)))
    found.receive(
        0.2,
        datagram(record("t"), wire.Gossip([], [wire.ShortUpdate(identity_of(old), 9, State.DEAD)])),
    )
    assert found.table.records["x"].epoch == 6 and found.table.records["x"].state is State.ALIVE


def test_a_question_about_the_table_gets_what_is_missing_and_asks_for_what_is_lacking_here() -> (
    None
):
    found = member()
    for name in ("a", "b"):
        found.receive(0.1, beat(record(name)))
    found.take()
    found.view.gossip.rounds_left.clear()
    other = MemberTable(100, 600.0)
    for each in (record("a"), record("c")):
        other.put(0.0, each, "")
    found.receive(0.2, datagram(record("t"), wire.AntiEntropyRequest(0, 63, other.section(0)[1])))
    messages = [wire.decode(data, "stepknot").message for _, data in found.take()[0]]
    told = {
        each.name
        for message in messages
        if isinstance(message, wire.Gossip)
        for each in message.records
    }
    (need,) = [message for message in messages if isinstance(message, wire.RecordRequest)]
    assert "b" in told and "a" not in told
    assert {each.name for each in other.with_fingerprints(need.fingerprints)} == {"c"}


def test_an_incarnation_near_its_end_is_followed_by_a_new_epoch() -> None:
    found = member()
    found.receive(
        0.1,
        datagram(
            record(),
            wire.Gossip(
                [
                    msgspec.structs.replace(
                        found.own, incarnation=MAX_INCARNATION - 1, state=State.SUSPECT
                    )
                ]
            ),
        ),
    )
    assert found.own.epoch == 11 and found.own.incarnation == 0 and found.own.state is State.ALIVE


def test_a_name_whose_epochs_are_spent_is_given_up_loudly() -> None:
    found = member()
    found.receive(
        0.1, datagram(record(), wire.Gossip([record("me", epoch=MAX_EPOCH - 1, state=State.DEAD)]))
    )
    assert found.member.stepped_aside and "no epoch" in found.isolation.reason


def test_its_own_address_among_the_seeds_is_not_asked() -> None:
    found = MembershipProtocol(
        MembershipSettings(seeds=(("127.0.0.1", 1),)), record("me", port=1), seed=1
    )
    found.tick(0.0)
    assert found.member.has_joined and not found.take()[0]


def test_seeds_that_do_not_answer_are_asked_again_and_it_counts_as_configured_meanwhile() -> None:
    found = MembershipProtocol(
        MembershipSettings(seeds=(("127.0.0.1", 9),), configured=7), record("me", port=1), seed=1
    )
    asked = 0
    for step in range(600):
        found.tick(step / 10)
        asked += len(found.take()[0])
    assert 20 <= asked <= 100 and not found.member.has_joined and found.isolation.is_isolated
    count = found.count(59.9)
    assert (count.lower_bound, count.upper_bound, count.is_certain) == (1, 7, False)


def test_of_two_living_processes_under_one_name_the_older_steps_aside_and_the_newer_stays() -> None:
    older, newer = member(), member()
    newer.receive(0.1, beat(record("me", epoch=9, port=2)))
    assert not newer.member.stepped_aside
    older.receive(0.1, beat(record("me", epoch=11, port=2)))
    assert older.member.stepped_aside and "another process" in older.isolation.reason


def test_word_of_ones_own_death_is_answered_by_a_greater_incarnation() -> None:
    found = member()
    found.receive(0.1, beat(record()))
    found.receive(0.2, datagram(record(), wire.Heartbeat(-1, 0, suspected_incarnation=0)))
    assert found.own.incarnation == 1 and found.own.state is State.ALIVE


def test_time_that_a_member_stood_still_is_not_counted_as_others_silence() -> None:
    found = member()
    found.receive(0.1, beat(record()))
    for step in range(1, 12):
        found.tick(step / 10)
    before = found.view.subjects["x"].silence(1.1)
    found.tick(9.0)
    assert found.view.subjects["x"].silence(9.0) == pytest.approx(
        before
    ) and not found.health.is_awake(9.0)
    assert found.counters["stood still"] == 1 and not found.count(9.0).is_certain


@pytest.mark.parametrize("heard", [True, False])
def test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard(heard: bool) -> None:
    found, others = member(), [record(f"y{number}") for number in range(4)]
    found.receive(0.1, beat(record()))

    def go_on(since: float, until: float, tellers: int) -> State:
        for step in range(int(since * 10), int(until * 10)):
            for number, other in enumerate(others):
                found.receive(step / 10, datagram(other, wire.Heartbeat(0 if heard else -1, 0)))
                if number < tellers:
                    sign = wire.Observation("x", *record().process, -1)
                    found.receive(step / 10, datagram(other, wire.IndirectProbeAnswer([sign])))
            found.tick(step / 10)
        return found.table.records["x"].state

    assert go_on(0.2, 10.0, tellers=0) is State.ALIVE
    assert go_on(10.0, 12.0, tellers=2) is State.ALIVE
    assert (
        go_on(12.0, 13.9, tellers=3) is State.SUSPECT
    )  # it has time to prove itself, silent for long as it was
    assert go_on(13.9, 26.0, tellers=3) is (State.DEAD if heard else State.SUSPECT)
    assert found.isolation.is_isolated is not heard


def test_a_flood_of_questions_is_answered_within_the_rate() -> None:
    found = member()
    for number in range(5_000):
        found.receive(0.1 + number / 5000, datagram(record(f"x{number % 50}"), wire.JoinRequest()))
    sent = sum(len(data) for _, data in found.take()[0])
    assert 0 < sent <= 1.25 * found.settings.burst + found.settings.rate
    assert found.counters["kept back"] > 4_000


def test_the_dead_are_called_now_and_then() -> None:
    found = member()
    found.receive(0.1, beat(record()))
    found.receive(0.2, datagram(record("y"), wire.Gossip([record(state=State.DEAD)])))
    called = 0
    for step in range(3, 123):
        found.receive(step / 10, beat(record("y")))
        found.tick(step / 10)
        called += sum(
            1
            for address, data in found.take()[0]
            if address == record().address
            and isinstance(message := wire.decode(data, "stepknot").message, wire.Heartbeat)
            and message.suspected_incarnation == 0
            and message.reply_requested
        )
    assert 3 <= called <= 8


def test_what_was_learnt_is_not_unlearnt() -> None:
    table = MemberTable(100, 600.0)
    ranks = [
        record(incarnation=incarnation, state=state)
        for incarnation in (0, 1)
        for state in (State.ALIVE, State.SUSPECT, State.DEAD)
    ]
    orders = [random.Random(seed).sample(ranks, len(ranks)) for seed in range(20)]
    for order in orders:
        table = MemberTable(100, 600.0)
        table.put(0.0, ranks[0], "")
        for each in order:
            table.put(0.0, each, "")
        assert table.records["x"] == ranks[-1] and table.digest == 0


def test_a_table_tells_just_what_another_lacks() -> None:
    one, other = MemberTable(2000, 600.0), MemberTable(2000, 600.0)
    for number in range(700):
        each = record(f"m{number}")
        one.put(0.0, each, "")
        if number % 50:
            other.put(0.0, each, "")
    start, lacking, rounds = 0, set(), 0
    while rounds == 0 or start:
        last, prints = other.section(start)
        assert len(prints) <= 4 * wire.MAX_FINGERPRINTS
        lacking |= {each.name for each in one.compare(start, last, prints).missing_there}
        start, rounds = (last + 1) % wire.BUCKETS, rounds + 1
    assert lacking == {f"m{number}" for number in range(0, 700, 50)} and rounds <= 4


@pytest.mark.parametrize("size", [10, 50, 200])
def test_watching_is_mutual_and_everybody_has_watchers(size: int) -> None:
    rings = ObserverRings(4)
    for number in range(size):
        rings.add(f"m{number}")
    chance = random.Random(size)
    lost = {f"m{number}" for number in range(size) if chance.random() < 0.5}
    near = {
        f"m{number}": rings.neighbours_of(f"m{number}", lambda name: name in lost)
        for number in range(size)
    }
    for name, (nearest, _) in near.items():
        assert all(name in near[other][0] for other in nearest if name not in lost)
    for name in lost:  # whoever is lost is seen to be by somebody who is not
        assert any(name in between for other, (_, between) in near.items() if other not in lost)


class Fleets(RuleBasedStateMachine):
    """Any order of cuts, stalls, deaths, restarts, leaves and waits; at each step what must never be; at the end, once
    all faults are over, one view.
    """

    @initialize(seed=st.integers(0, 2**32), size=st.integers(3, 9))
    def begin(self, seed: int, size: int) -> None:
        self.model = Model(size, seed, MembershipSettings(tombstone=3000.0))
        self.size = size
        self.model.run(2.0)
        self.excused: dict[
            str, float
        ] = {}  # who was cut off, stalled or down, until when that may be felt
        self.cuts: set[tuple[str, str]] = set()
        self.model.network.cut = lambda source, target: (source, target) in self.cuts

    def name(self, number: int) -> str:
        return f"b{number % self.size}"

    @rule(one=st.integers(0, 8), other=st.integers(0, 8))
    def cut(self, one: int, other: int) -> None:
        self.cuts.add((self.name(one), self.name(other)))

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        late=st.sampled_from([0.0, 0.2]),
        copies=st.sampled_from([0.0, 0.3]),
    )
    def weather(self, loss: float, late: float, copies: float) -> None:
        network = self.model.network
        network.loss, network.late, network.copies = loss, late, copies

    @rule(number=st.integers(0, 8), seconds=st.floats(0.1, 12.0))
    def pause(self, number: int, seconds: float) -> None:
        process = self.model.processes[self.name(number)]
        if process.running and not process.left:
            self.model.pause(process.name, seconds)
            self.excused[process.name] = self.model.now + seconds + 30.0

    @rule(number=st.integers(0, 8), back=st.booleans(), epoch=st.sampled_from([0, None]))
    def restart(self, number: int, back: bool, epoch: int | None) -> None:
        name = self.name(number)
        if self.model.processes[name].running:
            self.model.kill(name)
        if back:
            self.model.start(name, epoch=epoch)
        self.excused[name] = self.model.now + 30.0

    @rule(seconds=st.floats(0.1, 15.0))
    def wait(self, seconds: float) -> None:
        self.model.run(self.model.now + seconds)

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @invariant()
    def what_must_never_be(self) -> None:
        if not hasattr(self, "model"):
            return
        now = self.model.now
        truth = len(self.model.up())
        for each in self.model.up():
            count = each.member.count(now)
            assert 1 <= count.lower_bound <= count.upper_bound
            if now > 2.0 and now >= each.paused_until:
                assert count.upper_bound >= truth, (each.name, count, truth)
            table = each.member.table  # type: ignore[attr-defined]
            assert sum(table.counts) == len(table.records) <= table.max_records
            assert table.present == {
                name: one for name, one in table.records.items() if one.state in PRESENT_STATES
            }
        if not self.cuts:
            return
        clean = [
            name
            for name in self.model.processes
            if not any(name in pair for pair in self.cuts) and self.excused.get(name, 0.0) < now
        ]
        for when, at, change in self.model.log:
            if (
                change.new_state is State.DEAD
                and change.name in clean
                and when > now - 10.0
                and at in clean
                and (2 * len(clean) > self.size)
            ):
                raise AssertionError((when, at, change))

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        self.cuts.clear()
        self.model.network.loss = self.model.network.late = self.model.network.copies = 0.0
        for process in list(self.model.processes.values()):
            if not process.running:
                self.model.start(process.name)
        self.model.run(self.model.now + 15.0)  # the longest pause
        end = self.model.now + 60.0
        for _ in self.model.steps(end, step=1.0):
            if (
                self.model.settled()
                and len(
                    {
                        each.member.table.digest  # type: ignore[attr-defined]
                        for each in self.model.up()
                    }
                )
                == 1
            ):
                return
        raise AssertionError(dict(self.model.views().items()))


TestFleets = Fleets.TestCase
TestFleets.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_those_that_watch_the_silent_one_are_asked_first() -> None:
    """Of 60 members eight watch it. Asked at random, three that never heard it would do for a false death."""
    found = member()
    for number in range(60):
        found.receive(0.1, beat(record(f"m{number}", port=1000 + number)))
    found.tick(0.2)
    silent = next(iter(found.view.subjects))
    watchers = set(found.view.rings.neighbours_of(silent, lambda name: False)[0])
    for step in range(3, 40):
        for number in range(60):
            if f"m{number}" != silent:
                found.receive(step / 10, beat(record(f"m{number}", port=1000 + number)))
        found.tick(step / 10)
        asked = {
            f"m{address[1] - 1000}"
            for address, data in found.take()[0]
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest)
        }
        if asked:
            break
    assert len(asked & watchers) >= found.settings.probe_helpers // 2


def sent_kinds(found: MembershipProtocol) -> set[type]:
    return {type(wire.decode(data, "stepknot").message) for _, data in found.take()[0]}


def test_where_little_is_left_of_the_rate_repairs_go_and_questions_wait() -> None:
    """One of 30 is silent, and all views differ from this one."""
    found, names = member(), [f"m{number}" for number in range(30)]
    for name in names:
        found.receive(0.1, beat(record(name)))
    found.tick(0.2)
    silent = next(iter(found.view.subjects))

    def go_on(since: float, until: float, left: float) -> set[type]:
        kinds: set[type] = set()
        for step in range(int(since * 10), int(until * 10)):
            for name in names:
                if name != silent:
                    found.receive(step / 10, beat(record(name)))
            found.outbox.budget.saved = left
            found.tick(step / 10)
            kinds |= sent_kinds(found)
        return kinds

    little = go_on(0.3, 6.0, left=2.2 * wire.MAX_DATAGRAM_BYTES)
    assert wire.AntiEntropyRequest in little and wire.IndirectProbeRequest not in little
    assert wire.IndirectProbeRequest in go_on(6.0, 8.0, left=found.settings.burst)


def asked_about_a_silent_one(when_asked: float, when_told: float) -> tuple[set[type], set[type]]:
    """What a member with so much left of its rate sends when it is asked, and a period later."""
    found = member()
    found.receive(0.1, beat(record("y")))
    found.receive(0.1, beat(record("z")))
    for step in range(2, 30):
        found.tick(step / 10)
    found.take()
    found.outbox.budget.saved, found.outbox.budget.updated_at = when_asked, 3.0
    found.receive(3.0, datagram(record("y"), wire.IndirectProbeRequest(["z"])))
    asked = sent_kinds(found)
    found.outbox.budget.saved, found.outbox.budget.updated_at = (
        when_told,
        3.0 + found.settings.period,
    )
    found.indirect_probes.report_unanswered(3.0 + found.settings.period)
    return asked, sent_kinds(found)


def test_word_that_nothing_was_heard_borrows_nothing() -> None:
    burst = MembershipSettings().burst
    assert asked_about_a_silent_one(burst, burst) == ({wire.Heartbeat}, {wire.IndirectProbeAnswer})
    assert asked_about_a_silent_one(burst, 0.0) == ({wire.Heartbeat}, set())


def test_whoever_is_asked_pings_the_silent_one_also_with_nothing_saved() -> None:
    """The one member that hears it is asked by all: a ping that is kept back makes a way round look like a death."""
    assert asked_about_a_silent_one(0.0, 0.0)[0] == {wire.Heartbeat}


def test_others_are_asked_in_turn_so_that_none_is_left_out_for_long() -> None:
    """Of 40 others, 4 a round at random would leave some out for dozens of rounds; one of them may be the way round."""
    found, names = member(), [f"m{number}" for number in range(40)]
    for number, name in enumerate(names):
        found.receive(0.1, beat(record(name, port=1000 + number)))
    found.tick(0.2)
    silent = next(iter(found.view.subjects))
    asked: set[str] = set()
    for step in range(3, 120):
        for number, name in enumerate(names):
            if name != silent:
                found.receive(
                    step / 10,
                    datagram(
                        record(name, port=1000 + number), wire.Heartbeat(0, found.table.digest)
                    ),
                )
        found.tick(step / 10)
        for address, data in found.take()[0]:
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest):
                sign = wire.Observation(silent, *record(silent).process, -1)
                sender = record(names[address[1] - 1000], port=address[1])
                found.receive(step / 10, datagram(sender, wire.IndirectProbeAnswer([sign])))
                asked.add(sender.name)
        found.outbox.budget.saved = found.settings.burst
        if found.table.records[silent].state is State.DEAD:
            break
    assert len(asked) >= 28  # of 39, in the rounds until it is dead


@pytest.mark.parametrize("tellers", [3, 11, 12])
def test_where_many_are_lost_at_once_more_others_must_have_heard_nothing(tellers: int) -> None:
    found = member()
    lost, left = [f"x{number}" for number in range(6)], [f"y{number}" for number in range(14)]
    for name in lost + left:
        found.receive(0.1, beat(record(name)))
    suspects = wire.Gossip([record(name, state=State.SUSPECT) for name in lost])
    for step in range(2, 260):
        now = step / 10
        if step == 40:
            found.receive(now, datagram(record(left[0]), suspects))
        for number, name in enumerate(left):
            found.receive(now, datagram(record(name), wire.Heartbeat(0, found.table.digest)))
            if number < tellers:
                signs = [wire.Observation(each, *record(each).process, -1) for each in lost]
                found.receive(now, datagram(record(name), wire.IndirectProbeAnswer(signs)))
        found.tick(now)
    watched = [
        name
        for name in lost
        if name in found.view.subjects or found.table.records[name].state is State.DEAD
    ]
    states = {found.table.records[name].state for name in watched}
    assert states == {State.DEAD if tellers >= 12 else State.SUSPECT}
    assert not found.isolation.is_isolated
