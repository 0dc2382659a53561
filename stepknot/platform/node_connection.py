"""One connection to a node: it carries many calls at once, answered part by part in any order.

Invariants 4 to 9 of `stepknot.platform` are kept here and in `connection_pool.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from stepknot.interface import Outcome
from stepknot.net.errors import WaitTimeoutError
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, OnReply, OutgoingAttempt
from stepknot.platform.frames import (
    CallPart,
    FrameReader,
    FrameRejected,
    Message,
    PartAnswered,
    ProbeAnswered,
    encode_cancel,
    encode_probe,
)
from stepknot.platform.write_queue import QueuedFrame, WriteQueue

READ_BYTES = 64 * 1024
MAX_CANCELLED = 1024  # part ids that a connection remembers; an answer to an older one is an error
MAX_REASON_LENGTH = 200
OnProbeEnded = Callable[[Outcome, Load], None]


@dataclass(slots=True, eq=False)
class Node:
    """A node with its address and connections.

    Attributes:
        is_listed: whether the endpoint list has it; one that left the list is kept until its last
            connection ended.
    """

    name: str
    host: str
    port: int
    connections: list[NodeConnection] = field(default_factory=list)
    is_listed: bool = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is in flight."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.end("closed by the broker")

    def close_unresponsive(self) -> None:
        """Close the unresponsive connections on which nothing waits any more."""
        for connection in list(self.connections):
            if connection.is_unresponsive and not connection.is_awaited:
                connection.end("unresponsive")


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that opened it."""

    loop: Loop
    connect_timeout: float  # seconds
    on_reply: OnReply

    def schedule_write(self, connection: NodeConnection) -> None:
        """Call `flush` at the end of this turn of the loop, or of the first one in which sending need not wait."""

    def on_idle(self, connection: NodeConnection) -> None:
        """The connection became idle, or was used and is idle again."""

    def remove(self, connection: NodeConnection) -> None:
        """The connection ended."""

    def on_malformed(self, connection: NodeConnection, reason: str) -> None:
        """The node's bytes break the protocol; the connection ends next."""

    def on_frame_rejected(self, connection: NodeConnection, reason: str) -> None:
        """The node could not use a frame."""


@dataclass(slots=True, eq=False)
class Call:
    """What an attempt travels in: the frame, and the connection that carries it and its answer."""

    connection: NodeConnection
    frame: QueuedFrame


