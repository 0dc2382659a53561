"""Decisions of voters, candidates, fences and placement on single messages."""

from __future__ import annotations

import pytest

from stepknot.leases import messages
from stepknot.leases.candidate import LeaseCandidate, Phase
from stepknot.leases.fence import Fence
from stepknot.leases.placement import rank_members
from stepknot.leases.quorum import valid_voters
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter

SETTINGS = LeaseSettings(("A", "B", "C"))


def test_a_voter_rejects_jobs_beyond_its_bound() -> None:
    voter = LeaseVoter("A", SETTINGS, messages.VoterState("stepknot", "A", 1, {}, []))
    replies = [
        voter.receive(1.0, ProcessId("x", 1), messages.PrepareRequest(f"job{number}", 1))
        for number in range(messages.MAX_JOBS + 5)
    ]
    assert [type(each).__name__ for each in replies] == ["Promise"] * messages.MAX_JOBS + [
        "Rejection"
    ] * 5
    assert len(voter.jobs) == messages.MAX_JOBS


def test_a_voter_that_lost_its_state_replies_to_nothing_until_a_majority_of_the_others_reported() -> (
    None
):
    voter = LeaseVoter("A", SETTINGS, None)
    voter.start(0.0)
    assert voter.receive(0.0, ProcessId("x", 1), messages.PrepareRequest("j", 5)) is None
    assert voter.receive(0.0, ProcessId("B", 1), messages.RecoveryRequest(2, "")) is None
    voter.receive(0.0, ProcessId("B", 1), messages.IncarnationReply(1))
    voter.receive(0.0, ProcessId("C", 1), messages.IncarnationReply(4))
    assert voter.recovery is not None and voter.recovery.incarnation == 5
    for name in ("B", "C"):
        voter.receive(
            0.1,
            ProcessId(name, 1),
            messages.RecoveryReply(
                5, "", messages.VoterJobState("j", 8, "x", 1, messages.LedgerRecord(8, 2, b"v"))
            ),
        )
        assert voter.recovery is not None  # one other voter's report is not a majority
        voter.receive(0.1, ProcessId(name, 1), messages.RecoveryReply(5, "j", None))
    assert voter.recovery is None and voter.incarnation == 5 and voter.unsaved
    early = voter.receive(0.2, ProcessId("y", 1), messages.PrepareRequest("j", 9))
    assert (
        isinstance(early, messages.Rejection) and early.retry_after_ms >= 1900
    )  # the duration of a lease has to pass after the recovery
    late = voter.receive(
        0.2 + SETTINGS.voter_lease_seconds, ProcessId("y", 1), messages.PrepareRequest("j", 9)
    )
    assert isinstance(late, messages.Promise) and late.record == messages.LedgerRecord(8, 2, b"v")


def test_a_late_promise_with_a_later_record_ends_the_epoch() -> None:
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    for voter in ("A", "B"):
        candidate.receive(0.1, voter, messages.Promise("j", 1, 1, {}, messages.LedgerRecord()))
    assert candidate.phase is Phase.HOLDING
    candidate.receive(
        0.2, "C", messages.Promise("j", 1, 1, {}, messages.LedgerRecord(0, 9, b"later"))
    )
    assert candidate.phase is Phase.IDLE and "C holds a later record" in candidate.reason


def test_one_rejection_does_not_end_an_election_that_a_majority_may_promise() -> None:
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    candidate.receive(0.1, "A", messages.Rejection("j", 1, 0, 2000, "its start"))
    assert candidate.phase is Phase.ELECTING
    for voter in ("B", "C"):
        candidate.receive(0.1, voter, messages.Promise("j", 1, 1, {}, messages.LedgerRecord()))
    assert candidate.phase is Phase.HOLDING


def test_an_election_without_a_possible_majority_is_abandoned_and_waits_until_one_is_possible() -> (
    None
):
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    candidate.receive(0.1, "A", messages.Rejection("j", 1, 0, 9000, "a lease runs"))
    candidate.receive(0.1, "B", messages.Rejection("j", 1, 0, 1500, "a lease runs"))
    assert candidate.phase is Phase.IDLE and 1.6 <= candidate.backoff.next_election_at <= 3.0
    assert ("C", messages.ReleaseNotice("j", 1)) in candidate.outbox


def report(
    version: tuple[int, int], committed: int = 0, incarnation: int = 1, **incarnations: int
) -> messages.RecordReport:
    """A voter's report of a record. `incarnations` are those of other voters that it knows."""
    return messages.RecordReport(
        "j", incarnation, incarnations, messages.LedgerRecord(*version, b"v"), committed
    )


