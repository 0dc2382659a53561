"""How many members failed at once, and what that means: from inside a cut, the rest looks like a fleet that died.

Functions of a table and of subjects, without state of their own. Times in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepknot.membership.model import MembershipSettings, State
from stepknot.membership.subject import Subject
from stepknot.membership.table import MemberTable

MANY_SHARE = 0.25  # of the members
RECENT_FACTOR = 4.0  # times `dead_after`: members that died since then count as failed together


def count_recent_failures(table: MemberTable, settings: MembershipSettings, now: float) -> int:
    """Members that are suspect, or died so lately that it may be one failure."""
    since = now - RECENT_FACTOR * settings.dead_after
    return table.counts[State.SUSPECT] + sum(
        table.last_changes[name].at > since
        for name in table.tombstones
        if table.records[name].state is State.DEAD
    )


def many_failed(table: MemberTable, settings: MembershipSettings, now: float) -> bool:
    """Whether so many failed at once that it may be a cut."""
    failed = count_recent_failures(table, settings, now)
    return failed > max(1.0, MANY_SHARE * len(table.present))


def views_agree(subjects: Iterable[Subject], since: float) -> bool:
    """Whether most subjects that sent something since then have this member's view."""
    responsive = [each for each in subjects if each.last_received >= since]
    agreeing = sum(each.differs_since == math.inf for each in responsive)
    return 2 * agreeing > len(responsive)


def why_isolated(
    table: MemberTable, subjects: Iterable[Subject], settings: MembershipSettings, now: float
) -> str:
    """Why this member has to take itself for isolated; empty: it has not to."""
    after = settings.suspect_after
    edges = [each for each in subjects if now - each.observed_since > after]
    received = sum(now - each.last_received <= after for each in edges)
    receive_me = sum(now - each.last_received_by_it <= after + settings.period for each in edges)
    # A neighbour that is not received here cannot say that it receives this member either.
    if edges and 2 * (receive_me + 1) <= len(edges) + 1:
        return f"of {len(edges)} neighbours {received} are heard, and {receive_me} hear it"
    healthy = table.counts[State.ALIVE] + table.counts[State.JOINING]
    failed = count_recent_failures(table, settings, now)
    if failed and healthy <= failed:
        return f"{failed} of {healthy + failed} members are suspect or died lately"
    return ""