class NodeConnection:
    """Carries calls and probes to one node and their answers.

    Attributes:
        number: no other connection of this process has it.
        in_flight: attempts that are queued or not answered, by part id.
        cancelled: ids of cancelled parts that may still be answered, the oldest first.
        probes: who waits for a probe's answer, by the probe's type; None where nobody does any more.
        last_used: when bytes were last written or received, by the loop's clock.
        unanswered_since: the first moment at which something was sent after which nothing came back;
            infinite where nothing is owed.
        is_flushing: whether a task waits until the kernel takes more.
    """

    __slots__ = (
        "cancelled",
        "has_ended",
        "in_flight",
        "is_flushing",
        "last_used",
        "link",
        "node",
        "number",
        "owner",
        "probes",
        "queue",
        "unanswered_since",
    )

    def __init__(self, owner: ConnectionOwner, node: Node, number: int) -> None:
        self.owner = owner
        self.number = number
        self.node = node
        self.link: Link | None = None  # while it is up
        self.queue = WriteQueue()
        self.in_flight: dict[bytes, OutgoingAttempt] = {}
        self.cancelled: dict[bytes, None] = {}
        self.probes: dict[bytes, OnProbeEnded | None] = {}
        self.last_used = owner.loop.now
        self.unanswered_since = math.inf
        self.is_flushing = False
        self.has_ended = False

    # --- states

    @property
    def is_awaited(self) -> bool:
        """Whether somebody waits for an answer to a part or a probe."""
        return bool(self.in_flight) or any(self.probes.values())

    @property
    def is_idle(self) -> bool:
        """Whether it is up and has nothing to write or to wait for."""
        return self.link is not None and not self.queue.frames and not self.is_awaited

    @property
    def is_unresponsive(self) -> bool:
        """Whether nothing came back for longer than a new connection may take to come up (invariant 9)."""
        return self.owner.loop.now - self.unanswered_since > self.owner.connect_timeout

    def may_carry(self, part: CallPart) -> bool:
        """Whether no answer that it receives can belong to an earlier attempt of the part (invariant 4).

        An attempt that was answered counts, too: its answer may come a second time.
        """
        is_expected = part.part_id in self.in_flight or part.part_id in self.cancelled
        return not is_expected and self.number not in part.carriers

    # --- what the broker sends

    def send_call(self, attempts: list[OutgoingAttempt]) -> None:
        """Queue one call with these attempts."""
        frame = QueuedFrame(attempts, self.owner.loop.now)
        for attempt in attempts:
            attempt.call = Call(self, frame)
            attempt.request.carriers.add(self.number)
            self.in_flight[attempt.request.part_id] = attempt
        self._enqueue(frame)

    def send_probe(self, probe_type: bytes, on_ended: OnProbeEnded) -> None:
        """Queue a probe; `on_ended` is called with its answer, or when the connection ends."""
        self.probes[probe_type] = on_ended
        self._enqueue(QueuedFrame([], self.owner.loop.now, encode_probe(probe_type)))

    def abandon_probe(self, probe_type: bytes) -> None:
        """Nobody waits for the probe's answer any more; it may still be received."""
        if probe_type in self.probes:
            self.probes[probe_type] = None
            self._report_if_idle()

    def cancel(self, frame: QueuedFrame, attempt: OutgoingAttempt) -> None:
        """Nobody waits for the attempt any more; its `call` is None already (invariant 7)."""
        part_id = attempt.request.part_id
        self._forget_in_flight(part_id)
        if not frame.sent:
            self.queue.remove_attempt(frame, attempt)
            self._report_if_idle()
            return
        if not frame.is_sent and not any(each.call for each in frame.attempts):
            self.end("half of a call that nobody waits for")  # its last byte would begin it
            return
        self.cancelled[part_id] = None
        if len(self.cancelled) > MAX_CANCELLED:
            del self.cancelled[next(iter(self.cancelled))]
        self._enqueue(QueuedFrame([], self.owner.loop.now, encode_cancel(part_id)))

    def withdraw_unwritten(self, reason: str) -> None:
        """End the attempts of which no byte is written yet as not connected."""
        for frame in list(self.queue.frames):
            for attempt in list(frame.attempts):
                self._withdraw(frame, attempt, reason)
        self._report_if_idle()

    def _report_if_idle(self) -> None:
        """Called wherever something that kept the connection in use may have ended."""
        if self.is_idle and not self.has_ended:
            self.owner.on_idle(self)

    def _enqueue(self, frame: QueuedFrame) -> None:
        self.queue.frames.append(frame)
        self.owner.schedule_write(self)

    def _forget_in_flight(self, part_id: bytes) -> None:
        self.in_flight.pop(part_id, None)
        if not self.in_flight and not self.probes and not self.is_unresponsive:
            self.unanswered_since = math.inf  # nothing is owed, and no time-out had passed

    def _withdraw(self, frame: QueuedFrame, attempt: OutgoingAttempt, reason: str) -> None:
        """End the attempt as not connected where no byte of its frame is written."""
        if attempt.call is None or frame.sent:
            return
        self.queue.remove_attempt(frame, attempt)
        self._forget_in_flight(attempt.request.part_id)
        attempt.call = None
        self.owner.on_reply(attempt, PartReply(Outcome.NOT_CONNECTED, reason=reason), {})

    def _withdraw_overdue(self) -> None:
        """Withdraw what must not begin any more; the connection ends where a part of it is written."""
        now = self.owner.loop.clock()
        for frame in list(self.queue.frames):
            for attempt in [each for each in frame.attempts if each.not_after <= now]:
                if frame.sent:
                    self.end("half of a call that must not begin any more")
                    return
                self._withdraw(frame, attempt, "too late to begin")

    # --- writing

    def flush(self) -> None:
        """Write what is queued as far as the kernel takes it, and the rest when it takes more."""
        self._flush()
        self._report_if_idle()

    def _flush(self) -> None:
        link, now = self.link, self.owner.loop.now
        if link is None or link.closed:
            return
        self._withdraw_overdue()
        frames = self.queue.frames
        if self.has_ended or not frames:
            return
        self.last_used = now
        if self.in_flight or self.probes:
            self.unanswered_since = min(self.unanswered_since, now)
        while frames:
            data = self.queue.encode(now)
            try:
                count = link.send_now(data)
            except OSError as error:
                self.end(str(error))
                return
            if not count:
                self.is_flushing = True
                self.owner.loop.spawn(self._flush_when_writable(link), "flush")
                return
            self.queue.advance(count)

    def _flush_when_writable(self, link: Link) -> Coroutine:
        yield from link.wait_writable()
        self.is_flushing = False
        if not self.has_ended:
            self.owner.schedule_write(self)

    # --- reading

    def run(self) -> Coroutine:
        """Connect, then read until the connection ends."""
        node, loop, reason = self.node, self.owner.loop, ""
        reader = FrameReader()
        try:
            self.link = yield from loop.connect(node.host, node.port, self.owner.connect_timeout)
            if self.has_ended:
                return
            self.owner.schedule_write(self)
            self._report_if_idle()
            while not self.has_ended and not reason:
                data = yield from self.link.recv(READ_BYTES)
                reason = self._receive(reader, data) if data else "closed by the node"
        except WaitTimeoutError:
            reason = "the connection did not come up in time"
        except OSError as error:
            reason = str(error)
        finally:
            self.end(reason)

    def _receive(self, reader: FrameReader, data: bytes) -> str:
        """Handle what was received; returns why the connection must end, or an empty text."""
        now = self.owner.loop.now
        self.last_used = now
        self.unanswered_since = math.inf
        error = ""
        for message in reader.feed(data):
            if not self._handle(message):
                error = f"unexpected message: {message}"[:MAX_REASON_LENGTH]
                break
        if self.in_flight or self.probes:
            self.unanswered_since = now
        error = reader.error or error
        self._report_if_idle()
        if error:
            self.owner.on_malformed(self, error)
        elif not self.node.is_listed and self.is_idle:
            return "its node left the endpoint list"
        return error

    def _handle(self, message: Message) -> bool:
        """Pass a message on; returns whether the protocol allows it here."""
        match message:
            case PartAnswered():
                return self._on_part_answered(message)
            case ProbeAnswered():
                return self._on_probe_answered(message)
            case FrameRejected():
                self.owner.on_frame_rejected(self, message.reason)
                return False

    def _on_part_answered(self, message: PartAnswered) -> bool:
        attempt = self.in_flight.get(message.part_id)
        if attempt is None:
            is_cancelled = message.part_id in self.cancelled
            self.cancelled.pop(message.part_id, None)
            return is_cancelled
        if not attempt.call.frame.is_sent:
            return False
        del self.in_flight[message.part_id]
        attempt.call = None
        payload = message.value if message.outcome is Outcome.SERVED else None
        reply = PartReply(message.outcome, payload, "as the node answered")
        self.owner.on_reply(attempt, reply, message.load)
        return True

    def _on_probe_answered(self, message: ProbeAnswered) -> bool:
        if message.probe_type not in self.probes:
            return False
        on_ended = self.probes.pop(message.probe_type)
        if on_ended is not None:
            on_ended(Outcome.SERVED if message.is_healthy else Outcome.ERROR, message.load)
        return True

    # --- the end

    def end(self, reason: str) -> None:
        """Close the connection and end what it carried. All its ends come here; only the first counts."""
        if self.has_ended:
            return
        self.has_ended = True
        self.owner.remove(self)
        if self.link is not None:
            self.link.close()
        in_flight, self.in_flight = list(self.in_flight.values()), {}
        probes, self.probes = list(self.probes.values()), {}
        self.queue.frames.clear()
        for attempt in in_flight:
            self._end_attempt(attempt, reason)
        for on_ended in probes:
            if on_ended is not None:
                is_up = self.link is not None
                on_ended(Outcome.RESET if is_up else Outcome.NOT_CONNECTED, {})

    def _end_attempt(self, attempt: OutgoingAttempt, reason: str) -> None:
        """Its outcome where the connection ended: only a call that was sent may have run (invariant 5)."""
        is_sent = attempt.call.frame.is_sent
        attempt.call = None
        outcome = Outcome.RESET if is_sent else Outcome.NOT_CONNECTED
        self.owner.on_reply(attempt, PartReply(outcome, reason=reason), {})
