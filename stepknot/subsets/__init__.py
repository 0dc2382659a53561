"""Deterministic subsetting: selects the nodes of the endpoint list that one broker uses.

It also determines how brokers share the capacity of a node in slow start. The package only makes decisions: it does no
I/O, reads no clock and draws no random numbers. Its modules, from the lowest layer up:

- `model`: settings, the layout of cells, and the changes that are reported;
- `rendezvous`: weighted rendezvous hashing, by which a broker ranks nodes;
- `quotas`: how many nodes of a cell a broker uses; `selection`: which nodes of a ranked cell it uses;
- `slow_start`: how the capacity of a node that has just started is divided among the brokers;
- `endpoint_index`: the endpoint list by cell, ranked; `cell_selector`: quota and selection for one cell of the index;
- `list_intake`: watch events that are not in the index yet; `warm_up_schedule`: when nodes end their slow start;
- `subset`: combines these and emits watch events for the subset alone; its docstring explains how long lists are
  processed in bounded units ("sliced work");
- `explanation`: why a node is or is not in the subset, for operators.

A *cell* is a partition of the data: the nodes of one cell hold the same shards. A shard is held by `reach` consecutive
cells (the replication span). A *held* or *selected* node is a node of the subset. `stepknot/broker/subset_driver.py`
runs the package on the broker's loop; `docs/subsets.md` describes the design and its measurements.

Invariants, to which tests and planted defects refer by number:

S1  The subset contains at least `size` warm nodes for each shard, counted over the shard's cells, or all of its warm
    nodes if there are fewer. Nodes in slow start are selected in addition.
S2  The selected warm nodes of a cell are in at least two zones if the list has warm nodes of the cell in two zones.
S3  At least one of them is of the nearest tier that has a warm node of the cell.
S4  The live nodes of the subset are a function of (identity, count of brokers, list, time). They are the same after a
    restart and for any order of watch events. A draining node stays in the subsets that had selected it until it is
    gone.
S5  A change of one node changes entries only in its own cell and in the `reach` - 1 cells to each side. The start or
    end of another broker changes entries only through the count of brokers.
S6  A broker selects a node by a hash of both names, independently of other brokers. The number of brokers that select
    a node is therefore binomially distributed with a mean of at least `holders`, which bounds its maximum over all
    nodes.
S7  A node that leaves the subset is emitted after its replacement, in the same watch event. No node enters the subset
    that is draining or gone in the newest list that was read. A selected node that is no longer live, or that has been
    replaced by another process, is emitted before lists are indexed further.
S8  A broker sends to a node in slow start only if a hash of both names is within a fraction q of its range, which
    follows from the broker's own view, and it divides the node's capacity by at least count x q. For any mix of views,
    the expected sum of the brokers' quotas is therefore at most the capacity.
S9  A cell has at most twice its quota of selected live nodes: up to the quota of warm ones, and as many in slow start.
"""
