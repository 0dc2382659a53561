"""Outlier detection: unresponsive servers, classes lost at a server, shared faults, an outage of all servers.

The settings are those of `stepknot/interface.py`. All detectors use only this aggregator's own attempts.
"""

from __future__ import annotations

import math

from stepknot.decisions.capsule import HALF_LIFE, SERVER_SAMPLE_WEIGHT, Throttle
from stepknot.decisions.health import PENDING_PROBE_WEIGHT
from stepknot.decisions.records import Attempt, Capsule, DecayingShare
from stepknot.decisions.turn import Turn

# A server is unresponsive if it sends nothing for this many of the fleet's mean response intervals.
UNRESPONSIVE_INTERVALS = 8.0
# A server fails a class if its share of lost parts exceeds twice that of another class plus this margin.
CLASS_LOSS_MARGIN = 0.3
CLASS_SAMPLE_WEIGHT = 0.1  # weight of one part in a class's share of losses
# Idle connections are closed before a send if the share of losses on them exceeds twice the share on other
# connections plus this margin: they may have been dropped without notice.
IDLE_LOSS_MARGIN = 0.15
# Losses per server, with no part served by any server in between, that count as an outage of all servers.
OUTAGE_LOSSES_PER_SERVER = 1


def _present_share(found: DecayingShare | None, now: float, half_life: float) -> float:
    """A share after its decay up to now; 0 if nothing was recorded."""
    if found is None:
        return 0.0
    return found.share * math.exp2((found.updated_at - now) / half_life)


def _with_sample(
    found: DecayingShare | None,
    is_lost: bool,
    now: float,
    half_life: float,
    weight: float = SERVER_SAMPLE_WEIGHT,
) -> DecayingShare:
    """The share after one more part that was lost or served."""
    share = _present_share(found, now, half_life)
    return DecayingShare(share + weight * (is_lost - share), now)


class UnresponsiveServers:
    """Detects servers that have parts in flight and send nothing back."""

    __slots__ = ("_throttle", "_turn")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle

    def threshold(self) -> float:
        """Seconds without an answer after which a server is unresponsive."""
        return UNRESPONSIVE_INTERVALS * self._throttle.fleet_response_interval()

    def is_unresponsive(self, capsule: Capsule) -> bool:
        """Whether a server is unresponsive.

        An unresponsive server without calls in flight is treated as responsive again once the shortest base
        wait of all classes has passed since a connection to it was last used. It can then get one more part
        as a trial.
        """
        now = self._turn.now
        is_in_use = bool(capsule.calls) or now - capsule.last_used_at < self._throttle.base_wait
        # The threshold is seldom computed: most servers have answered since the last send to them.
        return is_in_use and now - capsule.unanswered_since > self.threshold()

    def record_end(self, capsule: Capsule, has_replied: bool) -> None:
        """Record that an attempt at the server ended, with or without a response."""
        if has_replied or (not capsule.calls and not self.is_unresponsive(capsule)):
            capsule.unanswered_since = self._turn.now if capsule.calls else math.inf


class ClassLosses:
    """Detects servers that lose one class of query while they answer others."""

    __slots__ = ("_turn",)

    def __init__(self, turn: Turn) -> None:
        self._turn = turn

    def share(self, capsule: Capsule, class_name: str) -> float:
        """The share of this class's parts that the server lost while it served parts sent later."""
        return _present_share(capsule.class_losses.get(class_name), self._turn.now, HALF_LIFE)

    def record(self, attempt: Attempt, is_lost: bool) -> None:
        """Record whether a part was lost or served.

        A lost part counts only if a part that was sent later has been served: during a pause of the server,
        all parts in flight are late.
        """
        capsule, class_name = attempt.capsule, attempt.query.query_class.name
        if not is_lost or capsule.latest_served_sent_at > attempt.sent_at:
            known = capsule.class_losses.get(class_name)
            capsule.class_losses[class_name] = _with_sample(
                known, is_lost, self._turn.now, HALF_LIFE, CLASS_SAMPLE_WEIGHT
            )

    def fails_class(self, capsule: Capsule, class_name: str) -> bool:
        """Whether the server loses this class while it answers another one."""
        lost = self.share(capsule, class_name)
        if lost <= CLASS_LOSS_MARGIN:
            return False
        classes = self._turn.settings.classes
        return lost > CLASS_LOSS_MARGIN + 2 * min(self.share(capsule, each) for each in classes)


