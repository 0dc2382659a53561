"""The admin answer of `GET /owner` about leases. Its keys are the fields' encoded names, which must not change."""

from __future__ import annotations

from typing import Any

import msgspec

from stepknot.broker.ages import AGE_DIGITS, age
from stepknot.leases import rolling_drains
from stepknot.leases.candidate import Phase
from stepknot.leases.fence import Fence
from stepknot.leases.job import Job
from stepknot.leases.node import LeaseNode
from stepknot.leases.voter import LeaseVoter


class JobLeaseView(msgspec.Struct, frozen=True):
    """What this broker knows about one job's lease. Times are in seconds, relative to now."""

    job: str
    holder: str = msgspec.field(name="owner")  # empty if no holder announced itself within a lease
    last_holder: str = msgspec.field(name="last_owner")
    epoch: int
    is_held_here: bool = msgspec.field(name="here")
    phase: str
    seconds_since_seen: float | None = msgspec.field(name="heard")
    held_seconds: float | None = msgspec.field(name="since")
    remaining_seconds: float | None = msgspec.field(name="till")
    reason: str = msgspec.field(name="why")
    highest_epoch: int = msgspec.field(name="known_epoch")
    promised_by: list[str] = msgspec.field(name="granted_by")
    version: list[int] | None
    ready: bool
    rejected_records: int = msgspec.field(name="older_refused")


class DrainStateView(msgspec.Struct, frozen=True):
    """The rolling drains job's newest record."""

    plan: rolling_drains.DrainPlan | None = msgspec.field(name="drain")
    status: str
    cursor: str
    drained: list[str] = msgspec.field(name="out")
    step_count: int = msgspec.field(name="steps")
    reason: str = msgspec.field(name="why")
    command_numbers: list[str] = msgspec.field(name="orders")


class VoterView(msgspec.Struct, frozen=True):
    """The state of this broker's voter."""

    is_voting: bool = msgspec.field(name="votes")
    incarnation: int = msgspec.field(name="life")
    failure: str = msgspec.field(name="broken")
    promised_epochs: dict[str, int] = msgspec.field(name="promised")  # by job
    saves: int


class LeasesView(msgspec.Struct, frozen=True):
    """The complete answer, except for the broker's name."""

    name: str
    voters: list[str]
    lease_seconds: float = msgspec.field(name="lease")
    jobs: list[JobLeaseView]
    drains: DrainStateView | None
    voter: VoterView | None
    counters: dict[str, int]


def build_leases_view(node: LeaseNode, now: float, saves: int) -> dict[str, Any]:
    """The answer as plain JSON values.

    Args:
        node: This broker's lease node.
        now: The time by the broker's clock.
        saves: The number of saves of the voter's state that are on disk.
    """
    fence = node.jobs[rolling_drains.JOB_NAME].fence
    view = LeasesView(
        name=node.process.name,
        voters=list(node.settings.voters),
        lease_seconds=node.settings.lease_seconds,
        jobs=[_job_view(job, now) for job in node.jobs.values()],
        drains=_drains_view(fence),
        voter=_voter_view(node.voter, saves) if node.voter is not None else None,
        counters=dict(node.counters),
    )
    answer: dict[str, Any] = msgspec.to_builtins(view)
    return answer


def is_holder_known(job: Job, now: float) -> bool:
    """Whether a lease holder announced itself within the last lease duration."""
    return now - job.holder_seen_at <= job.candidate.settings.lease_seconds


def _job_view(job: Job, now: float) -> JobLeaseView:
    candidate, newest = job.candidate, job.fence.newest
    is_held_here = candidate.may_act(now)
    promises = candidate.election.promises
    return JobLeaseView(
        job=job.name,
        holder=job.holder_name if is_held_here or is_holder_known(job, now) else "",
        last_holder=job.holder_name,
        epoch=job.holder_epoch,
        is_held_here=is_held_here,
        phase=candidate.phase.value,
        seconds_since_seen=age(now, job.holder_seen_at),
        held_seconds=age(now, candidate.held_since) if is_held_here else None,
        remaining_seconds=(
            round(candidate.lease_expires_at - now, AGE_DIGITS) if is_held_here else None
        ),
        reason=candidate.reason,
        highest_epoch=candidate.highest_epoch,
        promised_by=list(promises) if candidate.phase is not Phase.IDLE else [],
        version=list(newest.version) if newest is not None else None,
        ready=job.fence.ready,
        rejected_records=job.fence.rejected_count,
    )


def _drains_view(fence: Fence) -> DrainStateView | None:
    if fence.newest is None:
        return None
    state = rolling_drains.decode_state(fence.newest.value)
    return DrainStateView(
        plan=state.plan,
        status=state.status,
        cursor=state.cursor,
        drained=state.drained,
        step_count=state.step_count,
        reason=state.reason,
        command_numbers=state.command_numbers,
    )


def _voter_view(voter: LeaseVoter, saves: int) -> VoterView:
    return VoterView(
        is_voting=voter.is_voting,
        incarnation=voter.incarnation,
        failure=voter.failure,
        promised_epochs={name: job.promised_epoch for name, job in voter.jobs.items()},
        saves=saves,
    )
