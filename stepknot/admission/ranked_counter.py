"""Counts by key, with iteration over the keys in descending order of their counts."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator


class RankedCounter:
    """Counts by key; changing a count by one takes constant time, whatever the number of keys."""

    def __init__(self) -> None:
        self._counts: Counter[bytes] = Counter()
        self._keys_by_count: dict[int, OrderedDict[bytes, None]] = {}
        self._highest = 0

    def __getitem__(self, key: bytes) -> int:
        return self._counts[key]

    def __len__(self) -> int:
        return len(self._counts)

    def adjust(self, key: bytes, change: int) -> None:
        """Change a key's count; a key whose count becomes 0 is removed."""
        old = self._counts[key]
        new = old + change
        if old:
            keys = self._keys_by_count[old]
            keys.pop(key)
            if not keys:
                del self._keys_by_count[old]
        if new:
            self._counts[key] = new
            self._keys_by_count.setdefault(new, OrderedDict())[key] = None
        else:
            del self._counts[key]
        self._highest = max(self._highest, new)
        while self._highest and self._highest not in self._keys_by_count:
            self._highest -= 1

    def descending(self) -> Iterator[bytes]:
        """Iterate over the keys in descending order of count; for equal counts, the longest unchanged key is first."""
        for count in range(self._highest, 0, -1):
            yield from list(self._keys_by_count.get(count, ()))
