"""Tests of admission control without sockets: generated sequences of events, and single difficult cases."""

from __future__ import annotations

import math
import random
import tracemalloc
from collections import Counter
from dataclasses import replace

import pytest

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.addresses import (
    parse_address,
)
from stepknot.admission.controller import AdmissionController
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


class ControllerDriver:
    """Carries out verdicts as a broker does, and checks invariants 1, 2 and 5 after every step."""

    def __init__(
        self,
        settings: AdmissionSettings = SMALL,
        capacity: int = 40,
        lists: AccessLists | None = None,
    ) -> None:
        self.admission = AdmissionController(settings, capacity, lists)
        self.now = 1000.0
        self.number = 0
        self.slots: list[QuerySlot] = []
        self.evicted: list[int] = []

    def connect(self, address: str) -> tuple[int, Verdict]:
        self.number += 1
        verdict = self.admission.on_connection(self.now, self.number, parse_address(address))
        self.apply(self.number, verdict)
        return self.number, verdict

    def apply(self, number: int, verdict: Verdict) -> None:
        self.evicted += verdict.evicted
        if verdict.placement is Placement.REJECTED:
            self.admission.on_connection_closed(number)
        self.check_invariants()

    def query(
        self, number: int, tenant: str = "", quota: float = 0.0, level: int = 0
    ) -> QuerySlot | Verdict:
        connection = self.admission.connections[number]
        result = self.admission.admit_query(
            self.now, number, connection.address, tenant, quota, level
        )
        if isinstance(result, QuerySlot):
            self.slots.append(result)
        self.check_invariants()
        return result

    def end_query(self, slot: QuerySlot, succeeded: bool = True) -> None:
        self.slots.remove(slot)
        self.admission.on_query_ended(self.now, slot, succeeded)
        self.admission.on_idle(slot.connection)
        self.check_invariants()

    def check_invariants(self) -> None:
        admission, settings = self.admission, self.admission.settings
        by_trust = Counter(
            connection.trust
            for connection in admission.connections.values()
            if connection.placement is Placement.ADMITTED
        )
        assert (
            Counter({trust: count for trust, count in admission.slots.by_trust.items() if count})
            == by_trust
        )
        assert by_trust.total() <= admission.slots.capacity
        assert by_trust[TrustLevel.UNKNOWN] <= admission.slots.capacity - math.ceil(
            admission.slots.capacity * settings.reserve
        )
        waiting = sum(
            connection.placement is Placement.WAITING
            for connection in admission.connections.values()
        )
        assert waiting == len(admission.queue) <= settings.lane
        assert len(self.slots) == admission.queries.taken <= settings.held
        unknown = sum(slot.trust is TrustLevel.UNKNOWN for slot in self.slots)
        assert unknown <= settings.held - math.ceil(settings.held * settings.reserve)
        assert (
            admission.byte_budget.reserved
            == sum(connection.bytes_reserved for connection in admission.connections.values())
            <= settings.bytes
        )
        assert (
            len(admission.reputation) <= settings.conduct_kept
            and len(admission.arrival_rates) <= settings.tracked
        )
        open_addresses = {connection.address for connection in admission.connections.values()} | {
            slot.address for slot in self.slots
        }
        assert set(admission.queries.by_address) <= open_addresses
        assert set(admission.byte_budget.by_address) <= open_addresses
        assert set(admission.slots.idle) <= open_addresses
        assert (
            set(admission.slots.by_address.descending()) <= open_addresses
            and set(admission.queue.by_address) <= open_addresses
        )


