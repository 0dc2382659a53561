"""Groups of concurrent queries of one client."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from stepknot.net.loop import Loop
from stepknot.net.tasks import Park, Task

Steps = Generator[Park, Any, Any]
OnDisconnected = Callable[[], None]
# Registers a callback that is called when the client disconnects.
DisconnectSubscriber = Callable[[OnDisconnected], None]


class QueryGroup:
    """Concurrent queries of one client; all of them are cancelled when the client disconnects.

    Args:
        loop: Runs the queries' tasks.
        subscribe: Registers the group with the client's connection.
    """

    def __init__(self, loop: Loop, subscribe: DisconnectSubscriber) -> None:
        self.loop, self.is_disconnected = loop, False
        self.callbacks: list[OnDisconnected] = []
        self.tasks: list[Task] = []
        subscribe(self._on_disconnected)

    def _on_disconnected(self) -> None:
        self.is_disconnected = True
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()

    def subscribe(self, callback: OnDisconnected) -> None:
        """Register a query's callback for the disconnect; it is called now if the client has already disconnected."""
        if self.is_disconnected:
            callback()
        else:
            self.callbacks.append(callback)

    def start(self, steps: Steps) -> Task:
        """Run one query's steps concurrently with the others."""
        task = self.loop.spawn(steps, "party")
        self.tasks.append(task)
        return task

    def wait(self) -> Steps:
        """Wait for all queries; returns their results in the order in which the queries were started."""
        results = []
        for task in self.tasks:
            results.append((yield from task.wait()))
        self.tasks = []
        return results
