"""Leases for fleet-wide jobs: a majority of voters grants each job's lease to one holder at a time. No I/O, no clock.

Safety depends only on what voters store on disk. It depends neither on clocks nor on membership. Invariants:

1. A voter promises each epoch of a job to one process only, and only if the epoch is greater than every epoch that it
   promised for that job before.
2. What a voter promised, accepted or learned about other voters' incarnations is on its disk before it sends a reply
   that depends on it.
3. A majority does not count a reply whose voter has lost its state since it replied. Each reply carries the
   incarnations of all voters that its sender knows; a reply of an earlier incarnation is void.
4. A ledger record is committed once a majority accepted it. Each of these voters promised this epoch while it held
   no record newer than the one that the lease holder continues from. So each later lease holder's majority contains
   a voter that reports the record.
5. A voter that lost its state does not vote until a majority of the other voters has stored its new incarnation and
   then reported their state, and the duration of a lease has passed after that.
6. A process that applies records applies a record only if its (epoch, step) is greater than that of every record
   applied before, and applies none before a majority of voters reported the records that they hold. The pair is the
   fencing token.

While clocks stay within the configured drift, two lease holders never act at the same time: a voter promises nothing
while another process's lease runs by the voter's clock, or within the duration of a lease after the voter's start; a
lease holder counts its lease from before it sent the request. If clocks drift further, invariants 1 to 6 still hold:
records of the earlier holder are rejected.

Sources: Lamport, "The Part-Time Parliament" (1998); Rystsov, "CASPaxos" (2018); Trencseni et al., "PaxosLease" (2012);
Burrows, "The Chubby lock service" (2006); Michael et al., "Recovering Shared Objects Without Stable Storage" (2017).
"""
