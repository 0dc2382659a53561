"""The nodes' frames, without I/O: bytes in, typed messages out, and the writing of what a broker says.

A frame is a length of four bytes, least significant first, a letter and the rest; the length covers both. The reader
keeps no more of a frame than `MOST`, whatever length is told: what is longer is spoilt as soon as that is known, as is
an unknown letter or a line that does not end. After `Spoilt` the stream is of no further use.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from stepknot.interface import Outcome

MOST = 64 * 1024  # bytes of a frame: an answer's values must fit a body of that size
MOST_LINE = 1024  # bytes of an answer's first line
MOST_REPORT = 16  # values in a load report
LETTERS = frozenset(b"GTYN")
ENDS = {b"OK": Outcome.SERVED, b"ERROR": Outcome.ERROR, b"REJECTED": Outcome.REJECTED}


class Spoilt(Exception):
    """Bytes that cannot be what a node says."""


@dataclass(frozen=True, slots=True)
class Part:
    """One part as it travels. Its id is the same in each attempt."""

    part: bytes  # ID
    shard: int
    text: bytes
    key: str = ""  # the query's idempotency key, in a keyed class


@dataclass(frozen=True, slots=True)
class PartEnded:
    part: bytes
    outcome: Outcome
    value: str
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    letter: bytes
    sound: bool
    load: dict[str, float]


@dataclass(frozen=True, slots=True)
class NotUsable:
    """The node could not use what came last, and closes."""

    words: str


Message = PartEnded | ProbeAnswered | NotUsable


def frame(letter: bytes, rest: bytes = b"") -> bytes:
    return (len(rest) + 1).to_bytes(4, "little") + letter + rest


def call(parts: list[tuple[Part, float]]) -> bytes:
    """A frame `R`: parts, each with the seconds that the broker will wait."""
    rows = []
    for part, wait in parts:
        pairs = f"d={max(math.ceil(wait * 1000), 1)}" + (f",k={part.key}" if part.key else "")
        rows.append(
            b"%s %d %s %d\n%s" % (part.part, part.shard, pairs.encode(), len(part.text), part.text)
        )
    return frame(b"R", b"".join(rows))


def cancel(part: bytes) -> bytes:
    return frame(b"A", part)


def probe(letter: bytes) -> bytes:
    return frame(letter)


def read_load(text: bytes) -> dict[str, float]:
    """A load report; nothing where there is none, and nothing of one that cannot be read."""
    load: dict[str, float] = {}
    if text == b"-":
        return load
    items = text.split(b",")
    if len(items) > MOST_REPORT:
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


def read_answer(rest: bytes) -> PartEnded:
    """A frame `Y`: `ID END SCORE REPORT`, a line's end, the value."""
    line, end, value = rest.partition(b"\n")
    fields = line.split(b" ")
    if not end or len(line) > MOST_LINE or len(fields) != 4:
        raise Spoilt("an answer's line cannot be read")
    part, ending, score, report = fields
    outcome = ENDS.get(ending)
    if outcome is None:
        raise Spoilt("an unknown end")
    if not score.removeprefix(b"-").isdigit() and score != b"-":
        raise Spoilt("a score that is no number")
    try:
        return PartEnded(part, outcome, value.decode(), read_load(report))
    except UnicodeDecodeError:
        raise Spoilt("a value that is not UTF-8") from None


class Reader:
    """Fed bytes, it returns the messages that are whole. What is sound before spoilt bytes is returned first: `spoilt`
    says then why the stream is of no further use."""

    __slots__ = ("kept", "spoilt")

    def __init__(self) -> None:
        self.kept = b""
        self.spoilt = ""

    def feed(self, data: bytes) -> list[Message]:
        found: list[Message] = []
        if self.spoilt:
            return found
        data = self.kept + data if self.kept else data
        place = 0
        try:
            while len(data) - place >= 4:
                length = int.from_bytes(data[place : place + 4], "little")
                if not 1 <= length <= MOST:
                    raise Spoilt(f"a frame of {length} bytes")
                begin, end = place + 4, place + 4 + length
                if len(data) > begin and data[begin] not in LETTERS:
                    raise Spoilt(f"unknown letter {data[begin]}")
                if len(data) < end:
                    if (
                        data[begin : begin + 1] == b"Y"
                        and len(data) - begin > MOST_LINE + 1
                        and (data.find(b"\n", begin, begin + MOST_LINE + 2) < 0)
                    ):
                        raise Spoilt("a line without an end")
                    break
                found.append(self.read(data[begin : begin + 1], data[begin + 1 : end]))
                place = end
        except Spoilt as error:
            self.spoilt, self.kept = str(error), b""
            return found
        self.kept = data[place:]
        return found

    def read(self, letter: bytes, rest: bytes) -> Message:
        if letter == b"Y":
            return read_answer(rest)
        if letter == b"N":
            return NotUsable(rest[:200].decode("utf-8", "replace"))
        if letter == b"G" and rest not in (b"OK", b"ERROR"):
            raise Spoilt("a probe's answer cannot be read")
        return ProbeAnswered(letter, rest != b"ERROR", read_load(rest) if letter == b"T" else {})
