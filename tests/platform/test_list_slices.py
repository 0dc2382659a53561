"""Long endpoint lists decoded in slices: the same values as at once."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from stepknot.platform.list_slices import SLICE_BYTES, decode_in_slices
from tests.platform.test_endpoint_list import LIST

pytestmark = pytest.mark.cpu_only

NODES = 5120  # 3,200, the most that a deployment has, while six in ten are replaced
TRICKY_TEXTS = ('},{"', "\\", "]}", '"servers":[', "ä\n", "}, {")


def rows(count: int) -> list[dict[str, Any]]:
    (row,) = LIST["servers"]  # type: ignore[misc]
    return [
        row | {"id": f"s-{number:08x}", "cell": number, "addr": f"10.1.{number >> 8}.9:9000"}
        for number in range(count)
    ]


def tricky_list(seed: int) -> dict[str, Any]:
    """Rows with nested objects and texts that look like the end of one; the keys in any order."""
    chance = random.Random(seed)
    found: dict[str, Any] = {"version": 41, "full": True}
    if chance.random() < 0.3:
        found["meta"] = {"servers": [1, {"a": 2}]}
    found["servers"] = [
        row | {chance.choice(TRICKY_TEXTS): [{"a": chance.choice(TRICKY_TEXTS)}, {"b": {}}]}
        if chance.random() < 0.5
        else row
        for row in rows(chance.choice((1, 200, 700)))
    ]
    if chance.random() < 0.5:
        found["later"] = {"servers": [1], "text": chance.choice(TRICKY_TEXTS)}
    return found


def joined(message: bytes) -> Any:
    *slices, last = decode_in_slices(message)
    before = [row for each in slices for row in each["servers"]]
    return last | {"servers": before + last["servers"]}


@pytest.mark.parametrize("seed", range(40))
def test_slices_are_the_same_as_the_message_decoded_at_once(seed: int) -> None:
    given = tricky_list(seed)
    for option in (0, orjson.OPT_INDENT_2):
        assert joined(orjson.dumps(given, option=option)) == given


def test_plain_list_is_decoded_in_slices_of_bounded_size() -> None:
    """A list was decoded as a whole, which takes eight times its bytes: a broker went over its memory limit."""
    slices = list(decode_in_slices(orjson.dumps(LIST | {"servers": rows(NODES)})))
    assert max(len(orjson.dumps(each)) for each in slices) < 2 * SLICE_BYTES


@pytest.mark.parametrize("seed", range(60))
def test_message_that_is_not_json_raises_as_it_does_at_once(seed: int) -> None:
    chance = random.Random(seed)
    data = bytearray(orjson.dumps(LIST | {"servers": rows(400)}))
    end_of_slice = data.index(b"[") + 1 + SLICE_BYTES
    search_from = chance.choice((end_of_slice, chance.randrange(len(data) - 1000)))
    place = data.index(b"},{", search_from) + chance.randrange(3)
    if chance.random() < 0.5:
        del data[place]
    else:
        data.insert(place, chance.choice(b'{}[],"'))
    with pytest.raises(orjson.JSONDecodeError):
        orjson.loads(data)
    with pytest.raises(orjson.JSONDecodeError):
        list(decode_in_slices(bytes(data)))
