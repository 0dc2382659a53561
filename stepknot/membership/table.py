"""The table of members: the greatest record of each name, a digest, fingerprints for anti-entropy, and state changes.

Invariants:
- A record is only replaced by a greater one (`Record.rank`). It is only removed when its tombstone expires, or when the
  tombstone is evicted from a full table.
- The digest covers the records of present members (joining, alive, suspect). Views with the same digest are equal.
- `version` grows by one with each change of a state, and each change is reported once, in order.
- The table keeps at most `max_records` records, and those of absent members for `tombstone` seconds.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

from stepknot.membership.model import ABSENT_STATES, PRESENT_STATES, Record, State, StateChange
from stepknot.membership.wire import BUCKETS, FINGERPRINT_BYTES, MAX_FINGERPRINTS


class LastChange(NamedTuple):
    """The last change of a member's state: its time and its reason."""

    at: float
    reason: str


class KnownProcess(NamedTuple):
    """The identity of a record's process, and the time since which it is known here."""

    identity: int
    since: float


class Difference(NamedTuple):
    """The result of a comparison with another table's fingerprints."""

    missing_there: list[Record]
    missing_here: list[bytes]  # fingerprints


class MemberTable:
    """Merges records, and updates counts, digest, fingerprints and identities with each change."""

    def __init__(self, max_records: int, tombstone: float) -> None:
        self.max_records = max_records
        self.tombstone = tombstone  # seconds
        self.records: dict[str, Record] = {}
        self.present: dict[str, Record] = {}  # the records of members that are not dead or left
        # Members that are dead or left, and when their tombstones expire; the oldest come first.
        self.tombstones: dict[str, float] = {}
        self.last_changes: dict[str, LastChange] = {}
        self.identities: dict[int, str] = {}  # names by the identity of the record's process
        self.known: dict[str, KnownProcess] = {}
        self.counts = [0] * len(State)  # records by state
        self.digest = 0  # of the records in `present`
        # Of all records, including those of members that are dead or left.
        self.fingerprints: dict[str, int] = {}
        self.version = 0
        self.changes: list[StateChange] = []  # changes since the last `take_changes`
        self.refused = 0  # records that were rejected because the table was full

    def put(self, now: float, record: Record, reason: str) -> bool:
        """Merge a record.

        Returns:
            Whether the record replaced an older one or was added.
        """
        old = self.records.get(record.name)
        if old is not None and record.rank <= old.rank:
            return False
        if old is None and not self._admits(record):
            return False
        self._subtract(old)
        self.records[record.name] = record
        self.fingerprints[record.name] = digest_of(record)
        if old is None or old.process != record.process or old.address != record.address:
            self._add_identity(now, record)
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
        """Remove the absent members whose tombstones have expired."""
        for name in [name for name, until in self.tombstones.items() if until <= now]:
            self._remove(name, "tombstone expired")

    def report(self, name: str, old: State | None, new: State | None, reason: str) -> None:
        """Queue a state change for the next `take_changes`."""
        self.version += 1
        self.changes.append(StateChange(self.version, name, old, new, reason))

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # --- anti-entropy

    def section(self, first: int) -> tuple[int, bytes]:
        """Select the buckets from `first` on whose fingerprints fit together in one datagram.

        Returns:
            The last bucket that fits, and the fingerprints of the records in all selected buckets.
        """
        sizes = [0] * BUCKETS
        for name in self.fingerprints:
            sizes[bucket_of(name)] += 1
        last, remaining = first, MAX_FINGERPRINTS - sizes[first]
        while last + 1 < BUCKETS and sizes[last + 1] <= remaining:
            last += 1
            remaining -= sizes[last]
        encoded = [
            encode_fingerprint(each)
            for name, each in self.fingerprints.items()
            if first <= bucket_of(name) <= last
        ]
        return last, b"".join(encoded[:MAX_FINGERPRINTS])

    def compare(self, first: int, last: int, fingerprints: bytes) -> Difference:
        """Compare the buckets from `first` to `last` with another table's fingerprints of the same buckets."""
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
        """Whether a record with a new name is added. An unknown member that is absent needs no tombstone."""
        if record.state in ABSENT_STATES:
            return False
        if self._make_space():
            return True
        self.refused += 1
        return False

    def _make_space(self) -> bool:
        """Evict the oldest tombstone if the table is full; return whether one more record fits."""
        if len(self.records) >= self.max_records and self.tombstones:
            self._remove(next(iter(self.tombstones)), "evicted because the table is full")
        return len(self.records) < self.max_records

    def _add_identity(self, now: float, record: Record) -> None:
        self._remove_identity(record.name)
        identity = identity_of(record)
        self.identities[identity] = record.name
        self.known[record.name] = KnownProcess(identity, now)

    def _remove_identity(self, name: str) -> None:
        if name in self.known:
            del self.identities[self.known.pop(name).identity]

    def _subtract(self, old: Record | None) -> None:
        """Remove a record from the counts, the digest and the present records."""
        if old is not None:
            self.counts[old.state] -= 1
            if self.present.pop(old.name, None) is not None:
                self.digest ^= self.fingerprints[old.name]

    def _remove(self, name: str, reason: str) -> None:
        record = self.records[name]
        self._subtract(record)
        del self.records[name], self.fingerprints[name]
        self._remove_identity(name)
        self.tombstones.pop(name, None)
        self.last_changes.pop(name, None)
        self.report(name, record.state, None, reason)


def digest_of(record: Record) -> int:
    """A hash of 62 bits of all fields of a record."""
    return _hash62(f"{record.name}\n{record.host}\n{record.port}\n{record.rank}")


def identity_of(record: Record) -> int:
    """A hash of 62 bits of a record's process and address, which does not depend on its state or incarnation."""
    return _hash62(f"{record.name}\n{record.host}\n{record.port}\n{record.process}")


def _hash62(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 2


def encode_fingerprint(digest: int) -> bytes:
    """A record's fingerprint as bytes: the upper 32 bits of its digest."""
    return (digest >> 30).to_bytes(FINGERPRINT_BYTES)


def split_fingerprints(fingerprints: bytes) -> dict[bytes, None]:
    """Split concatenated fingerprints into an ordered set."""
    return dict.fromkeys(
        fingerprints[at : at + FINGERPRINT_BYTES]
        for at in range(0, len(fingerprints), FINGERPRINT_BYTES)
    )


@lru_cache(4096)
def bucket_of(name: str) -> int:
    """The bucket of the table that a name belongs to."""
    return crc32(name.encode()) % BUCKETS
