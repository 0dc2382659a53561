"""A watch's bytes split into messages."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepknot.platform.errors import MalformedInputError
from stepknot.platform.watch_parser import (
    MAX_MESSAGE_BYTES,
    STRUCTURE,
    WatchParser,
    count_open_brackets,
)
from tests.platform.test_endpoint_list import LIST

pytestmark = pytest.mark.cpu_only

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_lines_are_the_same_however_chunks_and_bytes_are_cut() -> None:
    data = HEAD + chunk(b'{"a"') + chunk(b":1}\n\n") + chunk(b"x\n")
    for cut in range(1, len(data)):
        parser = WatchParser()
        assert parser.feed(data[:cut]) + parser.feed(data[cut:]) == [b'{"a":1}', b"", b"x"]
    assert parser.status == 200


def test_message_over_its_bound_and_other_than_http_raise() -> None:
    parser = WatchParser()
    parser.feed(HEAD)
    with pytest.raises(MalformedInputError):
        for _ in range(MAX_MESSAGE_BYTES // 65536 + 2):
            parser.feed(chunk(b"x" * 65536))
    with pytest.raises(MalformedInputError):
        WatchParser().feed(b"\x16\x03\x01\x02\x00")


INDENTED = orjson.dumps(LIST, option=orjson.OPT_INDENT_2)


def test_indented_messages_are_the_same_however_they_are_cut() -> None:
    data = (
        HEAD
        + chunk(INDENTED + b"\n\n")
        + chunk(b'{"x": "}\\"{"}\n' + INDENTED.replace(b"\n", b"\r\n") + b"\n")
    )
    for cut in range(1, len(data)):
        parser = WatchParser()
        found = [
            orjson.loads(each) if each else None
            for each in parser.feed(data[:cut]) + parser.feed(data[cut:])
        ]
        assert found == [LIST, None, {"x": '}"{'}, LIST]


def test_message_that_never_closes_its_brackets_raises_at_the_bound() -> None:
    parser = WatchParser()
    parser.feed(HEAD)
    with pytest.raises(MalformedInputError):
        for _ in range(MAX_MESSAGE_BYTES // 60_000 + 2):
            parser.feed(chunk(b"{\n" * 30_000))


@given(st.text('"{}[]\\a,', max_size=12))
def test_brackets_are_counted_as_the_tokens_of_the_line_say(line: str) -> None:
    values = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}
    tokens = STRUCTURE.findall(line.encode())
    assert count_open_brackets(line.encode()) == sum(values.get(token, 0) for token in tokens)
