"""Queries of one client that run side by side."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from stepknot.net.loop import Loop
from stepknot.net.tasks import Park, Task

Steps = Generator[Park, Any, Any]
OnDisconnected = Callable[[], None]
# Registers what is called when the client disconnects.
DisconnectSubscriber = Callable[[OnDisconnected], None]


class QueryGroup:
    """Queries of one client that run side by side: when it disconnects, all of them are cancelled.

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
        """Register a query of the group; at once called where the client is gone already."""
        if self.is_disconnected:
            callback()
        else:
            self.callbacks.append(callback)

    def start(self, steps: Steps) -> Task:
        """Run one query's steps beside the others."""
        task = self.loop.spawn(steps, "party")
        self.tasks.append(task)
        return task

    def wait(self) -> Steps:
        """All results, in the order in which they were started."""
        results = []
        for task in self.tasks:
            results.append((yield from task.wait()))
        self.tasks = []
        return results
