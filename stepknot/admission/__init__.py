"""Admission control: decisions on connections and queries under limits, free of I/O, clock and unseeded chance.

`controller.AdmissionController` decides; it composes one collaborator for each limited resource: connection slots,
the waiting queue, query slots and the byte budget. State covers open connections and queries only, besides three
tables of fixed size: rates and rejections (`heavy_hitters`) and reputation.

Invariants, held by tests and named by number in the planted defects:

1. Connection slots, waiting queue, queries in flight and reserved bytes never exceed their limits.
2. Unknown clients never take a connection slot or a query slot of the reserve.
3. An admitted query is never dropped: only idle connections are evicted, of the address with most of them the one
   that is idle for longest.
4. A client that is judged by a rate is judged by a lower bound of its own rate (`HeavyHitters.lower_bound`).
5. Memory does not grow with the number of addresses seen: an address without a connection, a query or a place in a
   table of fixed size leaves nothing behind.
"""
