"""Loss and return of a zone: tiers of preference, a bound on spill, an eased way back.

Decisions only: no I/O, no clock but the times handed in, no chance but the seed's. `policy.Zones` is what a broker
holds; it narrows what the decision module chooses among and says which queries are shed before they are handed over.
"""
