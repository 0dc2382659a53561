"""Bounds on what a parser keeps: lines that do not end, requests that were rejected, small pieces."""

from __future__ import annotations

import gc
import random
import weakref
from collections.abc import Iterator

import pytest

from stepknot.net.errors import HttpError
from stepknot.net.http import HttpLimits, ServerParser
from stepknot.net.response_parser import MAX_RESPONSE_LINE_BYTES, ClientParser
from stepknot.platform.errors import WatchError
from stepknot.platform.watch_parser import MAX_HEAD_BYTES, WatchParser

pytestmark = pytest.mark.cpu_only

LIMITS = HttpLimits(header=8 * 1024, url=1024, body=64 * 1024)
HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS = {
    "header value": (HEAD + b"x-more: ", b"a"),
    "header name": (HEAD, b"a"),
    "folded header": (HEAD + b"x-more: a", b"\r\n a"),
    "first header's value": (b"POST /x HTTP/1.1\r\nx-more: ", b"a"),
    "empty lines before the request": (b"", b"\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "chunk extension behind a body": (CHUNKED + b"1\r\nx\r\n1;", b"a"),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nx-more: ", b"a"),
    "header of the next request": (
        HEAD + b"content-length: 2\r\n\r\nhi" + HEAD + b"x-more: ",
        b"a",
    ),
}


def feed_until_rejected(parser: ServerParser, begin: bytes, unit: bytes, size: int) -> int:
    """Feed pieces of `size` bytes; returns how many bytes were fed until the parser rejected them."""
    fed = 0
    data = begin
    while fed < 10 * LIMITS.body:
        try:
            parser.feed(data)
        except HttpError as error:
            assert 400 <= error.status < 500
            return fed
        fed += len(data)
        data = unit * (size // len(unit))
    raise AssertionError("it was fed on without an error")


@pytest.mark.parametrize("size", [64, 5000, 64 * 1024])
@pytest.mark.parametrize("name", ENDLESS)
def test_line_without_an_end_is_rejected(name: str, size: int) -> None:
    """Only complete headers counted, so that a request could arrive for ever, and its parts were copied each time."""
    begin, unit = ENDLESS[name]
    bound = LIMITS.header + LIMITS.url
    assert feed_until_rejected(ServerParser(LIMITS), begin, unit, size) <= bound + len(begin) + size


@pytest.mark.parametrize("size", [1, 7, 1000, 100_000])
def test_largest_requests_are_parsed_in_pieces_of_any_size(size: int) -> None:
    """The bytes of a body, and the ends of lines between its chunks, are no incomplete line."""
    rng = random.Random(size)
    body = rng.randbytes(LIMITS.body).replace(b"\n", b"n")
    header = b"x-long: " + b"v" * (LIMITS.header - 200) + b"\r\n"
    plain = HEAD + header + b"content-length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"1;e\r\n%c\r\n" % byte for byte in body)
    chunked = HEAD + header + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\nt: v\r\n\r\n"
    data = b"\r\n" + plain + chunked + plain
    parser = ServerParser(LIMITS)
    for place in range(0, len(data), size):
        parser.feed(data[place : place + size])
    assert [each.body for each in parser.requests] == [body] * 3


def test_body_before_an_incomplete_line_does_not_count() -> None:
    """A request was rejected where its first bytes came in one piece with the body of the one before it."""
    body = b"b" * 30_000
    first = HEAD + b"content-length: %d\r\n\r\n" % len(body) + body
    for length in range(1, len(HEAD)):
        parser = ServerParser(LIMITS)
        parser.feed(first + HEAD[:length])
        parser.feed(HEAD[length:] + b"content-length: 2\r\n\r\nhi")
        assert [each.body for each in parser.requests] == [body, b"hi"]


def test_line_of_a_response_without_an_end_is_rejected() -> None:
    parser = ClientParser(1 << 25)
    parser.feed(b"HTTP/1.1 200 OK\r\nx-more: ")
    with pytest.raises(HttpError, match="line"):
        for _ in range(2 + MAX_RESPONSE_LINE_BYTES // 1000):
            parser.feed(b"a" * 1000)


def test_line_of_a_watchs_head_without_an_end_is_rejected() -> None:
    parser = WatchParser()
    parser.feed(b"HTTP/1.1 200 OK\r\nx-more: ")
    with pytest.raises(WatchError, match="head"):
        for _ in range(2 + MAX_HEAD_BYTES // 1000):
            parser.feed(b"a" * 1000)


class WatchedParser(ServerParser):
    __slots__ = ("__weakref__",)


@pytest.fixture
def collector_off() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


OVER_A_BOUND = {
    413: CHUNKED + b"%x\r\n" % (LIMITS.body + 1) + b"x" * (LIMITS.body + 1),
    414: b"GET /" + b"x" * (LIMITS.url + 1) + b" HTTP/1.1\r\n\r\n",
    415: HEAD + b"content-encoding: br\r\ncontent-length: 1\r\n\r\nx",
    431: HEAD + b"x-more: " + b"v" * (LIMITS.header + 1) + b"\r\n\r\n",
    400: HEAD + b"content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx",
}


@pytest.mark.parametrize("status", OVER_A_BOUND)
def test_rejected_request_is_freed_without_the_garbage_collector(
    status: int, collector_off: None
) -> None:
    """Its error referred to the parser, and the parser to its error: 64 KiB stayed for each rejected request."""
    parser = WatchedParser(LIMITS)
    with pytest.raises(HttpError) as raised:
        parser.feed(OVER_A_BOUND[status])
    assert raised.value.status == status
    parser.parser = None  # as its connection does when it ends
    watched = weakref.ref(parser)
    del parser, raised
    assert watched() is None


@pytest.mark.parametrize("place", ["head", "trailer"])
def test_too_many_fields_are_rejected(place: str) -> None:
    """Each field takes a few hundred bytes, however short it is: a head of 8 KiB took 300 KB."""
    begin = HEAD if place == "head" else CHUNKED + b"1\r\nx\r\n0\r\n"
    end = b"\r\n"
    allowed = ServerParser(LIMITS)
    allowed.feed(begin + b"".join(b"%x:\r\n" % number for number in range(64)) + end)
    assert len(allowed.requests) == 1
    with pytest.raises(HttpError) as raised:
        ServerParser(LIMITS).feed(begin + b"".join(b"%x:\r\n" % number for number in range(1000)))
    assert raised.value.status == 431
