"""Weighted rendezvous hashing, by which a broker ranks nodes.

Rendezvous hashing is by Thaler and Ravishankar (1998), its weighted form by Schindelhauer and Schomaker (2005). The
score of a node is an exponential variate whose rate is the node's weight, derived from a hash of both names; the lowest
scores rank first. Adding or removing a node changes only the subsets of brokers that rank it high. Adding or removing a
broker changes no other broker's ranking.
"""

from __future__ import annotations

import math

import mmh3

TWO_TO_64 = 2.0**64


def uniform_hash(identity: str, name: str) -> float:
    """Return a uniform variate in (0, 1] that depends only on the two names."""
    hashed: int = mmh3.hash64(f"{identity}\0{name}", signed=False)[0]
    return (hashed + 1) / TWO_TO_64


def rendezvous_score(uniform: float, weight: float) -> float:
    """Return the score of a node; its probability of having the lowest score is proportional to its weight."""
    return -math.log(uniform) / weight
