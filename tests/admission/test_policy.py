"""Admission's decisions under generated sequences and in the hard cases, without a socket."""

from __future__ import annotations

import math
import random
import tracemalloc
from collections import Counter
from dataclasses import replace

import pytest

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.addresses import (
    NetworkSet,
    format_address,
    format_prefix,
    parse_address,
    prefix_keys,
)
from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import FIXED_DESCRIPTORS, DescriptorBudget, allocate_descriptors
from stepknot.admission.errors import SnapshotDamagedError
from stepknot.admission.heavy_hitters import HeavyHitters
from stepknot.admission.model import (
    AdmissionSettings,
    Placement,
    QuerySlot,
    RejectReason,
    TrustLevel,
    Verdict,
)

SMALL = AdmissionSettings(
    per_address=10,
    per_v4_24=30,
    per_v6_64=10,
    per_v6_56=20,
    rate=1e9,
    queries=8,
    held=40,
    bytes=100_000,
    lane=6,
    reserve=0.25,
    listed=("10.9.0.0/16",),
    conduct=5.0,
    conduct_kept=20,
    tracked=16,
)


class Front:
    """Does what a broker does with verdicts, and checks the bounds after every step."""

    def __init__(
        self, settings: AdmissionSettings = SMALL, seats: int = 40, lists: AccessLists | None = None
    ) -> None:
        self.admission = AdmissionController(settings, seats, lists)
        self.now = 1000.0
        self.number = 0
        self.turns: list[QuerySlot] = []
        self.shed: list[int] = []

    def arrive(self, address: str) -> tuple[int, Verdict]:
        self.number += 1
        verdict = self.admission.on_connection(self.now, self.number, parse_address(address))
        self.take(self.number, verdict)
        return self.number, verdict

    def take(self, number: int, verdict: Verdict) -> None:
        self.shed += verdict.evicted
        if verdict.placement is Placement.REJECTED:
            self.admission.on_connection_closed(number)
        self.check()

    def ask(
        self, number: int, tenant: str = "", share: float = 0.0, level: int = 0
    ) -> QuerySlot | Verdict:
        guest = self.admission.connections[number]
        came = self.admission.admit_query(self.now, number, guest.address, tenant, share, level)
        if isinstance(came, QuerySlot):
            self.turns.append(came)
        self.check()
        return came

    def answer(self, turn: QuerySlot, good: bool = True) -> None:
        self.turns.remove(turn)
        self.admission.on_query_ended(self.now, turn, good)
        self.admission.on_idle(turn.connection)
        self.check()

    def check(self) -> None:
        admission, settings = self.admission, self.admission.settings
        seats = Counter(
            guest.trust
            for guest in admission.connections.values()
            if guest.placement is Placement.ADMITTED
        )
        assert (
            Counter({rank: count for rank, count in admission.slots.by_trust.items() if count})
            == seats
        )
        assert seats.total() <= admission.slots.capacity
        assert seats[TrustLevel.UNKNOWN] <= admission.slots.capacity - math.ceil(
            admission.slots.capacity * settings.reserve
        )
        lane = sum(guest.placement is Placement.WAITING for guest in admission.connections.values())
        assert lane == len(admission.queue) <= settings.lane
        assert len(self.turns) == admission.queries.taken <= settings.held
        unknown = sum(turn.trust is TrustLevel.UNKNOWN for turn in self.turns)
        assert unknown <= settings.held - math.ceil(settings.held * settings.reserve)
        assert (
            admission.byte_budget.reserved
            == sum(guest.bytes_reserved for guest in admission.connections.values())
            <= settings.bytes
        )
        assert (
            len(admission.reputation) <= settings.conduct_kept
            and len(admission.arrival_rates) <= settings.tracked
        )
        open_addresses = {guest.address for guest in admission.connections.values()} | {
            turn.address for turn in self.turns
        }
        assert set(admission.queries.by_address) <= open_addresses
        assert set(admission.byte_budget.by_address) <= open_addresses
        assert set(admission.slots.idle) <= open_addresses
        assert (
            set(admission.slots.by_address.descending()) <= open_addresses
            and set(admission.queue.by_address) <= open_addresses
        )


