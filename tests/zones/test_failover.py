"""The decisions about zones, without I/O: a small world of zones that are up or down, and what is seen of it."""

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

COLD, SHARE, AIM = 8.0, 0.1, 1.0
TICK = 0.05


class World:
    """Zones of `servers` servers each; parts come at a rate and go where the decisions let them."""

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
            ZoneSettings(own, failover=failover or FailoverSettings()), SHARE, COLD, AIM, seed
        )
        self.rng = random.Random(seed)
        self.now = start
        self.entries = [
            ServerEntry(f"{name}{number}", name, 0, ServerState.LIVE)
            for name in names
            for number in range(servers)
        ]
        self.down: set[str] = set()  # zones, or single servers
        self.sent: dict[str, list[float]] = defaultdict(list)
        self.rejected = 0
        self.asked = 0
        self.zones.update_endpoints(self.now, self.entries)

    def part(self, safe: bool = True, only: str = "") -> str | None:
        """Place one part by chance among what is left; the server, or None where nothing may be sent."""
        candidates = [each for each in self.entries if not only or each.zone in only]
        places = self.zones.narrow(self.now, candidates, safe)
        if not places:
            self.rejected += 1
            return None
        entry = candidates[self.rng.choice(places)]
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
                self.asked += 1
                advice = self.zones.admit(self.now, 1.0, 1, False)
                if advice is not None and admit:
                    assert 0 < advice < 1000
                    self.rejected += 1
                    continue
                self.part(only=only)

    def restart(self, name: str) -> None:
        """Its servers were started anew."""
        self.entries = [
            replace(each, up_since=self.now) if each.zone == name else each for each in self.entries
        ]
        self.zones.update_endpoints(self.now, self.entries)

    def limit(self, name: str) -> float:
        """The spill-over limit of a zone."""
        return self.zones.limits.spill_over_limit(self.zones.now, name)

    def state(self, name: str) -> ZoneState:
        return self.zones.zone(name).health.state

    def rate(self, name: str, seconds: float) -> float:
        return sum(at > self.now - seconds for at in self.sent[name]) / seconds


def allowed_rate(world: World, name: str) -> float:
    """What the zone may get now."""
    return world.zones.limits.allowed_rate(world.zones.now, name)


def test_healthy_zones_are_not_narrowed_and_nothing_is_shed() -> None:
    world = World()
    world.run(20)
    assert world.rejected == 0 and not world.zones.take_changes()
    assert world.rate("a", 10) == pytest.approx(50, rel=0.2)


def test_lost_zones_load_spills_over_up_to_the_limit() -> None:
    world = World("abc")
    world.run(30, rate=90)
    world.down = {"c"}
    world.run(6, rate=90)
    assert world.state("c") is ZoneState.UNAVAILABLE
    world.run(10, rate=400)  # far more than is bearable: a burst on top of the loss
    bound = world.zones.derived.spill
    assert bound == pytest.approx(3.0)
    for name in "ab":
        assert (
            bound * 30 * 0.8
            <= world.rate(name, 8)
            <= world.limit(name) * (1 + BURST_SECONDS / 8)
            <= bound * 40
        )
    assert world.rejected > 0


def test_recovery_is_stepwise_and_ends_within_twice_the_warm_up() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    world.down = set()
    world.restart("b")
    while world.state("b") is not ZoneState.RECOVERING:
        world.run(0.1)
    world.sent["b"].clear()
    world.run(1.0)
    assert world.rate("b", 1.0) <= 0.5 * 50  # at first a small part of what it had
    world.run(2 * COLD)
    assert world.state("b") is ZoneState.HEALTHY
    world.run(5)
    assert world.rate("b", 5) == pytest.approx(50, rel=0.25)


def test_zone_that_was_only_cut_off_begins_with_half_of_its_baseline() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    world.down = set()
    while world.state("b") is not ZoneState.RECOVERING:
        world.run(0.1)
    assert world.zones.zone("b").health.ramp.fraction == pytest.approx(0.5)


def test_zone_that_flaps_recovers_more_slowly_each_time() -> None:
    world = World()
    world.run(20)
    steps = []
    for _ in range(3):
        world.down = {"b"}
        world.run(6)
        assert world.state("b") is ZoneState.UNAVAILABLE
        world.down = set()
        world.run(6)
        steps.append(world.zones.zone("b").health.ramp.step_seconds())
    assert steps[0] < steps[1] < steps[2]
    assert world.rate("a", 20) > 60  # the healthy zone went on all the time
    world.run(300, rate=20, tick=0.4)
    assert world.state("b") is ZoneState.HEALTHY and world.zones.zone("b").health.ramp.relapses == 0


def test_zone_with_half_of_its_servers_lost_stays_healthy() -> None:
    world = World()
    world.run(10)
    world.down = {"b0", "b1"}
    world.run(20)
    assert world.state("b") is ZoneState.HEALTHY


