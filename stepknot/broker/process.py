"""What every broker's process has in common, whatever protocol it speaks: its loop, collector and end."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable

from stepknot.broker.core import Core
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

# Objects allocated and not freed between two passes of the garbage collector over the young generation. Queries leave
# no reference cycles behind (a test checks it), so passes find nothing. A full one over all that is in flight takes a
# tenth of a second, and all queries wait for it.
COLLECT_EVERY = 50_000

# Blocked by the caller, if it wishes so, until `BrokerProcess.run_loop` handles them.
HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}


class BrokerProcess:
    """A broker on a loop of its own. A subclass says in `shut_down` what it does once it must stop."""

    loop: Loop
    core: Core
    log: Callable[..., None]
    stopping = False

    def on_task_error(self, name: str, error: BaseException) -> None:
        """Log a task that failed unexpectedly; the broker goes on for all others."""
        self.core.counts["internal_errors"] += 1
        self.log("task_failed", task=name, error=f"{type(error).__name__}: {error}", exc_info=error)

    def on_slow_turn(self, took: float, cpu: float) -> None:
        """Log a long turn, in seconds. Little processor time means a busy machine, much of it a busy broker."""
        self.log(
            "loop_stalled",
            took=round(took, 3),
            cpu=round(cpu, 3),
            queries=len(self.core.queries),
            attempts=len(self.core.attempts),
        )

    def run_loop(self, reload: Callable[[], None] | None) -> None:
        """Turn until `shut_down` is over; `reload` is what SIGHUP does."""
        self.loop.on_signal(self.stop, signal.SIGTERM, signal.SIGINT)
        if reload is not None:
            self.loop.on_signal(reload, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        # Settings, grammar and modules stay for good: the collector need not walk them at every pass, nor pass often.
        gc.collect()
        gc.freeze()
        gc.set_threshold(COLLECT_EVERY, 100, 1000)
        self.loop.run()

    def stop(self) -> None:
        """Begin the graceful shutdown; later calls do nothing."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.shut_down(), "ending")

    def wait_while(
        self, condition: Callable[[], bool], max_seconds: float, interval: float
    ) -> Coroutine:
        """Wait as long as the condition holds, looked at in each interval, or until the time is over."""
        until = self.loop.now + max_seconds
        while condition() and self.loop.now < until:
            yield from self.loop.sleep(interval)

    def shut_down(self) -> Coroutine:
        """Stop accepting, end what is in flight, and stop the loop."""
        raise NotImplementedError
