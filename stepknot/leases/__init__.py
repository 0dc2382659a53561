"""One owner at a time for work that is the whole fleet's: votes, leases, fences, the ledger. No I/O, no clock.

Safety rests on what voters write down, not on clocks, and not on membership. What must hold, always:

1. A voter promises an epoch once, to one process, and only above all that it promised before for that job.
2. What a voter promised, accepted, or was told of others' lives is on its disk before anybody hears of it.
3. Of a majority's replies none counts whose voter has lost its memory since: replies carry the lives of all voters
   that their sender knows of, and a reply from an earlier life is void.
4. A record of the ledger counts once a majority accepted it, each of which granted this epoch while it held nothing
   newer than what the owner continues from. So each later owner's majority meets one that tells it of the record.
5. A voter that lost its memory votes for nothing until a majority of the others wrote down its new life and then
   told what they hold, and a lease has passed.
6. Who carries records out takes the newest (epoch, step) only, and nothing before a majority told what it holds.

With clocks within the stated drift also: a voter grants nothing while another's lease runs by its clock, or within a
lease of its start; an owner counts its lease from before it asked. So two owners never act at the same time. Where
clocks are worse than stated, 1 to 6 still hold: the one that is late is refused.
"""
