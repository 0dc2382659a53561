"""The client of the platform's discovery: follows the endpoint list by a watch on its changes.

The decision module decides when to query: `DiscoveryClient.open_watch` begins a watch, and a watch
that fails or ends is reported. Until another event is received, the list last received holds.

The platform requires that a change is known `MAX_PROPAGATION_DELAY` seconds after discovery had it and
could be reached, whatever call failed. Three sums stay below that, from whichever moment one starts:

    WATCH_TIMEOUT (the active watch is silent) + the module's first delay + FIRST_EVENT_TIMEOUT
    FIRST_EVENT_TIMEOUT (a call that fails) + the module's first delay + FIRST_EVENT_TIMEOUT; under 4
    seconds, as the platform requires after a change of discovery's address
    FIRST_EVENT_TIMEOUT (one of several calls that fail) + the module's backoff + FIRST_EVENT_TIMEOUT

The first delay is `MAX_WATCH_RETRY` (`stepknot/decisions/endpoint_list.py`) at most, and the backoff
`MAX_WATCH_BACKOFF` times as long. Only a complete message
or a keep-alive (an empty line) resets the time-out, not bytes: half a message may be received for ever.
Invariants 1 to 3 of `stepknot.platform` are kept here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import orjson

from stepknot.net.errors import WaitTimeoutError
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine, Task
from stepknot.platform.config import Address
from stepknot.platform.endpoint_list import WatchEvent, join_changes, parse_watch_event
from stepknot.platform.errors import MalformedInputError, WatchError
from stepknot.platform.watch_backlog import WatchBacklog
from stepknot.platform.watch_parser import WatchParser

READ_BYTES = 64 * 1024
KEEPALIVE_INTERVAL = 2.0  # seconds: discovery sends an empty line after this time without changes
MAX_PROPAGATION_DELAY = 6.0  # seconds
WATCH_TIMEOUT = 1.25 * KEEPALIVE_INTERVAL  # seconds without a message: the watch is broken
FIRST_EVENT_TIMEOUT = 1.5  # seconds from the call to its first event, the connection included
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
        deadline: by the loop's clock, at which it has failed unless something that counts is received before.
        since: the version after which changes were requested.
        last_version: received on this watch, 0 before its first event.
    """

    task: Task | None
    deadline: float
    since: int = 0
    last_version: int = 0


class DiscoveryClient:
    """Keeps up to two watches on the endpoint list and reports events and failures.

    Attributes:
        version: of the list that is known.
        has_received: whether any event or keep-alive was received since the start.
        active_watch: the watch whose events count.
        opening_watch: one that has not received its first event.
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
        self.backlog = WatchBacklog(loop)
        self._loop = loop
        self._address = address
        self._user_agent = f"stepknot/{broker_name}"
        self._clock_offset = clock_offset
        self._listener = listener
        # Versions of another numbering were received: changes since a version mean nothing.
        self._needs_snapshot = False
        self._is_failure_reported = False  # and no watch was opened since

    def open_watch(self) -> None:
        """Open a watch on changes since the known version; the active one goes on until its first event."""
        if self.opening_watch is None:
            self._is_failure_reported = False
            self.opening_watch = self._loop.spawn(self._run_watch(), "discovery", is_urgent=True)

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address from now on."""
        if address == self._address:
            return
        self._address = address
        if self.opening_watch is not None:
            self.opening_watch.kill()
            self.opening_watch = None
        self.open_watch()

    def _run_watch(self) -> Coroutine:
        """One watch from its connection to its end, which is reported where this watch still counts."""
        task, reason, link = self.opening_watch, "it ended", None
        watch = _Watch(task, self._loop.now + FIRST_EVENT_TIMEOUT)
        try:
            link = yield from self._loop.connect(*self._address, FIRST_EVENT_TIMEOUT)
            yield from self._read_events(link, watch)
        except WaitTimeoutError:
            reason = "silent"
        except (OSError, MalformedInputError) as error:
            reason = str(error)
        finally:
            if link is not None:
                self.backlog.remove(link)
                link.close()
        self._on_watch_ended(task, reason)

    def _on_watch_ended(self, task: Task | None, reason: str) -> None:
        if task is self.opening_watch:
            self.opening_watch = None
            self._report_failure(reason)
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
        yield from link.send(self._encode_request(watch.since), FIRST_EVENT_TIMEOUT)
        self.backlog.add(link)
        parser = WatchParser()
        while not parser.is_complete:
            if link.last_received >= watch.deadline:  # what was read since then does not count
                raise WaitTimeoutError
            data = yield from link.recv(READ_BYTES, max(watch.deadline - self._loop.now, 0.0))
            if not data:
                return
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
        elif watch.task is self.opening_watch:
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
        try:
            given = orjson.loads(message)
        except ValueError as error:
            raise WatchError(f"expected JSON: {error}") from error
        return parse_watch_event(given, self._clock_offset)

    def _check_version(self, event: WatchEvent, previous: int) -> None:
        """Raise WatchError where changes are older than those before: the next watch needs a snapshot."""
        if not event.is_snapshot and event.version < previous:
            self._needs_snapshot = True
            raise WatchError(f"expected a version from {previous}, not {event.version}")

    def _activate(self, task: Task | None) -> None:
        """Something that counts was received: a watch being opened replaces the active one."""
        self.has_received = True
        if task is self.opening_watch:
            if self.active_watch is not None:
                self.active_watch.kill()
            self.active_watch = task
            self.opening_watch = None

    def _is_accepted(self, event: WatchEvent) -> bool:
        """Whether the event is the newest known, and not outdated; changes are not where a snapshot is needed first."""
        is_current = event.version >= self.version and not self._needs_snapshot
        if not event.is_snapshot and not is_current:
            return False
        self.version = event.version
        self._needs_snapshot = False
        return True
