"""Failover between zones: locality tiers, spill-over budgets, a recovery ramp and shedding by priority.

The package only makes decisions: it does no I/O, callers pass the time, and all randomness comes from a seeded
generator. A broker holds one `failover.ZoneFailover`, which narrows the candidates of the decision module and decides
which queries are shed before they reach it. Terms are Envoy's where Envoy has them: locality, priority (here: tier),
failover, spill-over.

Invariants, checked by tests and referred to by number in the planted defects:

1. While any zone is not healthy, each healthy zone gets at most `spill` times its baseline, plus a burst
   (`spill_over`).
2. A recovering zone gets at most the fraction of its baseline that the ramp has reached; a failed step halves that
   fraction (`recovery`).
3. An unavailable zone gets only single trials with parts that are safe to repeat, and a low rate of parts whose last
   replicas are in the zone (`failover`, `trials`).
4. A zone becomes unavailable only if nearly all parts fail at the majority of its servers, or if none of its servers
   is listed (`evidence`).
5. Time never goes back (`failover`).
6. Queries are shed by priority, and no priority level is shut out completely (`shedding`).
"""
