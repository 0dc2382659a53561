"""The table of members: the greatest record of each name, digests of it, and what changed in order.

Invariants:
- A record is replaced by a greater one only (`Record.rank`): what was learnt is never unlearnt but by forgetting.
- The digest is that of the records here (joining, alive, suspect): two views with the same one are the same.
- `version` grows by one with each change of a state, and each is told once, in order.
- No more than `most` records are kept; the dead and those that left for `tombstone` seconds.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from zlib import crc32

from stepknot.membership.model import ABSENT_STATES, PRESENT_STATES, Change, Record, State
from stepknot.membership.wire import BUCKETS, PRINTS


def digest_of(record: Record) -> int:
    text = f"{record.name}\n{record.host}\n{record.port}\n{record.rank}"
    return (
        int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 2
    )  # the wire has 62 bits of it


def identity_of(record: Record) -> int:
    """Of a process: the same in all views, whatever is said of its state."""
    text = f"{record.name}\n{record.host}\n{record.port}\n{record.process}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 2


def short(digest: int) -> bytes:
    return (digest >> 30).to_bytes(4)


def split(prints: bytes) -> dict[bytes, None]:
    return dict.fromkeys(prints[at : at + 4] for at in range(0, len(prints), 4))


@lru_cache(4096)
def bucket_of(name: str) -> int:
    return crc32(name.encode()) % BUCKETS


class Table:
    def __init__(self, most: int, tombstone: float) -> None:
        self.most, self.tombstone = most, tombstone
        self.records: dict[str, Record] = {}
        self.present: dict[str, Record] = {}  # of these the ones not gone
        self.gone: dict[str, float] = {}  # until when the others are remembered, the oldest first
        self.why: dict[
            str, tuple[float, str]
        ] = {}  # when the state changed last, and on what evidence
        self.identities: dict[int, str] = {}  # of each record's process
        self.known: dict[
            str, tuple[int, float]
        ] = {}  # its identity, and since when that is known here
        self.counts = [0] * len(State)
        self.digest = 0  # of all records here
        self.prints: dict[str, int] = {}  # of each record, gone ones too
        self.version = 0
        self.changes: list[Change] = []
        self.refused = 0  # records for which there was no room

    def section(self, start: int) -> tuple[int, bytes]:
        """From this bucket on: the last one that fits one datagram, and the prints."""
        sizes = [0] * BUCKETS
        for name in self.prints:
            sizes[bucket_of(name)] += 1
        last, room = start, PRINTS - sizes[start]
        while last + 1 < BUCKETS and sizes[last + 1] <= room:
            last += 1
            room -= sizes[last]
        found = [
            short(each) for name, each in self.prints.items() if start <= bucket_of(name) <= last
        ]
        return last, b"".join(found[:PRINTS])

    def missing(self, first: int, last: int, prints: bytes) -> tuple[list[Record], list[bytes]]:
        """The records of these buckets that are not among the prints; the prints that are not among these records'."""
        there = split(prints)
        here = {
            short(each): name
            for name, each in self.prints.items()
            if first <= bucket_of(name) <= last
        }
        return [self.records[name] for each, name in here.items() if each not in there], [
            each for each in there if each not in here
        ]

    def printed(self, prints: bytes) -> list[Record]:
        """The records with these prints."""
        wanted = split(prints)
        return [self.records[name] for name, each in self.prints.items() if short(each) in wanted]

    def put(self, now: float, record: Record, why: str) -> bool:
        """Whether it is news."""
        old = self.records.get(record.name)
        if old is not None and record.rank <= old.rank:
            return False
        if old is None and (record.state in ABSENT_STATES or not self.room()):
            self.refused += record.state not in ABSENT_STATES
            return False  # the death of someone unknown needs no remembering
        self.take_out(old)
        self.records[record.name] = record
        self.prints[record.name] = digest_of(record)
        if old is None or old.process != record.process or old.address != record.address:
            self.identify(now, record)
        self.counts[record.state] += 1
        self.gone.pop(record.name, None)
        if record.state in PRESENT_STATES:
            self.present[record.name] = record
            self.digest ^= self.prints[record.name]
        else:
            self.gone[record.name] = now + self.tombstone
        if old is None or old.state != record.state or old.process != record.process:
            self.why[record.name] = (now, why)
            self.tell(record.name, old.state if old else None, record.state, why)
        return True

    def identify(self, now: float, record: Record) -> None:
        self.lose_identity(record.name)
        identity = identity_of(record)
        self.identities[identity] = record.name
        self.known[record.name] = identity, now

    def lose_identity(self, name: str) -> None:
        if name in self.known:
            del self.identities[self.known.pop(name)[0]]

    def room(self) -> bool:
        if len(self.records) >= self.most and self.gone:
            self.forget(next(iter(self.gone)), "no room")
        return len(self.records) < self.most

    def take_out(self, old: Record | None) -> None:
        if old is not None:
            self.counts[old.state] -= 1
            if self.present.pop(old.name, None) is not None:
                self.digest ^= self.prints[old.name]

    def forget(self, name: str, why: str) -> None:
        record = self.records[name]
        self.take_out(record)
        del self.records[name], self.prints[name]
        self.lose_identity(name)
        self.gone.pop(name, None)
        self.why.pop(name, None)
        self.tell(name, record.state, None, why)

    def tell(self, name: str, before: State | None, after: State | None, why: str) -> None:
        self.version += 1
        self.changes.append(Change(self.version, name, before, after, why))

    def expire(self, now: float) -> None:
        for name in [name for name, until in self.gone.items() if until <= now]:
            self.forget(name, "its tombstone's time is over")
