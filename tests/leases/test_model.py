"""Leases in a simulated fleet: random faults by seed, clocks beyond the drift, time without a holder after a fault."""

from __future__ import annotations

import pytest

from stepknot.leases.voter import LeaseVoter
from stepknot.simulation.lease_model import Breach, Fleet, random_day

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("seed", range(1, 25))
def test_a_random_day_violates_no_invariant_and_ends_with_a_holder_of_each_job(seed: int) -> None:
    fleet = random_day(seed)
    assert all(len(history) > 50 for history in fleet.committed.values())


def test_the_same_seed_gives_the_same_day() -> None:
    assert random_day(5).trace == random_day(5).trace != random_day(6).trace


def test_with_clocks_far_beyond_the_drift_two_may_hold_a_lease_but_no_record_is_lost_or_repeated() -> (
    None
):
    """Clock rates lie between 0.275 and 1.725, so that leases overlap. The ledger alone has to protect the job."""
    overlaps = sum(random_day(seed, astray=0.7).overlaps for seed in range(1, 13))
    assert overlaps > 0


class IgnoresRunningLeases(LeaseVoter):
    """Promises a job to any candidate, even while another process's lease runs."""

    def on_prepare(self, now, sender, request):  # type: ignore[no-untyped-def]
        for job in self.jobs.values():
            job.lease_expires_at = self.votes_from = -1.0
        return super().on_prepare(now, sender, request)


def test_a_voter_that_ignores_leases_is_detected() -> None:
    breaches = []
    for seed in range(1, 9):
        with pytest.raises(Breach) as caught:
            random_day(seed, make_voter=IgnoresRunningLeases)
            raise Breach("none")
        breaches.append(str(caught.value))
    assert any("has two owners" in each for each in breaches)


def settled_fleet(voters: int = 5, clients: int = 5, jobs: int = 4, seed: int = 1) -> Fleet:
    """A fleet in which every job has a holder and all brokers know the same records."""
    fleet = Fleet(voters, clients, jobs, seed)
    fleet.run(4.0)
    assert fleet.settled()
    return fleet


def holder_of(fleet: Fleet, job: str) -> str:
    return next(
        name
        for name, each in fleet.processes.items()
        if each.node.jobs[job].candidate.may_act(fleet.clock(each))
    )


def test_the_loss_of_a_minority_of_voters_moves_no_job() -> None:
    fleet = settled_fleet()
    holders = {holder_of(fleet, job) for job in fleet.jobs}
    other_voters = [name for name in fleet.settings.voters if name not in holders][:2]
    fleet.longest = 0.0
    for name in other_voters:
        fleet.kill(name, disk=False)
    fleet.run(fleet.now + 10.0)
    assert fleet.longest < 0.3 and {holder_of(fleet, job) for job in fleet.jobs} == holders


def test_a_crashed_holder_is_succeeded_within_two_and_a_half_leases() -> None:
    for seed in range(1, 9):
        fleet = settled_fleet(seed=seed)
        fleet.longest = 0.0
        fleet.kill(holder_of(fleet, "job0"))
        fleet.run(fleet.now + 8.0)
        assert holder_of(fleet, "job0") and fleet.longest < 2.5 * fleet.settings.lease_seconds


def test_a_job_that_is_handed_over_has_a_holder_within_fifty_milliseconds() -> None:
    for seed in range(1, 9):
        fleet = settled_fleet(seed=seed)
        first = holder_of(fleet, "job0")
        process = fleet.processes[first]
        process.node.hand_over(fleet.clock(process), "job0", "")
        fleet.carry(process)
        fleet.run(fleet.now + 0.05)
        assert holder_of(fleet, "job0") != first


def test_without_a_majority_no_process_holds_a_lease_until_one_voter_returns() -> None:
    fleet = settled_fleet()
    for name in fleet.settings.voters[:3]:
        fleet.kill(name)
    fleet.run(fleet.now + 2 * fleet.settings.lease_seconds)
    assert not any(
        each.node.jobs["job0"].candidate.may_act(fleet.clock(each))
        for each in fleet.processes.values()
    )
    fleet.start(fleet.settings.voters[0])
    fleet.run(fleet.now + 4 * fleet.settings.lease_seconds)
    assert holder_of(fleet, "job0")


def test_after_a_majority_lost_its_state_no_process_ever_holds_a_lease_again() -> None:
    fleet = settled_fleet()
    for name in fleet.settings.voters[:3]:
        fleet.kill(name, disk=False)
        fleet.start(name)
    fleet.run(fleet.now + 20 * fleet.settings.lease_seconds)
    assert not any(
        each.node.jobs["job0"].candidate.may_act(fleet.clock(each))
        for each in fleet.processes.values()
    )
    assert all(
        fleet.processes[name].node.voter.recovery is not None for name in fleet.settings.voters[:3]
    )  # type: ignore
