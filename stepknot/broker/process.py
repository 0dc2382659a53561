"""What every broker's process has in common, whatever it speaks: its loop's troubles told, the collector, its end."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable

from stepknot.broker.core import Core
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

# Objects made and not freed between two passes over the young. Queries leave no rings behind (a test sees to that), so
# passes find nothing; a full one over what is held takes a tenth of a second, and all wait for it.
COLLECT_EVERY = 50_000


HANDLED = {
    signal.SIGHUP,
    signal.SIGTERM,
}  # held back, where the caller does so, until `live` listens for them


class Life:
    """A broker on a loop of its own; `ending` is what a subclass does once it is told to stop."""

    loop: Loop
    core: Core
    log: Callable[..., None]
    stopping = False

    def on_task_error(self, name: str, error: BaseException) -> None:
        """A task that failed unexpectedly is told loudly; the broker goes on for all others."""
        self.core.counts["internal_errors"] += 1
        self.log(
            "internal_error", task=name, error=f"{type(error).__name__}: {error}", exc_info=error
        )

    def on_slow_turn(self, took: float, cpu: float) -> None:
        """Little processor time in a long turn: the machine is busy. Much of it: this broker is."""
        self.log(
            "slow_turn",
            took=round(took, 3),
            cpu=round(cpu, 3),
            held=len(self.core.held),
            out=len(self.core.out),
        )

    def live(self, reload: Callable[[], None] | None) -> None:
        """Turn until `ending` is over; `reload` is what SIGHUP does."""
        self.loop.on_signal(self.stop, signal.SIGTERM, signal.SIGINT)
        if reload is not None:
            self.loop.on_signal(reload, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
        # Settings, grammar and modules stay for good: the collector need not walk them at every pass, nor pass often.
        gc.collect()
        gc.freeze()
        gc.set_threshold(COLLECT_EVERY, 100, 1000)
        self.loop.run()

    def stop(self) -> None:
        """Stop accepting; what is held ends by itself or gets a final answer; then the loop ends."""
        if not self.stopping:
            self.stopping = True
            self.loop.spawn(self.ending(), "ending")

    def ending(self) -> Coroutine:
        raise NotImplementedError
