"""Failover between zones: locality tiers, spill-over budgets, a recovery ramp and shedding by priority.

Decisions only: no I/O, no clock but the times handed in, no chance but the seed's. A broker holds one
`failover.ZoneFailover`: it narrows what the decision module chooses among, and says which queries are shed before
they are handed over. Terms are Envoy's where it has them: locality, priority (here: tier), failover, spill-over.

Invariants, held by tests and named by number in the planted defects:

1. While a zone is not healthy, a healthy one gets at most `spill` times its baseline, plus a burst (`spill_over`).
2. A recovering zone gets at most the fraction of its baseline that the ramp has reached; a step that fails halves it
   (`recovery`).
3. An unavailable zone gets single trials of parts that are safe to repeat, and a trickle of parts whose last replicas
   it has (`failover`, `trials`).
4. A zone is unavailable only if nearly all parts fail at most of its servers, or none of them is listed (`evidence`).
5. Time never goes back (`failover`).
6. Queries are shed by priority, and no priority level is shut out (`shedding`).
"""
