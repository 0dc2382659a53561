"""The processor time of writing to a node that takes little at a time."""

from __future__ import annotations

import pytest

from stepknot.platform.frames import encode_frame
from stepknot.platform.write_queue import QueuedFrame, WriteQueue
from tests.costs import LARGE, MAX_RATIO_IN_PROPORTION, SMALL, processor_time

pytestmark = pytest.mark.measures_time

FRAME = encode_frame(b"R", bytes(1024))
TAKEN = 1024  # bytes that the kernel takes at a time


def make_queue(frames: int) -> WriteQueue:
    queue = WriteQueue()
    queue.frames.extend(QueuedFrame([], 0.0, FRAME) for _ in range(frames))
    return queue


def write_all(queue: WriteQueue) -> int:
    written = 0
    while queue.frames:
        count = min(len(queue.encode(0.0)), TAKEN)
        queue.advance(count)
        written += count
    return written


def test_writing_in_small_steps_costs_in_proportion_to_what_is_queued() -> None:
    """Each write joined all that was queued: a slow node cost the square of its queue."""

    def writing_cost(frames: int) -> float:
        return processor_time(write_all, lambda: make_queue(frames))

    assert writing_cost(LARGE) < MAX_RATIO_IN_PROPORTION * writing_cost(SMALL)


def test_all_queued_bytes_are_written_in_order() -> None:
    frames = [encode_frame(b"R", bytes([number]) * 5_000) for number in range(40)]
    queue, written = WriteQueue(), b""
    queue.frames.extend(QueuedFrame([], 0.0, each) for each in frames)
    while queue.frames:
        data = queue.encode(0.0)[:70_001]
        written += data
        queue.advance(len(data))
    assert written == b"".join(frames)