class SharedFaults:
    """Losses by properties that servers share: kind of machine, zone, and whether the connection was idle.

    The samples of a single server are too few to detect such faults. Grouping them detects bad network paths
    to one kind or zone, and losses on connections that were idle.
    """

    __slots__ = (
        "_idle_half_life",
        "_min_kind_share",
        "_min_zone_share",
        "_throttle",
        "_turn",
        "connections",
        "kinds",
        "zones",
    )

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle
        # The caller closes connections that are idle for longer than this, so older samples hardly matter.
        self._idle_half_life = turn.settings.limits.idle_connection or HALF_LIFE
        self.kinds: dict[str, DecayingShare] = {}
        self.zones: dict[str, DecayingShare] = {}
        self.connections: dict[bool, DecayingShare] = {}  # by whether the connection was idle
        # The lowest share of all kinds and of all zones; None until it is computed in this turn.
        self._min_kind_share: float | None = None
        self._min_zone_share: float | None = None

    def begin_turn(self) -> None:
        """Discard the values computed for the time of the previous turn."""
        self._min_kind_share = self._min_zone_share = None

    def record(self, attempt: Attempt, is_lost: bool) -> None:
        """Record whether a part was lost: once per attempt, and once per call for the connection."""
        if attempt.is_sampled:
            return
        attempt.is_sampled = True
        self.begin_turn()  # the lowest shares change with the new sample
        entry, call = attempt.capsule.entry, attempt.call
        now = self._turn.now
        self.kinds[entry.kind] = _with_sample(self.kinds.get(entry.kind), is_lost, now, HALF_LIFE)
        self.zones[entry.zone] = _with_sample(self.zones.get(entry.zone), is_lost, now, HALF_LIFE)
        if not call.is_sampled:  # the parts of a call use the same connection
            call.is_sampled = True
            known = self.connections.get(call.on_idle_connection)
            found = _with_sample(known, is_lost, now, self._idle_half_life)
            self.connections[call.on_idle_connection] = found

    def excess(self, capsule: Capsule) -> int:
        """The number of calls in flight that the losses of the server's kind and zone count as.

        Only the excess over the best kind or zone counts, not the losses that all have. It counts in full for
        a server without responses, and less the more confidence there is in the server's own means.
        """
        if self._min_kind_share is None or self._min_zone_share is None:
            self._min_kind_share = self._min_share(self.kinds)
            self._min_zone_share = self._min_share(self.zones)
        now, entry, count = self._turn.now, capsule.entry, 0
        excess = _present_share(self.kinds.get(entry.kind), now, HALF_LIFE) - self._min_kind_share
        if excess:
            count += self._weigh(capsule, excess)
        excess = _present_share(self.zones.get(entry.zone), now, HALF_LIFE) - self._min_zone_share
        if excess:
            count += self._weigh(capsule, excess)
        return count

    def _weigh(self, capsule: Capsule, excess: float) -> int:
        return int(PENDING_PROBE_WEIGHT * (1 - self._throttle.confidence(capsule)) * excess)

    def _min_share(self, shares: dict[str, DecayingShare]) -> float:
        now = self._turn.now
        return min((_present_share(each, now, HALF_LIFE) for each in shares.values()), default=0.0)

    def should_close_idle_connections(self) -> bool:
        """Whether to close a server's idle connections before a send to it, so that the send opens a new one.

        That is the case if parts are lost much more often on idle connections than on other connections, over
        all servers. If parts are lost on other connections as often, a new connection would not help.
        """
        now, half_life = self._turn.now, self._idle_half_life
        lost_on_idle = _present_share(self.connections.get(True), now, half_life)
        lost_on_others = _present_share(self.connections.get(False), now, half_life)
        return lost_on_idle > 2 * lost_on_others + IDLE_LOSS_MARGIN


class Outage:
    """Detects an outage of all servers from the parts lost since one was last served."""

    __slots__ = ("lost_parts",)

    def __init__(self) -> None:
        self.lost_parts = 0  # at any server, since a part was last served

    def is_present(self, servers: int) -> bool:
        """Whether all servers, of which there are `servers`, seem to be down."""
        return self.lost_parts >= OUTAGE_LOSSES_PER_SERVER * max(servers, 1)


class OutlierDetection:
    """The detectors of one aggregator."""

    __slots__ = ("class_losses", "outage", "shared_faults", "unresponsive")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self.unresponsive = UnresponsiveServers(turn, throttle)
        self.class_losses = ClassLosses(turn)
        self.shared_faults = SharedFaults(turn, throttle)
        self.outage = Outage()
