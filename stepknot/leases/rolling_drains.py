"""The rolling drains job: it drains a zone's nodes a few at a time. Plan and progress are one small ledger record.

A step drains one node, or returns to service the node that has been drained longest. Nodes are drained in the order of
their addresses, so that none is drained twice and none is left out. A node that joins the zone later is drained only if
its address follows that of the node drained last. At most `max_drained` nodes are drained at a time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec

from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.messages import MAX_VALUE_BYTES

JOB_NAME = "drains"
MAX_DRAINED = 16
MAX_REMEMBERED_COMMANDS = 8  # number of the latest commands whose repetition is recognized
IDLE_CHECK_SECONDS = 1.0  # interval between two checks for a step while there is no plan
OPERATOR_REASON = "an operator's word"  # stored in ledger records
Address = Annotated[str, msgspec.Meta(max_length=64)]


class DrainStatus(StrEnum):
    """The status of the last drain that was commanded."""

    NONE = "none"
    RUNNING = "running"
    HALTED = "halted"  # paused by a condition; it resumes automatically
    STOPPED = "stopped"  # paused by an operator
    DONE = "done"
    UNDONE = "undone"


ACTIVE_STATUSES = (DrainStatus.RUNNING, DrainStatus.HALTED, DrainStatus.STOPPED)


class DrainPlan(msgspec.Struct, frozen=True):
    """An operator's plan to drain all nodes of a zone, a few at a time."""

    zone: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    max_drained: Annotated[int, msgspec.Meta(ge=1, le=MAX_DRAINED)] = msgspec.field(
        default=1, name="at_most"
    )
    step_seconds: Annotated[float, msgspec.Meta(ge=0.1, le=86400.0)] = msgspec.field(
        default=5.0, name="every"
    )
    # The drain halts while a greater fraction of queries fails.
    max_failing: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = msgspec.field(
        default=1.0, name="failing"
    )
    force: bool = False  # also drain the last live node of a cell


class DrainCommand(msgspec.Struct, frozen=True):
    """An operator's command: one of these fields is set."""

    drain: DrainPlan | None = None
    stop: bool = False  # take no further step; drained nodes stay drained
    resume: bool = msgspec.field(default=False, name="go_on")
    undo: bool = False  # end the drain and return all nodes to service at once


class DrainState(msgspec.Struct, array_like=True, frozen=True):
    """The ledger record. The order of fields is the stored format."""

    plan: DrainPlan | None = None
    status: Annotated[str, msgspec.Meta(max_length=8)] = DrainStatus.NONE.value  # a `DrainStatus`
    cursor: Address = ""  # the node that was drained last
    drained: Annotated[list[Address], msgspec.Meta(max_length=MAX_DRAINED)] = []
    step_count: int = 0
    reason: Annotated[str, msgspec.Meta(max_length=120)] = ""
    command_numbers: Annotated[list[str], msgspec.Meta(max_length=MAX_REMEMBERED_COMMANDS)] = []

    @property
    def is_active(self) -> bool:
        """Whether a drain has begun and has not ended."""
        return self.status in ACTIVE_STATUSES


@dataclass(frozen=True, slots=True)
class DrainNode:
    """A node of the endpoint list. Nodes of the same cell serve the same partition of the data."""

    zone: str
    cell: int
    is_live: bool  # according to the list


DrainNodes = Mapping[str, DrainNode]  # by address
_command_decoder = msgspec.json.Decoder(DrainCommand)
_state_decoder = msgspec.msgpack.Decoder(DrainState)
_state_encoder = msgspec.msgpack.Encoder()


def decode_state(value: bytes) -> DrainState:
    """Decode the value of a ledger record; an empty value stands for the state before the first command.

    Raises:
        msgspec.DecodeError: The value is not an encoded `DrainState` as this version of the code defines it.
    """
    return _state_decoder.decode(value) if value else DrainState()


def encode_state(state: DrainState) -> bytes:
    """Encode the state as the value of a ledger record.

    Raises:
        CommandRejectedError: The encoded state is longer than `MAX_VALUE_BYTES`.
    """
    value = _state_encoder.encode(state)
    if len(value) > MAX_VALUE_BYTES:
        raise CommandRejectedError(
            f"the record would take {len(value)} bytes of {MAX_VALUE_BYTES}: fewer boxes at once"
        )
    return value


