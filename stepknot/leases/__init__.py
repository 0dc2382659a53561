"""Leases on fleet-wide jobs: one lease holder at a time, by votes of a majority. No I/O, no clock.

Safety depends on what voters have on disk. It depends neither on clocks nor on membership. Invariants:

1. A voter promises an epoch once, to one process, and only above every epoch that it promised before for that job.
2. What a voter promised, accepted or learned of others' incarnations is on its disk before a reply that depends on
   it is sent.
3. Of a majority's replies, none counts whose voter lost its state since. Each reply carries the incarnations of all
   voters that its sender knows; a reply of an earlier incarnation is void.
4. A ledger record is committed once a majority accepted it. Each of these voters promised this epoch while it held
   no record newer than the one that the lease holder continues from. So each later lease holder's majority contains
   a voter that reports the record.
5. A voter that lost its state does not vote until a majority of the other voters stored its new incarnation and then
   reported what they hold, and a lease has passed.
6. A process that applies records takes the newest (epoch, step) only, and none before a majority of voters reported
   what it holds. The pair is the fencing token.

With clocks within the configured drift, two lease holders never act at the same time: a voter promises nothing while
another process's lease runs by the voter's clock, or within a lease of the voter's start; a lease holder counts its
lease from before it sent the request. With worse clocks invariants 1 to 6 still hold: records of the earlier holder
are rejected.

Sources: Lamport, "The Part-Time Parliament" (1998); Rystsov, "CASPaxos" (2018); Trencseni et al., "PaxosLease" (2012);
Burrows, "The Chubby lock service" (2006); Michael et al., "Recovering Shared Objects Without Stable Storage" (2017).
"""