@pytest.mark.parametrize("seed", range(12))
def test_generated_sequences_keep_every_bound(seed: int) -> None:
    rng, front = random.Random(seed), Front()
    pool = (
        [f"10.0.{rng.randrange(3)}.{rng.randrange(6)}" for _ in range(12)]
        + [f"10.9.0.{each}" for each in range(4)]
        + [f"fd00:0:0:{each:x}::{rng.randrange(9):x}" for each in range(6)]
    )
    for _ in range(800):
        front.now += rng.choice([0.0, 0.0, 0.01, 0.5, 3.0, -0.2])
        guests = front.admission.connections
        seated = [
            number for number, guest in guests.items() if guest.placement is Placement.ADMITTED
        ]
        laned = [number for number, guest in guests.items() if guest.placement is Placement.WAITING]
        match rng.randrange(10):
            case 0 | 1 | 2:
                front.arrive(rng.choice(pool))
            case 3 | 4 if seated:
                number = rng.choice(seated)
                before = len(front.shed)
                front.ask(number, rng.choice(["", "a"]), 0.2, rng.randrange(3))
                assert len(front.shed) == before  # a query never costs anybody a connection
            case 5 | 6 if front.turns:
                turn = rng.choice(front.turns)
                front.answer(turn, rng.random() < 0.9)
            case 7 if guests:
                number = rng.choice(list(guests))
                front.admission.on_connection_closed(number)
                front.admission.on_connection_closed(number)
                front.check()
            case 8 if laned:
                number = rng.choice(laned)
                front.take(
                    number,
                    front.admission.on_first_request(front.now, number, rng.choice(["", "ops"])),
                )
            case 9 if seated:
                number = rng.choice(seated)
                size = rng.randrange(1, 40_000)
                if front.admission.reserve_bytes(number, size):
                    front.admission.on_request_bytes(number)
                front.check()
        assert all(
            turn.connection not in front.shed for turn in front.turns
        )  # nobody is shed with a query in work
        front.shed.clear()
    for number in list(front.admission.connections):
        front.admission.on_connection_closed(number)
    for turn in list(front.turns):
        front.answer(turn)
    admission = front.admission
    assert (
        not admission.queries.by_address
        and not admission.byte_budget.by_address
        and not admission.slots.idle
        and not admission.slots.by_prefix
        and not admission.slots.by_key
        and admission.byte_budget.reserved == 0
    )
    assert (
        not len(admission.slots.by_address)
        and not admission.queue.by_address
        and not admission.queries.by_tenant
    )


def test_a_flood_from_one_address_leaves_room_for_all_others() -> None:
    front = Front()
    verdicts = [front.arrive("10.0.0.1")[1] for _ in range(5000)]
    assert Counter(each.placement for each in verdicts)[Placement.ADMITTED] == 10
    assert {each.reason for each in verdicts[10:]} == {RejectReason.ADDRESS_CONNECTIONS}
    assert all(
        front.arrive(f"10.0.1.{each}")[1].placement is Placement.ADMITTED for each in range(20)
    )
    assert all(
        front.arrive(f"10.9.0.{each}")[1].placement is Placement.ADMITTED for each in range(10)
    )


def test_when_all_seats_are_taken_the_heaviest_address_gives_up_its_idlest() -> None:
    front = Front()
    many = [front.arrive("10.0.0.1")[0] for _ in range(10)]
    for each in range(20):
        front.arrive(f"10.0.1.{each}")
    assert front.admission.slots.by_trust[TrustLevel.UNKNOWN] == 30
    front.admission.on_idle(many[0])  # used of late: the second one is the idlest now
    _number, verdict = front.arrive("10.0.2.1")
    assert verdict.placement is Placement.ADMITTED and verdict.evicted == (many[1],)
    assert isinstance(front.ask(many[2]), QuerySlot)
    assert front.arrive("10.0.2.2")[1].evicted == (many[3],)  # not the one with a query in work


def test_with_equal_shares_nobody_is_shed_and_the_newcomer_is_refused() -> None:
    front = Front()
    for each in range(30):
        front.arrive(f"10.0.{each % 3}.{each}")
    verdict = front.arrive("10.1.0.1")[1]
    assert (verdict.placement, verdict.reason, verdict.evicted) == (
        Placement.WAITING,
        RejectReason.ALL_CONNECTIONS,
        (),
    )


