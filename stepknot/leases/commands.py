"""Operators' commands that this broker received, kept until the lease holder answers them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.messages import MAX_VALUE_BYTES
from stepknot.leases.settings import LeaseSettings

MAX_COMMANDS = 32
TIMEOUT_LEASES = 5.0  # time-out of a command, in leases; it is resent until then
RESENDS_PER_RENEWAL = 4


@dataclass(slots=True)
class WaitingCommand:
    """A command that is not answered yet, or whose answer has not been fetched."""

    job: str
    body: bytes
    deadline: float
    # The answer; empty if the command is in the ledger, None if there is no answer yet.
    error: str | None = None
    send_at: float = -math.inf


class CommandQueue:
    """Commands by number, at most `MAX_COMMANDS`. Each gets an error as its answer after `TIMEOUT_LEASES`."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Create an empty queue whose time-out and interval are derived from the lease's duration."""
        self._timeout = TIMEOUT_LEASES * settings.lease_seconds
        self._resend_interval = settings.renewal_interval / RESENDS_PER_RENEWAL
        self._waiting: dict[str, WaitingCommand] = {}

    def add(self, now: float, job: str, number: str, body: bytes) -> None:
        """Add a command.

        Raises:
            CommandRejectedError: The command is too long, or too many commands are waiting.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise CommandRejectedError(
                f"the command has {len(body)} bytes; expected at most {MAX_VALUE_BYTES}"
            )
        if len(self._waiting) >= MAX_COMMANDS:
            raise CommandRejectedError(f"{MAX_COMMANDS} commands are already waiting for an answer")
        self._waiting[number] = WaitingCommand(job, body, now + self._timeout)

    def expire(self, now: float) -> None:
        """Answer the commands whose time-out has passed with an error."""
        for command in self._waiting.values():
            if command.error is None and now >= max(command.deadline, command.send_at):
                command.error = (
                    f"no lease holder of {command.job} answered in time; "
                    "it is unknown whether the command was or will be carried out"
                )

    def due(self, now: float) -> list[tuple[str, WaitingCommand]]:
        """The commands to send now, each with its number."""
        due = [
            (number, command)
            for number, command in self._waiting.items()
            if command.error is None and now >= command.send_at
        ]
        for _, command in due:
            command.send_at = now + self._resend_interval
        return due

    def record_answer(self, number: str, error: str) -> None:
        """Record the lease holder's answer."""
        command = self._waiting.get(number)
        if command is not None:
            command.error = error

    def take_answer(self, number: str) -> str | None:
        """The answer to a command, returned once; None while there is no answer."""
        command = self._waiting.get(number)
        if command is None or command.error is None:
            return None
        return self._waiting.pop(number).error
