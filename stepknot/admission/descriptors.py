"""Divides the process's descriptor limit among its uses, so that no use can starve another."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.admission.errors import DescriptorLimitError

# Descriptors for standard streams, epoll, wake-up, listeners, open files, the spare descriptor, and a margin.
FIXED_DESCRIPTORS = 24
ADMIN_DESCRIPTORS = 4  # connections of operators
# Minimum number of connection slots, and of connections to servers, of a working broker.
MIN_POOL = 8
# Minimum number of descriptors for the waiting queue, servers and clients.
MIN_REMAINING = 3 * MIN_POOL
# Waiting queue's maximum fraction of the descriptors besides the fixed and admin ones.
MAX_WAITING_FRACTION = 1 / 8
# Servers' maximum fraction of the descriptors that remain after the waiting queue's.
MAX_SERVERS_FRACTION = 0.4


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The number of descriptors for each use; their sum never exceeds `limit`."""

    limit: int
    fixed: int
    admin: int
    waiting: int  # connections in the waiting queue
    servers: int  # connections to servers
    clients: int  # connection slots

    def total(self) -> int:
        """Return the sum over all uses."""
        return self.fixed + self.admin + self.waiting + self.servers + self.clients


def allocate_descriptors(
    limit: int, max_server_connections: int, queue_length: int, max_slots: int = 0
) -> DescriptorBudget:
    """Divide a descriptor limit among its uses.

    Args:
        limit: The descriptor limit of the process.
        max_server_connections: The maximum number of connections to servers.
        queue_length: The maximum number of connections in the waiting queue.
        max_slots: The maximum number of connection slots; 0 for all remaining descriptors.

    Raises:
        DescriptorLimitError: The limit is too low for a working broker.
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
