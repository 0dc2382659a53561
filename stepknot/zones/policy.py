"""What a broker decides about zones. It narrows the module's candidates; the module chooses among them by fewest out.

Tiers: the own zone and those so near that the way is not felt are one; farther ones follow. While every zone is
sound nothing else acts. Once one is not, each sound zone gets at most `spill` times what it had (`spill.py`), a
returning one a growing share of what it had, a dark one trials only (`health.py`); what fits nowhere is refused before
it is sent, by worth, with advice spread over time.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from stepknot.interface import Outcome, ServerEntry, ServerState
from stepknot.zones.health import LEAST_STEP, Faded, Health
from stepknot.zones.model import Change, State, ZoneSettings, ZoneView, derive
from stepknot.zones.spill import Rate, Spill

SILENT = 5.0  # mean times of an answer after which a part called off at a silent box counts as lost
MEAN_WEIGHT = 0.05  # of an answer in the mean time
QUICKEST = 0.1  # of a question in a zone's way: the quickest lately, forgotten slowly
LEAST_LEVEL = 0.05  # of what may be sent, for each level of worth: none is shut out
OVER_SHARE = 0.5  # of its worth counts for a query of a tenant that has more than it was promised
ADVICE = (
    0.5,
    2.0,
)  # seconds: refused clients are spread over this, more widely the longer the way back
DEMAND_MEMORY = (
    4.0  # seconds over which what is asked for is seen: shorter, and each lump looks like overload
)
WIDEST_MEMORY = 10.0
MOST_CHANGES = 1000
COUNTED = {Outcome.ERROR, Outcome.RESET, Outcome.NOT_CONNECTED}


@dataclass(slots=True)
class Zone:
    """All that is kept of one zone."""

    health: Health
    spill: Spill
    boxes: int = 0  # live by the list
    starts: tuple[float, ...] = ()  # of those, when each came up; 0: long ago
    known: int = 0  # live when it was last sound
    way: float = 0.0  # seconds to it and back, the quickest lately; 0: not measured
    tentative: float = 0.0  # parts that the module may place there in this turn


@dataclass(slots=True)
class Level:
    """Queries of one worth for a part: how many parts a second, and what part of one is owed to the next."""

    asked: Rate = field(default_factory=lambda: Rate(DEMAND_MEMORY))
    owed: float = 0.0


class Zones:
    def __init__(
        self,
        settings: ZoneSettings,
        cold_share: float,
        cold_time: float,
        shortest_aim: float,
        seed: int,
    ) -> None:
        """What the settings leave open is derived from the warm-up and the shortest aim, and from the list's zones."""
        self.settings, self.known_of_cold = settings, (cold_share, cold_time, shortest_aim)
        self.bounds = derive(settings.bounds, 2, *self.known_of_cold)
        self.rng = random.Random(seed)
        self.zones: dict[str, Zone] = {}
        self.zone_of: dict[str, str] = {}
        self.answered: dict[str, float] = {}  # by box: when it last served
        self.asked_rate = Rate(DEMAND_MEMORY)
        self.widest = Faded()  # parts of the widest query lately
        self.levels: dict[float, Level] = {}
        self.mean = 0.0  # seconds of an answer
        self.changes: list[Change] = []
        self.told: dict[str, State] = {}
        self.sound = True  # all zones are: kept by `note_changes`
        self.rates: dict[str, float] = {}  # what each zone may get at this time
        self.widest_now = 0.0
        self.flat = True  # all zones are of one tier
        self.tiers: dict[str, int] = {}  # as measured; made anew when a way or the list changes
        self.shed_parts = 0.0
        self.now = 0.0

    def zone(self, name: str) -> Zone:
        zone = self.zones.get(name)
        if zone is None:
            zone = self.zones[name] = Zone(
                Health(self.bounds, self.rng), Spill(self.bounds.history)
            )
            self.told[name] = State.SOUND
        return zone

    # --- what is seen

    def take_list(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """All boxes listed now."""
        self.advance(now)
        starts: dict[str, list[float]] = defaultdict(list)
        self.zone_of = {}
        for entry in entries:
            self.zone_of[entry.server] = entry.zone
            of_zone = starts[entry.zone]  # a zone of which none is live is known too
            if entry.state is ServerState.LIVE:
                of_zone.append(entry.up_since)
        self.answered = {box: at for box, at in self.answered.items() if box in self.zone_of}
        for name in starts:
            self.zone(name)
        self.bounds = derive(self.settings.bounds, len(self.zones), *self.known_of_cold)
        for name, zone in self.zones.items():
            had, zone.starts = zone.boxes, tuple(starts.get(name, ()))
            zone.boxes = len(zone.starts)
            if had and not zone.boxes:
                zone.health.list_lost(self.now)
            elif zone.boxes and not had:
                zone.health.list_back(self.now)
        self.note_changes()
        self.sort_tiers()
        for zone in self.zones.values():
            if zone.health.state is State.SOUND:
                zone.known = max(zone.boxes, zone.known) if self.disturbed() else zone.boxes

    def sent(self, now: float, box: str) -> None:
        self.advance(now)
        name = self.zone_of.get(box)
        if name is not None:
            self.zone(name).spill.take(self.now, 1.0)

    def ended(self, now: float, box: str, outcome: Outcome, elapsed: float) -> None:
        """An attempt ended. Silence counts only of a box that served nothing since: another is merely slow."""
        self.advance(now)
        name = self.zone_of.get(box)
        if name is None:
            return
        zone = self.zone(name)
        alive = self.answered.get(box, -math.inf) >= self.now - elapsed  # it served something since
        if zone.health.state is State.DARK:
            zone.health.able = self.able(zone)
        if outcome is Outcome.SERVED:
            self.answered[box] = self.now
            self.mean += (MEAN_WEIGHT if self.mean else 1.0) * (elapsed - self.mean)
            zone.health.hear(self.now, box, True, zone.boxes)
            zone.spill.hear(self.now, False)
        elif outcome is Outcome.REJECTED or outcome is Outcome.TIMED_OUT and alive:
            zone.spill.hear(self.now, True)
        elif outcome in COUNTED or not alive and self.was_silent(outcome, elapsed):
            zone.health.hear(self.now, box, False, zone.boxes)
        if zone.health.state is not self.told[name]:
            self.note_changes()

    def able(self, zone: Zone) -> float:
        """Share of their work that its boxes can do now: from what one just started can, to all when it is warm."""
        share, warm, _ = self.known_of_cold
        each = [
            1.0
            if up <= 0 or warm <= 0
            else min(1.0, share + (1 - share) * max(self.now - up, 0.0) / warm)
            for up in zone.starts
        ]
        return sum(each) / len(each) if each else share

    def was_silent(self, outcome: Outcome, elapsed: float) -> bool:
        return outcome is Outcome.TIMED_OUT or (
            outcome is Outcome.CANCELLED and self.mean > 0 and elapsed >= SILENT * self.mean
        )

    def probed(self, now: float, box: str, elapsed: float, served: bool) -> None:
        """A question was answered: how far the zone is. It says nothing of its health."""
        self.advance(now)
        name = self.zone_of.get(box)
        if name is not None and served:
            zone = self.zone(name)
            zone.way = (
                elapsed
                if not zone.way or elapsed < zone.way
                else zone.way + QUICKEST * (elapsed - zone.way)
            )
            self.sort_tiers()

    def advance(self, now: float) -> None:
        """Time never goes back, whatever a caller's clock does; a jump ahead is one long step of nothing."""
        if now <= self.now:
            return
        self.now = now
        self.widest_now = max(self.widest.now(now, WIDEST_MEMORY), 1.0)
        for zone in self.zones.values():
            zone.health.tick(now)
        self.note_changes()
        for zone in self.zones.values():
            if self.sound:
                zone.spill.remember(now)
            else:
                zone.spill.pause()

    def note_changes(self) -> None:
        self.rates.clear()
        for name, zone in self.zones.items():
            health = zone.health
            if health.state is self.told[name]:
                continue
            zone.spill.forget(self.now)
            if len(self.changes) < MOST_CHANGES:
                self.changes.append(
                    Change(
                        name,
                        self.told[name],
                        health.state,
                        health.why,
                        {
                            "failing": round(health.share_failing(self.now), 3),
                            "samples": round(health.samples(self.now), 1),
                            "boxes": float(zone.boxes),
                            "relapses": float(health.relapses),
                            "ramp": round(health.ramp, 3),
                        },
                    )
                )
            self.told[name] = health.state
        self.sound = all(zone.health.state is State.SOUND for zone in self.zones.values())

    def take_changes(self) -> list[Change]:
        """Those since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # --- what follows

    def disturbed(self) -> bool:
        return not self.sound

    def tier(self, name: str) -> int:
        """0 is best. Named tiers come first; a zone that is not named is near or far by its measured way."""
        tier = self.tiers.get(name)
        if tier is None:
            tier = self.tiers[name] = self.measured_tier(name)
        return tier

    def sort_tiers(self) -> None:
        """Ways or the list changed."""
        self.tiers = {name: self.measured_tier(name) for name in self.zones}
        self.flat = len(set(self.tiers.values())) <= 1

    def measured_tier(self, name: str) -> int:
        for place, tier in enumerate(self.settings.tiers):
            if name in tier:
                return place
        named = len(self.settings.tiers)
        if name == self.settings.own or not self.settings.own or not self.settings.prefer_near:
            return 0
        zone = self.zones.get(name)
        return named if zone is None or zone.way <= self.bounds.near else named + 1

    def base(self, name: str) -> float:
        """Parts a second that the zone had."""
        zone = self.zone(name)
        all_boxes = sum(max(each.known, each.boxes) for each in self.zones.values())
        guess = self.asked_rate.now(self.now) * max(zone.known, zone.boxes) / max(all_boxes, 1)
        return zone.spill.base(guess)

    def limit(self, name: str) -> float:
        """The stated bound, in parts a second: what the zone gets at the most while another is not sound."""
        base = self.base(name)
        return self.bounds.spill * (base + self.zone(name).spill.doubt(base, self.widest_now))

    def allowed(self, name: str) -> float:
        """Parts a second that it may get now."""
        rate = self.rates.get(name)
        if rate is None:
            rate = self.rates[name] = math.inf if self.sound else self.bounded(name)
        return rate

    def bounded(self, name: str) -> float:
        """That, where some zone is not sound."""
        zone = self.zone(name)
        health, base = zone.health, self.base(name)
        if health.state is State.SOUND:
            return zone.spill.bears(self.now, self.limit(name), base)
        least = 2 * LEAST_STEP / health.step_time()  # enough to learn from
        if health.state is State.RETURNING:
            return max(least, health.ramp * base)
        return max(least, self.bounds.first * base)

    def has_tokens(self, name: str) -> bool:
        rate = self.allowed(name)
        if rate == math.inf:
            return True
        zone = self.zone(name)
        widest = self.widest_now if zone.health.state is State.SOUND else 1.0
        return zone.spill.fill(self.now, rate, widest) - zone.tentative >= 1.0

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        """The places of those that may be chosen; none where nothing may be sent. `safe`: fit for a trial; `owed`:
        work was done for it already, so it is not shed where any zone is sound."""
        self.advance(now)
        if self.sound:
            return list(range(len(entries))) if self.flat else self.best_tier(entries, None)
        open_to: dict[str, bool] = {}
        for entry in entries:
            if entry.zone not in open_to:
                health = self.zone(entry.zone).health
                if health.state is State.DARK:
                    open_to[entry.zone] = False
                    if safe and not owed and health.may_try(self.now):
                        return [
                            place for place, each in enumerate(entries) if each.zone == entry.zone
                        ]
                else:
                    # A returning zone with room is offered beside the sound ones, not before them: its boxes are cold,
                    # and the module sees by their counts and means which part is better off elsewhere.
                    open_to[entry.zone] = (
                        owed and health.state is State.SOUND or self.has_tokens(entry.zone)
                    )
        if not any(open_to.values()) and all(
            self.zone(name).health.state is State.DARK for name in open_to
        ):
            open_to = {name: self.has_tokens(name) for name in open_to}  # the last copies
        chosen = self.best_tier(entries, open_to)
        zones = {entries[place].zone for place in chosen}
        for name in zones:
            self.zone(name).tentative += 1 / len(zones)
        return chosen

    def best_tier(
        self, entries: Sequence[ServerEntry], open_to: Mapping[str, bool] | None
    ) -> list[int]:
        """The places of those in the best tier that is open; None: all are."""
        if self.flat and open_to is not None:
            return [place for place, entry in enumerate(entries) if open_to[entry.zone]]
        tiers = [
            self.tier(each.zone) if open_to is None or open_to[each.zone] else math.inf
            for each in entries
        ]
        best = min(tiers, default=math.inf)
        return [place for place, tier in enumerate(tiers) if tier == best < math.inf]

    def settle(self) -> None:
        """The module's turn is over: what it placed has been told by `sent`."""
        for zone in self.zones.values():
            zone.tentative = 0.0

    def admit(self, now: float, worth: float, parts: int, over_share: bool) -> float | None:
        """None: go on. Else the query is shed, and comes back after so many seconds. `worth`: for a part."""
        self.advance(now)
        self.asked_rate.add(self.now, parts)
        if parts > self.widest_now:
            self.widest, self.widest_now = Faded(parts, self.now), parts
        worth = max(worth * (OVER_SHARE if over_share else 1.0), 1e-9)
        level_worth = 2 ** (
            round(2 * math.log2(worth)) / 2
        )  # few levels, whatever the number of parts
        level = self.levels.setdefault(level_worth, Level())
        level.asked.add(self.now, parts)
        if not self.disturbed():
            return None
        share = self.share_of(level_worth)
        level.owed = min(level.owed + share, 1.0)
        if level.owed >= 1.0 - 1e-9:
            level.owed -= 1.0
            return None
        self.shed_parts += parts
        return self.advice()

    def share_of(self, worth: float) -> float:
        """Which share of the queries of this worth fits: the worthier levels come first, none is shut out."""
        rates = {each: level.asked.now(self.now) for each, level in self.levels.items()}
        capacity = sum(self.allowed(name) for name in self.zones)
        if sum(rates.values()) <= capacity:
            return 1.0
        left = capacity * (1 - LEAST_LEVEL * len(rates))
        for each in sorted(rates, reverse=True):
            if each == worth:
                fits = max(0.0, min(1.0, left / max(rates[each], 1e-9)))
                return max(fits, min(1.0, LEAST_LEVEL * capacity / max(rates[each], 1e-9)))
            left -= rates[each]
        return 1.0

    def advice(self) -> float:
        """Seconds, spread so that those refused together do not come back together."""
        least, most = ADVICE
        waiting = max(
            (
                zone.health.step_time()
                for zone in self.zones.values()
                if zone.health.state is not State.SOUND
            ),
            default=0.0,
        )
        return self.rng.uniform(least, most + waiting)

    # --- what is shown

    def views(self, now: float) -> list[ZoneView]:
        self.advance(now)
        shown = []
        ramps = {State.SOUND: 1.0, State.DARK: 0.0}
        for name, zone in sorted(self.zones.items()):
            health = zone.health
            shown.append(
                ZoneView(
                    name,
                    health.state,
                    self.tier(name),
                    zone.boxes,
                    zone.spill.sent.now(self.now),
                    self.base(name),
                    self.allowed(name),
                    ramps.get(health.state, health.ramp),
                    health.share_failing(self.now),
                    health.relapses,
                    health.why,
                )
            )
        return shown
