"""Tests of zone failover without I/O: simulated zones are up or down, and their outcomes are reported to it."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.interface import Outcome, ServerEntry, ServerState
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.model import ZoneState
from stepknot.zones.recovery import MIN_STEP_PARTS
from stepknot.zones.settings import FailoverSettings, WarmUp, ZoneSettings, derive_settings
from stepknot.zones.spill_over import BURST_SECONDS, MIN_BURST_QUERIES

pytestmark = pytest.mark.cpu_only

COLD_TIME, COLD_SHARE, LATENCY_OBJECTIVE = 8.0, 0.1, 1.0
TICK = 0.05


class Simulation:
    """Zones with `servers` servers each; parts arrive at a rate and are sent where failover allows it."""

    def __init__(
        self,
        names: str = "ab",
        servers: int = 4,
        seed: int = 1,
        start: float = 100.0,
        own: str = "",
        failover: FailoverSettings | None = None,
    ) -> None:
        self.zones = ZoneFailover(
            ZoneSettings(own, failover=failover or FailoverSettings()),
            COLD_SHARE,
            COLD_TIME,
            LATENCY_OBJECTIVE,
            seed,
        )
        self.rng = random.Random(seed)
        self.now = start
        self.entries = [
            ServerEntry(f"{name}{number}", name, 0, ServerState.LIVE)
            for name in names
            for number in range(servers)
        ]
        self.down: set[str] = set()  # names of zones and of single servers
        self.sent: dict[str, list[float]] = defaultdict(list)
        self.rejected = 0
        self.arrived = 0
        self.zones.update_endpoints(self.now, self.entries)

    def part(self, safe: bool = True, only: str = "") -> str | None:
        """Send one part to a random server among the narrowed candidates; return it, or None if there is none."""
        candidates = [each for each in self.entries if not only or each.zone in only]
        indices = self.zones.narrow(self.now, candidates, safe)
        if not indices:
            self.rejected += 1
            return None
        entry = candidates[self.rng.choice(indices)]
        self.zones.on_attempt_sent(self.now, entry.server)
        self.zones.end_turn()
        self.sent[entry.zone].append(self.now)
        if entry.zone in self.down or entry.server in self.down:
            self.zones.on_attempt_ended(self.now, entry.server, Outcome.NOT_CONNECTED, 0.001)
        else:
            self.zones.on_attempt_ended(self.now, entry.server, Outcome.SERVED, 0.01)
        return entry.server

    def run(
        self,
        seconds: float,
        rate: float = 100.0,
        admit: bool = False,
        only: str = "",
        tick: float = TICK,
    ) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += tick
            for _ in range(int(rate * tick)):
                self.arrived += 1
                retry_after = self.zones.admit(self.now, 1.0, 1, False)
                if retry_after is not None and admit:
                    assert 0 < retry_after < 1000
                    self.rejected += 1
                    continue
                self.part(only=only)

    def restart(self, name: str) -> None:
        """Give all servers of a zone a new start time."""
        self.entries = [
            replace(each, up_since=self.now) if each.zone == name else each for each in self.entries
        ]
        self.zones.update_endpoints(self.now, self.entries)

    def limit(self, name: str) -> float:
        """Return the spill-over limit of a zone."""
        return self.zones.limits.spill_over_limit(self.zones.now, name)

    def state(self, name: str) -> ZoneState:
        return self.zones.zone(name).health.state

    def rate(self, name: str, seconds: float) -> float:
        return sum(at > self.now - seconds for at in self.sent[name]) / seconds


def allowed_rate(simulation: Simulation, name: str) -> float:
    """Return the rate that the zone may get now."""
    return simulation.zones.limits.allowed_rate(simulation.zones.now, name)


def test_healthy_zones_are_not_narrowed_and_nothing_is_shed() -> None:
    simulation = Simulation()
    simulation.run(20)
    assert simulation.rejected == 0 and not simulation.zones.take_changes()
    assert simulation.rate("a", 10) == pytest.approx(50, rel=0.2)


def test_lost_zones_load_spills_over_up_to_the_limit() -> None:
    simulation = Simulation("abc")
    simulation.run(30, rate=90)
    simulation.down = {"c"}
    simulation.run(6, rate=90)
    assert simulation.state("c") is ZoneState.UNAVAILABLE
    simulation.run(10, rate=400)  # a burst in addition to the loss, far above the limits
    spill = simulation.zones.derived.spill
    assert spill == pytest.approx(3.0)
    for name in "ab":
        assert (
            spill * 30 * 0.8
            <= simulation.rate(name, 8)
            <= simulation.limit(name) * (1 + BURST_SECONDS / 8)
            <= spill * 40
        )
    assert simulation.rejected > 0


def test_recovery_is_stepwise_and_ends_within_twice_the_warm_up() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    simulation.down = set()
    simulation.restart("b")
    while simulation.state("b") is not ZoneState.RECOVERING:
        simulation.run(0.1)
    simulation.sent["b"].clear()
    simulation.run(1.0)
    # The recovery begins with a small fraction of the baseline.
    assert simulation.rate("b", 1.0) <= 0.5 * 50
    simulation.run(2 * COLD_TIME)
    assert simulation.state("b") is ZoneState.HEALTHY
    simulation.run(5)
    assert simulation.rate("b", 5) == pytest.approx(50, rel=0.25)


def test_zone_that_was_only_cut_off_begins_with_half_of_its_baseline() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    simulation.down = set()
    while simulation.state("b") is not ZoneState.RECOVERING:
        simulation.run(0.1)
    assert simulation.zones.zone("b").health.ramp.fraction == pytest.approx(0.5)


def test_zone_that_flaps_recovers_more_slowly_each_time() -> None:
    simulation = Simulation()
    simulation.run(20)
    steps = []
    for _ in range(3):
        simulation.down = {"b"}
        simulation.run(6)
        assert simulation.state("b") is ZoneState.UNAVAILABLE
        simulation.down = set()
        simulation.run(6)
        steps.append(simulation.zones.zone("b").health.ramp.step_seconds())
    assert steps[0] < steps[1] < steps[2]
    assert simulation.rate("a", 20) > 60  # the healthy zone served parts throughout
    simulation.run(300, rate=20, tick=0.4)
    assert (
        simulation.state("b") is ZoneState.HEALTHY
        and simulation.zones.zone("b").health.ramp.relapses == 0
    )


def test_zone_with_half_of_its_servers_lost_stays_healthy() -> None:
    simulation = Simulation()
    simulation.run(10)
    simulation.down = {"b0", "b1"}
    simulation.run(20)
    assert simulation.state("b") is ZoneState.HEALTHY


def test_answered_health_checks_do_not_start_a_recovery() -> None:
    simulation = Simulation()
    simulation.run(10)
    simulation.down = {"b"}
    simulation.run(5)
    for _ in range(200):
        simulation.now += 0.05
        simulation.zones.on_health_check(simulation.now, "b0", 0.001, True)
    assert simulation.state("b") is ZoneState.UNAVAILABLE


def test_slow_zone_that_answers_stays_healthy() -> None:
    simulation = Simulation()
    simulation.run(10)
    for _ in range(200):
        simulation.now += 0.05
        simulation.zones.on_attempt_ended(simulation.now, "b1", Outcome.SERVED, 0.8)
        simulation.zones.on_attempt_ended(
            simulation.now, "b1", Outcome.TIMED_OUT, 0.5
        )  # the server has served a part since this one was sent
    assert simulation.state("b") is ZoneState.HEALTHY


def test_cancelled_parts_at_servers_that_do_not_answer_make_a_zone_unavailable() -> None:
    simulation = Simulation()
    simulation.run(10)
    for _ in range(40):
        simulation.now += 0.05
        for number in range(4):
            simulation.zones.on_attempt_ended(simulation.now, f"b{number}", Outcome.CANCELLED, 0.5)
    assert simulation.state("b") is ZoneState.UNAVAILABLE


def test_cancelled_parts_at_servers_that_answer_others_are_no_evidence() -> None:
    simulation = Simulation()
    simulation.run(10)
    for _ in range(40):
        simulation.now += 0.05
        for number in range(4):
            simulation.zones.on_attempt_ended(simulation.now, f"b{number}", Outcome.SERVED, 0.01)
            for _ in range(9):
                simulation.zones.on_attempt_ended(
                    simulation.now, f"b{number}", Outcome.CANCELLED, 0.5
                )
    assert simulation.state("b") is ZoneState.HEALTHY


def test_one_server_that_loses_all_leaves_its_zone_healthy() -> None:
    simulation = Simulation()
    simulation.run(10)
    for _ in range(100):
        simulation.now += 0.05
        simulation.zones.on_attempt_ended(simulation.now, "b1", Outcome.NOT_CONNECTED, 0.001)
    assert simulation.state("b") is ZoneState.HEALTHY


def test_quickly_cancelled_parts_are_no_evidence() -> None:
    simulation = Simulation()
    simulation.run(10)
    for _ in range(200):
        simulation.now += 0.05
        for number in range(4):
            simulation.zones.on_attempt_ended(
                simulation.now, f"b{number}", Outcome.CANCELLED, 0.005
            )
    assert simulation.state("b") is ZoneState.HEALTHY


def test_trials_of_an_unavailable_zone_are_few_and_of_safe_parts_only() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    before = len(simulation.sent["b"])
    for _ in range(400):
        simulation.now += TICK
        simulation.part(safe=False)
    assert len(simulation.sent["b"]) == before
    simulation.run(20)
    assert 1 <= len(simulation.sent["b"]) - before <= 20


def test_shards_with_their_last_replicas_in_an_unavailable_zone_get_a_low_rate() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    before = len(simulation.sent["b"])
    simulation.run(10, rate=100, only="b")
    sent = len(simulation.sent["b"]) - before
    assert (
        10
        <= sent
        <= 10 * max(2 * MIN_STEP_PARTS / simulation.zones.zone("b").health.ramp.step_seconds(), 5)
        + 20
    )


def test_one_zone_recovers_after_all_were_lost() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"a", "b"}
    simulation.run(5)
    assert simulation.state("a") is simulation.state("b") is ZoneState.UNAVAILABLE
    simulation.down = {"a"}
    simulation.run(20)
    assert simulation.state("b") in (ZoneState.RECOVERING, ZoneState.HEALTHY)
    assert simulation.rate("b", 2) > 5


def test_clock_step_back_or_far_ahead_is_at_most_one_step_of_the_ramp() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    simulation.down = set()
    simulation.run(4)
    ramp = simulation.zones.zone("b").health.ramp.fraction
    simulation.now += 3600
    simulation.run(0.1)
    assert (
        simulation.zones.zone("b").health.ramp.fraction <= max(ramp, 0.05) * 1.5 + 1e-9
    )  # at most one step of growth
    simulation.now -= 1000
    simulation.run(0.5)
    assert simulation.zones.now > simulation.now  # its time does not go back


def test_delisted_zone_is_unavailable_at_once_and_tried_when_listed_again() -> None:
    simulation = Simulation()
    simulation.run(10)
    simulation.zones.update_endpoints(
        simulation.now, [each for each in simulation.entries if each.zone == "a"]
    )
    assert simulation.state("b") is ZoneState.UNAVAILABLE
    simulation.zones.update_endpoints(simulation.now, simulation.entries)
    simulation.run(0.5)
    assert simulation.state("b") is ZoneState.RECOVERING


def test_higher_priorities_are_admitted_first_and_none_is_shut_out() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    admitted: dict[float, int] = defaultdict(int)
    for _ in range(400):
        simulation.now += TICK
        for priority in (1.0, 4.0, 16.0):
            for _ in range(5):  # 100 per second each, 300 in total; the capacity is about 180
                admitted[priority] += (
                    simulation.zones.admit(simulation.now, priority, 1, False) is None
                )
    assert admitted[16.0] > 0.9 * 2000 and admitted[16.0] > admitted[4.0] > admitted[1.0] > 20


def test_tenant_over_its_quota_is_shed_before_others() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    admitted = {False: 0, True: 0}
    for _ in range(400):
        simulation.now += TICK
        for over_quota in (False, True):
            for _ in range(15):
                admitted[over_quota] += (
                    simulation.zones.admit(simulation.now, 1.0, 1, over_quota) is None
                )
    assert admitted[False] > 1.5 * admitted[True] > 0


def test_retry_after_is_spread_over_time() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    times = [
        each
        for _ in range(3000)
        if (each := simulation.zones.admit(simulation.now, 1.0, 5, False)) is not None
    ]
    assert len(times) > 1000 and max(times) - min(times) > 1.0
    counts = [sum(low <= each < low + 0.5 for each in times) for low in (0.5, 1.0, 1.5)]
    assert max(counts) < 2 * min(counts)


def test_brokers_with_unequal_load_add_up_within_the_limit() -> None:
    simulations = [Simulation(seed=seed) for seed in range(4)]
    rates = [20, 60, 120, 300]
    for simulation, rate in zip(simulations, rates, strict=True):
        simulation.run(30, rate=rate)
        simulation.down = {"b"}
        simulation.run(5, rate=rate)
        simulation.run(10, rate=4 * rate)
    limits = sum(simulation.limit("a") for simulation in simulations)
    assert sum(simulation.rate("a", 8) for simulation in simulations) <= limits * (
        1 + BURST_SECONDS / 8
    )
    assert limits <= simulations[0].zones.derived.spill * sum(rates) / 2 * 1.2


def test_zone_that_rejects_parts_gets_less() -> None:
    simulation = Simulation()
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    before, baseline = (
        allowed_rate(simulation, "a"),
        simulation.zones.limits.baseline(simulation.zones.now, "a"),
    )
    for _ in range(10):
        simulation.zones.on_attempt_ended(simulation.now, "a1", Outcome.REJECTED, 0.001)
    simulation.now += TICK
    simulation.zones.admit(simulation.now, 1.0, 1, False)
    # A few rejections are no evidence of overload.
    assert allowed_rate(simulation, "a") == pytest.approx(before, rel=0.02)
    for _ in range(200):
        simulation.zones.on_attempt_ended(simulation.now, "a1", Outcome.REJECTED, 0.001)
    simulation.now += TICK
    simulation.zones.admit(simulation.now, 1.0, 1, False)
    rate = simulation.rate("a", 1.0)
    assert baseline <= allowed_rate(simulation, "a") < 1.05 * rate < before
    simulation.run(20)
    assert allowed_rate(simulation, "a") == pytest.approx(before, rel=0.05)


def test_failed_step_halves_the_recovery_ramp() -> None:
    simulation = Simulation(servers=6)
    simulation.run(20)
    simulation.down = {"b"}
    simulation.run(5)
    simulation.down = set()
    health = simulation.zones.zone("b").health
    while health.state is not ZoneState.RECOVERING or health.ramp.fraction < 0.3:
        simulation.run(0.2)
    ramp, simulation.down = health.ramp.fraction, {"b0", "b1", "b2"}
    simulation.run(1.1 * health.ramp.step_seconds())
    assert health.state is ZoneState.RECOVERING and health.ramp.fraction == pytest.approx(ramp / 2)


def test_tiers_are_by_settings_then_by_measured_round_trip() -> None:
    zones = ZoneFailover(
        ZoneSettings("a", (("a", "b"),)), COLD_SHARE, COLD_TIME, LATENCY_OBJECTIVE, 1
    )
    zones.update_endpoints(100.0, [ServerEntry(name, name, 0, ServerState.LIVE) for name in "abcd"])
    zones.on_health_check(100.1, "c", 0.005, True)
    zones.on_health_check(100.1, "d", 0.200, True)
    assert [zones.tiers.tier(name) for name in "abcd"] == [0, 0, 1, 2]
    entries = [ServerEntry(name, name, 0, ServerState.LIVE) for name in "dcb"]
    assert zones.narrow(100.2, entries, True) == [2]
    assert zones.narrow(100.2, entries[:2], True) == [1]


@pytest.mark.parametrize(
    ("zones", "spill"), [(2, 4.0), (3, 3.0), (10, 2 * 10 / 9), (50, 2 * 50 / 49)]
)
def test_derived_spill_over_limit_follows_the_number_of_zones(zones: int, spill: float) -> None:
    assert derive_settings(
        FailoverSettings(), zones, WarmUp(COLD_SHARE, COLD_TIME), LATENCY_OBJECTIVE
    ).spill == pytest.approx(spill)


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("run"), st.floats(0.1, 4.0), st.integers(10, 300)),
        st.tuples(st.just("down"), st.sampled_from("abc"), st.just(0)),
        st.tuples(st.just("up"), st.sampled_from("abc"), st.just(0)),
        st.tuples(st.just("jump"), st.floats(-50, 50), st.just(0)),
    ),
    max_size=14,
)


@settings(max_examples=25, deadline=None)
@given(EVENTS, st.integers(0, 5))
def test_generated_events_never_exceed_the_limit_and_end_healthy(
    events: list[tuple[str, object, int]], seed: int
) -> None:
    """While a zone is not healthy, no other gets more than its limit plus a burst; at the end all are healthy."""
    simulation = Simulation("abc", seed=seed)
    simulation.run(20, rate=100)
    spans: list[tuple[float, float, dict[str, float]]] = []
    limit = simulation.limit
    for kind, value, rate in events:
        if kind == "down":
            simulation.down.add(str(value))
        elif kind == "up":
            simulation.down.discard(str(value))
        elif kind == "jump":
            simulation.now = max(simulation.now + float(value), simulation.zones.now)  # type: ignore[arg-type]
        else:
            was_unhealthy, begin = simulation.zones.has_unhealthy_zone(), simulation.now
            before = {name: limit(name) for name in "abc"}
            simulation.run(float(value), rate=rate)  # type: ignore[arg-type]
            if was_unhealthy and simulation.zones.has_unhealthy_zone():
                spans.append(
                    (
                        begin,
                        simulation.now,
                        {name: max(before[name], limit(name)) for name in "abc"},
                    )
                )
    for begin, end, max_rates in spans:
        for name, max_rate in max_rates.items():
            sent = sum(begin < at <= end for at in simulation.sent[name])
            assert (
                sent
                <= max_rate * (end - begin) + max(max_rate * BURST_SECONDS, MIN_BURST_QUERIES) + 2
            )
    simulation.down = set()
    simulation.run(400, rate=20, tick=0.4)
    assert all(simulation.state(name) is ZoneState.HEALTHY for name in "abc")
    simulation.rejected = 0
    simulation.run(3, rate=60)
    assert simulation.rejected == 0
    assert min(simulation.rate(name, 3) for name in "abc") > 10
