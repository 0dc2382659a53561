"""Seeded runs of admission: connections, keys, queries, reserved bytes, bans, limits that change, parsed headers."""

from __future__ import annotations

import math
import random
from dataclasses import replace

from bench.trace_packages.trace import Trace
from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.addresses import (
    NetworkSet,
    format_address,
    format_prefix,
    parse_address,
    prefix_keys,
)
from stepknot.admission.api_keys import hash_api_key
from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import allocate_descriptors
from stepknot.admission.errors import ProxyHeaderError, SnapshotDamagedError
from stepknot.admission.forwarded import client_address
from stepknot.admission.heavy_hitters import HeavyHitters
from stepknot.admission.model import AdmissionSettings, Placement, QuerySlot, TrustLevel, Verdict
from stepknot.admission.proxy_protocol import SIGNATURE, parse_proxy_header

EXPECTED = "2a86239d5272d548817da226531a13c4a3db18547515a1ed198ab0fcb2097b0d"
SEEDS = range(24)
STEPS = 900
SMALL = AdmissionSettings(
    per_address=10,
    per_v4_24=24,
    per_v6_64=10,
    per_v6_56=14,
    rate=6.0,
    queries=8,
    held=40,
    bytes=100_000,
    lane=6,
    reserve=0.25,
    listed=("10.9.0.0/16",),
    conduct=5.0,
    conduct_kept=12,
    tracked=16,
    memory=2.0,
)


def record(trace: Trace) -> None:
    """Play all runs."""
    for seed in SEEDS:
        _Run(trace, seed).play()
    _record_heavy_hitters(trace)
    _record_parsers(trace)
    _record_lists(trace)
    _record_budgets(trace)


