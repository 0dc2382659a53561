"""The rolling drains job: commands, steps, bounds, and the endpoint list in which drained nodes are marked."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.leases import messages, rolling_drains
from stepknot.leases.errors import (
    CommandRejectedError,
)


def drain_node(zone: str, cell: int, live: bool = True) -> rolling_drains.DrainNode:
    return rolling_drains.DrainNode(zone, cell, live)


NODES = {f"a{cell}": drain_node("a", cell) for cell in range(4)} | {
    f"b{cell}": drain_node("b", cell) for cell in range(4)
}


def commanded(
    state: rolling_drains.DrainState,
    number: str,
    nodes: rolling_drains.DrainNodes = NODES,
    **command: Any,
) -> rolling_drains.DrainState:
    """The state after a command."""
    return rolling_drains.apply_command(state, number, msgspec.json.encode(command), nodes)


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(
        st.sampled_from(["step", "step", "step", "slow", "new holder", "lose", "join"]), max_size=60
    ),
)
def test_a_drain_respects_its_bound_drains_each_node_once_and_ends(
    at_most: int, events: list[str]
) -> None:
    nodes = dict(NODES)
    state = commanded(rolling_drains.DrainState(), "1", drain={"zone": "a", "at_most": at_most})
    drained: list[str] = []
    for event in [*events, *["step"] * 30]:
        if event == "lose":
            nodes.pop("a2", None)
        elif event == "join":
            nodes["a9"] = drain_node("a", 1)
        elif event == "new holder":
            state = rolling_drains.decode_state(rolling_drains.encode_state(state))
        else:
            after = rolling_drains.next_state(state, nodes, 0.0)
            if after is not None:
                assert (
                    len(after.drained) <= at_most
                    and len(set(after.drained) ^ set(state.drained)) <= 1
                )
                drained += [each for each in after.drained if each not in state.drained]
                state = after
    assert state.status == "done" and not state.drained and drained == sorted(set(drained))
    assert {"a0", "a1", "a3"} <= set(drained) <= {"a0", "a1", "a2", "a3", "a9"}


def test_a_repeated_command_is_applied_once() -> None:
    first = commanded(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    assert commanded(first, "1", drain={"zone": "a"}) is first
    with pytest.raises(CommandRejectedError, match="is running"):
        commanded(first, "2", drain={"zone": "b"})


def test_only_a_command_that_begins_a_drain_makes_its_first_step_due() -> None:
    begun = commanded(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    assert rolling_drains.begins_drain(rolling_drains.DrainState(), begun)
    assert not rolling_drains.begins_drain(
        begun, commanded(begun, "1", drain={"zone": "a"})
    )  # a repetition
    stopped = commanded(begun, "2", stop=True)
    assert not rolling_drains.begins_drain(begun, stopped) and not rolling_drains.begins_drain(
        stopped, commanded(stopped, "3", go_on=True)
    )
    assert not rolling_drains.begins_drain(begun, commanded(begun, "2", undo=True))


@pytest.mark.parametrize(
    ("command", "reason"),
    [
        ({"drain": {"zone": "c"}}, "no box in zone c; zones: a, b"),
        ({"undo": True}, "no drain runs"),
        ({"drain": {"zone": "a", "at_most": 0}}, "not understood"),
        ({"drain": {"zone": "a", "every": -1}}, "not understood"),
        ({"drain": {"zone": "z" * 10_000}}, "not understood"),
        ({}, "no drain runs"),
    ],
)
def test_an_invalid_command_is_rejected_with_the_reason(
    command: dict[str, Any], reason: str
) -> None:
    with pytest.raises(CommandRejectedError, match=reason):
        commanded(rolling_drains.DrainState(), "1", **command)


def test_the_last_node_of_a_cell_is_drained_with_force_only_and_halts_a_running_drain() -> None:
    without_b1 = {name: each for name, each in NODES.items() if name != "b1"}
    with pytest.raises(CommandRejectedError, match="a1 is the last box of cell 1"):
        commanded(rolling_drains.DrainState(), "1", without_b1, drain={"zone": "a"})
    forced = commanded(
        rolling_drains.DrainState(), "1", without_b1, drain={"zone": "a", "force": True}
    )
    assert forced.status == "running"
    state = commanded(rolling_drains.DrainState(), "1", drain={"zone": "a"})
    for _ in range(3):
        state = rolling_drains.next_state(state, without_b1, 0.0) or state
    assert state.status == "halted" and "a1 is the last box" in state.reason and not state.drained
    assert (rolling_drains.next_state(state, NODES, 0.0) or state).drained == ["a1"]


def test_failing_queries_halt_a_drain_until_they_succeed() -> None:
    state = commanded(rolling_drains.DrainState(), "1", drain={"zone": "a", "failing": 0.02})
    halted = rolling_drains.next_state(state, NODES, 0.05)
    assert (
        halted is not None and halted.status == "halted" and "5.0% of queries fail" in halted.reason
    )
    assert rolling_drains.next_state(halted, NODES, 0.05) is None
    again = rolling_drains.next_state(halted, NODES, 0.01)
    assert again is not None and again.status == "running" and again.drained == ["a0"]


def test_the_longest_record_fits_the_ledger_or_is_rejected() -> None:
    drained = [f"255.255.255.{number:03}:65535" for number in range(rolling_drains.MAX_DRAINED)]
    state = rolling_drains.DrainState(
        rolling_drains.DrainPlan("z" * 64, 16),
        "running",
        drained[-1],
        drained,
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


def test_drained_nodes_are_marked_in_the_list_and_removed_nodes_stay_removed() -> None:
    received: list[tuple[str, str]] = []
    listed = DrainedEndpoints(
        lambda event: received.extend((each.server, each.state.value) for each in event.entries)
    )
    listed.set_drained(["y"])  # before the first list
    listed.receive_list(
        ListReceived(ListKind.FULL, (entry("x"), entry("y"), entry("z", ServerState.DRAINING)))
    )
    assert received == [("x", "live"), ("y", "draining"), ("z", "draining")]
    received.clear()
    listed.set_drained(["x", "z"])
    assert received == [("x", "draining"), ("y", "live"), ("z", "draining")]
    received.clear()
    listed.receive_list(ListReceived(ListKind.CHANGES, (entry("x", ServerState.GONE),)))
    listed.set_drained([])
    assert received == [("x", "gone"), ("z", "draining")]
    listed.receive_list(ListReceived(ListKind.CHANGES, (entry("x"),)))
    assert received[-1] == ("x", "live")
