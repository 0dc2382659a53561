"""The decision library: it has no I/O and no clock. Types: `stepknot/interface.py`.

It takes events with their time and returns actions. The algorithm is that of "Dependency Capsules"
(`capsule.py`); the other modules cover what the paper does not. They import each other in one direction only:

    turn, timers, records                  used by all: time, settings, random generator, timers, plain state
    capsule                                n, mean response time, watermarks, wait, bypass
    slow_start, endpoint_list              limits for servers that are warming up; the listed servers
    health, outlier_detection              load reports, probes, failures; unresponsive and failing servers
    selection, dispatch                    the replica with the fewest calls in flight; sending of attempts
    hedging, retry_budget, retries         second attempts and the limit on their number
    answers, load_shedding, outcomes       wait and final answer; placement or rejection; ends of attempts
    aggregator                             passes each event to the module that handles it
    memory_budget, request_ids             memory of clients' requests; ids that may have run: not for servers

Invariants. Each aggregator keeps them without the others; tests and planted defects refer to their numbers.

1. An accepted query gets exactly one final answer before the client's deadline, and none of its parts is
   sent after that answer (`answers.py`).
2. No effect happens twice. A part that may have run is sent again only if its class is safe, or if it is
   keyed and within its repeat window (`retries.py`, `dispatch.py`). A query is rejected only where repeating
   it is harmless; otherwise it fails (`answers.py`).
3. A server that is draining or has left the list gets no new parts (`endpoint_list.py`).
4. All instances together do not send a cold server more than it can sustain (`slow_start.py`).
5. No answer has less weight than the class's floor, and none below the class's need is marked complete
   (`answers.py`).
6. The number of further attempts in each window stays within the budget (`retry_budget.py`).
"""

from stepknot.decisions.aggregator import Aggregator

__all__ = ["Aggregator"]
