"""Frames that wait to be written on one connection, and how far the kernel took them. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from stepknot.nodes.transport import OutgoingAttempt
from stepknot.platform.frames import encode_call

MAX_WRITE_BYTES = (
    64 * 1024
)  # at a time: what the kernel does not take is joined again for the next write


@dataclass(slots=True, eq=False)
class QueuedFrame:
    """A frame that waits to be written. A call is encoded as late as possible.

    Attributes:
        attempts: that the call carries; none for other frames.
        queued_at: by the loop's clock.
        data: the frame's bytes, empty while it is not encoded and once the kernel took the last one.
        length: how many they are, 0 while it is not encoded.
        sent: how many of them the kernel took.
    """

    attempts: list[OutgoingAttempt]
    queued_at: float
    data: bytes = b""
    length: int = field(init=False)
    sent: int = 0

    def __post_init__(self) -> None:
        self.length = len(self.data)

    @property
    def is_sent(self) -> bool:
        """Whether the kernel took the frame to its last byte."""
        return 0 < self.length == self.sent


class WriteQueue:
    """The frames of one connection in the order in which they are written."""

    __slots__ = ("frames",)

    def __init__(self) -> None:
        self.frames: deque[QueuedFrame] = deque()

    def remove_attempt(self, frame: QueuedFrame, attempt: OutgoingAttempt) -> None:
        """Write the frame without this attempt, or not at all where it was the only one.

        The kernel must not have taken any byte of the frame.
        """
        frame.data, frame.length = b"", 0  # it is encoded again
        frame.attempts.remove(attempt)
        if not frame.attempts:
            self.frames.remove(frame)

    def encode(self, now: float) -> bytes:
        """The next bytes to write, at most `MAX_WRITE_BYTES`; waits are counted from `now`, the loop's clock."""
        pieces = []
        capacity = MAX_WRITE_BYTES
        for frame in self.frames:
            if not frame.data:
                self._encode_call(frame, now)
            piece = frame.data[frame.sent : frame.sent + capacity]
            pieces.append(piece)
            capacity -= len(piece)
            if not capacity:
                break
        return b"".join(pieces)

    def _encode_call(self, frame: QueuedFrame, now: float) -> None:
        queued = now - frame.queued_at
        frame.data = encode_call([(each.request, each.wait - queued) for each in frame.attempts])
        frame.length = len(frame.data)

    def advance(self, count: int) -> None:
        """The kernel took so many bytes: frames that it took to their last byte leave the queue."""
        while count:
            frame = self.frames[0]
            step = min(count, frame.length - frame.sent)
            frame.sent += step
            count -= step
            if frame.is_sent:
                frame.data = b""  # its call refers to the frame until all parts are answered
                self.frames.popleft()
