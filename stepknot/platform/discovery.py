"""The client of the platform's discovery: follows the endpoint list by a watch on its changes.

The decision module decides when to query: `DiscoveryClient.open_watch` begins a watch, and a watch
that fails, ends or is slow to begin is reported. Until another event is received, the list last received
holds. A slow call is not given up at once: it goes on beside the next one, and the first event of either
counts. A discovery that takes longer than `FIRST_EVENT_TIMEOUT` for each call would not be heard otherwise.

The platform requires that a change is known `MAX_PROPAGATION_DELAY` seconds after discovery had it and
could be reached, whatever call failed. Three sums stay below that, from whichever moment one starts:

    WATCH_TIMEOUT (the active watch is silent) + the module's first delay + FIRST_EVENT_TIMEOUT
    FIRST_EVENT_TIMEOUT (a call that fails) + the module's first delay + FIRST_EVENT_TIMEOUT; under 4
    seconds, as the platform requires after a change of discovery's address
    FIRST_EVENT_TIMEOUT (one of several calls that fail) + the module's backoff + FIRST_EVENT_TIMEOUT

They hold with `MAX_DISCOVERY_DELAY` in place of the last FIRST_EVENT_TIMEOUT, too: so long discovery may
take for the first event of a call that it does not turn away.

The first delay is `MAX_WATCH_RETRY` (`stepknot/decisions/endpoint_list.py`) at most, and the backoff
`MAX_WATCH_BACKOFF` times as long. Only a complete message
or a keep-alive (an empty line) resets the time-out, not bytes: half a message may be received for ever.
Invariants 1 to 3 of `stepknot.platform` are kept here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stepknot.net.errors import WaitTimeoutError
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine, Task
from stepknot.platform.config import Address
from stepknot.platform.endpoint_list import WatchEvent, join_changes, parse_watch_event_slices
from stepknot.platform.errors import MalformedInputError, WatchError
from stepknot.platform.list_slices import decode_in_slices
from stepknot.platform.watch_backlog import WatchBacklog
from stepknot.platform.watch_parser import WatchParser

READ_BYTES = 64 * 1024
KEEPALIVE_INTERVAL = 2.0  # seconds: discovery sends an empty line after this time without changes
MAX_PROPAGATION_DELAY = 6.0  # seconds
WATCH_TIMEOUT = 1.25 * KEEPALIVE_INTERVAL  # seconds without a message: the watch is broken
FIRST_EVENT_TIMEOUT = 1.5  # seconds from a call to its first event; then another call is made
MAX_DISCOVERY_DELAY = 2.0  # seconds that discovery takes for a call at most
# Seconds from a call to its first event, the connection included; then the call is given up. The next
# call begins `FIRST_EVENT_TIMEOUT` later than this one or after that, so that only one call is slow.
CALL_TIMEOUT = 2 * FIRST_EVENT_TIMEOUT
SLOW_CALL = "no event in time"  # the reason that is reported
HTTP_OK = 200


class WatchListener(Protocol):
    """What the client of discovery reports to."""

    def on_watch_event(self, event: WatchEvent) -> None:
        """An event that is not outdated was received, or several changes, joined to one event."""

    def on_watch_failure(self, reason: str) -> None:
        """A watch failed or ended."""


@dataclass(slots=True)
class _Watch:
    """One watch while it is read.

    Attributes:
        task: that reads it.
        deadline: by the loop's clock, at which it is given up unless something that counts is received before.
        since: the version after which changes were requested.
        last_version: received on this watch, 0 before its first event.
    """

    task: Task | None
    deadline: float
    since: int = 0
    last_version: int = 0


class DiscoveryClient:
    """Keeps up to three watches on the endpoint list and reports events and failures.

    Attributes:
        version: of the list that is known.
        has_received: whether any event or keep-alive was received since the start.
        active_watch: the watch whose events count.
        opening_watch: the newest one that has not received its first event.
        slow_watch: one that has not received it within `FIRST_EVENT_TIMEOUT`, which was reported.
        backlog: what the watches received and nobody read.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        broker_name: str,
        cached: WatchEvent | None,
        clock_offset: float,
        listener: WatchListener,
    ) -> None:
        """Begin no watch yet.

        Args:
            loop: runs the watches.
            address: where discovery is.
            broker_name: sent as a part of the user agent.
            cached: the list last known to the platform when this process was started.
            clock_offset: see `parse_watch_event`.
            listener: is called with events and failures.
        """
        self.version = cached.version if cached is not None else 0
        self.has_received = False
        self.active_watch: Task | None = None
        self.opening_watch: Task | None = None
        self.slow_watch: Task | None = None
        self.backlog = WatchBacklog(loop)
        self._loop = loop
        self._address = address
        self._user_agent = f"stepknot/{broker_name}"
        self._clock_offset = clock_offset
        self._listener = listener
        # Versions of another numbering were received: changes since a version mean nothing.
        self._needs_snapshot = False
        self._is_failure_reported = False  # and no watch was opened or became active since

    def open_watch(self) -> None:
        """Open a watch on changes since the known version, unless one is being opened.

        The active one goes on until the new one's first event. Nothing is done where a slow watch became
        active after its failure was reported: the list is followed again.
        """
        is_followed = self.active_watch is not None and not self._is_failure_reported
        if self.opening_watch is None and not is_followed:
            self._begin_watch()

    def _begin_watch(self) -> None:
        self._is_failure_reported = False
        self.opening_watch = self._loop.spawn(self._run_watch(), "discovery", is_urgent=True)

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address from now on."""
        if address == self._address:
            return
        self._address = address
        self._end_opening_watches()
        self._begin_watch()

    def _end_opening_watches(self) -> None:
        """End the watches that have not received their first event."""
        for task in (self.opening_watch, self.slow_watch):
            if task is not None:
                task.kill()
        self.opening_watch = self.slow_watch = None

    def _run_watch(self) -> Coroutine:
        """One watch from its connection to its end, which is reported where this watch still counts."""
        task, reason, link = self.opening_watch, "it ended", None
        watch = _Watch(task, self._loop.now + CALL_TIMEOUT)
        slow_timer = self._loop.call_later(FIRST_EVENT_TIMEOUT, lambda: self._on_slow_call(task))
        try:
            link = yield from self._loop.connect(*self._address, CALL_TIMEOUT)
            yield from self._read_events(link, watch)
        except WaitTimeoutError:
            reason = "silent"
        except (OSError, MalformedInputError) as error:
            reason = str(error)
        finally:
            slow_timer.cancel()
            if link is not None:
                self.backlog.remove(link)
                link.close()
        self._on_watch_ended(task, reason)

    def _on_slow_call(self, task: Task | None) -> None:
        """Report a watch whose first event is late, and wait for it beside the next one."""
        if task is self.opening_watch:
            self.slow_watch, self.opening_watch = task, None
            self._report_failure(SLOW_CALL)

    def _on_watch_ended(self, task: Task | None, reason: str) -> None:
        if task is self.opening_watch:
            self.opening_watch = None
            self._report_failure(reason)
        elif task is self.slow_watch:
            self.slow_watch = None
        elif task is self.active_watch:
            self.active_watch = None
            if self.opening_watch is None:
                self._report_failure(reason)

    def _report_failure(self, reason: str) -> None:
        if not self._is_failure_reported:
            self._is_failure_reported = True
            self._listener.on_watch_failure(reason)

    def _read_events(self, link: Link, watch: _Watch) -> Coroutine:
        """Send the request and take events until the watch ends.

        Raises:
            WaitTimeoutError: nothing that counts was received in time.
            MalformedInputError: what was received is no watch, or its versions go back.
            OSError: the connection failed.
        """
        watch.since = 0 if self._needs_snapshot else self.version
        request = self._encode_request(watch.since)
        yield from link.send(request, max(watch.deadline - self._loop.now, 0.0))
        self.backlog.add(link)
        parser = WatchParser()
        while not parser.is_complete:
            if link.last_received >= watch.deadline:  # what was read since then does not count
                raise WaitTimeoutError
            data = yield from link.recv(READ_BYTES, max(watch.deadline - self._loop.now, 0.0))
            if not data:
                return
            self._take_bytes(watch, parser, data)

    def _take_bytes(self, watch: _Watch, parser: WatchParser, data: bytes) -> None:
        """Take what was read. A method of its own: a long list is not kept until the next read."""
        messages = parser.feed(data)
        if parser.status and parser.status != HTTP_OK:
            raise WatchError(f"expected status {HTTP_OK}, not {parser.status}")
        accepted: list[WatchEvent] = []
        try:
            for message in messages:
                self._take_message(watch, message, accepted)
        finally:  # what was received before a malformed message counts
            for event in join_changes(accepted):
                self._listener.on_watch_event(event)

    def _take_message(self, watch: _Watch, message: bytes, accepted: list[WatchEvent]) -> None:
        """Decode a message, and add it to the accepted events if it is one that counts."""
        event = self._decode(message) if message else None
        if event is not None:
            self._check_version(event, watch.last_version or watch.since)
        elif watch.task is not self.active_watch:
            return  # a keep-alive before the first event proves nothing
        self._activate(watch.task)
        watch.deadline = self._loop.now + WATCH_TIMEOUT
        if event is not None:
            watch.last_version = event.version
            if self._is_accepted(event):
                accepted.append(event)

    def _encode_request(self, since: int) -> bytes:
        host, port = self._address
        return (
            f"GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nhost: {host}:{port}\r\n"
            f"user-agent: {self._user_agent}\r\n\r\n"
        ).encode()

    def _decode(self, message: bytes) -> WatchEvent:
        return parse_watch_event_slices(decode_in_slices(message), self._clock_offset)

    def _check_version(self, event: WatchEvent, previous: int) -> None:
        """Raise WatchError where changes are older than those before: the next watch needs a snapshot."""
        if not event.is_snapshot and event.version < previous:
            self._needs_snapshot = True
            raise WatchError(f"expected a version from {previous}, not {event.version}")

    def _activate(self, task: Task | None) -> None:
        """Something that counts was received: a watch being opened replaces all others."""
        self.has_received = True
        if task is self.active_watch:
            return
        replaced = (self.active_watch, self.opening_watch, self.slow_watch)
        self.active_watch, self.opening_watch, self.slow_watch = task, None, None
        self._is_failure_reported = False
        for other in replaced:
            if other is not None and other is not task:
                other.kill()

    def _is_accepted(self, event: WatchEvent) -> bool:
        """Whether the event is the newest known, and not outdated; changes are not where a snapshot is needed first."""
        is_current = event.version >= self.version and not self._needs_snapshot
        if not event.is_snapshot and not is_current:
            return False
        self.version = event.version
        self._needs_snapshot = False
        return True