class _Run:
    """One seeded sequence against one set of limits."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace, self.rng = trace, random.Random(seed)
        settings = SMALL
        if seed % 3 == 1:
            settings = replace(SMALL, rate=1e9, per_v4_24=1000, tenant_queries=3)
        elif seed % 3 == 2:
            settings = replace(SMALL, queries=1000, reserve=0.1, lane=4, conduct=2.0)
        self.lists = AccessLists()
        self.admission = AdmissionController(settings, 40, self.lists)
        self.now, self.number = 1000.0, 0
        self.connections: dict[int, bytes] = {}
        self.slots: list[QuerySlot] = []
        rng = self.rng
        self.pool = (
            [parse_address(f"10.0.{rng.randrange(3)}.{rng.randrange(6)}") for _ in range(12)]
            + [parse_address(f"10.9.0.{each}") for each in range(4)]
            + [parse_address(f"fd00:0:0:{each:x}::{rng.randrange(9):x}") for each in range(6)]
            + [parse_address("10.0.7.1")] * 6
        )

    def play(self) -> None:
        """Play random steps, then close all connections and end all queries."""
        for step in range(STEPS):
            self.now += self.rng.choice([0.0, 0.0, 0.01, 0.1, 0.5, 3.0, -0.2])
            if step == STEPS // 2:
                changed = replace(self.admission.settings, per_address=5, queries=4, lane=3)
                self.admission.slots.settings = changed
                self.admission.queue.settings = changed
                self.admission.queries.settings = changed
            self.step()
            if step % 10 == 0:
                self.state()
        for number in list(self.connections):
            self.end(number)
        for slot in list(self.slots):
            self.answer(slot, True)
        self.state()

    def step(self) -> None:
        """Play one random event."""
        rng, admission = self.rng, self.admission
        numbers = list(self.connections)
        match rng.randrange(14):
            case 0 | 1 | 2:
                self.arrive(rng.choice(self.pool))
            case 3 | 4 | 5 if numbers:
                self.query(rng.choice(numbers))
            case 6 | 7 if self.slots:
                self.answer(rng.choice(self.slots), rng.random() < 0.9)
            case 8 if numbers:
                self.end(rng.choice(numbers))
            case 9 if numbers:
                number = rng.choice(numbers)
                verdict = admission.on_first_request(
                    self.now, number, rng.choice(["", "ops", "ci"])
                )
                self.take(number, verdict)
            case 10 if numbers:
                number = rng.choice(numbers)
                self.trace.add(admission.reserve_bytes(number, rng.randrange(1, 20_000)))
                admission.on_request_bytes(number)
            case 11 if numbers:
                number = rng.choice(numbers)
                connection = admission.connections[number]
                if connection.bytes_reserved:
                    admission.byte_budget.release(
                        connection, rng.randrange(connection.bytes_reserved + 1)
                    )
                admission.on_idle(number)
            case 12:
                self.change_lists()
            case 13:
                self.proxy(rng.choice(self.pool))

    def arrive(self, address: bytes) -> None:
        """Open a connection or, rarely, a burst of them."""
        for _ in range(self.rng.choice([1, 1, 1, 8])):
            self.number += 1
            self.connections[self.number] = address
            self.take(self.number, self.admission.on_connection(self.now, self.number, address))

    def proxy(self, address: bytes) -> None:
        """Open a trusted proxy's connection that then mostly names its client, or report that descriptors ran out."""
        if self.rng.random() < 0.2:
            _add_verdict(self.trace, self.admission.on_descriptors_exhausted(self.now, address))
            return
        self.number += 1
        number = self.number
        self.connections[number] = address
        self.take(
            number,
            self.admission.on_proxy_connection(self.now, number, parse_address("10.200.0.1")),
        )
        if number in self.connections and self.rng.random() < 0.8:
            self.take(number, self.admission.on_proxied_address(self.now, number, address))

    def take(self, number: int, verdict: Verdict) -> None:
        """Carry out a verdict as a broker does."""
        _add_verdict(self.trace, verdict)
        for evicted in verdict.evicted:
            self.connections.pop(evicted, None)
        if verdict.placement is Placement.REJECTED:
            self.end(number)

    def end(self, number: int) -> None:
        """Report twice that a connection was closed."""
        self.connections.pop(number, None)
        self.admission.on_connection_closed(number)
        self.admission.on_connection_closed(number)

    def query(self, number: int) -> None:
        """Send one or several queries on a connection."""
        rng, address = self.rng, self.connections[number]
        if rng.random() < 0.2:
            address = rng.choice(self.pool)
        tenant, quota = rng.choice(["", "a", "b"]), rng.choice([0.0, 0.1, 0.2])
        for _ in range(rng.choice([1, 1, 6])):
            result = self.admission.admit_query(
                self.now, number, address, tenant, quota, rng.choice([0, 0, 1, 4])
            )
            if isinstance(result, QuerySlot):
                self.slots.append(result)
                self.trace.add(result.connection, result.address, result.tenant, int(result.trust))
            else:
                _add_verdict(self.trace, result)

    def answer(self, slot: QuerySlot, succeeded: bool) -> None:
        """End a query."""
        self.slots.remove(slot)
        self.admission.on_query_ended(self.now, slot, succeeded)
        self.admission.on_idle(slot.connection)

    def change_lists(self) -> None:
        """Add, remove or expire a ban or an allowance; with expiry, also penalize an address."""
        rng = self.rng
        network = rng.choice(["10.0.7.0/24", "10.0.0.0/24", "10.0.2.3/32"])
        kind = rng.choice([AccessList.BANNED, AccessList.ALLOWED])
        match rng.randrange(4):
            case 0:
                self.lists.add(kind, network, self.now + rng.choice([2.0, 20.0, math.inf]))
            case 1 | 2:
                self.trace.add(self.lists.remove(kind, network))
            case 3:
                self.trace.add(*self.lists.remove_expired(self.now))
                self.admission.reputation.penalize(self.now, rng.choice(self.pool))

    def state(self) -> None:
        """Add the state that operators see and on which further decisions depend."""
        admission, trace = self.admission, self.trace
        for trust in TrustLevel:
            trace.add(
                admission.slots.by_trust[trust],
                admission.queries.by_trust[trust],
                admission.slots.limit(trust),
            )
        trace.add(len(admission.queue), admission.queries.taken)
        trace.add(
            admission.byte_budget.reserved,
            admission.slots.idle_timeout(60.0),
            admission.slots.idle_timeout(0.5),
        )
        for decision, count in sorted(admission.decisions.items()):
            trace.add(decision, count)
        for address in self.pool:
            trace.add(int(admission.trust_level(self.now, address)))
        for key in admission.slots.by_address.descending():
            trace.add(key, admission.slots.by_address[key])
        for key, count in admission.slots.by_prefix.most_common(10):
            trace.add(key, count)
        for counters in (admission.arrival_rates, admission.rejections):
            for each in counters.top(self.now, 10):
                trace.add(each.key, each.count, each.error)


