"""Zone failover of one broker: combines zone health, limits, locality tiers and shedding.

`narrow` narrows the decision module's candidates; the module then picks the one with the fewest parts in flight. The
broker's own zone, and zones whose round trip is negligible, form one tier; farther zones form the next. While every
zone is healthy, only the tiers narrow the candidates. Once a zone is not healthy, each healthy zone gets at most
`spill` times its baseline, a recovering zone a growing fraction of its baseline, and an unavailable zone trials and the
parts whose last replicas it has. Queries that exceed these limits are shed before they are sent.
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

MAX_CHANGES = 1000  # maximum number of state changes kept for the log
INITIAL_ZONE_COUNT = 2  # number of zones assumed for derived limits until the endpoint list arrives


class ZoneFailover:
    """Makes the zone decisions of one broker.

    Args:
        settings: The configured settings; the remaining ones are derived from the warm-up, the latency objective and
            the number of zones.
        cold_share: Fraction of its full capacity that a server has right after its start.
        cold_time: Seconds from a server's start until it has its full capacity.
        latency_objective: The shortest latency objective of all classes, in seconds.
        seed: Seed of the random times of trials and of Retry-After.
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
            settings.failover, INITIAL_ZONE_COUNT, self.warm_up, latency_objective
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
        """Return the zone of this name; create it if it is new."""
        zone = self.zones.get(name)
        if zone is None:
            zone = self.zones[name] = Zone(self.derived, self.rng)
        return zone

    def has_unhealthy_zone(self) -> bool:
        """Return whether any zone is unavailable or recovering."""
        return not self.limits.all_healthy

    # --- events

    def update_endpoints(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Apply a new endpoint list, which contains all servers that are listed now."""
        self.advance(now)
        start_times = self._map_servers(entries)
        self._activity.keep_only(self.zone_of_server)
        for name in start_times:
            self.zone(name)
        self.derived = derive_settings(
            self.settings.failover, len(self.zones), self.warm_up, self.latency_objective
        )
        self.limits.settings = self.derived
        for name, zone in self.zones.items():
            zone.update_servers(self.now, tuple(start_times.get(name, ())))
        self.record_changes()
        self.tiers.update()
        self._update_healthy_counts()

    def _map_servers(self, entries: Iterable[ServerEntry]) -> Mapping[str, list[float]]:
        """Map servers to zones; return the start times of live servers by zone, for every zone that is listed."""
        start_times: dict[str, list[float]] = defaultdict(list)
        self.zone_of_server = {}
        for entry in entries:
            self.zone_of_server[entry.server] = entry.zone
            zone_start_times = start_times[entry.zone]
            if entry.state is ServerState.LIVE:
                zone_start_times.append(entry.up_since)
        return start_times

    def _update_healthy_counts(self) -> None:
        """Update the server counts of healthy zones; while another zone is not healthy, the counts only grow."""
        for zone in self.zones.values():
            if zone.health.state is not ZoneState.HEALTHY:
                continue
            if self.has_unhealthy_zone():
                zone.servers_when_healthy = max(zone.servers, zone.servers_when_healthy)
            else:
                zone.servers_when_healthy = zone.servers

    def on_attempt_sent(self, now: float, server: str) -> None:
        """Record that a part was sent to a server."""
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is not None:
            self.zone(name).on_sent(self.now)

    def on_attempt_ended(self, now: float, server: str, outcome: Outcome, seconds: float) -> None:
        """Record that an attempt at a server ended after `seconds`.

        A cancelled or timed-out attempt counts as lost only if its server has served nothing since the attempt was
        sent. A server that has served something is merely slow.
        """
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is None:
            return
        zone = self.zone(name)
        if zone.health.state is ZoneState.UNAVAILABLE:
            zone.health.warm_capacity = self.warm_up.capacity(self.now, zone.start_times)
        served_since_sent = self._activity.served_since(server, self.now - seconds)
        if outcome is Outcome.SERVED:
            self._activity.record_served(self.now, server, seconds)
            zone.health.on_part_ended(self.now, server, True, zone.servers)
            zone.overload.record(self.now, False, zone.sent)
        elif outcome is Outcome.REJECTED or (outcome is Outcome.TIMED_OUT and served_since_sent):
            zone.overload.record(self.now, True, zone.sent)
        elif self._activity.is_lost(outcome, seconds, served_since_sent):
            zone.health.on_part_ended(self.now, server, False, zone.servers)
        if zone.health.state is not zone.reported_state:
            self.record_changes()

    def on_health_check(self, now: float, server: str, seconds: float, served: bool) -> None:
        """Update the round trip to a server's zone from a health check, which does not affect the zone's health."""
        self.advance(now)
        name = self.zone_of_server.get(server)
        if name is not None and served:
            self.zone(name).update_round_trip(seconds)
            self.tiers.update()

    def advance(self, now: float) -> None:
        """Advance the time; invariant 5. A forward jump of the clock counts as one long step without events."""
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
        """Record the zones whose state differs from the last one recorded."""
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
        """Return the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # --- decisions

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        """Return the indices of the candidates that may be chosen; empty if the part may not be sent anywhere.

        Args:
            now: Time in seconds.
            entries: The candidates.
            safe: Whether the part is safe to repeat; only such parts are used for trials.
            owed: Whether work was already done for the part's query; such a part is not shed if a zone is healthy.
        """
        self.advance(now)
        if self.limits.all_healthy:
            return self.tiers.best_indices(entries)
        is_open: dict[str, bool] = {}
        for entry in entries:
            name = entry.zone
            if name in is_open:
                continue
            health = self.zone(name).health
            if health.state is ZoneState.UNAVAILABLE:
                is_open[name] = False
                if safe and not owed and health.take_trial(self.now):
                    return [index for index, each in enumerate(entries) if each.zone == name]
            else:
                # A recovering zone with capacity is offered together with the healthy zones, not ahead of them: its
                # servers are cold, and the decision module compares their counts in flight and mean times with those
                # of the other servers.
                ignores_limit = owed and health.state is ZoneState.HEALTHY
                is_open[name] = ignores_limit or self.limits.has_capacity(self.now, name)
        if self._are_last_replicas(is_open):
            is_open = {name: self.limits.has_capacity(self.now, name) for name in is_open}
        indices = self.tiers.best_indices(entries, is_open)
        self._count_tentatively(entries, indices)
        return indices

    def _are_last_replicas(self, is_open: Mapping[str, bool]) -> bool:
        """Return whether all candidates are in unavailable zones."""
        if any(is_open.values()):
            return False
        return all(self.zone(name).health.state is ZoneState.UNAVAILABLE for name in is_open)

    def _count_tentatively(self, entries: Sequence[ServerEntry], indices: list[int]) -> None:
        """Count one part, in equal shares, against the zones that it may go to, until `end_turn`."""
        names = {entries[index].zone for index in indices}
        for name in names:
            self.zone(name).tentative_parts += 1 / len(names)

    def end_turn(self) -> None:
        """End the decision module's turn: clear the tentative counts, as `on_attempt_sent` has counted its parts."""
        for zone in self.zones.values():
            zone.tentative_parts = 0.0

    def admit(self, now: float, priority: float, parts: int, over_quota: bool) -> float | None:
        """Return None if a query is admitted; if it is shed, the seconds after which the client may retry.

        Args:
            now: Time in seconds.
            priority: The query's priority weight per part.
            parts: The query's number of parts.
            over_quota: Whether the query's tenant exceeds its quota.
        """
        self.advance(now)
        self.demand.record(self.now, parts)
        level = self.shedder.record(self.now, priority, parts, over_quota)
        if self.limits.all_healthy or self.shedder.admits(self.now, level, parts):
            return None
        return self.shedder.retry_after(self.zones.values())

    # --- operators

    def views(self, now: float) -> list[ZoneView]:
        """Return a view of each zone, sorted by name."""
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
