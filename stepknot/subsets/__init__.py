"""Bounded subsets: which nodes of the list one broker uses, and how many brokers share a cold one.

Decisions only: no I/O, no clock, no chance of their own. `choice` ranks and chooses, `cold` divides a cold node's
budget, `subset` keeps the list and the subset and says what changed. Carried out by `stepknot/broker/subset_driver.py`;
weighed in `docs/subsets.md`. Invariants, by number in tests and planted defects:

S1  A shard keeps the least of `size` and of what there is of warm nodes, counted over its cells; cold ones come on top.
S2  A cell's warm ones are in two zones at least, where the list has warm nodes of the cell in two.
S3  One of them is of the nearest tier that has a warm one.
S4  The live nodes of the subset are a function of (identity, count of brokers, list, time): the same after a restart,
    whatever the order in which the list was learnt. What drains stays with those that held it, until it is gone.
S5  A node's coming, going or change of state changes entries of its own cell and of the `reach` - 1 cells to each side.
    Another broker's coming or going changes no entry but by the count of brokers.
S6  A broker holds a node by a hash of both names, independent of every other broker's: brokers a node are binomial
    around a mean of `holders` or more, and the greatest of them is bounded by it.
S7  What is left is told after what replaces it, in one event; nothing enters that drains or is gone by the newest list
    that is read. A held node that is no more live, or is another process, is told before lists are taken in further.
S8  A broker sends to a cold node only if a hash of both names is under a share q that its own view gives, and divides
    the node's budget by count x q or more: over any mix of views the expected sum of shares is the budget at most.
S9  A cell holds no more than twice its quota of live nodes: the quota of warm ones and as many cold ones.
"""
