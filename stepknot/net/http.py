"""HTTP/1.1 framing without I/O: bytes in, messages out. The parser is httptools' (llhttp).

`ServerParser` yields whole requests, several where a client pipelines; `ClientParser` one response at a time.
Every size is bounded: what is over a bound raises `HttpError`, whose status is the answer's.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote

import httptools

from stepknot.net.errors import HttpError

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
GZIP_FROM = 1400  # bytes: a shorter body fits a packet as it is
GZIP_LEVEL = 1  # the loop waits for it


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bytes, and seconds."""

    header: int = 16 * 1024
    url: int = 4 * 1024
    body: int = 32 * 1024 * 1024
    first_byte: float = 15.0  # from accept to a whole request's header
    body_time: float = 30.0  # from a request's first byte to its last
    idle: float = 75.0  # between requests
    write: float = 20.0  # for each step of a slow reader


@dataclass(slots=True)
class Request:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]  # names in lower case
    body: bytes
    keep_alive: bool = True
    http10: bool = False
    arrived: float = 0.0  # by the loop's clock: when it was there to be read
    client: str = ""  # whose it is, where that is not the peer

    def parts(self) -> list[str]:
        return [unquote(piece) for piece in self.path.split("/") if piece]


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json; charset=UTF-8"


def retry_headers(seconds: float) -> list[tuple[str, str]]:
    """When to return: whole seconds as HTTP has them, never sooner than advised; the exact time beside it."""
    if seconds <= 0:
        return []
    return [
        ("retry-after", str(max(1, math.ceil(seconds)))),
        ("retry-after-ms", str(math.ceil(seconds * 1000))),
    ]


def inflate(data: bytes, most: int) -> bytes:
    """Of gzip or zlib data, `most` bytes at the most."""
    try:
        work = zlib.decompressobj(wbits=47)
        plain = work.decompress(data, most + 1)
    except zlib.error as error:
        raise HttpError(400, f"body is not valid gzip: {error}") from None
    if len(plain) > most:
        raise HttpError(413, f"body is over {most} bytes when unpacked")
    if not work.eof:
        raise HttpError(400, "gzip body is cut short")
    return plain


def gzipped(data: bytes) -> bytes:
    work = zlib.compressobj(GZIP_LEVEL, zlib.DEFLATED, 31)
    return work.compress(data) + work.flush()


def encode_response(response: Response, request: Request | None, close: bool) -> bytes:
    """The bytes of a final answer; a HEAD gets the headers of what a GET would."""
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
    for item in request.headers.get("accept-encoding", "").split(","):
        name, _, rest = item.strip().partition(";")
        if name.strip().lower() == "gzip":
            return rest.replace(" ", "") not in ("q=0", "q=0.0", "q=0.00", "q=0.000")
    return False


class ServerParser:
    """Fed bytes, it fills `requests`. After an HttpError it must not be fed again."""

    __slots__ = (
        "limits",
        "requests",
        "parser",
        "url",
        "headers",
        "pieces",
        "size",
        "header_size",
        "error",
        "started",
        "expects",
    )

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.requests: deque[Request] = deque()
        self.parser: httptools.HttpRequestParser | None = None
        self.started = False  # a request has begun and is not whole
        self.expects = False  # its sender waits for a word before it sends the body
        self.error: HttpError | None = None

    def feed(self, data: bytes) -> None:
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        if not self.started:
            self.begin()
            self.started = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpError(400, "protocol upgrades are not spoken here") from None
        except httptools.HttpParserError as error:
            raise self.error or HttpError(400, f"malformed HTTP request: {error}") from None
        if self.started and self.header_size + len(self.url) > self.limits.header + self.limits.url:
            raise HttpError(431, f"request header is over {self.limits.header} bytes")

    def begin(self) -> None:
        self.url, self.size, self.header_size = b"", 0, 0
        self.pieces: list[bytes] = []
        self.headers: dict[str, str] = {}

    def refuse(self, status: int, reason: str) -> None:
        self.error = HttpError(status, reason)
        raise self.error

    # --- called by httptools

    def on_message_begin(self) -> None:
        self.begin()
        self.started = True

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > self.limits.url:
            self.refuse(414, f"request target is over {self.limits.url} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_size += len(name) + len(value or b"") + 4
        if self.header_size > self.limits.header:
            self.refuse(431, f"request header is over {self.limits.header} bytes")
        key = name.decode("latin-1").lower()
        self.headers[key] = (value or b"").decode("latin-1")
        if key == "content-length" and int(self.headers[key] or 0) > self.limits.body:
            self.refuse(413, f"request body is over {self.limits.body} bytes")

    def on_headers_complete(self) -> None:
        self.expects = self.headers.get("expect", "").lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.limits.body:
            self.refuse(413, f"request body is over {self.limits.body} bytes")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        assert self.parser is not None
        body = b"".join(self.pieces)
        coding = self.headers.get("content-encoding", "").lower()
        if coding in ("gzip", "deflate"):
            try:
                body = inflate(body, self.limits.body)
            except HttpError as error:
                self.error = error
                raise
        elif coding not in ("", "identity"):
            self.refuse(415, f"content-encoding [{coding}] is not supported")
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
            )
        )
        self.started, self.expects, self.pieces = False, False, []


class ClientParser:
    """Fed bytes of one response; `done` once it is whole."""

    __slots__ = (
        "most",
        "parser",
        "status",
        "headers",
        "pieces",
        "size",
        "done",
        "keep_alive",
        "over",
    )

    def __init__(self, most: int) -> None:
        self.most = most
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.status, self.size, self.done, self.keep_alive, self.over = 0, 0, False, False, False
        self.headers: dict[str, str] = {}
        self.pieces: list[bytes] = []

    def feed(self, data: bytes) -> None:
        if self.done or self.parser is None:
            raise HttpError(502, "bytes after the response")
        try:
            self.parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - whatever the peer sent, it is malformed
            reason = (
                f"response is over {self.most} bytes"
                if self.over
                else f"malformed response: {error}"
            )
            raise HttpError(502, reason) from None

    def release(self) -> None:
        """Nothing more is fed: part with the parser, which holds this in turn."""
        self.parser = None

    def body(self) -> bytes:
        data = b"".join(self.pieces)
        if self.headers.get("content-encoding", "").lower() in ("gzip", "deflate"):
            return inflate(data, self.most)
        return data

    # --- called by httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value or b"")
        self.check()
        self.headers[name.decode("latin-1").lower()] = (value or b"").decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self.check()
        self.pieces.append(body)

    def check(self) -> None:
        if self.size > self.most:
            self.over = True
            raise ValueError("too long")

    def on_message_complete(self) -> None:
        if self.done:
            raise ValueError("a second response")
        assert self.parser is not None
        self.status, self.done = self.parser.get_status_code(), True
        self.keep_alive = bool(self.parser.should_keep_alive())