def apply_command(state: DrainState, number: str, body: bytes, nodes: DrainNodes) -> DrainState:
    """The state after an operator's command.

    A command whose number is among those of the latest `MAX_REMEMBERED_COMMANDS` commands changes nothing.

    Args:
        state: The committed state.
        number: The command's number, which stays the same when the command is sent again.
        body: A `DrainCommand` in JSON.
        nodes: The nodes of the lease holder's endpoint list, by address.

    Raises:
        CommandRejectedError: The command is malformed or cannot be carried out now.
    """
    if number in state.command_numbers:
        return state
    try:
        command = _command_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise CommandRejectedError(f"not understood: {error}") from error
    numbers = [*state.command_numbers, number][-MAX_REMEMBERED_COMMANDS:]
    if command.drain is not None:
        return _begin_drain(state, command.drain, numbers, nodes)
    if not state.is_active:
        raise CommandRejectedError(f"no drain runs: {state.status}")
    if command.undo:
        return _replace(
            state,
            status=DrainStatus.UNDONE,
            drained=[],
            reason=OPERATOR_REASON,
            command_numbers=numbers,
        )
    if command.stop:
        return _replace(
            state, status=DrainStatus.STOPPED, reason=OPERATOR_REASON, command_numbers=numbers
        )
    if command.resume:
        return _replace(state, status=DrainStatus.RUNNING, reason="", command_numbers=numbers)
    raise CommandRejectedError("nothing was asked")


def next_state(state: DrainState, nodes: DrainNodes, failing: float) -> DrainState | None:
    """The state after the next step.

    Args:
        state: The committed state.
        nodes: The nodes of the lease holder's endpoint list, by address.
        failing: The fraction of queries that fail at the lease holder.

    Returns:
        The next state; None if nothing changes.
    """
    plan = state.plan
    if plan is None or state.status not in (DrainStatus.RUNNING, DrainStatus.HALTED):
        return None
    if failing > plan.max_failing:
        if state.status == DrainStatus.HALTED:
            return None
        reason = f"{failing:.1%} of queries fail, over {plan.max_failing:.1%}"
        return _replace(state, status=DrainStatus.HALTED, reason=reason)
    state = _replace(state, status=DrainStatus.RUNNING, reason="")
    remaining = sorted(
        address
        for address, node in nodes.items()
        if node.zone == plan.zone and node.is_live and address > state.cursor
    )
    if state.drained and (len(state.drained) >= plan.max_drained or not remaining):
        return _restore_first(state)
    if not remaining:
        return _replace(state, status=DrainStatus.DONE, step_count=state.step_count + 1)
    address = remaining[0]
    if _is_last_of_cell(nodes, state.drained, address) and not plan.force:
        if state.drained:
            return _restore_first(state)
        reason = f"{address} is the last box of cell {nodes[address].cell}"
        return _replace(state, status=DrainStatus.HALTED, reason=reason)
    return _replace(
        state,
        drained=[*state.drained, address],
        cursor=address,
        step_count=state.step_count + 1,
    )


def begins_drain(before: DrainState, after: DrainState) -> bool:
    """Whether a command has begun a drain, so that its first step is due soon."""
    is_new_plan = before.plan is not after.plan
    return after.status == DrainStatus.RUNNING and is_new_plan and not after.drained


def seconds_until_next_step(state: DrainState) -> float:
    """The pause after a step, which is how long a node stays drained."""
    return state.plan.step_seconds if state.plan is not None else IDLE_CHECK_SECONDS


def _begin_drain(
    state: DrainState, plan: DrainPlan, numbers: list[str], nodes: DrainNodes
) -> DrainState:
    """The first state of a drain.

    Raises:
        CommandRejectedError: Another drain is active, the zone has no node, or a cell would lose its last live node.
    """
    if state.is_active:
        assert state.plan is not None
        raise CommandRejectedError(
            f"a drain of zone {state.plan.zone} is {state.status}: undo it, or let it end"
        )
    in_zone = [address for address, node in nodes.items() if node.zone == plan.zone]
    if not in_zone:
        known = ", ".join(sorted({node.zone for node in nodes.values()})) or "none"
        raise CommandRejectedError(f"no box in zone {plan.zone}; zones: {known}")
    last = [each for each in in_zone if nodes[each].is_live and _is_last_of_cell(nodes, [], each)]
    if last and not plan.force:
        address = min(last)
        raise CommandRejectedError(
            f"{address} is the last box of cell {nodes[address].cell}: with force only"
        )
    return DrainState(plan, DrainStatus.RUNNING, command_numbers=numbers)


def _is_last_of_cell(nodes: DrainNodes, drained: list[str], address: str) -> bool:
    """Whether no other live node that is not drained serves this node's partition of the data."""
    cell = nodes[address].cell
    return not any(
        node.is_live and node.cell == cell and other != address and other not in drained
        for other, node in nodes.items()
    )


def _restore_first(state: DrainState) -> DrainState:
    """Return to service the node that has been drained longest."""
    return _replace(state, drained=state.drained[1:], step_count=state.step_count + 1)


def _replace(state: DrainState, **fields: object) -> DrainState:
    return msgspec.structs.replace(state, **fields)