@pytest.mark.parametrize("seed", range(12))
def test_generated_sequences_keep_every_limit(seed: int) -> None:
    rng, driver = random.Random(seed), ControllerDriver()
    pool = (
        [f"10.0.{rng.randrange(3)}.{rng.randrange(6)}" for _ in range(12)]
        + [f"10.9.0.{each}" for each in range(4)]
        + [f"fd00:0:0:{each:x}::{rng.randrange(9):x}" for each in range(6)]
    )
    for _ in range(800):
        driver.now += rng.choice([0.0, 0.0, 0.01, 0.5, 3.0, -0.2])
        connections = driver.admission.connections
        admitted = [
            number
            for number, connection in connections.items()
            if connection.placement is Placement.ADMITTED
        ]
        waiting = [
            number
            for number, connection in connections.items()
            if connection.placement is Placement.WAITING
        ]
        match rng.randrange(10):
            case 0 | 1 | 2:
                driver.connect(rng.choice(pool))
            case 3 | 4 if admitted:
                number = rng.choice(admitted)
                before = len(driver.evicted)
                driver.query(number, rng.choice(["", "a"]), 0.2, rng.randrange(3))
                assert len(driver.evicted) == before  # a query never evicts a connection
            case 5 | 6 if driver.slots:
                slot = rng.choice(driver.slots)
                driver.end_query(slot, rng.random() < 0.9)
            case 7 if connections:
                number = rng.choice(list(connections))
                driver.admission.on_connection_closed(number)
                driver.admission.on_connection_closed(number)
                driver.check_invariants()
            case 8 if waiting:
                number = rng.choice(waiting)
                driver.apply(
                    number,
                    driver.admission.on_first_request(driver.now, number, rng.choice(["", "ops"])),
                )
            case 9 if admitted:
                number = rng.choice(admitted)
                size = rng.randrange(1, 40_000)
                if driver.admission.reserve_bytes(number, size):
                    driver.admission.on_request_bytes(number)
                driver.check_invariants()
        assert all(
            slot.connection not in driver.evicted for slot in driver.slots
        )  # no connection with a query in flight is evicted
        driver.evicted.clear()
    for number in list(driver.admission.connections):
        driver.admission.on_connection_closed(number)
    for slot in list(driver.slots):
        driver.end_query(slot)
    admission = driver.admission
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


def test_flood_from_one_address_leaves_slots_for_all_others() -> None:
    driver = ControllerDriver()
    verdicts = [driver.connect("10.0.0.1")[1] for _ in range(5000)]
    assert Counter(each.placement for each in verdicts)[Placement.ADMITTED] == 10
    assert {each.reason for each in verdicts[10:]} == {RejectReason.ADDRESS_CONNECTIONS}
    assert all(
        driver.connect(f"10.0.1.{each}")[1].placement is Placement.ADMITTED for each in range(20)
    )
    assert all(
        driver.connect(f"10.9.0.{each}")[1].placement is Placement.ADMITTED for each in range(10)
    )


def test_new_connection_evicts_the_longest_idle_one_of_the_heaviest_address() -> None:
    driver = ControllerDriver()
    numbers = [driver.connect("10.0.0.1")[0] for _ in range(10)]
    for each in range(20):
        driver.connect(f"10.0.1.{each}")
    assert driver.admission.slots.by_trust[TrustLevel.UNKNOWN] == 30
    driver.admission.on_idle(numbers[0])  # used just now, so the second one is idle for longest
    _number, verdict = driver.connect("10.0.2.1")
    assert verdict.placement is Placement.ADMITTED and verdict.evicted == (numbers[1],)
    assert isinstance(driver.query(numbers[2]), QuerySlot)
    # The third one has a query in flight.
    assert driver.connect("10.0.2.2")[1].evicted == (numbers[3],)


def test_new_connection_among_equal_addresses_evicts_none_and_is_rejected() -> None:
    driver = ControllerDriver()
    for each in range(30):
        driver.connect(f"10.0.{each % 3}.{each}")
    verdict = driver.connect("10.1.0.1")[1]
    assert (verdict.placement, verdict.reason, verdict.evicted) == (
        Placement.WAITING,
        RejectReason.ALL_CONNECTIONS,
        (),
    )


def test_known_clients_get_the_reserve_and_evict_unknown_ones() -> None:
    driver = ControllerDriver()
    for each in range(40):
        driver.connect(f"10.0.{each % 4}.{each}")
    known = [driver.connect(f"10.9.{each}.1")[1] for each in range(12)]
    assert [each.placement for each in known] == [Placement.ADMITTED] * 12
    assert [len(each.evicted) for each in known] == [0] * 10 + [1] * 2
    assert (
        driver.admission.slots.by_trust[TrustLevel.LISTED] == 12
        and driver.admission.slots.by_trust[TrustLevel.UNKNOWN] == 28
    )


