"""Weighted rendezvous hashing: how one broker ranks nodes.

Rendezvous hashing is by Thaler and Ravishankar (1998), its weights by Schindelhauer and Schomaker (2005). The score of
a node is an exponential variate with the node's weight as rate, from a hash of both names; the lowest scores rank
first. A node that comes or goes changes the subsets of the brokers that rank it high, and another broker changes none.
"""

from __future__ import annotations

import math

import mmh3

TWO_TO_64 = 2.0**64


def uniform_hash(identity: str, name: str) -> float:
    """A uniform variate in (0, 1] from both names together and from nothing else."""
    hashed: int = mmh3.hash64(f"{identity}\0{name}", signed=False)[0]
    return (hashed + 1) / TWO_TO_64


def rendezvous_score(uniform: float, weight: float) -> float:
    """The score of a node; the lowest of several is this one with a probability in proportion to its weight."""
    return -math.log(uniform) / weight
