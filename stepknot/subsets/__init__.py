"""Deterministic subsetting: which nodes of the endpoint list one broker uses, and how brokers share one in slow start.

The package only decides: it does no I/O, reads no clock and draws no random numbers. From the bottom:

- `model`: settings, the layout of cells, and the changes that are reported;
- `rendezvous`: weighted rendezvous hashing, by which a broker ranks nodes;
- `quotas`: how many nodes of a cell a broker uses; `selection`: which of a ranked cell it uses;
- `slow_start`: how the capacity of a node that has just started is divided among the brokers;
- `endpoint_index`: the endpoint list by cell, ranked; `cell_selector`: quota and selection of one cell of it;
- `list_intake`: watch events that are not in the index yet; `warm_up_schedule`: when nodes end their slow start;
- `subset`: composes these and emits watch events for the subset alone; it explains how long lists are processed in
  bounded units ("sliced work");
- `explanation`: why a node is or is not in the subset, for operators.

A *cell* is a partition of the data: the nodes of one cell hold the same shards. A shard is held by `reach` cells in
sequence (the replication span). A *held* or *selected* node is one of the subset. `stepknot/broker/subset_driver.py`
runs the package on the broker's loop; `docs/subsets.md` has the design and its measurements.

Invariants; tests and planted defects name them by number:

S1  A shard has the lower of `size` and the number of warm nodes there are, counted over its cells. Nodes in slow start
    come in addition.
S2  The warm nodes selected of a cell are in two zones or more, where the list has warm nodes of the cell in two.
S3  One of them is of the nearest tier that has a warm node.
S4  The live nodes of the subset are a function of (identity, count of brokers, list, time): the same after a restart
    and for any order of watch events. A draining node stays with the brokers that had selected it until it is gone.
S5  A change of one node changes entries of its own cell and of the `reach` - 1 cells to each side only. Another
    broker's start or end changes entries through the count of brokers only.
S6  A broker selects a node by a hash of both names, independently of other brokers: the number of brokers of a node is
    binomial around a mean of `holders` or more, and its maximum over all nodes is bounded by that.
S7  A node that leaves the subset is emitted after its replacement, in one watch event. No node enters that is draining
    or gone by the newest list that was read. A selected node that is no longer live, or is another process, is emitted
    before lists are indexed further.
S8  A broker sends to a node in slow start only if a hash of both names is under a fraction q, which follows from its
    own view, and it divides the node's capacity by count x q or more: over any mix of views the expected sum of the
    brokers' quotas is the capacity at most.
S9  A cell has no more selected live nodes than twice its quota: the quota of warm ones and as many in slow start.
"""
