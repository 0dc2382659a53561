"""The base class of broker processes, for all protocols: the loop, the garbage collector's settings and shutdown."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Sequence

from stepknot.broker.core import Core
from stepknot.net.loop import Loop
from stepknot.net.server import Server
from stepknot.net.tasks import Coroutine

# The garbage collector's threshold: allocations minus deallocations between two collections of the young generation.
# Queries leave no reference cycles behind (a test checks this), so collections find nothing. A full collection over
# everything in flight takes 0.1 seconds, during which all queries wait.
GC_THRESHOLD = 50_000

STOP_POLL_INTERVAL = 0.01  # seconds

# Signals that a caller may block until `BrokerProcess.run_loop` handles them.
HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}


class BrokerProcess:
    """A broker with its own loop. Subclasses implement the graceful shutdown in `shut_down`."""

    loop: Loop
    core: Core
    log: Callable[..., None]
    stopping = False

    def on_task_error(self, name: str, error: BaseException) -> None:
        """Log a task that failed unexpectedly; the broker continues with all other tasks."""
        self.core.counts["internal_errors"] += 1
        self.log("task_failed", task=name, error=f"{type(error).__name__}: {error}", exc_info=error)

    def on_slow_turn(self, took: float, cpu: float) -> None:
        """Log a slow iteration of the loop.

        Little processor time in a slow iteration indicates a busy machine, much processor time a busy broker. A long
        step indicates the task that held up all others.

        Args:
            took: Duration of the iteration in seconds.
            cpu: Processor time of the iteration in seconds.
        """
        self.log(
            "loop_stalled",
            took=round(took, 3),
            cpu=round(cpu, 3),
            queries=len(self.core.queries),
            attempts=len(self.core.attempts),
            longest_task=self.loop.longest_step.name,
            longest_step=round(self.loop.longest_step.seconds, 3),
        )

    def run_loop(self, reload: Callable[[], None] | None) -> None:
        """Run the loop until `shut_down` stops it; `reload` is called on SIGHUP."""
        self.loop.on_signal(self.stop, signal.SIGTERM, signal.SIGINT)
        if reload is not None:
            self.loop.on_signal(reload, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        # Settings, grammars and modules are never freed, so the collector does not need to traverse them. Collections
        # are also made rare.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 100, 1000)
        self.loop.run()
        # The interpreter restores the default actions before the process ends; signals may come in series.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def stop(self) -> None:
        """Start the graceful shutdown; later calls do nothing."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.shut_down(), "ending")

    def wait_while(
        self, condition: Callable[[], bool], max_seconds: float, interval: float
    ) -> Coroutine:
        """Wait while the condition holds, but for `max_seconds` at most; it is checked every `interval` seconds."""
        until = self.loop.now + max_seconds
        while condition() and self.loop.now < until:
            yield from self.loop.sleep(interval)

    def finish_queries(self, servers: Sequence[Server], max_seconds: float) -> Coroutine:
        """Wait for the queries in flight and for those that the servers may still accept, then end the others."""

        def may_have_queries() -> bool:
            return bool(self.core.queries) or any(each.may_accept_requests() for each in servers)

        yield from self.wait_while(may_have_queries, max_seconds, STOP_POLL_INTERVAL)
        self.core.finish_all()

    def shut_down(self) -> Coroutine:
        """Stop accepting requests, end the queries in flight, and stop the loop."""
        raise NotImplementedError
