"""HTTP/1.1 framing without I/O: bytes in, messages out. The parser is httptools' (llhttp).

`ServerParser` returns complete requests, several where a client pipelines; responses are parsed by
`stepknot.net.response_parser`.
Every size is bounded: what is over a bound raises `HttpError` with the status of the answer.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from typing import NamedTuple, NoReturn
from urllib.parse import parse_qsl, unquote

import httptools

from stepknot.net.errors import HttpError
from stepknot.net.line_bound import LineBound

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}
PIECE_BYTES = 512  # parsed at once: so few small requests are complete before the first is answered
# Estimates of memory, in bytes beyond those that were received.
REQUEST_MEMORY = 1000  # of a parsed request
FIELD_MEMORY = 250  # of a header field
HEADER_OVERHEAD = 4  # bytes of a header line besides its name and value
GZIP_FROM = 1400  # bytes: a shorter body fits into one packet uncompressed
GZIP_LEVEL = 1  # compressing holds up the loop


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds in bytes and in seconds."""

    header: int = 16 * 1024
    url: int = 4 * 1024
    fields: int = 100  # of a head and its trailer; each takes a few hundred bytes of memory
    body: int = 32 * 1024 * 1024
    first_byte: float = 15.0  # from accept to a complete request's header
    body_time: float = 30.0  # from a request's first byte to its last
    idle: float = 75.0  # between requests
    write: float = 20.0  # for each step of a slow reader


@dataclass(slots=True)
class Request:
    """One complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep_alive: bool = True
    http10: bool = False
    arrived: float = 0.0  # by the loop's clock: when its bytes were received
    client: str = ""  # its address, where that is not the peer's
    memory: int = 0  # bytes that it takes, as an estimate

    def parts(self) -> list[str]:
        """The path's segments, percent-decoded."""
        return [unquote(piece) for piece in self.path.split("/") if piece]


@dataclass(slots=True)
class Response:
    """One response before it is encoded."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json; charset=UTF-8"


def retry_headers(seconds: float) -> list[tuple[str, str]]:
    """Retry-After in whole seconds, rounded up, and the milliseconds beside it; none for 0."""
    if seconds <= 0:
        return []
    return [
        ("retry-after", str(max(1, math.ceil(seconds)))),
        ("retry-after-ms", str(math.ceil(seconds * 1000))),
    ]


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Decompress gzip or zlib data.

    Raises:
        HttpError: it is malformed, or longer than `max_bytes`.
    """
    try:
        work = zlib.decompressobj(wbits=47)
        plain = work.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise HttpError(400, f"body is not valid gzip: {error}") from error
    if len(plain) > max_bytes:
        raise HttpError(413, f"body is over {max_bytes} bytes when unpacked")
    if not work.eof:
        raise HttpError(400, "gzip body is cut short")
    return plain


def gzipped(data: bytes) -> bytes:
    """Compress to gzip."""
    work = zlib.compressobj(GZIP_LEVEL, zlib.DEFLATED, 31)
    return work.compress(data) + work.flush()


def encode_response(response: Response, request: Request | None, close: bool) -> bytes:
    """The bytes of a final answer; a HEAD gets the headers of a GET.

    Args:
        response: the answer.
        request: what is answered; None where it could not be parsed.
        close: whether the connection ends after it.
    """
    body = response.body
    reason = REASONS.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason}", f"content-type: {response.content_type}"]
    if request is not None and len(body) >= GZIP_FROM and accepts_gzip(request):
        body = gzipped(body)
        lines.append("content-encoding: gzip")
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines.append(f"content-length: {len(body)}")
    if close:
        lines.append("connection: close")
    elif request is not None and request.http10:
        lines.append("connection: keep-alive")
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    return head if request is not None and request.method == "HEAD" else head + body


def accepts_gzip(request: Request) -> bool:
    """Whether the client accepts a compressed answer."""
    for item in request.headers.get("accept-encoding", "").split(","):
        name, _, rest = item.strip().partition(";")
        if name.strip().lower() == "gzip":
            return rest.replace(" ", "") not in ("q=0", "q=0.0", "q=0.00", "q=0.000")
    return False


class Rejection(NamedTuple):
    """Why a request is rejected, and the status of the answer."""

    status: int
    reason: str