def test_the_reserve_is_for_known_clients_who_may_also_displace_the_unknown() -> None:
    front = Front()
    for each in range(40):
        front.arrive(f"10.0.{each % 4}.{each}")
    known = [front.arrive(f"10.9.{each}.1")[1] for each in range(12)]
    assert [each.placement for each in known] == [Placement.ADMITTED] * 12
    assert [len(each.evicted) for each in known] == [0] * 10 + [1] * 2
    assert (
        front.admission.slots.by_trust[TrustLevel.LISTED] == 12
        and front.admission.slots.by_trust[TrustLevel.UNKNOWN] == 28
    )


def test_a_key_opens_a_seat_from_the_lane_but_lifts_no_ban() -> None:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.7.0/24", math.inf)
    front = Front(lists=lists)
    for _ in range(10):
        front.arrive("10.0.0.1")
    number, verdict = front.arrive("10.0.0.1")
    assert verdict.placement is Placement.WAITING
    verdict = front.admission.on_first_request(front.now, number, "ops")
    assert (
        verdict.placement is Placement.ADMITTED
        and front.admission.connections[number].trust is TrustLevel.LISTED
    )
    front.check()
    number, verdict = front.arrive("10.0.7.1")
    assert verdict.reason is RejectReason.BANNED
    assert front.admission.on_first_request(front.now, number, "ops").reason is RejectReason.BANNED
    front.check()


def test_a_key_has_its_own_cap() -> None:
    front = Front(seats=100)
    seats = 0
    for each in range(60):
        number, _ = front.arrive(f"10.0.{each % 5}.{each}")
        seats += (
            front.admission.on_first_request(front.now, number, "ops").placement
            is Placement.ADMITTED
        )
        front.check()
    assert front.admission.slots.by_key["ops"] == 40  # per_address, times the factor of the known


def test_the_lane_lets_go_of_whoever_has_most_of_it() -> None:
    front = Front()
    for _ in range(10 + 6):
        front.arrive("10.0.0.1")
    assert (
        len(front.admission.queue) == 6
        and front.arrive("10.0.0.1")[1].placement is Placement.REJECTED
    )
    for each in range(20):
        front.arrive(f"10.0.1.{each}")
    front.shed.clear()
    _number, verdict = front.arrive("10.0.1.1")
    while verdict.placement is Placement.ADMITTED:
        _number, verdict = front.arrive("10.0.1.1")
    assert (
        verdict.placement is Placement.WAITING
        and len(front.admission.queue) == 6
        and len(front.shed) > 0
    )


@pytest.mark.parametrize(
    "make,cap",
    [
        (lambda n: f"fd00:0:0:{n % 256:x}::{n:x}", 20),  # 2,000 addresses of one /56
        (lambda n: f"fd00:0:0:1::{n:x}", 10),  # of one /64
        (lambda n: f"10.1.1.{n % 250}", 30),
    ],
)
def test_many_addresses_of_one_prefix_count_together(make: object, cap: int) -> None:
    front = Front(seats=400)
    seats = sum(front.arrive(make(each))[1].placement is Placement.ADMITTED for each in range(2000))  # type: ignore[operator]
    assert seats == cap
    assert (
        front.arrive("fd01::1")[1].placement is Placement.ADMITTED
        and front.arrive("10.2.0.1")[1].placement is Placement.ADMITTED
    )


def test_a_rate_is_refused_and_forgotten_once_it_stops() -> None:
    front = Front(replace(SMALL, rate=5.0, memory=2.0))

    def visit(address: str) -> Verdict:
        number, verdict = front.arrive(address)
        front.admission.on_connection_closed(number)
        front.check()
        return verdict

    refused = 0
    for _ in range(1000):
        front.now += 0.01
        refused += visit("10.0.0.1").reason is RejectReason.RATE
        if front.number % 40 == 0:
            assert visit("10.0.0.2").reason is None
    assert refused > 900
    last = visit("10.0.0.1")
    assert 0.0 < last.retry_after < 1.0  # what was refused did not count
    front.now += last.retry_after + 0.01
    assert visit("10.0.0.1").reason is None


