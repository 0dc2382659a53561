"""HTTP/1.1 responses parsed without I/O, by httptools (llhttp)."""

from __future__ import annotations

import httptools

from stepknot.net.errors import HttpError
from stepknot.net.http import inflate
from stepknot.net.line_bound import LineBound

MAX_RESPONSE_LINE_BYTES = 64 * 1024  # of a response's head or between its chunks


class ClientParser:
    """Parses one response.

    Attributes:
        done: whether the response is complete; `status`, `headers` and `keep_alive` are set then.
    """

    __slots__ = (
        "buffer",
        "done",
        "headers",
        "keep_alive",
        "line_bound",
        "max_bytes",
        "over",
        "parser",
        "size",
        "status",
    )

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.status = 0
        self.size = 0  # bytes of headers and body
        self.done = False
        self.keep_alive = False
        self.over = False  # the bound
        self.headers: dict[str, str] = {}
        self.buffer = bytearray()  # of the body: a chunk may have one byte
        self.line_bound = LineBound()

    def feed(self, data: bytes) -> None:
        """Take bytes as they were received.

        Raises:
            HttpError: they are malformed, over the bound, or behind the response.
        """
        if self.done or self.parser is None:
            raise HttpError(502, "bytes after the response")
        try:
            self.parser.feed_data(data)
        except Exception as error:  # httptools wraps what its callbacks raise
            too_long = f"response is over {self.max_bytes} bytes"
            reason = too_long if self.over else f"malformed response: {error}"
            raise HttpError(502, reason) from error
        if not self.done and self.line_bound.count(data) > MAX_RESPONSE_LINE_BYTES:
            raise HttpError(502, f"a line of the response is over {MAX_RESPONSE_LINE_BYTES} bytes")

    def release(self) -> None:
        """Drop the parser, which refers to this object in turn: nothing more is fed."""
        self.parser = None

    def body(self) -> bytes:
        """The response's body, decompressed. Raises HttpError."""
        data = bytes(self.buffer)
        if self.headers.get("content-encoding", "").lower() in ("gzip", "deflate"):
            return inflate(data, self.max_bytes)
        return data

    # --- called by httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.line_bound.on_element()
        self.size += len(name) + len(value or b"")
        self._check_size()
        self.headers[name.decode("latin-1").lower()] = (value or b"").decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """A part of the response's body."""
        self.line_bound.on_body(len(body))
        self.size += len(body)
        self._check_size()
        self.buffer += body

    def _check_size(self) -> None:
        if self.size > self.max_bytes:
            self.over = True
            raise ValueError("too long")

    def on_message_complete(self) -> None:
        """The response is complete."""
        if self.done:
            raise ValueError("a second response")
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        self.done = True
        self.keep_alive = bool(self.parser.should_keep_alive())