def test_answered_health_checks_do_not_start_a_recovery() -> None:
    world = World()
    world.run(10)
    world.down = {"b"}
    world.run(5)
    for _ in range(200):
        world.now += 0.05
        world.zones.on_health_check(world.now, "b0", 0.001, True)
    assert world.state("b") is ZoneState.UNAVAILABLE


def test_slow_zone_that_answers_stays_healthy() -> None:
    world = World()
    world.run(10)
    for _ in range(200):
        world.now += 0.05
        world.zones.on_attempt_ended(world.now, "b1", Outcome.SERVED, 0.8)
        world.zones.on_attempt_ended(
            world.now, "b1", Outcome.TIMED_OUT, 0.5
        )  # the server served something since
    assert world.state("b") is ZoneState.HEALTHY


def test_cancelled_parts_at_silent_servers_make_a_zone_unavailable() -> None:
    world = World()
    world.run(10)
    for _ in range(40):
        world.now += 0.05
        for number in range(4):
            world.zones.on_attempt_ended(world.now, f"b{number}", Outcome.CANCELLED, 0.5)
    assert world.state("b") is ZoneState.UNAVAILABLE


def test_cancelled_parts_at_servers_that_answer_others_are_no_evidence() -> None:
    world = World()
    world.run(10)
    for _ in range(40):
        world.now += 0.05
        for number in range(4):
            world.zones.on_attempt_ended(world.now, f"b{number}", Outcome.SERVED, 0.01)
            for _ in range(9):
                world.zones.on_attempt_ended(world.now, f"b{number}", Outcome.CANCELLED, 0.5)
    assert world.state("b") is ZoneState.HEALTHY


def test_one_server_that_loses_all_leaves_its_zone_healthy() -> None:
    world = World()
    world.run(10)
    for _ in range(100):
        world.now += 0.05
        world.zones.on_attempt_ended(world.now, "b1", Outcome.NOT_CONNECTED, 0.001)
    assert world.state("b") is ZoneState.HEALTHY


def test_quickly_cancelled_parts_are_no_evidence() -> None:
    world = World()
    world.run(10)
    for _ in range(200):
        world.now += 0.05
        for number in range(4):
            world.zones.on_attempt_ended(world.now, f"b{number}", Outcome.CANCELLED, 0.005)
    assert world.state("b") is ZoneState.HEALTHY


def test_trials_of_an_unavailable_zone_are_few_and_of_safe_parts_only() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    before = len(world.sent["b"])
    for _ in range(400):
        world.now += TICK
        world.part(safe=False)
    assert len(world.sent["b"]) == before
    world.run(20)
    assert 1 <= len(world.sent["b"]) - before <= 20


def test_shards_with_their_last_replicas_in_an_unavailable_zone_get_a_trickle() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    before = len(world.sent["b"])
    world.run(10, rate=100, only="b")
    sent = len(world.sent["b"]) - before
    assert (
        10
        <= sent
        <= 10 * max(2 * MIN_STEP_PARTS / world.zones.zone("b").health.ramp.step_seconds(), 5) + 20
    )


def test_one_zone_recovers_after_all_were_lost() -> None:
    world = World()
    world.run(20)
    world.down = {"a", "b"}
    world.run(5)
    assert world.state("a") is world.state("b") is ZoneState.UNAVAILABLE
    world.down = {"a"}
    world.run(20)
    assert world.state("b") in (ZoneState.RECOVERING, ZoneState.HEALTHY)
    assert world.rate("b", 2) > 5


def test_clock_step_back_or_far_ahead_is_at_most_one_step_of_the_ramp() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    world.down = set()
    world.run(4)
    ramp = world.zones.zone("b").health.ramp.fraction
    world.now += 3600
    world.run(0.1)
    assert (
        world.zones.zone("b").health.ramp.fraction <= max(ramp, 0.05) * 1.5 + 1e-9
    )  # one step at the most
    world.now -= 1000
    world.run(0.5)
    assert world.zones.now > world.now  # time stood still for it, and nothing broke


def test_delisted_zone_is_unavailable_at_once_and_tried_when_listed_again() -> None:
    world = World()
    world.run(10)
    world.zones.update_endpoints(world.now, [each for each in world.entries if each.zone == "a"])
    assert world.state("b") is ZoneState.UNAVAILABLE
    world.zones.update_endpoints(world.now, world.entries)
    world.run(0.5)
    assert world.state("b") is ZoneState.RECOVERING


def test_higher_priorities_are_admitted_first_and_none_is_shut_out() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    admitted: dict[float, int] = defaultdict(int)
    for _ in range(400):
        world.now += TICK
        for priority in (1.0, 4.0, 16.0):
            for _ in range(5):  # 100 a second each, 300 in all; some 180 fit
                admitted[priority] += world.zones.admit(world.now, priority, 1, False) is None
    assert admitted[16.0] > 0.9 * 2000 and admitted[16.0] > admitted[4.0] > admitted[1.0] > 20


