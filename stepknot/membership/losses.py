"""How many members are lost at once, and what that says: a cut around this member looks like a fleet that died.

Functions of a table and of what is watched; no state of their own, no clock. Times in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepknot.membership.model import MembershipSettings, State
from stepknot.membership.table import Table
from stepknot.membership.watched import Watched

MANY = 0.25  # of the members
LATELY = 4.0  # times as long as a death takes: members that died since then count as lost together


def lost(table: Table, settings: MembershipSettings, now: float) -> int:
    """Members that are suspect, or died so lately that it may be one loss: of half it is not for one to judge."""
    since = now - LATELY * settings.dead_after
    return table.counts[State.SUSPECT] + sum(
        table.why[name][0] > since for name in table.gone if table.records[name].state is State.DEAD
    )


def many_lost(table: Table, settings: MembershipSettings, now: float) -> bool:
    return lost(table, settings, now) > max(1.0, MANY * len(table.present))


def views_alike(watched: Iterable[Watched], since: float) -> bool:
    """Whether most of those heard since then have this member's view."""
    heard = [each for each in watched if each.heard >= since]
    alike = sum(each.differs_since == math.inf for each in heard)
    return 2 * alike > len(heard)


def why_isolated(
    table: Table, watched: Iterable[Watched], settings: MembershipSettings, now: float
) -> str:
    """Why this member has to take itself for cut off; empty: it need not."""
    after = settings.suspect_after
    edges = [each for each in watched if now - each.since > after]
    heard = sum(now - each.heard <= after for each in edges)
    hear_me = sum(now - each.hears_me <= after + settings.period for each in edges)
    if (
        edges and 2 * (hear_me + 1) <= len(edges) + 1
    ):  # who is not heard here cannot say that it hears me either
        return f"of {len(edges)} neighbours {heard} are heard, and {hear_me} hear it"
    here, gone = table.counts[State.ALIVE] + table.counts[State.JOINING], lost(table, settings, now)
    if gone and here <= gone:
        return f"{gone} of {here + gone} members are suspect or died lately"
    return ""