def test_a_fence_admits_nothing_before_a_majority_reported_and_nothing_older_after() -> None:
    fence = Fence(2)
    assert not fence.record_report("A", report((3, 4), 4)) and not fence.ready
    assert fence.record_report("B", report((3, 2), 2)) and fence.newest == messages.LedgerRecord(
        3, 4, b"v"
    )
    assert (
        not fence.admit(messages.LedgerRecord(3, 4, b"v"))
        and not fence.admit(messages.LedgerRecord(2, 9, b"v"))
        and fence.rejected_count == 1
    )
    assert fence.admit(messages.LedgerRecord(4, 1, b"v"))


def test_a_fence_waits_where_the_newest_record_may_be_committed() -> None:
    fence = Fence(2)
    fence.record_report("A", report((3, 5), 4))
    assert (
        not fence.record_report("B", report((3, 4), 4)) and not fence.ready
    )  # an earlier process of this broker may have applied (3, 5)
    assert fence.record_report("C", report((3, 5), 4)) and fence.newest == messages.LedgerRecord(
        3, 5, b"v"
    )


def test_a_reply_of_an_earlier_incarnation_is_void() -> None:
    assert valid_voters(
        {"A": report((1, 1), incarnation=1), "B": report((1, 1), A=2), "C": report((1, 1), A=1)}
    ) == ["B", "C"]


def test_jobs_spread_over_members_and_a_new_member_moves_only_its_own() -> None:
    names = [f"b{number}" for number in range(10)]
    first = {f"job{number}": rank_members(f"job{number}", names)[0] for number in range(300)}
    after = {job: rank_members(job, [*names, "b10"])[0] for job in first}
    moved = [job for job in first if after[job] != first[job]]
    assert all(after[job] == "b10" for job in moved) and 10 <= len(moved) <= 50
    assert max(list(first.values()).count(name) for name in names) <= 60


def started_voter() -> LeaseVoter:
    """A voter that started long enough before time 0 to vote."""
    voter = LeaseVoter("A", SETTINGS, messages.VoterState("stepknot", "A", 2, {}, []))
    voter.start(-10.0)
    return voter


def elected_candidate() -> LeaseCandidate:
    """A candidate that A and B elected at 0.1; its first record is not committed yet."""
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    for voter in ("A", "B"):
        candidate.receive(0.1, voter, messages.Promise("j", 1, 1, {}, messages.NO_RECORD))
    return candidate


def test_a_voter_promises_an_epoch_to_one_process_only() -> None:
    voter = started_voter()
    first = voter.receive(1.0, ProcessId("x", 1), messages.PrepareRequest("j", 3))
    other = voter.receive(1.0, ProcessId("x", 2), messages.PrepareRequest("j", 3))
    again = voter.receive(1.0, ProcessId("x", 1), messages.PrepareRequest("j", 3))
    assert isinstance(first, messages.Promise) and first == again
    assert isinstance(other, messages.Rejection) and other.promised_epoch == 3


@pytest.mark.parametrize(
    ("sender", "incarnation", "epoch", "accepted"),
    [("x", 2, 3, True), ("y", 2, 3, False), ("x", 1, 3, False), ("x", 2, 2, False)],
)
def test_a_voter_accepts_only_under_its_promise_of_this_incarnation(
    sender: str, incarnation: int, epoch: int, accepted: bool
) -> None:
    voter = started_voter()
    voter.receive(1.0, ProcessId("x", 1), messages.PrepareRequest("j", 3))
    record = messages.LedgerRecord(epoch, 1, b"v")
    reply = voter.receive(
        1.0, ProcessId(sender, 1), messages.AcceptRequest("j", incarnation, record)
    )
    assert isinstance(reply, messages.Accepted if accepted else messages.Rejection)
    assert (voter.jobs["j"].record == record) is accepted


def test_a_record_is_committed_by_a_majority_only() -> None:
    candidate = elected_candidate()
    candidate.receive(0.2, "A", messages.Accepted("j", 1, 1, 1, {}))
    assert candidate.committed is None and not candidate.may_act(0.2)
    candidate.receive(0.2, "B", messages.Accepted("j", 1, 1, 1, {}))
    assert candidate.committed == messages.LedgerRecord(1, 1) and candidate.may_act(0.2)


def test_a_lease_is_renewed_by_a_majority_from_when_it_was_asked() -> None:
    candidate = elected_candidate()
    candidate.renew(1.0)
    candidate.receive(1.3, "A", messages.RenewReply("j", 1, 1, 1, {}))
    assert candidate.lease_expires_at == SETTINGS.holder_lease_seconds
    candidate.receive(1.3, "B", messages.RenewReply("j", 1, 1, 1, {}))
    assert candidate.lease_expires_at == 1.0 + SETTINGS.holder_lease_seconds
