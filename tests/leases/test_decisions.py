"""Ownership's decisions fed by hand and by hypothesis: the voter's disk, fences, drains, settings, bad input."""

from __future__ import annotations

import random
import resource
import subprocess
import sys
import textwrap
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.broker.voter_store import (
    MAGIC,
    LoadedState,
    VoterStore,
    checksum,
    decode_state,
    encode_state,
)
from stepknot.config.hcl import ConfigError
from stepknot.config.settings import load
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.leases import messages, rolling_drains
from stepknot.leases.candidate import LeaseCandidate, Phase
from stepknot.leases.commands import MAX_COMMANDS
from stepknot.leases.errors import (
    CommandRejectedError,
    DamagedVoterStateError,
    VoterStateMismatchError,
)
from stepknot.leases.fence import Fence
from stepknot.leases.job import JobHandler
from stepknot.leases.node import LeaseNode
from stepknot.leases.placement import rank_members
from stepknot.leases.quorum import valid_voters
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.wire import MAX_DATAGRAM_BYTES
from stepknot.simulation.fleet import settings_text

SETTINGS = LeaseSettings(("A", "B", "C"))
SAVED = messages.VoterState(
    "stepknot",
    "A",
    3,
    {"A": 3, "B": 1, "C": 2},
    [messages.VoterJobState("drains", 7, "b1", 5, messages.LedgerRecord(6, 2, b"xyz"))],
)


# --- the disk


def test_a_state_that_is_cut_or_flipped_at_any_byte_is_a_lost_memory_and_is_put_aside(
    tmp_path: Path,
) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    whole = encode_state(SAVED)
    for at in range(len(whole)):
        for data in (whole[:at], whole[:at] + bytes([whole[at] ^ 0x20]) + whole[at + 1 :]):
            store.path.write_bytes(data)
            loaded = store.load()
            assert loaded.state is None and loaded.loss_reason and not store.path.exists()
            assert store.path.with_suffix(".damaged").read_bytes() == data
    store.save(whole)
    assert store.load() == LoadedState(SAVED)


