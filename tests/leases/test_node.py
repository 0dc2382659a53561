"""A broker's lease node: datagrams that cannot be decoded, messages in any order, and the bounds of commands."""

from __future__ import annotations

import random

import pytest

from stepknot.leases import messages
from stepknot.leases.commands import MAX_COMMANDS
from stepknot.leases.job import JobHandler
from stepknot.leases.node import LeaseNode
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.wire import MAX_DATAGRAM_BYTES

SETTINGS = LeaseSettings(("A", "B", "C"))


def voting_node(**handlers: JobHandler) -> LeaseNode:
    """A node with a voter; by default its only job `j` does nothing."""
    idle = JobHandler(
        lambda now, value: None, lambda value, number, body: value, lambda record: None
    )
    return LeaseNode(
        ProcessId("A", 1),
        SETTINGS,
        LeaseVoter("A", SETTINGS, messages.VoterState("stepknot", "A", 1, {}, [])),
        handlers or {"j": idle},
        1,
        lambda name: True,
    )


def test_unusable_datagrams_are_counted_and_change_nothing() -> None:
    node, rng = voting_node(), random.Random(1)
    good = messages.encode("stepknot", ProcessId("x", 1), messages.PrepareRequest("j", 1))
    bad = {
        "too long": [bytes(1201)],
        "malformed": [
            b"",
            b"\xc1",
            good[:-1],
            b"\x95" * 900,
            rng.randbytes(80),
            good.replace(b"j", b""),
        ],
        "another fleet": [
            messages.encode("other", ProcessId("x", 1), messages.PrepareRequest("j", 1))
        ],
        "another version": [good.replace(bytes([0x95, 1]), bytes([0x95, 2]), 1)],
    }
    for reason, datagrams in bad.items():
        for data in datagrams:
            node.receive(1.0, data)
        assert node.counters[f"dropped: {reason}"] == len(datagrams), reason
    assert node.voter is not None and not node.voter.jobs and not node.take_output().datagrams
    node.receive(1.0, good)
    assert "j" in node.voter.jobs


def test_well_formed_messages_in_any_order_raise_nothing_and_replies_fit_a_datagram() -> None:
    """Messages of any kind from any sender at any time raise nothing, and every reply fits a datagram."""
    for seed in range(40):
        rng, node, now = random.Random(seed), voting_node(), 0.0
        for _ in range(300):
            now += rng.choice([0.0, 0.05, 0.5, 3.0])
            epoch, number = rng.randrange(6), rng.randrange(4)
            record = messages.LedgerRecord(
                rng.randrange(6), rng.randrange(4), rng.randbytes(rng.randrange(9))
            )
            job, incarnations = rng.choice(["j", "other"]), {rng.choice("ABC"): rng.randrange(3)}
            message = rng.choice(
                [
                    messages.PrepareRequest(job, epoch, number),
                    messages.Promise(job, epoch, number, incarnations, record),
                    messages.Rejection(job, epoch, number, 50, "no"),
                    messages.RenewRequest(job, epoch, number, 1),
                    messages.RenewReply(job, epoch, number, 1, incarnations),
                    messages.AcceptRequest(job, number, record),
                    messages.Accepted(job, epoch, number, 1, incarnations),
                    messages.ReleaseNotice(job, epoch),
                    messages.HandoverOffer(job, epoch),
                    messages.CommitNotice(job, epoch, number, rng.choice([None, b"v"])),
                    messages.RecordQuery(job),
                    messages.RecordReport(job, number, incarnations, record, number),
                    messages.IncarnationQuery(),
                    messages.IncarnationReply(number),
                    messages.RecoveryRequest(number, ""),
                    messages.RecoveryReply(
                        number, "", messages.VoterJobState(job, epoch, "x", 1, record)
                    ),
                    messages.CommandRequest(job, "n", b"body"),
                    messages.CommandReply(job, "n", "no"),
                ]
            )
            node.receive(
                now,
                messages.encode(
                    "stepknot", ProcessId(rng.choice("ABCxy"), rng.randrange(3)), message
                ),
            )
            node.tick(now, ["A", "B", "x"])
            assert all(
                len(each.data) <= MAX_DATAGRAM_BYTES for each in node.take_output().datagrams
            )


def test_commands_are_bounded_and_expire() -> None:
    node = voting_node()
    for number in range(MAX_COMMANDS):
        node.submit_command(0.0, "j", f"n{number}", b"x")
    with pytest.raises(ValueError, match=f"{MAX_COMMANDS} commands are already waiting"):
        node.submit_command(0.0, "j", "one more", b"x")
    with pytest.raises(ValueError, match=r"no job is named k+; known jobs: j$"):
        node.submit_command(0.0, "k" * 10_000, "n", b"x")
    with pytest.raises(ValueError, match="has 901 bytes; expected at most 900"):
        node.submit_command(0.0, "j", "n", bytes(901))
    node.tick(100.0, ["A"])
    assert (
        "no lease holder of j answered" in str(node.take_command_answer("n0"))
        and node.take_command_answer("n0") is None
    )
