"""Admin commands for the fleet's jobs: submit an order to a job, and give up the job's lease."""

from __future__ import annotations

from http import HTTPStatus

from stepknot.broker.admin.views import (
    ErrorAnswer,
    LeaseNotHeld,
    LeaseYielded,
    OrderAccepted,
    OrderRejected,
    json_response,
)
from stepknot.broker.lease_driver import LeaseDriver
from stepknot.net.http import Request
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

MAX_NUMBER_CHARACTERS = 32
POLL_INTERVAL = 0.02  # seconds between two checks whether an order is in the ledger


class LeaseCommands:
    """`POST /owner/order?job=drains` and `POST /owner/yield?job=drains`.

    Args:
        loop: The broker's loop.
        leases: Runs the leases of jobs on this broker.
    """

    def __init__(self, loop: Loop, leases: LeaseDriver) -> None:
        self.loop, self.leases = loop, leases

    def handle(self, request: Request) -> Coroutine:
        """Carry out one command."""
        jobs, job = self.leases.node.jobs, request.query.get("job", "")
        if request.method != "POST" or job not in jobs:
            status = (
                HTTPStatus.METHOD_NOT_ALLOWED if request.method != "POST" else HTTPStatus.NOT_FOUND
            )
            error = f"expected POST with the parameter job set to one of: {', '.join(jobs)}"
            return json_response(status, ErrorAnswer(error))
        if request.path == "/owner/yield":
            return self._yield_lease(job)
        number = request.query.get("number") or f"{self.loop.rng.getrandbits(64):016x}"
        return (yield from self._order(job, number, request.body))

    def _yield_lease(self, job: str) -> object:
        node = self.leases.node
        results: list[bool] = []  # empty if the step failed
        self.leases.run_step(
            lambda now: results.append(node.hand_over(now, job, "an operator's request"))
        )
        if results == [True]:
            return json_response(HTTPStatus.OK, LeaseYielded(True))
        error = f"this broker does not hold the lease of job {job}"
        return json_response(HTTPStatus.CONFLICT, LeaseNotHeld(error, node.jobs[job].holder_name))

    def _order(self, job: str, number: str, body: bytes) -> Coroutine:
        """Wait until the order is in the ledger, or rejected."""
        node, key = self.leases.node, number[:MAX_NUMBER_CHARACTERS]
        problems: list[str] = []  # at the end one entry, which is "" if the order was accepted

        def submit(now: float) -> None:
            try:
                node.submit_command(now, job, key, body)
            except ValueError as error:
                problems.append(str(error))

        self.leases.run_step(submit)
        while not problems:
            answer = node.take_command_answer(key)
            if answer is not None:
                problems.append(answer)
            else:
                yield from self.loop.sleep(POLL_INTERVAL)
        if problems[0]:
            return json_response(HTTPStatus.CONFLICT, OrderRejected(problems[0], number))
        return json_response(HTTPStatus.OK, OrderAccepted(True, number))
