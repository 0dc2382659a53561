"""Memory for clients' requests, divided among their connections. Types of decisions: `stepknot/interface.py`.

A connection may hold as much as remains free (a dynamic threshold, as shared-memory switches use it): few
connections may hold much, and many leave something for the next one. A small request always fits.
"""

from __future__ import annotations

from collections.abc import Hashable

# Of the memory that is left at the start. Allocators need several times the bytes that requests hold.
REQUEST_MEMORY_SHARE = 1 / 8
MIN_REQUEST_MEMORY = 512 * 1024  # bytes: for a few of the largest requests
SMALL_REQUEST_BYTES = 4 * 1024  # of memory; counted as a part of each connection


def request_memory(limit: int, used: int) -> int:
    """Bytes for requests beyond the small ones.

    Args:
        limit: Of the process, in bytes.
        used: By the process before its first request, in bytes.
    """
    return max(int((limit - used) * REQUEST_MEMORY_SHARE), MIN_REQUEST_MEMORY)


def may_hold(size: int, held: int, free: float, minimum: int) -> bool:
    """Whether an owner may hold `size` bytes instead of the `held` ones.

    Args:
        size: What it would hold.
        held: What it holds now; holding less is always allowed.
        free: Bytes that nobody holds.
        minimum: Bytes that an owner may hold though less remains free than it holds.
    """
    return size <= held or (size - held <= free and size <= max(free, minimum))


class MemoryBudget:
    """Counts the bytes that connections hold beyond a small request.

    Attributes:
        limit: Bytes for all connections together; may be infinite.
        held: Bytes that they hold.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.held = 0
        self._by_owner: dict[Hashable, int] = {}

    def resize(self, owner: Hashable, size: int) -> bool:
        """Set what a connection holds; returns False, and changes nothing, where it may not hold so much."""
        counted = max(size - SMALL_REQUEST_BYTES, 0)
        before = self._by_owner.get(owner, 0)
        if not may_hold(counted, before, self.limit - self.held, 0):
            return False
        self.held += counted - before
        if counted:
            self._by_owner[owner] = counted
        else:
            self._by_owner.pop(owner, None)
        return True
