"""The frames of the nodes' protocol, without I/O: bytes in, typed messages out, and the broker's frames.

A frame is a length of four bytes, least significant first, a letter for its type and its content; the
length covers both. The reader keeps at most `MAX_FRAME_BYTES` of a frame, whatever length it says: a
longer one, an unknown type and a line that does not end are errors as soon as they are known. After an
error the stream is of no further use.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stepknot.interface import Outcome
from stepknot.platform.errors import FrameError

MAX_FRAME_BYTES = 64 * 1024  # an answer's values must fit into a body of that size
MAX_ANSWER_LINE_BYTES = 1024
MAX_LOAD_VALUES = 16  # in a load report
MAX_REASON_BYTES = 200
LENGTH_BYTES = 4
ANSWER_FIELDS = 4  # on the first line of an answer
CALL, CANCEL = b"R", b"A"  # frames of the broker; its probes have the type of their answer
ANSWER, REJECTION, HEALTH, LOAD = b"Y", b"N", b"G", b"T"  # frames of a node
NODE_FRAME_TYPES = frozenset(b"GTYN")
OUTCOMES = {b"OK": Outcome.SERVED, b"ERROR": Outcome.ERROR, b"REJECTED": Outcome.REJECTED}


@dataclass(frozen=True, slots=True)
class CallPart:
    """One part as a call carries it.

    Attributes:
        part_id: the same in each attempt of the part.
        shard: the shard's number.
        text: what the query looks for.
        idempotency_key: of the query, empty where its class has none.
        carriers: the connections that carried an attempt of the part, each by its number.
    """

    part_id: bytes
    shard: int
    text: bytes
    idempotency_key: str = ""
    carriers: set[int] = field(default_factory=set, compare=False)


@dataclass(frozen=True, slots=True)
class PartAnswered:
    """A node's answer to one part, with its load report."""

    part_id: bytes
    outcome: Outcome
    value: str
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A node's answer to a probe, whose type it has."""

    probe_type: bytes
    is_healthy: bool
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class FrameRejected:
    """The node could not use the last frame, and closes the connection."""

    reason: str


Message = PartAnswered | ProbeAnswered | FrameRejected


def encode_frame(frame_type: bytes, content: bytes = b"") -> bytes:
    """One frame's bytes."""
    return (len(content) + 1).to_bytes(LENGTH_BYTES, "little") + frame_type + content


def encode_call(parts: list[tuple[CallPart, float]]) -> bytes:
    """A call's frame: parts, each with the seconds for which the broker will wait."""
    rows = []
    for part, wait in parts:
        options = f"d={max(math.ceil(wait * 1000), 1)}"
        if part.idempotency_key:
            options += f",k={part.idempotency_key}"
        rows.append(
            b"%s %d %s %d\n%s"
            % (part.part_id, part.shard, options.encode(), len(part.text), part.text)
        )
    return encode_frame(CALL, b"".join(rows))


def encode_cancel(part_id: bytes) -> bytes:
    """A frame that cancels one part."""
    return encode_frame(CANCEL, part_id)


def encode_probe(probe_type: bytes) -> bytes:
    """A frame that asks for the node's health or load."""
    return encode_frame(probe_type)


def parse_load_report(text: bytes) -> dict[str, float]:
    """The values of a load report by name; none of a report that is absent or malformed."""
    load: dict[str, float] = {}
    if text == b"-":
        return load
    items = text.split(b",")
    if len(items) > MAX_LOAD_VALUES:
        return {}
    for item in items:
        name, _, value = item.partition(b"=")
        try:
            number = float(value)
            key = name.decode("ascii")
        except ValueError:
            return {}
        if not key.isidentifier() or key in load or not 0 <= number < math.inf:
            return {}
        load[key] = number
    return load


class FrameReader:
    """Splits a node's stream into messages.

    Messages before malformed bytes are returned first.

    Attributes:
        buffer: bytes of a frame that is not complete.
        error: why the stream is malformed, empty while it is not.
    """

    __slots__ = ("buffer", "error")

    def __init__(self) -> None:
        self.buffer = b""
        self.error = ""

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes as they were received; returns the messages that are complete now."""
        messages: list[Message] = []
        if self.error:
            return messages
        data = self.buffer + data if self.buffer else data
        place = 0
        try:
            while len(data) - place >= LENGTH_BYTES:
                begin = place + LENGTH_BYTES
                length = int.from_bytes(data[place:begin], "little")
                if not 1 <= length <= MAX_FRAME_BYTES:
                    raise FrameError(f"expected 1 to {MAX_FRAME_BYTES} bytes, not {length}")
                if len(data) > begin and data[begin] not in NODE_FRAME_TYPES:
                    raise FrameError(f"unknown frame type {data[begin]}")
                end = begin + length
                if len(data) < end:
                    _check_incomplete(data, begin)
                    break
                messages.append(_parse_frame(data[begin : begin + 1], data[begin + 1 : end]))
                place = end
        except FrameError as error:
            self.error, self.buffer = str(error), b""
            return messages
        self.buffer = data[place:]
        return messages


def _check_incomplete(data: bytes, begin: int) -> None:
    """Raise FrameError where the frame from `begin` is an answer whose line is too long already."""
    line_end = begin + MAX_ANSWER_LINE_BYTES + 2  # behind the type, the line and its end
    is_answer = data[begin : begin + 1] == ANSWER
    if is_answer and len(data) >= line_end and data.find(b"\n", begin, line_end) < 0:
        raise FrameError("an answer's line does not end")


def _parse_frame(frame_type: bytes, content: bytes) -> Message:
    if frame_type == ANSWER:
        return _parse_answer(content)
    if frame_type == REJECTION:
        return FrameRejected(content[:MAX_REASON_BYTES].decode("utf-8", "replace"))
    if frame_type == HEALTH and content not in (b"OK", b"ERROR"):
        raise FrameError("malformed answer to a probe")
    load = parse_load_report(content) if frame_type == LOAD else {}
    return ProbeAnswered(frame_type, content != b"ERROR", load)


def _parse_answer(content: bytes) -> PartAnswered:
    """An answer: `ID OUTCOME SCORE REPORT`, the line's end, the value."""
    line, line_end, value = content.partition(b"\n")
    fields = line.split(b" ")
    if not line_end or len(line) > MAX_ANSWER_LINE_BYTES or len(fields) != ANSWER_FIELDS:
        raise FrameError("malformed line of an answer")
    part_id, ending, score, report = fields
    outcome = OUTCOMES.get(ending)
    if outcome is None:
        raise FrameError("unknown outcome in an answer")
    if not score.removeprefix(b"-").isdigit() and score != b"-":
        raise FrameError("a score that is not a number")
    try:
        return PartAnswered(part_id, outcome, value.decode(), parse_load_report(report))
    except UnicodeDecodeError as error:
        raise FrameError("a value that is not UTF-8") from error
