"""Whose turn it is to own a job: rendezvous hashing over those that are held alive. A hint, and nothing more."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(job: str, name: str) -> bytes:
    return blake2b(f"{job}\n{name}".encode(), digest_size=8).digest()


def order(job: str, names: Iterable[str]) -> list[str]:
    """The best first: each job has its own order, and one member more or less moves only its own share of jobs."""
    return sorted(names, key=lambda name: (weight(job, name), name), reverse=True)
