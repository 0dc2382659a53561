"""Admission control: decides which connections and queries are admitted under limits.

The package does no I/O, callers pass the time, and nothing is random. `controller.AdmissionController` decides; it
combines one class for each limited resource: connection slots, the waiting queue, query slots and the byte budget. It
keeps state only for open connections and queries, and in three tables of fixed size: rates and rejections
(`heavy_hitters`), and reputation.

Invariants, checked by tests and referred to by number in the planted defects:

1. Connection slots, waiting queue, queries in flight and reserved bytes never exceed their limits.
2. Unknown clients never take a connection slot or a query slot of the reserve.
3. An admitted query is never dropped: only idle connections are evicted. The candidate is the longest idle connection
   of the address with the most connections.
4. A client is rejected for its rate only by a lower bound of its own rate (`HeavyHitters.lower_bound`).
5. Memory does not grow with the number of addresses seen: no state is kept for an address without a connection, a
   query or an entry in a table of fixed size.
"""