def test_a_write_that_was_cut_short_leaves_the_state_before(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    store.save(encode_state(SAVED))
    store.path.with_suffix(".new").write_bytes(
        encode_state(SAVED)[:20]
    )  # what a death in the middle leaves
    assert store.load() == LoadedState(SAVED)


@pytest.mark.parametrize(("fleet", "voter"), [("other", "A"), ("stepknot", "B")])
def test_anothers_state_is_neither_used_nor_put_aside(
    tmp_path: Path, fleet: str, voter: str
) -> None:
    VoterStore(tmp_path, "stepknot", "A").save(encode_state(SAVED))
    store = VoterStore(tmp_path, fleet, voter)
    with pytest.raises(VoterStateMismatchError, match="voter A in fleet stepknot"):
        store.load()
    assert store.path.exists()


def test_a_newer_versions_state_is_neither_used_nor_put_aside(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    body = encode_state(SAVED)[len(MAGIC) + 2 + 16 :]
    store.path.write_bytes(MAGIC + b"2\n" + checksum(b"2\n", body) + body)
    with pytest.raises(VoterStateMismatchError, match="another version"):
        store.load()
    assert store.path.exists()


def test_a_voter_begins_once(tmp_path: Path) -> None:
    store = VoterStore(tmp_path / "new", "stepknot", "A")
    store.bootstrap()
    with pytest.raises(FileExistsError):
        store.bootstrap()
    store.path.write_bytes(b"damaged")
    store.load()
    with pytest.raises(FileExistsError):  # what it promised is unknown: it is not to begin anew
        store.bootstrap()


def test_a_full_disk_is_an_error_and_keeps_the_state_before(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    store.save(encode_state(SAVED))
    code = f"""
        import resource, signal
        from pathlib import Path
        from stepknot.broker.voter_store import VoterStore
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (50, 50))
        try:
            VoterStore(Path({str(tmp_path)!r}), "stepknot", "A").save(b"x" * 100)
        except OSError as error:
            raise SystemExit(7)
    """
    assert subprocess.run([sys.executable, "-c", textwrap.dedent(code)], timeout=30).returncode == 7
    assert store.load() == LoadedState(SAVED) and resource.getrlimit(resource.RLIMIT_FSIZE)[0] != 50


@given(st.binary(max_size=200))
def test_whatever_stands_on_disk_is_a_state_or_a_word_about_it(data: bytes) -> None:
    with pytest.raises(Exception) as caught:
        decode_state(data)
    assert type(caught.value) in (DamagedVoterStateError, VoterStateMismatchError)


def test_a_full_state_fits_what_is_read() -> None:
    jobs = [
        messages.VoterJobState(
            "j" * 62 + f"{number:02}",
            messages.MAX_EPOCH - 1,
            "h" * 64,
            2**62,
            messages.LedgerRecord(messages.MAX_EPOCH - 1, 2**49, bytes(messages.MAX_VALUE_BYTES)),
        )
        for number in range(messages.MAX_JOBS)
    ]
    saved = messages.VoterState(
        "f" * 64, "A", 2**30, {"n" * 63 + f"{number}": 2**30 for number in range(7)}, jobs
    )
    assert len(encode_state(saved)) < 100_000 and decode_state(encode_state(saved)) == saved


# --- voters and fences


def test_a_voter_takes_no_more_jobs_than_the_bound_and_says_so() -> None:
    voter = LeaseVoter("A", SETTINGS, messages.VoterState("stepknot", "A", 1, {}, []))
    answers = [
        voter.receive(1.0, ProcessId("x", 1), messages.PrepareRequest(f"job{number}", 1))
        for number in range(messages.MAX_JOBS + 5)
    ]
    assert [type(each).__name__ for each in answers] == ["Promise"] * messages.MAX_JOBS + [
        "Rejection"
    ] * 5
    assert len(voter.jobs) == messages.MAX_JOBS


def test_a_voter_that_lost_its_memory_is_silent_until_most_others_told_it() -> None:
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
        assert voter.recovery is not None  # one of the others is not enough
        voter.receive(0.1, ProcessId(name, 1), messages.RecoveryReply(5, "j", None))
    assert voter.recovery is None and voter.incarnation == 5 and voter.unsaved
    early = voter.receive(0.2, ProcessId("y", 1), messages.PrepareRequest("j", 9))
    assert (
        isinstance(early, messages.Rejection) and early.retry_after_ms >= 1900
    )  # a lease has to pass first
    late = voter.receive(
        0.2 + SETTINGS.voter_lease_seconds, ProcessId("y", 1), messages.PrepareRequest("j", 9)
    )
    assert isinstance(late, messages.Promise) and late.record == messages.LedgerRecord(8, 2, b"v")


def test_a_late_grant_with_a_later_record_ends_the_epoch() -> None:
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    for voter in ("A", "B"):
        candidate.receive(0.1, voter, messages.Promise("j", 1, 1, {}, messages.LedgerRecord()))
    assert candidate.phase is Phase.HOLDING
    candidate.receive(
        0.2, "C", messages.Promise("j", 1, 1, {}, messages.LedgerRecord(0, 9, b"later"))
    )
    assert candidate.phase is Phase.IDLE and "C holds a later record" in candidate.reason


def test_one_refusal_does_not_end_a_claim_that_a_majority_may_grant() -> None:
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    candidate.receive(0.1, "A", messages.Rejection("j", 1, 0, 2000, "its start"))
    assert candidate.phase is Phase.ELECTING
    for voter in ("B", "C"):
        candidate.receive(0.1, voter, messages.Promise("j", 1, 1, {}, messages.LedgerRecord()))
    assert candidate.phase is Phase.HOLDING


def test_a_claim_that_no_majority_can_grant_ends_at_once_and_waits_until_one_would() -> None:
    candidate = LeaseCandidate("j", ProcessId("x", 1), SETTINGS, 1)
    candidate.start_election(0.0)
    candidate.receive(0.1, "A", messages.Rejection("j", 1, 0, 9000, "a lease runs"))
    candidate.receive(0.1, "B", messages.Rejection("j", 1, 0, 1500, "a lease runs"))
    assert candidate.phase is Phase.IDLE and 1.6 <= candidate.backoff.next_election_at <= 3.0
    assert ("C", messages.ReleaseNotice("j", 1)) in candidate.outbox


def holds(
    version: tuple[int, int], committed: int = 0, life: int = 1, **lives: int
) -> messages.RecordReport:
    return messages.RecordReport("j", life, lives, messages.LedgerRecord(*version, b"v"), committed)


def test_a_fence_takes_nothing_before_a_majority_told_and_nothing_older_after() -> None:
    fence = Fence(2)
    assert not fence.record_report("A", holds((3, 4), 4)) and not fence.ready
    assert fence.record_report("B", holds((3, 2), 2)) and fence.newest == messages.LedgerRecord(
        3, 4, b"v"
    )
    assert (
        not fence.admit(messages.LedgerRecord(3, 4, b"v"))
        and not fence.admit(messages.LedgerRecord(2, 9, b"v"))
        and fence.rejected_count == 1
    )
    assert fence.admit(messages.LedgerRecord(4, 1, b"v"))


def test_a_fence_waits_where_the_newest_may_or_may_not_count() -> None:
    fence = Fence(2)
    fence.record_report("A", holds((3, 5), 4))
    assert (
        not fence.record_report("B", holds((3, 4), 4)) and not fence.ready
    )  # one before may have taken (3, 5)
    assert fence.record_report("C", holds((3, 5), 4)) and fence.newest == messages.LedgerRecord(
        3, 5, b"v"
    )


def test_an_answer_from_before_a_memory_was_lost_does_not_count() -> None:
    assert valid_voters(
        {"A": holds((1, 1), life=1), "B": holds((1, 1), A=2), "C": holds((1, 1), A=1)}
    ) == ["B", "C"]


def test_jobs_spread_and_a_member_more_moves_only_its_own() -> None:
    names = [f"b{number}" for number in range(10)]
    first = {f"job{number}": rank_members(f"job{number}", names)[0] for number in range(300)}
    after = {job: rank_members(job, [*names, "b10"])[0] for job in first}
    moved = [job for job in first if after[job] != first[job]]
    assert all(after[job] == "b10" for job in moved) and 10 <= len(moved) <= 50
    assert max(list(first.values()).count(name) for name in names) <= 60


# --- datagrams


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


def test_what_is_absurd_is_counted_and_changes_nothing() -> None:
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


def test_whatever_is_well_formed_but_makes_no_sense_is_borne() -> None:
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


def test_orders_are_bounded_and_end_in_time() -> None:
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


# --- drains


def box(zone: str, cell: int, live: bool = True) -> rolling_drains.DrainNode:
    return rolling_drains.DrainNode(zone, cell, live)


BOXES = {f"a{cell}": box("a", cell) for cell in range(4)} | {
    f"b{cell}": box("b", cell) for cell in range(4)
}


def ordered(
    state: rolling_drains.DrainState,
    number: str,
    boxes: rolling_drains.DrainNodes = BOXES,
    **word: Any,
) -> rolling_drains.DrainState:
    return rolling_drains.apply_command(state, number, msgspec.json.encode(word), boxes)


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(
        st.sampled_from(["step", "step", "step", "slow", "new owner", "lose", "join"]), max_size=60
    ),
)
def test_no_more_are_out_than_asked_each_goes_once_and_the_end_is_reached(
    at_most: int, events: list[str]
) -> None:
    boxes = dict(BOXES)
    state = ordered(rolling_drains.DrainState(), "1", drain={"zone": "a", "at_most": at_most})
    gone: list[str] = []
    for event in [*events, *["step"] * 30]:
        if event == "lose":
            boxes.pop("a2", None)
        elif event == "join":
            boxes["a9"] = box("a", 1)
        elif event == "new owner":
            state = rolling_drains.decode_state(rolling_drains.encode_state(state))
        else:
            after = rolling_drains.next_state(state, boxes, 0.0)
            if after is not None:
                assert (
                    len(after.drained) <= at_most
                    and len(set(after.drained) ^ set(state.drained)) <= 1
                )
                gone += [each for each in after.drained if each not in state.drained]
                state = after
    assert state.status == "done" and not state.drained and gone == sorted(set(gone))
    assert {"a0", "a1", "a3"} <= set(gone) <= {"a0", "a1", "a2", "a3", "a9"}


def test_an_order_said_twice_is_taken_once() -> None:
    first = ordered(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    assert ordered(first, "1", drain={"zone": "a"}) is first
    with pytest.raises(CommandRejectedError, match="is running"):
        ordered(first, "2", drain={"zone": "b"})


def test_only_an_order_that_begins_a_drain_makes_its_first_step_due() -> None:
    begun = ordered(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    assert rolling_drains.begins_drain(rolling_drains.DrainState(), begun)
    assert not rolling_drains.begins_drain(
        begun, ordered(begun, "1", drain={"zone": "a"})
    )  # said again
    stopped = ordered(begun, "2", stop=True)
    assert not rolling_drains.begins_drain(begun, stopped) and not rolling_drains.begins_drain(
        stopped, ordered(stopped, "3", go_on=True)
    )
    assert not rolling_drains.begins_drain(begun, ordered(begun, "2", undo=True))


@pytest.mark.parametrize(
    ("word", "reason"),
    [
        ({"drain": {"zone": "c"}}, "no box in zone c; zones: a, b"),
        ({"undo": True}, "no drain runs"),
        ({"drain": {"zone": "a", "at_most": 0}}, "not understood"),
        ({"drain": {"zone": "a", "every": -1}}, "not understood"),
        ({"drain": {"zone": "z" * 10_000}}, "not understood"),
        ({}, "no drain runs"),
    ],
)
def test_an_order_that_makes_no_sense_is_refused_with_the_reason(
    word: dict[str, Any], reason: str
) -> None:
    with pytest.raises(CommandRejectedError, match=reason):
        ordered(rolling_drains.DrainState(), "1", **word)


def test_the_last_box_of_a_cell_goes_with_force_only_and_one_that_became_it_halts_the_drain() -> (
    None
):
    few = {name: each for name, each in BOXES.items() if name != "b1"}
    with pytest.raises(CommandRejectedError, match="a1 is the last box of cell 1"):
        ordered(rolling_drains.DrainState(), "1", few, drain={"zone": "a"})
    forced = ordered(rolling_drains.DrainState(), "1", few, drain={"zone": "a", "force": True})
    assert forced.status == "running"
    state = ordered(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    for _ in range(3):
        state = rolling_drains.next_state(state, few, 0.0) or state
    assert state.status == "halted" and "a1 is the last box" in state.reason and not state.drained
    assert (rolling_drains.next_state(state, BOXES, 0.0) or state).drained == ["a1"]


def test_failing_queries_halt_it_and_it_goes_on_when_they_do_not() -> None:
    state = ordered(rolling_drains.DrainState(), "1", drain={"zone": "a", "failing": 0.02})
    halted = rolling_drains.next_state(state, BOXES, 0.05)
    assert (
        halted is not None and halted.status == "halted" and "5.0% of queries fail" in halted.reason
    )
    assert rolling_drains.next_state(halted, BOXES, 0.05) is None
    again = rolling_drains.next_state(halted, BOXES, 0.01)
    assert again is not None and again.status == "running" and again.drained == ["a0"]


def test_the_longest_record_fits_the_ledger_or_is_refused() -> None:
    out = [f"255.255.255.{number:03}:65535" for number in range(rolling_drains.MAX_DRAINED)]
    state = rolling_drains.DrainState(
        rolling_drains.DrainPlan("z" * 64, 16),
        "running",
        out[-1],
        out,
        10**6,
        "w" * 120,
        ["n" * 32] * 8,
    )
    with pytest.raises(CommandRejectedError, match="fewer boxes at once"):
        rolling_drains.encode_state(msgspec.structs.replace(state, drained=["x" * 64] * 16))
    assert (
        len(
            rolling_drains.encode_state(
                msgspec.structs.replace(state, command_numbers=["n" * 16] * 8)
            )
        )
        <= messages.MAX_VALUE_BYTES
    )


def entry(name: str, state: ServerState = ServerState.LIVE) -> ServerEntry:
    return ServerEntry(name, "a", 0, state)


def test_the_ledgers_drains_lie_over_the_list_and_what_it_says_gone_stays_gone() -> None:
    heard: list[tuple[str, str]] = []
    listed = DrainedEndpoints(
        lambda event: heard.extend((each.server, each.state.value) for each in event.entries)
    )
    listed.set_drained(["y"])  # before the first list
    listed.receive_list(
        ListReceived(ListKind.FULL, (entry("x"), entry("y"), entry("z", ServerState.DRAINING)))
    )
    assert heard == [("x", "live"), ("y", "draining"), ("z", "draining")]
    heard.clear()
    listed.set_drained(["x", "z"])
    assert heard == [("x", "draining"), ("y", "live"), ("z", "draining")]
    heard.clear()
    listed.receive_list(ListReceived(ListKind.CHANGES, (entry("x", ServerState.GONE),)))
    listed.set_drained([])
    assert heard == [("x", "gone"), ("z", "draining")]
    listed.receive_list(ListReceived(ListKind.CHANGES, (entry("x"),)))
    assert heard[-1] == ("x", "live")


# --- settings


def config(tmp_path: Path, block: str, name: str = "b0") -> Any:
    peers = f'peers {{\n  name = "{name}"\n  listen = "127.0.0.1:9600"\n}}\n\n'
    path = tmp_path / "broker.hcl"
    path.write_text(
        settings_text(
            port=1, admin=2, graph=3, peers=peers, ownership=f"ownership {{\n{block}\n}}\n\n"
        )
    )
    return load(path)


def test_the_block_is_read_and_only_a_voter_has_a_folder(tmp_path: Path) -> None:
    block = '  voters = ["b0", "b1", "b2"]\n  state = "votes"\n  lease = "3s"\n  drift = 0.1'
    found = config(tmp_path, block).owners
    assert found.state_folder == tmp_path / "votes" and found.settings.lease_seconds == 3.0
    assert found.settings.voter_lease_seconds > found.settings.holder_lease_seconds
    assert config(tmp_path, block, name="b7").owners.state_folder is None
    assert config(tmp_path, block + "\n  enabled = false").owners is None


@pytest.mark.parametrize(
    ("block", "expected"),
    [
        ('voters = ["b0", "b1"]', "ownership.voters: expected 3, 5 or 7"),
        ('voters = ["b0", "b1", "b1"]', "ownership.voters: expected each voter once"),
        ('voters = "b0"', "expected a list of names"),
        ('voters = ["b0", "b1", "b2"]', "ownership.state: missing"),
        ('voters = ["b1", "b2", "b3"]\n  lease = "1ms"', "ownership.lease: expected from"),
        ('voters = ["b1", "b2", "b3"]\n  drift = 0.5', "ownership.drift"),
        ('voters = ["b1", "b2", "b3"]\n  quorum = 2', "unknown; known here"),
    ],
)
def test_wrong_settings_are_told_with_line_and_key(
    tmp_path: Path, block: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        config(tmp_path, block)
    assert expected in str([str(each) for each in caught.value.problems])


@pytest.mark.parametrize("module", ["stepknot.platform.service", "stepknot.broker.service"])
def test_without_the_block_its_decisions_are_not_loaded(module: str) -> None:
    code = (
        f"import sys, {module}; sys.exit(any(name in sys.modules for name in ('stepknot.broker.lease_driver', "
        "'stepknot.leases.node', 'stepknot.broker.voter_store')))"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
