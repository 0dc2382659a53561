"""The decisions: a library without input, output or clock. Types: `stepknot/interface.py`.

Events and their time go in, actions come out. The method is that of "Dependency Capsules" (`capsule.py`); the
other modules add what it does not treat. They import each other in one direction only:

    turn, timers, records                  what all share: time, settings, chance, timers, plain state
    capsule                                n, mean response time, watermarks, wait, bypass
    slow_start, endpoint_list              what a server that warms up may get; the listed servers
    health, outlier_detection              load reports, probes, failures; unresponsive and failing servers
    selection, dispatch                    the replica with the fewest calls out; an attempt planned and sent
    hedging, retry_budget, retries         second attempts, and the bound on them
    answers, load_shedding, outcomes       wait and final answer; placement or rejection; ends of attempts
    aggregator                             hands each event to its module

Invariants. Each aggregator keeps them on its own; tests and planted defects name them by number.

1. A query that was taken gets exactly one final answer before the client's time is over, and none of its
   parts is sent after that (`answers.py`).
2. No effect happens twice. A part that may have run is sent again only if its class is safe, or keyed and
   within the repeat window (`retries.py`, `dispatch.py`). A query is rejected only where to repeat it is
   harmless; otherwise it fails (`answers.py`).
3. A server that drains or has left the list gets nothing new (`endpoint_list.py`).
4. All instances together do not send a cold server more than it can bear (`slow_start.py`).
5. No answer is given from less than the class's floor, and none is marked complete under its need
   (`answers.py`).
6. Further attempts stay within the budget of each window (`retry_budget.py`).
"""

from stepknot.decisions.aggregator import Aggregator

__all__ = ["Aggregator"]
