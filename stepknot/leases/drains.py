"""The first job: rolling drains. What an operator ordered, where it stands, and the next step, as one small record.

A step takes one box out, or gives the one that is out longest back. Boxes go in the order of their addresses, from the
last one taken out on, so that none goes twice and none is left out; a box that joins behind that place while the drain
runs is not part of it. Never more than `at_most` are out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from stepknot.leases.model import MOST_VALUE

JOB = "drains"
MOST_OUT = 16
REMEMBERED = 8  # orders whose answer is still known


class Refused(Exception):
    """An order that cannot be taken; its text says why."""


class Drain(msgspec.Struct, frozen=True):
    zone: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    at_most: Annotated[int, msgspec.Meta(ge=1, le=MOST_OUT)] = 1
    every: Annotated[float, msgspec.Meta(ge=0.1, le=86400.0)] = 5.0
    failing: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = (
        1.0  # beyond this share of failed queries it halts
    )
    force: bool = False  # also where a box is the last one of its cell


class Word(msgspec.Struct, frozen=True):
    """What an operator says: one of these."""

    drain: Drain | None = None
    stop: bool = False  # no further step; what is out stays out
    go_on: bool = False
    undo: bool = False  # all back at once


class State(msgspec.Struct, array_like=True, frozen=True):
    """The ledger's record."""

    drain: Drain | None = None
    status: Annotated[str, msgspec.Meta(max_length=8)] = (
        "none"  # running, halted, stopped, done, undone
    )
    cursor: Annotated[str, msgspec.Meta(max_length=64)] = ""  # the box that was taken out last
    out: Annotated[
        list[Annotated[str, msgspec.Meta(max_length=64)]], msgspec.Meta(max_length=MOST_OUT)
    ] = []
    steps: int = 0
    why: Annotated[str, msgspec.Meta(max_length=120)] = ""
    orders: Annotated[list[str], msgspec.Meta(max_length=REMEMBERED)] = []


@dataclass(frozen=True, slots=True)
class Box:
    zone: str
    cell: int
    live: bool  # by the list


Boxes = Mapping[str, Box]
decode_word = msgspec.json.Decoder(Word)
encode_word = msgspec.json.Encoder()
decoder, encoder = msgspec.msgpack.Decoder(State), msgspec.msgpack.Encoder()


def read(value: bytes) -> State:
    """Raises msgspec.DecodeError where it is none of this version's."""
    return decoder.decode(value) if value else State()


def pack(state: State) -> bytes:
    found = encoder.encode(state)
    if len(found) > MOST_VALUE:
        raise Refused(
            f"the record would take {len(found)} bytes of {MOST_VALUE}: fewer boxes at once"
        )
    return found


def last_of_its_cell(boxes: Boxes, out: list[str], address: str) -> bool:
    """Whether nobody else would serve its part of the data."""
    cell = boxes[address].cell
    return not any(
        each.live and each.cell == cell and other != address and other not in out
        for other, each in boxes.items()
    )


def ordered(state: State, number: str, body: bytes, boxes: Boxes) -> State:
    """The record once this order is taken. Raises Refused."""
    if number in state.orders:
        return state
    try:
        word = decode_word.decode(body)
    except msgspec.DecodeError as error:
        raise Refused(f"not understood: {error}") from None
    orders = [*state.orders, number][-REMEMBERED:]
    active = state.status in ("running", "halted", "stopped")
    if word.drain is not None:
        drain = word.drain
        if active:
            assert state.drain is not None
            raise Refused(
                f"a drain of zone {state.drain.zone} is {state.status}: undo it, or let it end"
            )
        zone = [address for address, box in boxes.items() if box.zone == drain.zone]
        if not zone:
            known = ", ".join(sorted({box.zone for box in boxes.values()})) or "none"
            raise Refused(f"no box in zone {drain.zone}; zones: {known}")
        last = [each for each in zone if boxes[each].live and last_of_its_cell(boxes, [], each)]
        if last and not drain.force:
            raise Refused(
                f"{min(last)} is the last box of cell {boxes[min(last)].cell}: with force only"
            )
        return State(drain, "running", orders=orders)
    if not active:
        raise Refused(f"no drain runs: {state.status}")
    if word.undo:
        return change(state, status="undone", out=[], why="an operator's word", orders=orders)
    if word.stop:
        return change(state, status="stopped", why="an operator's word", orders=orders)
    if word.go_on:
        return change(state, status="running", why="", orders=orders)
    raise Refused("nothing was asked")


def change(state: State, **fields: object) -> State:
    return msgspec.structs.replace(state, **fields)


def next_step(state: State, boxes: Boxes, failing: float) -> State | None:
    """The record after the next step, when its time has come; none: nothing to do. `failing`: the share of queries that
    fail by the owner's own count."""
    drain = state.drain
    if drain is None or state.status not in ("running", "halted"):
        return None
    if failing > drain.failing:
        if state.status == "halted":
            return None
        return change(
            state, status="halted", why=f"{failing:.1%} of queries fail, over {drain.failing:.1%}"
        )
    state = change(state, status="running", why="")
    left = sorted(
        address
        for address, box in boxes.items()
        if box.zone == drain.zone and box.live and address > state.cursor
    )
    if state.out and (len(state.out) >= drain.at_most or not left):
        return change(state, out=state.out[1:], steps=state.steps + 1)
    if not left:
        return change(state, status="done", steps=state.steps + 1)
    if last_of_its_cell(boxes, state.out, left[0]) and not drain.force:
        if state.out:
            return change(state, out=state.out[1:], steps=state.steps + 1)
        return change(
            state, status="halted", why=f"{left[0]} is the last box of cell {boxes[left[0]].cell}"
        )
    return change(state, out=[*state.out, left[0]], cursor=left[0], steps=state.steps + 1)


def begins(before: State, after: State) -> bool:
    """Whether an order has begun a drain: its first step need not wait. No other order shortens a box's time."""
    return after.status == "running" and (before.drain is not after.drain) and not after.out


def pause_after(state: State) -> float:
    """Seconds until the next step."""
    return state.drain.every if state.drain is not None else 1.0
