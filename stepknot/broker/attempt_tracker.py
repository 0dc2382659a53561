"""Attempts in flight: each is started once and ends once, by a reply, a timeout, a cancellation or its query's end."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from stepknot import interface as api
from stepknot.broker.query import Attempt, Query, QueryPart
from stepknot.broker.zone_change_log import ZoneChangeLog
from stepknot.net.loop import Loop
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, NodeTransport

if TYPE_CHECKING:  # its package is loaded only where zones are configured
    from stepknot.zones.failover import ZoneFailover

ENDED_COUNTERS = {outcome: f"ended_{outcome.name.lower()}" for outcome in api.Outcome}


class AttemptTracker:
    """The attempts in flight, by part and number.

    Args:
        loop: Gives the time and the timers.
        transport: Is told of attempts that nobody waits for any more; calls `on_reply`.
        zones: Is told of each attempt's begin and end, where zones are configured.
        zone_log: Logs changes of zones that an attempt's end causes; there where `zones` is.
        counts: The core's counters.
        post: Takes the `AttemptEnded` events.
    """

    def __init__(
        self,
        loop: Loop,
        transport: NodeTransport,
        zones: ZoneFailover | None,
        zone_log: ZoneChangeLog | None,
        counts: Counter[str],
        post: Callable[[api.Event], None],
    ) -> None:
        self.loop, self.transport, self.counts, self.post = loop, transport, counts, post
        self.zones, self.zone_log = zones, zone_log
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.expiries: dict[float, list[Attempt]] = {}  # by the time at which their waits end
        transport.on_reply = self.on_reply

    def __len__(self) -> int:
        return len(self.in_flight)

    def still_in_flight(self, attempts: list[Attempt]) -> list[Attempt]:
        """Those of the attempts that did not end yet."""
        in_flight = self.in_flight
        return [
            each for each in attempts if in_flight.get((each.part.part_id, each.number)) is each
        ]

    def start(self, query: Query, part: QueryPart, action: api.Send) -> Attempt:
        """Make the attempt that the decision module asks for; the caller hands it to the transport."""
        now = self.loop.now
        attempt = Attempt(
            part.request,
            query.name,
            action.timeout,
            not_after=action.not_after,
            part=part,
            query=query,
            number=action.attempt,
            server=action.server,
            sent=now,
        )
        part.attempts += 1
        part.reason = "no answer in time"
        self.counts["attempts"] += 1
        if self.zones is not None:
            self.zones.on_attempt_sent(now, action.server)
        if attempt.number:
            self.counts["extra_attempts"] += 1
        self.in_flight[part.part_id, attempt.number] = attempt
        if action.timeout < math.inf:
            # Attempts whose waits end at the same time share a loop timer.
            at = now + action.timeout
            sharing = self.expiries.get(at)
            if sharing is None:
                sharing = []
                self.expiries[at] = sharing
                self.loop.call_at(at, partial(self._on_expiry, sharing, at))
            sharing.append(attempt)
        return attempt

    def _on_expiry(self, attempts: list[Attempt], at: float) -> None:
        self.expiries.pop(at, None)
        for attempt in attempts:
            self.end(attempt, api.Outcome.TIMED_OUT, {})

    def on_reply(self, attempt: Attempt, reply: PartReply, load: Load) -> None:
        """The transport's reply. The part is served only where the payload is an answer to what was asked."""
        part, outcome = attempt.part, reply.outcome
        if outcome is api.Outcome.SERVED and not part.served:
            try:
                part.answer = part.read_answer(reply.payload)
                part.served, part.server, part.reason = True, attempt.server, ""
            except ValueError as error:
                outcome, part.reason = api.Outcome.ERROR, f"malformed reply: {error}"
        elif outcome is not api.Outcome.SERVED:
            part.reason = reply.reason or outcome.value
        self.end(attempt, outcome, load)

    def cancel(self, part_id: int, number: int) -> None:
        """End an attempt that nobody waits for any more, if it is still in flight."""
        attempt = self.in_flight.get((part_id, number))
        if attempt is not None:
            self.end(attempt, api.Outcome.CANCELLED, {})

    def drop_unsent(self, parts: Iterable[QueryPart]) -> None:
        """End those attempts of a finished query's parts of which no byte was sent.

        Nothing begins any more for a finished query, also where cancelling is not allowed.
        """
        for part in parts:
            for number in range(part.attempts):
                attempt = self.in_flight.get((part.part_id, number))
                if attempt is not None and self.transport.is_unsent(attempt):
                    self.end(attempt, api.Outcome.NOT_SENT, {})

    def end(self, attempt: Attempt, outcome: api.Outcome, load: Load) -> None:
        """The one end of an attempt; later calls for the same attempt do nothing."""
        part = attempt.part
        if self.in_flight.pop((part.part_id, attempt.number), None) is None:
            return
        self.counts[ENDED_COUNTERS[outcome]] += 1
        now = self.loop.now
        if self.zones is not None and self.zone_log is not None:
            self.zones.on_attempt_ended(now, attempt.server, outcome, now - attempt.sent)
            if self.zones.changes:
                self.zone_log.report()
        if attempt.call is not None:
            self.transport.cancel(attempt)
        self.post(
            api.AttemptEnded(
                part.part_id,
                attempt.number,
                attempt.server,
                outcome,
                now - attempt.sent,
                False,
                load,
            )
        )
