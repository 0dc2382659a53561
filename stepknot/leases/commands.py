"""Operators' commands given to this broker, until the lease holder answers them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.messages import MAX_VALUE_BYTES
from stepknot.leases.settings import LeaseSettings

MAX_COMMANDS = 32
TIMEOUT_LEASES = 5.0  # for which a command is sent again
RESENDS_PER_RENEWAL = 4


@dataclass(slots=True)
class WaitingCommand:
    """A command that is not answered yet, or whose answer was not fetched."""

    job: str
    body: bytes
    deadline: float
    error: str | None = None  # the answer; empty: the command is in the ledger
    send_at: float = -math.inf


class CommandQueue:
    """The commands by their number. Bound: `MAX_COMMANDS`; each ends after `TIMEOUT_LEASES`."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Time-outs and intervals are fractions of the lease."""
        self._timeout = TIMEOUT_LEASES * settings.lease_seconds
        self._resend_interval = settings.renewal_interval / RESENDS_PER_RENEWAL
        self._waiting: dict[str, WaitingCommand] = {}

    def add(self, now: float, job: str, number: str, body: bytes) -> None:
        """Take a command.

        Raises:
            CommandRejectedError: It is too long, or too many commands wait.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise CommandRejectedError(
                f"an order of {len(body)} bytes, {MAX_VALUE_BYTES} at the most"
            )
        if len(self._waiting) >= MAX_COMMANDS:
            raise CommandRejectedError(f"{MAX_COMMANDS} orders wait already")
        self._waiting[number] = WaitingCommand(job, body, now + self._timeout)

    def expire(self, now: float) -> None:
        """Answer those whose time is over."""
        for command in self._waiting.values():
            if command.error is None and now >= max(command.deadline, command.send_at):
                command.error = (
                    f"no owner of {command.job} took it in time: "
                    "it may still be carried out, or not"
                )

    def due(self, now: float) -> list[tuple[str, WaitingCommand]]:
        """The commands to be sent now, each with its number."""
        due = [
            (number, command)
            for number, command in self._waiting.items()
            if command.error is None and now >= command.send_at
        ]
        for _, command in due:
            command.send_at = now + self._resend_interval
        return due

    def record_answer(self, number: str, error: str) -> None:
        """Take the lease holder's answer."""
        command = self._waiting.get(number)
        if command is not None:
            command.error = error

    def take_answer(self, number: str) -> str | None:
        """The answer to a command, given once; None while it waits."""
        command = self._waiting.get(number)
        if command is None or command.error is None:
            return None
        return self._waiting.pop(number).error
