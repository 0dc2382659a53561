"""What the descriptor limit is shared out to, so that no use can starve another."""

from __future__ import annotations

from dataclasses import dataclass

FIXED = 24  # standard streams, epoll, wake-up, listeners, files being read, the spare one, and some to be safe
ADMIN = 4  # operators get in whatever happens
LEAST = 8  # seats and box connections that a broker needs to be of use
BOXES_SHARE = 0.4  # of what is left, if boxes may want as much


@dataclass(frozen=True, slots=True)
class Budgets:
    """Descriptors for each use; together never over the limit."""

    limit: int
    fixed: int
    admin: int
    lane: int
    boxes: int
    clients: int

    def total(self) -> int:
        return self.fixed + self.admin + self.lane + self.boxes + self.clients


def share_out(limit: int, boxes_wanted: int, lane: int, connections: int = 0) -> Budgets:
    """`boxes_wanted`: connections to boxes at the most; `connections`: seats wanted, 0 for all that is left.

    Raises ValueError where the limit is too low for a broker to be of use.
    """
    left = limit - FIXED - ADMIN
    if left < 3 * LEAST:
        raise ValueError(
            f"a descriptor limit of {limit} is too low: at least {FIXED + ADMIN + 3 * LEAST} are needed"
        )
    lane = max(min(lane, left // 8), LEAST // 2)
    left -= lane
    boxes = min(boxes_wanted, max(int(left * BOXES_SHARE), LEAST))
    clients = left - boxes
    return Budgets(
        limit, FIXED, ADMIN, lane, boxes, min(clients, connections) if connections else clients
    )