def test_tenant_over_its_quota_is_shed_before_others() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    kept = {False: 0, True: 0}
    for _ in range(400):
        world.now += TICK
        for over in (False, True):
            for _ in range(15):
                kept[over] += world.zones.admit(world.now, 1.0, 1, over) is None
    assert kept[False] > 1.5 * kept[True] > 0


def test_retry_after_is_spread_over_time() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    advice = [
        each
        for _ in range(3000)
        if (each := world.zones.admit(world.now, 1.0, 5, False)) is not None
    ]
    assert len(advice) > 1000 and max(advice) - min(advice) > 1.0
    counts = [sum(low <= each < low + 0.5 for each in advice) for low in (0.5, 1.0, 1.5)]
    assert max(counts) < 2 * min(counts)


def test_brokers_with_unequal_load_add_up_within_the_limit() -> None:
    worlds = [World(seed=seed) for seed in range(4)]
    rates = [20, 60, 120, 300]
    for world, rate in zip(worlds, rates, strict=True):
        world.run(30, rate=rate)
        world.down = {"b"}
        world.run(5, rate=rate)
        world.run(10, rate=4 * rate)
    limits = sum(world.limit("a") for world in worlds)
    assert sum(world.rate("a", 8) for world in worlds) <= limits * (1 + BURST_SECONDS / 8)
    assert limits <= worlds[0].zones.derived.spill * sum(rates) / 2 * 1.2


def test_zone_that_rejects_parts_gets_less() -> None:
    world = World()
    world.run(20)
    world.down = {"b"}
    world.run(5)
    before, base = allowed_rate(world, "a"), world.zones.limits.baseline(world.zones.now, "a")
    for _ in range(10):
        world.zones.on_attempt_ended(world.now, "a1", Outcome.REJECTED, 0.001)
    world.now += TICK
    world.zones.admit(world.now, 1.0, 1, False)
    assert allowed_rate(world, "a") == pytest.approx(before, rel=0.02)  # a few say nothing
    for _ in range(200):
        world.zones.on_attempt_ended(world.now, "a1", Outcome.REJECTED, 0.001)
    world.now += TICK
    world.zones.admit(world.now, 1.0, 1, False)
    got = world.rate("a", 1.0)
    assert base <= allowed_rate(world, "a") < 1.05 * got < before
    world.run(20)
    assert allowed_rate(world, "a") == pytest.approx(before, rel=0.05)


def test_failed_step_halves_the_recovery_ramp() -> None:
    world = World(servers=6)
    world.run(20)
    world.down = {"b"}
    world.run(5)
    world.down = set()
    health = world.zones.zone("b").health
    while health.state is not ZoneState.RECOVERING or health.ramp.fraction < 0.3:
        world.run(0.2)
    ramp, world.down = health.ramp.fraction, {"b0", "b1", "b2"}
    world.run(1.1 * health.ramp.step_seconds())
    assert health.state is ZoneState.RECOVERING and health.ramp.fraction == pytest.approx(ramp / 2)


def test_tiers_are_by_settings_then_by_measured_round_trip() -> None:
    zones = ZoneFailover(ZoneSettings("a", (("a", "b"),)), SHARE, COLD, AIM, 1)
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
        FailoverSettings(), zones, WarmUp(SHARE, COLD), AIM
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
def test_generated_days_never_exceed_the_limit_and_end_healthy(
    events: list[tuple[str, object, int]], seed: int
) -> None:
    """While a zone is not healthy, no other gets more than its limit and a burst; in the end all are healthy."""
    world = World("abc", seed=seed)
    world.run(20, rate=100)
    spans: list[tuple[float, float, dict[str, float]]] = []
    limit = world.limit
    for what, value, rate in events:
        if what == "down":
            world.down.add(str(value))
        elif what == "up":
            world.down.discard(str(value))
        elif what == "jump":
            world.now = max(world.now + float(value), world.zones.now)  # type: ignore[arg-type]
        else:
            disturbed, begun = world.zones.has_unhealthy_zone(), world.now
            before = {name: limit(name) for name in "abc"}
            world.run(float(value), rate=rate)  # type: ignore[arg-type]
            if disturbed and world.zones.has_unhealthy_zone():
                spans.append(
                    (begun, world.now, {name: max(before[name], limit(name)) for name in "abc"})
                )
    for begun, end, most_of in spans:
        for name, most in most_of.items():
            got = sum(begun < at <= end for at in world.sent[name])
            assert got <= most * (end - begun) + max(most * BURST_SECONDS, MIN_BURST_QUERIES) + 2
    world.down = set()
    world.run(400, rate=20, tick=0.4)
    assert all(world.state(name) is ZoneState.HEALTHY for name in "abc")
    world.rejected = 0
    world.run(3, rate=60)
    assert world.rejected == 0
    assert min(world.rate(name, 3) for name in "abc") > 10
