"""Outlier detection: unresponsive servers, lost classes, faults that servers share, an outage of all.

The settings are those of `stepknot/interface.py`. All detectors look only at this aggregator's own attempts.
"""

from __future__ import annotations

import math

from stepknot.decisions.capsule import HALF_LIFE, SERVER_SAMPLE_WEIGHT, Throttle
from stepknot.decisions.health import PROBE_OUT_WEIGHT
from stepknot.decisions.records import Attempt, Capsule, DecayingShare
from stepknot.decisions.turn import Turn

# A server is unresponsive once nothing came back for so many times what lies between two answers of any
# server.
UNRESPONSIVE_PACES = 8.0
# A server fails a class of which it loses so much more than twice the share of another class.
CLASS_LOSS_MARGIN = 0.3
CLASS_SAMPLE_WEIGHT = 0.1  # of a part in that share
# Idle connections are closed where parts on them fail in more than this share and twice as often as others:
# they may have been dropped unseen.
IDLE_LOSS_MARGIN = 0.15
# Lost parts for each server, with none served anywhere, that are taken for an outage of all.
OUTAGE_LOSSES = 1


def _present_share(found: DecayingShare | None, now: float, half_life: float) -> float:
    """What is left of a share; 0 where nothing was noted."""
    if found is None:
        return 0.0
    return found.share * math.exp2((found.noted_at - now) / half_life)


def _with_sample(
    found: DecayingShare | None,
    is_lost: bool,
    now: float,
    half_life: float,
    weight: float = SERVER_SAMPLE_WEIGHT,
) -> DecayingShare:
    """The share after one more part that was lost or came back."""
    share = _present_share(found, now, half_life)
    return DecayingShare(share + weight * (is_lost - share), now)


class UnresponsiveServers:
    """Servers that stand still: parts are out there and nothing comes back."""

    __slots__ = ("_throttle", "_turn")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle

    def patience(self) -> float:
        """Seconds without an answer after which a server is unresponsive."""
        return UNRESPONSIVE_PACES * self._throttle.fleet_pace()

    def is_unresponsive(self, capsule: Capsule) -> bool:
        """Whether it stands still. With nothing out, a while after the last send one more part is a trial."""
        now = self._turn.now
        is_in_use = bool(capsule.calls) or now - capsule.last_used_at < self._throttle.base_wait
        # The patience is seldom asked for: most servers have answered since their last send.
        return is_in_use and now - capsule.unanswered_since > self.patience()

    def note_end(self, capsule: Capsule, has_replied: bool) -> None:
        """Note that an attempt there ended, with a reply of the server or without."""
        if has_replied or (not capsule.calls and not self.is_unresponsive(capsule)):
            capsule.unanswered_since = self._turn.now if capsule.calls else math.inf


class ClassLosses:
    """Servers that lose one class of query while they answer others."""

    __slots__ = ("_turn",)

    def __init__(self, turn: Turn) -> None:
        self._turn = turn

    def share(self, capsule: Capsule, class_name: str) -> float:
        """The share of this class's parts that the server lost while it answered what was sent later."""
        return _present_share(capsule.class_losses.get(class_name), self._turn.now, HALF_LIFE)

    def note(self, attempt: Attempt, is_lost: bool) -> None:
        """Note whether a part came back.

        A lost one counts only where one that was sent later was answered: in a pause all that is out is late.
        """
        capsule, class_name = attempt.capsule, attempt.query.query_class.name
        if not is_lost or capsule.latest_answered_send > attempt.sent_at:
            known = capsule.class_losses.get(class_name)
            capsule.class_losses[class_name] = _with_sample(
                known, is_lost, self._turn.now, HALF_LIFE, CLASS_SAMPLE_WEIGHT
            )

    def fails_class(self, capsule: Capsule, class_name: str) -> bool:
        """Whether it loses this class while it answers another."""
        lost = self.share(capsule, class_name)
        if lost <= CLASS_LOSS_MARGIN:
            return False
        classes = self._turn.settings.classes
        return lost > CLASS_LOSS_MARGIN + 2 * min(self.share(capsule, each) for each in classes)