def test_api_key_admits_from_the_waiting_queue_but_lifts_no_ban() -> None:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.7.0/24", math.inf)
    driver = ControllerDriver(lists=lists)
    for _ in range(10):
        driver.connect("10.0.0.1")
    number, verdict = driver.connect("10.0.0.1")
    assert verdict.placement is Placement.WAITING
    verdict = driver.admission.on_first_request(driver.now, number, "ops")
    assert (
        verdict.placement is Placement.ADMITTED
        and driver.admission.connections[number].trust is TrustLevel.LISTED
    )
    driver.check_invariants()
    number, verdict = driver.connect("10.0.7.1")
    assert verdict.reason is RejectReason.BANNED
    assert (
        driver.admission.on_first_request(driver.now, number, "ops").reason is RejectReason.BANNED
    )
    driver.check_invariants()


def test_api_key_has_its_own_limit() -> None:
    driver = ControllerDriver(capacity=100)
    admitted = 0
    for each in range(60):
        number, _ = driver.connect(f"10.0.{each % 5}.{each}")
        admitted += (
            driver.admission.on_first_request(driver.now, number, "ops").placement
            is Placement.ADMITTED
        )
        driver.check_invariants()
    assert driver.admission.slots.by_key["ops"] == 40  # per_address times known_factor


def test_full_waiting_queue_evicts_from_the_heaviest_address() -> None:
    driver = ControllerDriver()
    for _ in range(10 + 6):
        driver.connect("10.0.0.1")
    assert (
        len(driver.admission.queue) == 6
        and driver.connect("10.0.0.1")[1].placement is Placement.REJECTED
    )
    for each in range(20):
        driver.connect(f"10.0.1.{each}")
    driver.evicted.clear()
    _number, verdict = driver.connect("10.0.1.1")
    while verdict.placement is Placement.ADMITTED:
        _number, verdict = driver.connect("10.0.1.1")
    assert (
        verdict.placement is Placement.WAITING
        and len(driver.admission.queue) == 6
        and len(driver.evicted) > 0
    )


@pytest.mark.parametrize(
    "make_address,limit",
    [
        (lambda n: f"fd00:0:0:{n % 256:x}::{n:x}", 20),  # 2,000 addresses in one /56
        (lambda n: f"fd00:0:0:1::{n:x}", 10),  # 2,000 addresses in one /64
        (lambda n: f"10.1.1.{n % 250}", 30),  # 250 addresses in one /24
    ],
)
def test_addresses_of_one_prefix_count_together(make_address: object, limit: int) -> None:
    driver = ControllerDriver(capacity=400)
    admitted = sum(
        driver.connect(make_address(each))[1].placement is Placement.ADMITTED
        for each in range(2000)
    )  # type: ignore[operator]
    assert admitted == limit
    assert (
        driver.connect("fd01::1")[1].placement is Placement.ADMITTED
        and driver.connect("10.2.0.1")[1].placement is Placement.ADMITTED
    )


def test_excessive_rate_is_rejected_until_it_stops() -> None:
    driver = ControllerDriver(replace(SMALL, rate=5.0, memory=2.0))

    def connect_and_close(address: str) -> Verdict:
        number, verdict = driver.connect(address)
        driver.admission.on_connection_closed(number)
        driver.check_invariants()
        return verdict

    rejected = 0
    for _ in range(1000):
        driver.now += 0.01
        rejected += connect_and_close("10.0.0.1").reason is RejectReason.RATE
        if driver.number % 40 == 0:
            assert connect_and_close("10.0.0.2").reason is None
    assert rejected > 900
    last = connect_and_close("10.0.0.1")
    assert 0.0 < last.retry_after < 1.0  # a rejected connection does not count
    driver.now += last.retry_after + 0.01
    assert connect_and_close("10.0.0.1").reason is None


