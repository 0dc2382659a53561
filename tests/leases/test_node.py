"""A broker's lease node: unusable and senseless datagrams, bounds of commands."""

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


def node(**works: JobHandler) -> LeaseNode:
    idle = JobHandler(lambda now, value: None, lambda value, number, body: value, lambda held: None)
    return LeaseNode(
        ProcessId("A", 1),
        SETTINGS,
        LeaseVoter("A", SETTINGS, messages.VoterState("stepknot", "A", 1, {}, [])),
        works or {"j": idle},
        1,
        lambda name: True,
    )


def test_unusable_datagrams_are_counted_and_change_nothing() -> None:
    found, chance = node(), random.Random(1)
    good = messages.encode("stepknot", ProcessId("x", 1), messages.PrepareRequest("j", 1))
    bad = {
        "too long": [bytes(1201)],
        "malformed": [
            b"",
            b"\xc1",
            good[:-1],
            b"\x95" * 900,
            chance.randbytes(80),
            good.replace(b"j", b""),
        ],
        "another fleet": [
            messages.encode("other", ProcessId("x", 1), messages.PrepareRequest("j", 1))
        ],
        "another version": [good.replace(bytes([0x95, 1]), bytes([0x95, 2]), 1)],
    }
    for reason, datagrams in bad.items():
        for data in datagrams:
            found.receive(1.0, data)
        assert found.counters[f"dropped: {reason}"] == len(datagrams), reason
    assert found.voter is not None and not found.voter.jobs and not found.take_output().datagrams
    found.receive(1.0, good)
    assert "j" in found.voter.jobs


def test_well_formed_messages_in_any_order_raise_nothing_and_replies_fit_a_datagram() -> None:
    """Any message from anybody at any time: nothing is raised, and what is sent fits a datagram."""
    for seed in range(40):
        chance, found, now = random.Random(seed), node(), 0.0
        for _ in range(300):
            now += chance.choice([0.0, 0.05, 0.5, 3.0])
            one, two = chance.randrange(6), chance.randrange(4)
            held = messages.LedgerRecord(
                chance.randrange(6), chance.randrange(4), chance.randbytes(chance.randrange(9))
            )
            job, lives = chance.choice(["j", "other"]), {chance.choice("ABC"): chance.randrange(3)}
            message = chance.choice(
                [
                    messages.PrepareRequest(job, one, two),
                    messages.Promise(job, one, two, lives, held),
                    messages.Rejection(job, one, two, 50, "no"),
                    messages.RenewRequest(job, one, two, 1),
                    messages.RenewReply(job, one, two, 1, lives),
                    messages.AcceptRequest(job, two, held),
                    messages.Accepted(job, one, two, 1, lives),
                    messages.ReleaseNotice(job, one),
                    messages.HandoverOffer(job, one),
                    messages.CommitNotice(job, one, two, chance.choice([None, b"v"])),
                    messages.RecordQuery(job),
                    messages.RecordReport(job, two, lives, held, two),
                    messages.IncarnationQuery(),
                    messages.IncarnationReply(two),
                    messages.RecoveryRequest(two, ""),
                    messages.RecoveryReply(two, "", messages.VoterJobState(job, one, "x", 1, held)),
                    messages.CommandRequest(job, "n", b"body"),
                    messages.CommandReply(job, "n", "no"),
                ]
            )
            found.receive(
                now,
                messages.encode(
                    "stepknot", ProcessId(chance.choice("ABCxy"), chance.randrange(3)), message
                ),
            )
            found.tick(now, ["A", "B", "x"])
            assert all(
                len(each.data) <= MAX_DATAGRAM_BYTES for each in found.take_output().datagrams
            )


def test_commands_are_bounded_and_expire() -> None:
    found = node()
    for number in range(MAX_COMMANDS):
        found.submit_command(0.0, "j", f"n{number}", b"x")
    with pytest.raises(ValueError, match="wait already"):
        found.submit_command(0.0, "j", "one more", b"x")
    with pytest.raises(ValueError, match="no job"):
        found.submit_command(0.0, "k" * 10_000, "n", b"x")
    with pytest.raises(ValueError, match="900 at the most"):
        found.submit_command(0.0, "j", "n", bytes(901))
    found.tick(100.0, ["A"])
    assert (
        "no owner" in str(found.take_command_answer("n0"))
        and found.take_command_answer("n0") is None
    )
