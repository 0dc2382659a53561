"""The table of members: the greatest record of each name, its digest, fingerprints for anti-entropy, state changes.

Invariants:
- A record is replaced by a greater one only (`Record.rank`); a record is removed only by forgetting it.
- The digest covers the records that are present (joining, alive, suspect): two views with the same digest are equal.
- `version` grows by one with each change of a state, and each change is reported once, in order.
- No more than `max_records` are kept; those of absent members for `tombstone` seconds.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

from stepknot.membership.model import ABSENT_STATES, PRESENT_STATES, Record, State, StateChange
from stepknot.membership.wire import BUCKETS, FINGERPRINT_BYTES, MAX_FINGERPRINTS


class LastChange(NamedTuple):
    """When a member's state changed last, and the evidence."""

    at: float
    reason: str


class KnownProcess(NamedTuple):
    """Identity of a record's process, and since when it is known here."""

    identity: int
    since: float


class Difference(NamedTuple):
    """Result of a comparison with another table's fingerprints."""

    missing_there: list[Record]
    missing_here: list[bytes]  # fingerprints


class MemberTable:
    """The merged records, with what is derived from them kept up to date at each change."""

    def __init__(self, max_records: int, tombstone: float) -> None:
        self.max_records = max_records
        self.tombstone = tombstone  # seconds
        self.records: dict[str, Record] = {}
        self.present: dict[str, Record] = {}  # the records of members that are not dead or left
        self.tombstones: dict[str, float] = {}  # of the other ones: until when, the oldest first
        self.last_changes: dict[str, LastChange] = {}
        self.identities: dict[int, str] = {}  # of each record's process: the name
        self.known: dict[str, KnownProcess] = {}
        self.counts = [0] * len(State)  # records by state
        self.digest = 0  # of all present records
        self.fingerprints: dict[str, int] = {}  # of each record, absent ones too
        self.version = 0
        self.changes: list[StateChange] = []  # not yet taken
        self.refused = 0  # records that were rejected at `max_records`

    def put(self, now: float, record: Record, reason: str) -> bool:
        """Merge a record; returns whether it was newer than the one here."""
        old = self.records.get(record.name)
        if old is not None and record.rank <= old.rank:
            return False
        if old is None and not self._admits(record):
            return False
        self._discount(old)
        self.records[record.name] = record
        self.fingerprints[record.name] = digest_of(record)
        if old is None or old.process != record.process or old.address != record.address:
            self._identify(now, record)
        self.counts[record.state] += 1
        self.tombstones.pop(record.name, None)
        if record.state in PRESENT_STATES:
            self.present[record.name] = record
            self.digest ^= self.fingerprints[record.name]
        else:
            self.tombstones[record.name] = now + self.tombstone
        if old is None or old.state != record.state or old.process != record.process:
            self.last_changes[record.name] = LastChange(now, reason)
            self.report(record.name, old.state if old else None, record.state, reason)
        return True

    def expire(self, now: float) -> None:
        """Forget the absent members whose tombstones are over."""
        for name in [name for name, until in self.tombstones.items() if until <= now]:
            self._forget(name, "its tombstone's time is over")

    def report(self, name: str, old: State | None, new: State | None, reason: str) -> None:
        """Add a state change to those that are taken next."""
        self.version += 1
        self.changes.append(StateChange(self.version, name, old, new, reason))

    def take_changes(self) -> list[StateChange]:
        """State changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # --- anti-entropy

    def section(self, first: int) -> tuple[int, bytes]:
        """From this bucket on: the last bucket that fits in one datagram, and the fingerprints of these buckets."""
        sizes = [0] * BUCKETS
        for name in self.fingerprints:
            sizes[bucket_of(name)] += 1
        last, room = first, MAX_FINGERPRINTS - sizes[first]
        while last + 1 < BUCKETS and sizes[last + 1] <= room:
            last += 1
            room -= sizes[last]
        found = [
            encode_fingerprint(each)
            for name, each in self.fingerprints.items()
            if first <= bucket_of(name) <= last
        ]
        return last, b"".join(found[:MAX_FINGERPRINTS])

    def compare(self, first: int, last: int, fingerprints: bytes) -> Difference:
        """Compare these buckets with another table's fingerprints of them."""
        there = split_fingerprints(fingerprints)
        here = {
            encode_fingerprint(each): name
            for name, each in self.fingerprints.items()
            if first <= bucket_of(name) <= last
        }
        return Difference(
            [self.records[name] for each, name in here.items() if each not in there],
            [each for each in there if each not in here],
        )

    def with_fingerprints(self, fingerprints: bytes) -> list[Record]:
        """The records that have these fingerprints."""
        wanted = split_fingerprints(fingerprints)
        return [
            self.records[name]
            for name, each in self.fingerprints.items()
            if encode_fingerprint(each) in wanted
        ]

    # --- helpers

    def _admits(self, record: Record) -> bool:
        """Whether a new name is taken. The death of an unknown member needs no tombstone."""
        if record.state in ABSENT_STATES:
            return False
        if self._has_room():
            return True
        self.refused += 1
        return False

    def _has_room(self) -> bool:
        """Whether one more record fits; evicts the oldest tombstone where the table is full."""
        if len(self.records) >= self.max_records and self.tombstones:
            self._forget(next(iter(self.tombstones)), "no room")
        return len(self.records) < self.max_records

    def _identify(self, now: float, record: Record) -> None:
        self._drop_identity(record.name)
        identity = identity_of(record)
        self.identities[identity] = record.name
        self.known[record.name] = KnownProcess(identity, now)

    def _drop_identity(self, name: str) -> None:
        if name in self.known:
            del self.identities[self.known.pop(name).identity]

    def _discount(self, old: Record | None) -> None:
        """Take a record out of the counts, the digest and the present ones."""
        if old is not None:
            self.counts[old.state] -= 1
            if self.present.pop(old.name, None) is not None:
                self.digest ^= self.fingerprints[old.name]

    def _forget(self, name: str, reason: str) -> None:
        record = self.records[name]
        self._discount(record)
        del self.records[name], self.fingerprints[name]
        self._drop_identity(name)
        self.tombstones.pop(name, None)
        self.last_changes.pop(name, None)
        self.report(name, record.state, None, reason)


def digest_of(record: Record) -> int:
    """62 bits over all fields of a record."""
    return _hash62(f"{record.name}\n{record.host}\n{record.port}\n{record.rank}")


def identity_of(record: Record) -> int:
    """62 bits over a record's process and address: the same in all views, whatever its state."""
    return _hash62(f"{record.name}\n{record.host}\n{record.port}\n{record.process}")


def _hash62(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 2


def encode_fingerprint(digest: int) -> bytes:
    """The upper 32 bits of a record's digest."""
    return (digest >> 30).to_bytes(FINGERPRINT_BYTES)


def split_fingerprints(fingerprints: bytes) -> dict[bytes, None]:
    """The single fingerprints, in their order and without duplicates."""
    return dict.fromkeys(
        fingerprints[at : at + FINGERPRINT_BYTES]
        for at in range(0, len(fingerprints), FINGERPRINT_BYTES)
    )


@lru_cache(4096)
def bucket_of(name: str) -> int:
    """The part of the table that a name belongs to."""
    return crc32(name.encode()) % BUCKETS
