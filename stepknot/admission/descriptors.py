"""Allocates the process's descriptor limit to its uses, so that no use can starve another."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.admission.errors import DescriptorLimitError

# Standard streams, epoll, wake-up, listeners, files being read, the spare one, and a margin.
FIXED_DESCRIPTORS = 24
ADMIN_DESCRIPTORS = 4  # connections of operators
MIN_POOL = 8  # connection slots, and connections to servers, that a broker needs to be of use
MIN_REMAINING = 3 * MIN_POOL  # descriptors beyond the fixed uses, for queue, servers and clients
MAX_WAITING_FRACTION = 1 / 8  # of the descriptors beyond the fixed uses
MAX_SERVERS_FRACTION = 0.4  # of the descriptors that the waiting queue leaves


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors for each use; their sum never exceeds `limit`."""

    limit: int
    fixed: int
    admin: int
    waiting: int  # connections in the waiting queue
    servers: int  # connections to servers
    clients: int  # connection slots

    def total(self) -> int:
        """The sum over all uses."""
        return self.fixed + self.admin + self.waiting + self.servers + self.clients


def allocate_descriptors(
    limit: int, max_server_connections: int, queue_length: int, max_slots: int = 0
) -> DescriptorBudget:
    """Allocate a descriptor limit.

    Args:
        limit: Descriptors of the process.
        max_server_connections: Upper bound of connections to servers.
        queue_length: Connections that may wait in the waiting queue.
        max_slots: Connection slots asked for; 0 for all that is left.

    Raises:
        DescriptorLimitError: The limit is too low for a broker to be of use.
    """
    remaining = limit - FIXED_DESCRIPTORS - ADMIN_DESCRIPTORS
    if remaining < MIN_REMAINING:
        raise DescriptorLimitError(limit, FIXED_DESCRIPTORS + ADMIN_DESCRIPTORS + MIN_REMAINING)
    waiting = max(min(queue_length, int(remaining * MAX_WAITING_FRACTION)), MIN_POOL // 2)
    remaining -= waiting
    servers = min(max_server_connections, max(int(remaining * MAX_SERVERS_FRACTION), MIN_POOL))
    clients = remaining - servers
    return DescriptorBudget(
        limit=limit,
        fixed=FIXED_DESCRIPTORS,
        admin=ADMIN_DESCRIPTORS,
        waiting=waiting,
        servers=servers,
        clients=min(clients, max_slots) if max_slots else clients,
    )
