"""Log events for changes of zones' states."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # the zones package is loaded only where zones are configured
    from stepknot.zones.failover import ZoneFailover


class ZoneChangeLog:
    """Counts and logs each change of a zone's state, with the evidence for it."""

    def __init__(self, zones: ZoneFailover, counts: Counter[str], log: Callable[..., None]) -> None:
        self.zones, self.counts, self.log = zones, counts, log

    def report(self) -> None:
        """Log the changes since the last call."""
        if not self.zones.changes:
            return
        for change in self.zones.take_changes():
            self.counts["zone_changes"] += 1
            self.log(
                "zone_state_changed",
                zone=change.zone,
                old=change.old.value,
                new=change.new.value,
                reason=change.reason,
                **asdict(change.evidence),
            )
