"""Attempts in flight. Each is started once and ends once: by a reply, a timeout, a cancellation or its query's end."""

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

if TYPE_CHECKING:  # the zones package is loaded only where zones are configured
    from stepknot.zones.failover import ZoneFailover

ENDED_COUNTERS = {outcome: f"ended_{outcome.name.lower()}" for outcome in api.Outcome}


class AttemptTracker:
    """Keeps the attempts in flight, by part and number.

    Args:
        loop: The broker's loop, for its clock and timers.
        transport: Sends attempts and cancels those whose replies are no longer awaited; calls `on_reply`.
        zones: Gets the start and the end of each attempt; None if zones are not configured.
        zone_log: Logs the changes of zones that an attempt's end causes; None if `zones` is None.
        counts: The core's counters.
        post: Queues the `AttemptEnded` events for the decision module.
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
        # By the time at which they time out; those in flight alone, as an attempt has its request's text.
        self.expiries: dict[float, dict[Attempt, None]] = {}
        transport.on_reply = self.on_reply

    def __len__(self) -> int:
        return len(self.in_flight)

    def still_in_flight(self, attempts: list[Attempt]) -> list[Attempt]:
        """The given attempts without those that have already ended."""
        in_flight = self.in_flight
        return [
            each for each in attempts if in_flight.get((each.part.part_id, each.number)) is each
        ]

    def start(self, query: Query, part: QueryPart, action: api.Send) -> Attempt:
        """Make the attempt that the decision module requests; the caller passes it to the transport."""
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
            # Attempts that time out at the same time share a timer of the loop.
            at = now + action.timeout
            expiring = self.expiries.get(at)
            if expiring is None:
                expiring = {}
                self.expiries[at] = expiring
                self.loop.call_at(at, partial(self._on_expiry, expiring, at))
            expiring[attempt] = None
        return attempt

    def _on_expiry(self, attempts: dict[Attempt, None], at: float) -> None:
        self.expiries.pop(at, None)
        for attempt in list(attempts):
            self.loop.run_callback("expiry", self.end, attempt, api.Outcome.TIMED_OUT, {})

    def on_reply(self, attempt: Attempt, reply: PartReply, load: Load) -> None:
        """End an attempt by the transport's reply. The part is served only if the payload answers its request."""
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
        """End an attempt whose reply is no longer needed, if it is still in flight."""
        attempt = self.in_flight.get((part_id, number))
        if attempt is not None:
            self.end(attempt, api.Outcome.CANCELLED, {})

    def drop_unsent(self, parts: Iterable[QueryPart]) -> None:
        """End the attempts of a finished query's parts of which no byte has been sent yet.

        A node must not start work for a finished query, even if the settings do not allow cancelling.
        """
        for part in parts:
            for number in range(part.attempts):
                attempt = self.in_flight.get((part.part_id, number))
                if attempt is not None and self.transport.is_unsent(attempt):
                    self.end(attempt, api.Outcome.NOT_SENT, {})

    def end(self, attempt: Attempt, outcome: api.Outcome, load: Load) -> None:
        """End an attempt. Every attempt ends here; later calls for the same attempt do nothing."""
        part = attempt.part
        if self.in_flight.pop((part.part_id, attempt.number), None) is None:
            return
        self._drop_expiry(attempt)
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

    def _drop_expiry(self, attempt: Attempt) -> None:
        at = attempt.sent + attempt.wait
        expiring = self.expiries.get(at)
        if expiring is not None:
            expiring.pop(attempt, None)
            if not expiring:
                del self.expiries[at]
