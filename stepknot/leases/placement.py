"""The order in which members become candidates for a job: rendezvous hashing (Thaler and Ravishankar 1998).

The order reduces the number of competing candidates. Safety does not depend on it.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def rendezvous_weight(job: str, member: str) -> bytes:
    """The member's weight for this job; the greatest weight comes first."""
    return blake2b(f"{job}\n{member}".encode(), digest_size=8).digest()


def rank_members(job: str, members: Iterable[str]) -> list[str]:
    """The members, preferred candidate first. A new member comes first for some jobs; other jobs keep theirs."""
    return sorted(members, key=lambda name: (rendezvous_weight(job, name), name), reverse=True)