def test_good_conduct_is_earned_by_time_and_lost_by_misbehaving() -> None:
    front = Front()
    number, _ = front.arrive("10.0.0.5")
    for _ in range(2000):  # a flood of good queries within a second earns a point
        turn = front.ask(number)
        assert isinstance(turn, QuerySlot)
        front.now += 0.0005
        front.answer(turn)
    assert front.admission.trust_level(front.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN
    for _ in range(10):
        front.now += 1.0
        turn = front.ask(number)
        assert isinstance(turn, QuerySlot)
        front.answer(turn)
    assert front.admission.trust_level(front.now, parse_address("10.0.0.5")) is TrustLevel.REPUTABLE
    front.admission.reputation.penalize(front.now, parse_address("10.0.0.5"))
    front.admission.reputation.penalize(front.now, parse_address("10.0.0.5"))
    assert front.admission.trust_level(front.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN
    front.now += 1e5
    assert front.admission.trust_level(front.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN


def test_clients_known_by_conduct_get_half_of_the_reserve_at_most() -> None:
    front = Front()
    for each in range(30):
        front.arrive(f"10.0.{each % 3}.{each}")
    for _ in range(100):
        front.now += 1.0
        for each in range(12):
            front.admission.reputation.reward(front.now, parse_address(f"10.3.{each}.1"))
    seats = [front.arrive(f"10.3.{each}.1")[1] for each in range(12)]
    assert front.admission.slots.by_trust[TrustLevel.LISTED] == 0
    assert front.admission.slots.taken_up_to(TrustLevel.REPUTABLE) <= 35
    assert sum(each.placement is Placement.ADMITTED for each in seats) >= 5
    assert front.arrive("10.9.0.1")[1].placement is Placement.ADMITTED


def test_one_address_gets_half_of_the_turns_and_others_still_get_theirs() -> None:
    front = Front(replace(SMALL, queries=1000))
    heavy = [front.arrive("10.0.0.1")[0] for _ in range(10)]
    taken = sum(isinstance(front.ask(heavy[each % 10]), QuerySlot) for each in range(100))
    assert taken == 15  # of the thirty that unknown clients may have
    others = [front.arrive(f"10.0.1.{each}")[0] for each in range(15)]
    assert all(isinstance(front.ask(each), QuerySlot) for each in others)
    known = front.arrive("10.9.0.1")[0]
    came = front.ask(others[0])
    assert isinstance(came, Verdict) and came.reason is RejectReason.ALL_QUERIES
    assert isinstance(front.ask(known), QuerySlot)


def test_what_is_worth_less_is_refused_first() -> None:
    front = Front(
        replace(SMALL, queries=1000, reserve=0.0, per_address=1000, per_v4_24=1000), seats=2000
    )
    numbers = [front.arrive(f"10.0.{each // 200}.{each % 200}")[0] for each in range(200)]
    taken = 0
    while isinstance(front.ask(numbers[taken], level=4), QuerySlot):
        taken += 1
    assert taken == 32  # four levels of 5% of forty stay free
    assert isinstance(front.ask(numbers[taken], level=1), QuerySlot)


def test_a_tenant_has_its_share_of_the_turns() -> None:
    front = Front(replace(SMALL, queries=1000, reserve=0.0))
    numbers = [front.arrive(f"10.0.{each}.1")[0] for each in range(30)]
    came = [front.ask(each, "a", 0.1) for each in numbers[:6]]
    assert [isinstance(each, QuerySlot) for each in came] == [True] * 4 + [False] * 2
    assert isinstance(came[-1], Verdict) and came[-1].reason is RejectReason.TENANT_QUERIES
    assert isinstance(front.ask(numbers[7], "b", 0.1), QuerySlot)


def test_keep_alive_is_shortened_as_seats_fill() -> None:
    front, seen = Front(seats=100), []
    for each in range(75):
        seen.append(front.admission.slots.idle_timeout(60.0))
        front.arrive(f"10.{each}.0.1")
    assert seen[0] == seen[49] == 60.0 and seen == sorted(seen, reverse=True) and 25 < seen[-1] < 35


def test_bytes_held_are_shared_out() -> None:
    front = Front()
    first, second = front.arrive("10.0.0.1")[0], front.arrive("10.0.0.2")[0]
    size = 0
    while front.admission.reserve_bytes(first, 10_000):
        size += 10_000
    assert size == 50_000 and front.admission.reserve_bytes(second, 20_000)
    front.admission.on_connection_closed(first)
    front.check()
    assert front.admission.byte_budget.reserved == 20_000


# --- rates in fixed memory


@pytest.mark.parametrize("seed", range(6))
def test_heavy_counters_are_never_too_low_nor_sure_of_too_much(seed: int) -> None:
    rng, heavy, true, now = random.Random(seed), HeavyHitters(20, 5.0), Counter[bytes](), 50.0
    total = 0.0
    for _ in range(3000):
        passed = rng.choice([0.0, 0.01, 0.2])
        now += passed
        fade = math.exp(-passed / 5.0)
        for key in true:
            true[key] *= fade  # type: ignore[assignment]
        total = total * fade + 1
        key = b"k%d" % min(int(rng.expovariate(0.05)), 200)
        heavy.add(now, key)
        true[key] += 1
    for key, count in true.items():
        assert heavy.lower_bound(now, key) <= count + 1e-6
        if count > total / 20:
            assert key in heavy
    for top in heavy.top(now, 5):
        assert top.count - top.error - 1e-6 <= true[top.key] <= top.count + 1e-6


def test_a_million_addresses_take_no_more_memory_than_a_few_thousand() -> None:
    admission = AdmissionController(replace(SMALL, tracked=1024, conduct_kept=4096), 100)
    tracemalloc.start()
    sizes = []
    for number in range(60_000):
        address = number.to_bytes(4)
        admission.on_connection(number / 1000, number, address)
        admission.reputation.reward(number / 1000, address)
        admission.on_connection_closed(number)
        if number in (20_000, 59_999):
            sizes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert sizes[1] < sizes[0] * 1.1 and not admission.connections


def test_weights_that_grow_are_scaled_down() -> None:
    heavy = HeavyHitters(4, 1.0)
    for second in range(2000):
        heavy.add(float(second), b"a")
    assert 1.0 < heavy.lower_bound(1999.0, b"a") < 2.0
    heavy.add(1e9, b"b")
    assert heavy.lower_bound(1e9, b"a") < 1e-9 and heavy.lower_bound(1e9, b"b") == pytest.approx(
        1.0
    )


# --- descriptors, lists, addresses


@pytest.mark.parametrize("limit", [64, 128, 256, 1024, 65536, 1_000_000])
def test_descriptor_budgets_never_pass_the_limit(limit: int) -> None:
    for boxes in (0, 6, 500, 100_000):
        for connections in (0, 10, 5000):
            found = allocate_descriptors(limit, boxes, 128, connections)
            assert isinstance(found, DescriptorBudget) and found.total() <= limit
            assert min(found.clients, found.waiting) >= 4 and found.fixed == FIXED_DESCRIPTORS
            assert found.servers == boxes or found.servers >= 8


def test_a_limit_too_low_is_told() -> None:
    with pytest.raises(ValueError, match="at least"):
        allocate_descriptors(40, 10, 10)


def test_lists_come_back_from_disk_and_damage_is_seen() -> None:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.0.0/8", 100.0)
    lists.add(AccessList.ALLOWED, "10.1.2.3/32", math.inf)
    data = lists.dump()
    back = AccessLists.load(data)
    assert back.banned == lists.banned and back.contains(
        AccessList.ALLOWED, parse_address("10.1.2.3")
    )
    for damaged in (data[:-10], data.replace(b"10.0", b"11.0"), b"", b"x\n{}", data[1:]):
        with pytest.raises(SnapshotDamagedError):
            AccessLists.load(damaged)
    assert back.remove_expired(101.0) == ["10.0.0.0/8"] and not back.contains(
        AccessList.BANNED, parse_address("10.9.9.9")
    )
    with pytest.raises(ValueError, match="host bits"):
        lists.add(AccessList.BANNED, "10.0.0.1/8", 1.0)


def test_addresses_prefixes_and_networks() -> None:
    assert parse_address("::ffff:10.0.0.1") == parse_address("10.0.0.1") and parse_address(
        "fe80::1%eth0"
    ) == parse_address("fe80::1")
    assert [format_prefix(each) for each in prefix_keys(parse_address("10.1.2.3"))] == [
        "10.1.2.0/24"
    ]
    assert [format_prefix(each) for each in prefix_keys(parse_address("fd00:1:2:3ff::9"))] == [
        "fd00:1:2:3ff::/64",
        "fd00:1:2:300::/56",
    ]
    found = NetworkSet(["10.0.0.0/8", "fd00::/8", "192.168.1.1"])
    for text, held in (
        ("10.255.0.1", True),
        ("11.0.0.1", False),
        ("fdff::1", True),
        ("192.168.1.1", True),
        ("192.168.1.2", False),
        ("::a00:1", False),
    ):
        assert (parse_address(text) in found) is held
    assert format_address(parse_address("fd00::1")) == "fd00::1"
