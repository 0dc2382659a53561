"""One broker's lease node: its voter, its jobs and its operators' commands. No I/O, no clock.

The driver passes in datagrams and ticks, and carries out the output: datagrams, the voter's state and events.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from stepknot.leases.candidate import LeaseCandidate
from stepknot.leases.commands import CommandQueue
from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.fence import Fence
from stepknot.leases.job import Job, JobHandler
from stepknot.leases.job_protocol import JobProtocol, NodeContext
from stepknot.leases.messages import (
    AcceptRequest,
    CommandRequest,
    IncarnationQuery,
    IncarnationReply,
    Message,
    PrepareRequest,
    RecordQuery,
    RecoveryReply,
    RecoveryRequest,
    ReleaseNotice,
    RenewRequest,
    decode,
)
from stepknot.leases.output import NodeOutbox, NodeOutput
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.errors import DatagramError

VOTER_MESSAGES = (
    PrepareRequest,
    RenewRequest,
    AcceptRequest,
    ReleaseNotice,
    RecordQuery,
    IncarnationQuery,
    IncarnationReply,
    RecoveryRequest,
    RecoveryReply,
)


class LeaseNode:
    """Passes messages, ticks and commands to the voter and the jobs of one broker, and collects their output."""

    def __init__(
        self,
        process: ProcessId,
        settings: LeaseSettings,
        voter: LeaseVoter | None,
        handlers: dict[str, JobHandler],
        seed: int,
        is_member: Callable[[str], bool],
    ) -> None:
        """Create a node with one job for each handler.

        Args:
            process: This process.
            settings: The voters and the lease's duration.
            voter: This broker's voter; None if the broker is not one of the voters.
            handlers: What each job does, by the job's name.
            seed: The seed of the random pauses between elections.
            is_member: Whether membership reports a member of that name as alive. The answer only influences when this
                broker starts an election.
        """
        self.process = process
        self.settings = settings
        self.voter = voter
        rng = random.Random(seed)
        self.jobs = {
            name: Job(
                LeaseCandidate(name, process, settings, rng.getrandbits(60)),
                handler,
                Fence(settings.quorum_size),
            )
            for name, handler in handlers.items()
        }
        self.outbox = NodeOutbox(settings.fleet, process)
        self._commands = CommandQueue(settings)
        self._context = NodeContext(
            process, settings, is_member, self._commands, self.outbox, members=[process.name]
        )
        self._protocols = {name: JobProtocol(job, self._context) for name, job in self.jobs.items()}
        self._is_started = False

    @property
    def counters(self) -> Counter[str]:
        """The number of events and of dropped datagrams, by kind; the kinds are the values of a metric's label."""
        return self._context.counters

    # Input

    def tick(self, now: float, members: list[str]) -> None:
        """Run the periodic work. `members` are all members that are alive, including this broker."""
        self._context.members = members
        self._start(now)
        if self.voter is not None:
            for receiver, message in self.voter.due_requests(now):
                self.outbox.send(receiver, message)
        for protocol in self._protocols.values():
            protocol.tick(now)
        self._send_commands(now)

    def receive(self, now: float, data: bytes) -> None:
        """Handle a datagram. One that cannot be decoded is dropped and counted by the reason."""
        self._start(now)
        try:
            envelope = decode(data, self.settings.fleet)
        except DatagramError as error:
            self.counters[f"dropped: {error}"] += 1
            return
        sender = ProcessId(envelope.sender, envelope.birth)
        self._handle(now, sender, envelope.message)

    def hand_over(self, now: float, name: str, reason: str, successor: str | None = None) -> bool:
        """Hand a job over to the successor, by default to the next in rank.

        Returns:
            Whether this broker held the job's lease.
        """
        return self._protocols[name].hand_over(now, reason, successor)

    def leave(self, now: float) -> None:
        """Prepare for shutdown: hand all jobs over and start no further election."""
        self._context.is_leaving = True
        for protocol in self._protocols.values():
            protocol.leave(now)

    def submit_command(self, now: float, job: str, number: str, body: bytes) -> None:
        """Accept an operator's command and send it to the lease holder; `take_command_answer` returns the answer.

        Raises:
            CommandRejectedError: The job is unknown, the command is too long, or too many commands are waiting.
        """
        if job not in self.jobs:
            raise CommandRejectedError(f"no job is named {job}; known jobs: {', '.join(self.jobs)}")
        self._commands.add(now, job, number, body)
        self._send_commands(now)

    def take_command_answer(self, number: str) -> str | None:
        """The answer to a command, returned once: empty if it is in the ledger, else the error; None before that."""
        return self._commands.take_answer(number)

    # Output

    def take_output(self) -> NodeOutput:
        """Return the output since the last call, for the driver to carry out."""
        voter_state = None
        if self.voter is not None and self.voter.unsaved:
            self.voter.unsaved = False
            voter_state = self.voter.state()
        return self.outbox.take(voter_state)

    # Helpers

    def _start(self, now: float) -> None:
        """On the first call, start the voter and regard every job's lease holder as missing from now on."""
        if self._is_started:
            return
        self._is_started = True
        for job in self.jobs.values():
            job.holder_missing_since = now
        if self.voter is not None:
            self.voter.start(now)

    def _handle(self, now: float, sender: ProcessId, message: Message) -> None:
        """Pass a message to the voter, to the job, or to both."""
        if isinstance(message, VOTER_MESSAGES) and self.voter is not None:
            reply = self.voter.receive(now, sender, message)
            if reply is not None:
                self.outbox.send(sender.name, reply, after_save=True)
        protocol = self._protocols.get(getattr(message, "job", ""))
        if protocol is not None:
            protocol.receive(now, sender, message)

    def _send_commands(self, now: float) -> None:
        """Send the commands that are due to the lease holders, which may be this broker itself."""
        self._commands.expire(now)
        for number, command in self._commands.due(now):
            job = self.jobs[command.job]
            request = CommandRequest(command.job, number, command.body)
            if job.candidate.may_act(now):
                self._protocols[command.job].on_command(now, self.process, request)
            elif job.holder_name and job.holder_name != self.process.name:
                self.outbox.send(job.holder_name, request)