class ServerParser:
    """Parses a client's stream. After an HttpError it must not be fed again.

    No error is kept here: its traceback would refer to the parser, and only the garbage collector would
    free such a cycle, with all that the request held.

    Attributes:
        rejection: why a callback rejected the request.
        requests: complete ones that were not taken yet.
        started: a request has begun and is not complete.
        expects: its client waits for 100 Continue before it sends the body.
    """

    __slots__ = (
        "body",
        "body_length",
        "expects",
        "field_count",
        "header_size",
        "headers",
        "limits",
        "line_bound",
        "parser",
        "rejection",
        "requests",
        "size",
        "started",
        "url",
    )

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.requests: list[Request] = []  # few: see PIECE_BYTES
        self.parser: httptools.HttpRequestParser | None = None
        self.started = False
        self.expects = False
        self.rejection: Rejection | None = None
        self.line_bound = LineBound()
        self._begin()

    @property
    def memory(self) -> int:
        """Bytes that the requests which were not taken yet hold, as an estimate."""
        complete = sum(each.memory for each in self.requests)
        return complete + (self._incomplete_memory() if self.started else 0)

    def _incomplete_memory(self) -> int:
        return (
            REQUEST_MEMORY
            + len(self.url)
            + self.header_size
            + self.field_count * FIELD_MEMORY
            + len(self.body)
        )

    def feed_piece(self, data: bytes, place: int) -> int:
        """Take the bytes from this place on, up to a bound; returns the place behind them.

        A request that is parsed takes many times the memory of its bytes, so that not all that was received
        is parsed before the first request is answered.

        Raises:
            HttpError: they are malformed or over a bound.
        """
        body_left = self.body_length - self.size if self.started else 0
        end = place + max(body_left, PIECE_BYTES)
        self.feed(data[place:end])
        return end

    def feed(self, data: bytes) -> None:
        """Take bytes as they were received.

        Raises:
            HttpError: they are malformed or over a bound.
        """
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        if not self.started:
            self._begin()
            self.started = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(400, "protocol upgrades are not spoken here") from error
        except httptools.HttpParserError as error:
            malformed = Rejection(400, f"malformed HTTP request: {error}")
            raise HttpError(*(self.rejection or malformed)) from None
        head_size = self.header_size + len(self.url) + self.line_bound.count(data)
        if self.started and head_size > self.limits.header + self.limits.url:
            raise HttpError(431, f"request header is over {self.limits.header} bytes")

    def clear(self) -> None:
        """Drop everything that was received, and the httptools parser, which refers to this object in turn."""
        self.parser = None
        self.requests.clear()
        self._begin()
        self.started = False

    def _begin(self) -> None:
        self.url = b""
        self.size = 0
        self.header_size = 0
        self.field_count = 0
        self.body_length = 0  # as the head says
        # One buffer: a body may arrive in pieces of one byte, and each object takes much more than that.
        self.body = bytearray()
        self.headers: dict[str, str] = {}

    def _reject(self, status: int, reason: str) -> NoReturn:
        self.rejection = Rejection(status, reason)
        raise HttpError(status, reason)

    # --- called by httptools

    def on_message_begin(self) -> None:
        """A request begins."""
        self.line_bound.on_element()
        self._begin()
        self.started = True

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self.line_bound.on_element()
        self.url += url
        if len(self.url) > self.limits.url:
            self._reject(414, f"request target is over {self.limits.url} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.line_bound.on_element()
        self.header_size += len(name) + len(value or b"") + HEADER_OVERHEAD
        self.field_count += 1
        if self.header_size > self.limits.header:
            self._reject(431, f"request header is over {self.limits.header} bytes")
        if self.field_count > self.limits.fields:
            self._reject(431, f"request header has over {self.limits.fields} fields")
        key = name.decode("latin-1").lower()
        self.headers[key] = (value or b"").decode("latin-1")
        if key == "content-length" and int(self.headers[key] or 0) > self.limits.body:
            self._reject(413, f"request body is over {self.limits.body} bytes")

    def on_headers_complete(self) -> None:
        """The request's head is complete."""
        self.line_bound.on_element()
        self.expects = self.headers.get("expect", "").lower() == "100-continue"
        self.body_length = int(self.headers.get("content-length") or 0)

    def on_body(self, body: bytes) -> None:
        """A part of the request's body."""
        self.line_bound.on_body(len(body))
        self.size += len(body)
        if self.size > self.limits.body:
            self._reject(413, f"request body is over {self.limits.body} bytes")
        self.body += body

    def on_message_complete(self) -> None:
        """The request is complete."""
        assert self.parser is not None
        self.line_bound.on_body(0)
        body = bytes(self.body)
        coding = self.headers.get("content-encoding", "").lower()
        if coding in ("gzip", "deflate"):
            try:
                body = inflate(body, self.limits.body)
            except HttpError as error:
                self._reject(error.status, error.reason)
        elif coding not in ("", "identity"):
            self._reject(415, f"content-encoding [{coding}] is not supported")
        path, _, query = self.url.decode("latin-1").partition("?")
        self.requests.append(
            Request(
                self.parser.get_method().decode(),
                path,
                dict(parse_qsl(query, keep_blank_values=True)),
                self.headers,
                body,
                bool(self.parser.should_keep_alive()),
                self.parser.get_http_version() == "1.0",
                memory=self._incomplete_memory() - len(self.body) + len(body),
            )
        )
        self.started = False
        self.expects = False
        self.body = bytearray()