def test_reputation_is_earned_by_time_and_lost_by_misconduct() -> None:
    driver = ControllerDriver()
    number, _ = driver.connect("10.0.0.5")
    for _ in range(2000):  # a flood of served queries within one second gains a single point
        slot = driver.query(number)
        assert isinstance(slot, QuerySlot)
        driver.now += 0.0005
        driver.end_query(slot)
    assert driver.admission.trust_level(driver.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN
    for _ in range(10):
        driver.now += 1.0
        slot = driver.query(number)
        assert isinstance(slot, QuerySlot)
        driver.end_query(slot)
    assert (
        driver.admission.trust_level(driver.now, parse_address("10.0.0.5")) is TrustLevel.REPUTABLE
    )
    driver.admission.reputation.penalize(driver.now, parse_address("10.0.0.5"))
    driver.admission.reputation.penalize(driver.now, parse_address("10.0.0.5"))
    assert driver.admission.trust_level(driver.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN
    driver.now += 1e5
    assert driver.admission.trust_level(driver.now, parse_address("10.0.0.5")) is TrustLevel.UNKNOWN


def test_reputable_clients_get_half_of_the_reserve_at_most() -> None:
    driver = ControllerDriver()
    for each in range(30):
        driver.connect(f"10.0.{each % 3}.{each}")
    for _ in range(100):
        driver.now += 1.0
        for each in range(12):
            driver.admission.reputation.reward(driver.now, parse_address(f"10.3.{each}.1"))
    verdicts = [driver.connect(f"10.3.{each}.1")[1] for each in range(12)]
    assert driver.admission.slots.by_trust[TrustLevel.LISTED] == 0
    assert driver.admission.slots.taken_up_to(TrustLevel.REPUTABLE) <= 35
    assert sum(each.placement is Placement.ADMITTED for each in verdicts) >= 5
    assert driver.connect("10.9.0.1")[1].placement is Placement.ADMITTED


def test_one_address_gets_half_of_the_query_slots_and_others_still_get_theirs() -> None:
    driver = ControllerDriver(replace(SMALL, queries=1000))
    heavy = [driver.connect("10.0.0.1")[0] for _ in range(10)]
    admitted = sum(isinstance(driver.query(heavy[each % 10]), QuerySlot) for each in range(100))
    assert admitted == 15  # half of the 30 slots that unknown clients may have
    others = [driver.connect(f"10.0.1.{each}")[0] for each in range(15)]
    assert all(isinstance(driver.query(each), QuerySlot) for each in others)
    known = driver.connect("10.9.0.1")[0]
    result = driver.query(others[0])
    assert isinstance(result, Verdict) and result.reason is RejectReason.ALL_QUERIES
    assert isinstance(driver.query(known), QuerySlot)


def test_lower_priority_is_rejected_first() -> None:
    driver = ControllerDriver(
        replace(SMALL, queries=1000, reserve=0.0, per_address=1000, per_v4_24=1000), capacity=2000
    )
    numbers = [driver.connect(f"10.0.{each // 200}.{each % 200}")[0] for each in range(200)]
    admitted = 0
    while isinstance(driver.query(numbers[admitted], level=4), QuerySlot):
        admitted += 1
    assert admitted == 32  # four levels of 5% of 40 slots stay free
    assert isinstance(driver.query(numbers[admitted], level=1), QuerySlot)


def test_tenant_gets_its_quota_of_the_query_slots() -> None:
    driver = ControllerDriver(replace(SMALL, queries=1000, reserve=0.0))
    numbers = [driver.connect(f"10.0.{each}.1")[0] for each in range(30)]
    results = [driver.query(each, "a", 0.1) for each in numbers[:6]]
    assert [isinstance(each, QuerySlot) for each in results] == [True] * 4 + [False] * 2
    assert isinstance(results[-1], Verdict) and results[-1].reason is RejectReason.TENANT_QUERIES
    assert isinstance(driver.query(numbers[7], "b", 0.1), QuerySlot)


def test_idle_timeout_is_shortened_as_slots_fill() -> None:
    driver, timeouts = ControllerDriver(capacity=100), []
    for each in range(75):
        timeouts.append(driver.admission.slots.idle_timeout(60.0))
        driver.connect(f"10.{each}.0.1")
    assert (
        timeouts[0] == timeouts[49] == 60.0
        and timeouts == sorted(timeouts, reverse=True)
        and 25 < timeouts[-1] < 35
    )


def test_byte_budget_leaves_bytes_for_others() -> None:
    driver = ControllerDriver()
    first, second = driver.connect("10.0.0.1")[0], driver.connect("10.0.0.2")[0]
    size = 0
    while driver.admission.reserve_bytes(first, 10_000):
        size += 10_000
    assert size == 50_000 and driver.admission.reserve_bytes(second, 20_000)
    driver.admission.on_connection_closed(first)
    driver.check_invariants()
    assert driver.admission.byte_budget.reserved == 20_000


def test_memory_does_not_grow_with_the_number_of_addresses() -> None:
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