class SharedFaults:
    """Losses by what servers share: the kind of machine, the zone, connections that were idle.

    Few samples say little about one server. This covers paths that are bad from here to one kind or zone, and
    whatever is lost after a pause.
    """

    __slots__ = (
        "_idle_half_life",
        "_min_of_kinds",
        "_min_of_zones",
        "_throttle",
        "_turn",
        "connections",
        "kinds",
        "zones",
    )

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle
        # No connection is idle for longer than the caller keeps it.
        self._idle_half_life = turn.settings.limits.idle_connection or HALF_LIFE
        self.kinds: dict[str, DecayingShare] = {}
        self.zones: dict[str, DecayingShare] = {}
        self.connections: dict[bool, DecayingShare] = {}  # by whether they were idle for long
        # The lowest share of all kinds and of all zones; None until it is needed in this turn.
        self._min_of_kinds: float | None = None
        self._min_of_zones: float | None = None

    def begin_turn(self) -> None:
        """Forget what was computed for the time of the turn before."""
        self._min_of_kinds = self._min_of_zones = None

    def note(self, attempt: Attempt, is_lost: bool) -> None:
        """Note whether a part came back; once for each attempt, once a call for its connection."""
        if attempt.is_sampled:
            return
        attempt.is_sampled = True
        self.begin_turn()  # the lowest shares change
        entry, call = attempt.capsule.entry, attempt.call
        now = self._turn.now
        self.kinds[entry.kind] = _with_sample(self.kinds.get(entry.kind), is_lost, now, HALF_LIFE)
        self.zones[entry.zone] = _with_sample(self.zones.get(entry.zone), is_lost, now, HALF_LIFE)
        if not call.is_sampled:  # the parts of a call share its connection's fate
            call.is_sampled = True
            known = self.connections.get(call.on_idle_connection)
            found = _with_sample(known, is_lost, now, self._idle_half_life)
            self.connections[call.on_idle_connection] = found

    def excess(self, capsule: Capsule) -> int:
        """What the losses of its kind and zone count as out.

        Only the excess over the best kind or zone, not what all lose; and only as far as nothing came back
        from the server itself.
        """
        if self._min_of_kinds is None or self._min_of_zones is None:
            self._min_of_kinds = self._min_share(self.kinds)
            self._min_of_zones = self._min_share(self.zones)
        now, entry, count = self._turn.now, capsule.entry, 0
        excess = _present_share(self.kinds.get(entry.kind), now, HALF_LIFE) - self._min_of_kinds
        if excess:
            count += self._weigh(capsule, excess)
        excess = _present_share(self.zones.get(entry.zone), now, HALF_LIFE) - self._min_of_zones
        if excess:
            count += self._weigh(capsule, excess)
        return count

    def _weigh(self, capsule: Capsule, excess: float) -> int:
        return int(PROBE_OUT_WEIGHT * (1 - self._throttle.confidence(capsule)) * excess)

    def _min_share(self, shares: dict[str, DecayingShare]) -> float:
        now = self._turn.now
        return min((_present_share(each, now, HALF_LIFE) for each in shares.values()), default=0.0)

    def lose_idle_connections(self) -> bool:
        """Whether idle connections are closed before a send.

        New connections that cannot be had speak against it.
        """
        now, half_life = self._turn.now, self._idle_half_life
        lost_on_idle = _present_share(self.connections.get(True), now, half_life)
        lost_on_others = _present_share(self.connections.get(False), now, half_life)
        return lost_on_idle > 2 * lost_on_others + IDLE_LOSS_MARGIN


class Outage:
    """An outage of all servers: so many parts were lost, for each server, and none was served since."""

    __slots__ = ("lost_parts",)

    def __init__(self) -> None:
        self.lost_parts = 0  # anywhere, since one was served

    def is_present(self, servers: int) -> bool:
        """Whether all of so many servers seem lost."""
        return self.lost_parts >= OUTAGE_LOSSES * max(servers, 1)


class OutlierDetection:
    """The detectors of one aggregator."""

    __slots__ = ("class_losses", "outage", "shared_faults", "unresponsive")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self.unresponsive = UnresponsiveServers(turn, throttle)
        self.class_losses = ClassLosses(turn)
        self.shared_faults = SharedFaults(turn, throttle)
        self.outage = Outage()
