"""Failover between zones, as a broker holds it: composes health, limits, tiers and shedding.

`narrow` narrows the decision module's candidates; the module chooses among them by fewest in flight. The own zone and
those so near that the round trip is not felt are one tier; farther ones follow. While every zone is healthy nothing
else acts. Once one is not, each healthy zone gets at most `spill` times its baseline, a recovering one a growing
fraction of its baseline, an unavailable one trials only; what fits nowhere is shed before it is sent.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from stepknot.interface import Outcome, ServerEntry, ServerState
from stepknot.zones.demand import Demand
from stepknot.zones.limits import ZoneLimits
from stepknot.zones.model import ZoneEvidence, ZoneState, ZoneStateChange, ZoneView
from stepknot.zones.server_activity import ServerActivity
from stepknot.zones.settings import WarmUp, ZoneSettings, derive_settings
from stepknot.zones.shedding import PriorityShedder
from stepknot.zones.tiers import LocalityTiers
from stepknot.zones.zone import Zone

MAX_CHANGES = 1000  # state changes that are kept for the log
MIN_ZONES = 2  # for which limits are derived until the endpoint list is there


class ZoneFailover:
    """Decisions about zones of one broker.

    Args:
        settings: What is given; the rest is derived from the warm-up, the objective and the number of zones.
        cold_share: Fraction of its work that a server can do after its start.
        cold_time: Seconds until it can do all.
        latency_objective: The shortest of all classes, in seconds.
        seed: Of the trials' and Retry-After's chance.
    """

    def __init__(
        self,
        settings: ZoneSettings,
        cold_share: float,
        cold_time: float,
        latency_objective: float,
        seed: int,
    ) -> None:
        self.settings = settings
        self.warm_up = WarmUp(cold_share, cold_time)
        self.latency_objective = latency_objective
        self.derived = derive_settings(
            settings.failover, MIN_ZONES, self.warm_up, latency_objective
        )
        self.rng = random.Random(seed)
        self.now = 0.0
        self.zones: dict[str, Zone] = {}
        self.zone_of_server: dict[str, str] = {}
        self.changes: list[ZoneStateChange] = []  # since the last `take_changes`
        self.demand = Demand()
        self.limits = ZoneLimits(self.zones, self.demand, self.derived)
        self.tiers = LocalityTiers(settings, self.zones, self.derived.near)
        self.shedder = PriorityShedder(self.limits, self.rng)
        self._activity = ServerActivity()

    def zone(self, name: str) -> Zone:
        """The zone of this name, which may be new."""
        zone = self.zones.get(name)
        if zone is None:
            zone = self.zones[name] = Zone(self.derived, self.rng)
        return zone

    def has_unhealthy_zone(self) -> bool:
        """Whether a zone is unavailable or recovering."""
        return not self.limits.all_healthy

    # --- events

    def update_endpoints(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """The endpoint list, with all servers listed now."""
        self.advance(now)
        starts = self._take_entries(entries)
        self._activity.keep_only(self.zone_of_server)
        for name in starts:
            self.zone(name)
        self.derived = derive_settings(
            self.settings.failover, len(self.zones), self.warm_up, self.latency_objective
        )
        self.limits.settings = self.derived
        for name, zone in self.zones.items():
            zone.update_servers(self.now, tuple(starts.get(name, ())))
        self.record_changes()
        self.tiers.update()
        self._update_healthy_counts()

    def _take_entries(self, entries: Iterable[ServerEntry]) -> Mapping[str, list[float]]:
        """Map servers to zones; returns the live servers' start times by zone, also of zones without any."""
        starts: dict[str, list[float]] = defaultdict(list)
        self.zone_of_server = {}
        for entry in entries:
            self.zone_of_server[entry.server] = entry.zone
            of_zone = starts[entry.zone]
            if entry.state is ServerState.LIVE:
                of_zone.append(entry.up_since)
        return starts

    def _update_healthy_counts(self) -> None:
        """Note how many servers healthy zones have; while another is not healthy, the count only grows."""
        for zone in self.zones.values():
            if zone.health.state is not ZoneState.HEALTHY:
                continue
            if self.has_unhealthy_zone():
                zone.servers_when_healthy = max(zone.servers, zone.servers_when_healthy)
            else:
                zone.servers_when_healthy = zone.servers

    def on_attempt_sent(self, now: float, server: str) -> None:
        """A part was sent to a server."""
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is not None:
            self.zone(name).on_sent(self.now)

    def on_attempt_ended(self, now: float, server: str, outcome: Outcome, seconds: float) -> None:
        """An attempt ended after so long.

        A cancelled attempt, or one that timed out, counts as lost only at a server that served nothing since it was
        sent: another is merely slow.
        """
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is None:
            return
        zone = self.zone(name)
        if zone.health.state is ZoneState.UNAVAILABLE:
            zone.health.warm_capacity = self.warm_up.capacity(self.now, zone.starts)
        served_meanwhile = self._activity.served_since(server, self.now - seconds)
        if outcome is Outcome.SERVED:
            self._activity.record_served(self.now, server, seconds)
            zone.health.on_part_ended(self.now, server, True, zone.servers)
            zone.overload.record(self.now, False, zone.sent)
        elif outcome is Outcome.REJECTED or (outcome is Outcome.TIMED_OUT and served_meanwhile):
            zone.overload.record(self.now, True, zone.sent)
        elif self._activity.is_lost(outcome, seconds, served_meanwhile):
            zone.health.on_part_ended(self.now, server, False, zone.servers)
        if zone.health.state is not zone.reported_state:
            self.record_changes()

    def on_health_check(self, now: float, server: str, seconds: float, served: bool) -> None:
        """A health check ended: how far the zone is. It says nothing of its health."""
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is not None and served:
            self.zone(name).update_round_trip(seconds)
            self.tiers.update()

    def advance(self, now: float) -> None:
        """Let time pass; invariant 5. A jump ahead is one long step without events."""
        if now <= self.now:
            return
        self.now = now
        self.demand.advance(now)
        for zone in self.zones.values():
            zone.health.advance(now)
        self.record_changes()
        all_healthy = self.limits.all_healthy
        for zone in self.zones.values():
            if all_healthy:
                zone.baseline.observe(now, zone.sent)
            else:
                zone.baseline.pause()

    def record_changes(self) -> None:
        """Record the zones whose state is not the reported one."""
        for name, zone in self.zones.items():
            if zone.health.state is not zone.reported_state:
                self._record_change(name, zone)
        self.limits.update()

    def _record_change(self, name: str, zone: Zone) -> None:
        health = zone.health
        zone.on_state_changed(self.now)
        if len(self.changes) < MAX_CHANGES:
            evidence = ZoneEvidence(
                failing_fraction=round(health.evidence.failing_fraction(self.now), 3),
                samples=round(health.evidence.samples(self.now), 1),
                servers=float(zone.servers),
                relapses=float(health.ramp.relapses),
                recovery_fraction=round(health.ramp.fraction, 3),
            )
            change = ZoneStateChange(
                name, zone.reported_state, health.state, health.reason, evidence
            )
            self.changes.append(change)
        zone.reported_state = health.state

    def take_changes(self) -> list[ZoneStateChange]:
        """The state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # --- decisions

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        """The places of the candidates that may be chosen; none where nothing may be sent.

        Args:
            now: Time in seconds.
            entries: The candidates.
            safe: Whether the part is safe to repeat, so that it is fit for a trial.
            owed: Whether work was done for its query already, so that it is not shed where a zone is healthy.
        """
        self.advance(now)
        if self.limits.all_healthy:
            return self.tiers.best_places(entries)
        is_open: dict[str, bool] = {}
        for entry in entries:
            name = entry.zone
            if name in is_open:
                continue
            health = self.zone(name).health
            if health.state is ZoneState.UNAVAILABLE:
                is_open[name] = False
                if safe and not owed and health.take_trial(self.now):
                    return [place for place, each in enumerate(entries) if each.zone == name]
            else:
                # A recovering zone with capacity is offered beside the healthy ones, not before them: its servers are
                # cold, and the module sees by their counts and means which part is better off elsewhere.
                keeps_open = owed and health.state is ZoneState.HEALTHY
                is_open[name] = keeps_open or self.limits.has_capacity(self.now, name)
        if self._are_last_replicas(is_open):
            is_open = {name: self.limits.has_capacity(self.now, name) for name in is_open}
        places = self.tiers.best_places(entries, is_open)
        self._expect(entries, places)
        return places

    def _are_last_replicas(self, is_open: Mapping[str, bool]) -> bool:
        """Whether all candidates are in unavailable zones."""
        if any(is_open.values()):
            return False
        return all(self.zone(name).health.state is ZoneState.UNAVAILABLE for name in is_open)

    def _expect(self, entries: Sequence[ServerEntry], places: list[int]) -> None:
        """Count one part against the zones that it may go to, until the turn ends."""
        names = {entries[place].zone for place in places}
        for name in names:
            self.zone(name).tentative += 1 / len(names)

    def end_turn(self) -> None:
        """The decision module's turn is over: what it placed came by `on_attempt_sent`."""
        for zone in self.zones.values():
            zone.tentative = 0.0

    def admit(self, now: float, priority: float, parts: int, over_quota: bool) -> float | None:
        """Whether a query is admitted: None, or the seconds after which a shed one may return.

        Args:
            now: Time in seconds.
            priority: Its priority weight for a part.
            parts: How many it has.
            over_quota: Whether its tenant asks for more than its quota.
        """
        self.advance(now)
        self.demand.record(self.now, parts)
        level = self.shedder.record(self.now, priority, parts, over_quota)
        if self.limits.all_healthy or self.shedder.admits(self.now, level, parts):
            return None
        return self.shedder.retry_after(self.zones.values())

    # --- operators

    def views(self, now: float) -> list[ZoneView]:
        """All zones, by name."""
        self.advance(now)
        return [self._view(name, zone) for name, zone in sorted(self.zones.items())]

    def _view(self, name: str, zone: Zone) -> ZoneView:
        health = zone.health
        recovery_fractions = {ZoneState.HEALTHY: 1.0, ZoneState.UNAVAILABLE: 0.0}
        return ZoneView(
            zone=name,
            state=health.state,
            tier=self.tiers.tier(name),
            servers=zone.servers,
            rate=zone.sent.rate_at(self.now),
            baseline_rate=self.limits.baseline(self.now, name),
            allowed_rate=self.limits.allowed_rate(self.now, name),
            recovery_fraction=recovery_fractions.get(health.state, health.ramp.fraction),
            failing_fraction=health.evidence.failing_fraction(self.now),
            relapses=health.ramp.relapses,
            reason=health.reason,
        )