def _add_verdict(trace: Trace, verdict: Verdict) -> None:
    trace.add(verdict.placement.value, verdict.reason, verdict.retry_after, *verdict.evicted)


def _record_heavy_hitters(trace: Trace) -> None:
    rng, counters, now = random.Random(5), HeavyHitters(20, 5.0), 50.0
    for step in range(4000):
        now += rng.choice([0.0, 0.01, 0.2, -0.1])
        key = b"k%d" % min(int(rng.expovariate(0.05)), 200)
        counters.add(now, key, rng.choice([1.0, 2.5]))
        trace.add(counters.lower_bound(now, key), counters.rate(now, b"k1"))
        if step == 3000:
            now += 1e6
    for each in counters.top(now, 20):
        trace.add(each.key, each.count, each.error)


def _record_parsers(trace: Trace) -> None:
    rng = random.Random(7)
    heads = [
        b"PROXY TCP4 203.0.113.7 127.0.0.1 5000 9200\r\nGET",
        b"PROXY TCP6 2001:db8::1 ::1 5000 9200\r\n",
        b"PROXY UNKNOWN\r\n",
        b"PROXY TCP4 1.2.3.4 5.6.7.8 1 70000\r\n",
        SIGNATURE + bytes([0x21, 0x11, 0, 12, 1, 2, 3, 4]) + bytes(8),
        SIGNATURE
        + bytes([0x21, 0x21, 0, 36])
        + bytes(10)
        + b"\xff\xff\x01\x02\x03\x04"
        + bytes(20),
        SIGNATURE + bytes([0x20, 0, 0, 0]),
    ]
    for _ in range(4000):
        data = bytearray(rng.choice(heads))
        for _ in range(rng.choice([0, 0, 1, 2])):
            data[rng.randrange(len(data))] = rng.choice(b" 0129:.\r\nxP\x11\x21\xff")
        received = bytes(data[: rng.choice([len(data), len(data), rng.randrange(len(data) + 1)])])
        try:
            header = parse_proxy_header(received)
        except ProxyHeaderError:
            trace.add("malformed")
            continue
        trace.add(*(header if header is not None else ("more",)))
    trusted = NetworkSet(["10.0.0.0/8", "fd00::/8"])
    hops = ["203.0.113.7", "10.0.0.2", "unknown", '"[2001:db8::1]:4711"', "1.1.1.1:80", "fd00::5"]
    for _ in range(2000):
        chosen = [rng.choice(hops) for _ in range(rng.randrange(5))]
        headers = {}
        if rng.random() < 0.5:
            headers["x-forwarded-for"] = ", ".join(chosen)
        if rng.random() < 0.5:
            headers["forwarded"] = ", ".join(f"by=x;for={each}" for each in reversed(chosen))
        peer = parse_address(rng.choice(["10.0.0.1", "203.0.113.9", "fd00::1"]))
        client = client_address(headers, peer, trusted)
        trace.add(format_address(client), *map(format_prefix, prefix_keys(client)))
    trace.add(hash_api_key("a-secret"))


def _record_lists(trace: Trace) -> None:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.0.0/8", 100.0)
    lists.add(AccessList.ALLOWED, "10.1.2.3/32", math.inf)
    lists.add(AccessList.BANNED, "fd00::/16", 250.5)
    data = lists.dump()
    trace.add(data, AccessLists.load(data).dump(), *lists.remove_expired(101.0), lists.dump())
    for damaged in (data[:-10], data.replace(b"10.0", b"11.0"), b"", b"x\n{}", data[1:]):
        try:
            AccessLists.load(damaged)
        except SnapshotDamagedError:
            trace.add("damaged")


def _record_budgets(trace: Trace) -> None:
    for limit in (40, 51, 52, 64, 128, 256, 1024, 65536, 1_000_000):
        for servers in (0, 6, 500, 100_000):
            for slots in (0, 10, 5000):
                try:
                    budget = allocate_descriptors(limit, servers, 128, slots)
                except ValueError:
                    trace.add("too low")
                    continue
                trace.add(budget.limit, budget.fixed, budget.admin, budget.waiting, budget.servers)
                trace.add(budget.clients, budget.total())
