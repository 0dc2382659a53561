"""Distinguishes network partitions from failures of members, by the number of members that failed at the same time.

From inside a partition, the members on the other side look as if they had crashed. The functions take a table and
subjects and keep no state. All times are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepknot.membership.model import MembershipSettings, State
from stepknot.membership.subject import Subject
from stepknot.membership.table import MemberTable

MANY_SHARE = 0.25  # share of the present members; more failures at once than this are many
# Deaths within this multiple of `dead_after` are regarded as one failure.
RECENT_FACTOR = 4.0


def count_recent_failures(table: MemberTable, settings: MembershipSettings, now: float) -> int:
    """Number of members that are suspect, or died recently enough to belong to the same failure."""
    since = now - RECENT_FACTOR * settings.dead_after
    return table.counts[State.SUSPECT] + sum(
        table.last_changes[name].at > since
        for name in table.tombstones
        if table.records[name].state is State.DEAD
    )


def many_failed(table: MemberTable, settings: MembershipSettings, now: float) -> bool:
    """Whether so many members failed at once that the cause may be a partition."""
    failed = count_recent_failures(table, settings, now)
    return failed > max(1.0, MANY_SHARE * len(table.present))


def views_agree(subjects: Iterable[Subject], since: float) -> bool:
    """Whether most subjects that have sent something since `since` have the same view as this member."""
    responsive = [each for each in subjects if each.last_received >= since]
    agreeing = sum(each.differs_since == math.inf for each in responsive)
    return 2 * agreeing > len(responsive)


def find_isolation_reason(
    table: MemberTable, subjects: Iterable[Subject], settings: MembershipSettings, now: float
) -> str:
    """The reason why this member has to regard itself as isolated; empty if it is not isolated."""
    after = settings.suspect_after
    edges = [each for each in subjects if now - each.observed_since > after]
    received = sum(now - each.last_received <= after for each in edges)
    receive_me = sum(now - each.last_received_by_it <= after + settings.period for each in edges)
    # A neighbour whose datagrams do not arrive cannot report either that it receives this member.
    if edges and 2 * (receive_me + 1) <= len(edges) + 1:
        return (
            f"datagrams arrive here from {received} of {len(edges)} neighbours, "
            f"and this member's own datagrams are known to reach {receive_me} of {len(edges)} neighbours"
        )
    healthy = table.counts[State.ALIVE] + table.counts[State.JOINING]
    failed = count_recent_failures(table, settings, now)
    if failed and healthy <= failed:
        return f"{failed} of {healthy + failed} members are suspect or were declared dead recently"
    return ""
