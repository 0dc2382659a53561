"""The byte stream of a watch split into messages, without I/O: HTTP response, lines, JSON objects."""

from __future__ import annotations

import re

import httptools

from stepknot.net.line_bound import LineBound
from stepknot.platform.errors import WatchError

MAX_MESSAGE_BYTES = 2 * 1024 * 1024  # of one list, indented or not
MAX_HEAD_BYTES = 64 * 1024  # of the response's head, or of a line between its chunks
STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # JSON strings do not span lines
NO_STRUCTURE = bytes(sorted(set(range(256)) - set(b'"{}[]')))  # characters between those


class WatchParser:
    """Parses an HTTP response that stays open.

    A message is a JSON object on one line or, indented, on several; an empty line between two
    objects is a keep-alive and comes out as an empty message. Each byte is copied and searched a bounded
    number of times, however the stream is cut into chunks and reads.

    Attributes:
        status: the response's status, 0 before it was received.
        is_complete: whether the response ended.
    """

    def __init__(self) -> None:
        self.status = 0
        self.is_complete = False
        self._http = httptools.HttpResponseParser(self)
        self._line = bytearray()  # the part that was received of a line
        self._object = bytearray()  # the complete lines of an object that is not complete
        self._depth = 0  # of brackets that are open in it
        self._messages: list[bytes] = []
        self._line_bound = LineBound()

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes as they were received; returns the messages that are complete now.

        Raises:
            WatchError: it is not HTTP, a message is longer than `MAX_MESSAGE_BYTES` or the head than
                `MAX_HEAD_BYTES`.
        """
        try:
            self._http.feed_data(data)
        except Exception as error:  # httptools wraps what its callbacks raise
            raise WatchError(f"expected a watch: {error}") from error
        if self._line_bound.count(data) > MAX_HEAD_BYTES:
            raise WatchError(f"expected a head of {MAX_HEAD_BYTES} bytes at most")
        messages, self._messages = self._messages, []
        return messages

    # --- called by httptools

    def on_headers_complete(self) -> None:
        """The response's head was received."""
        self._line_bound.on_element()
        self.status = self._http.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Bytes of the body were received."""
        self._line_bound.on_body(len(body))
        is_one_line = body.endswith(b"\n") and body.find(b"\n") == len(body) - 1
        if is_one_line and not self._line:
            self._add_line(body[:-1])
        else:
            self._add_pieces(body)
        if len(self._line) + len(self._object) > MAX_MESSAGE_BYTES:
            raise ValueError(f"a message over {MAX_MESSAGE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """The response ended."""
        self.is_complete = True

    def _add_pieces(self, body: bytes) -> None:
        """Add the lines that end in the body, and keep what is behind the last one's end."""
        end_of_line, *lines = body.split(b"\n")
        self._line += end_of_line
        if lines:
            self._end_line()
            *complete_lines, incomplete_line = lines
            for line in complete_lines:
                self._add_line(line)
            self._line += incomplete_line

    def _end_line(self) -> None:
        """Add the line that was received in parts."""
        line = bytes(self._line)
        self._line.clear()
        self._add_line(line)

    def _add_line(self, line: bytes) -> None:
        depth = count_open_brackets(line)
        if not self._object and depth <= 0:
            self._messages.append(line if line.strip() else b"")
            return
        self._depth += depth
        self._object += line
        if self._depth <= 0:
            self._messages.append(bytes(self._object))
            self._depth = 0
            self._object.clear()
        else:
            self._object += b"\n"


def count_open_brackets(line: bytes) -> int:
    """How many brackets a line of JSON opens, less those that it closes; brackets in strings do not count."""
    if b"\\" not in line:
        # Strings without a bracket are two quotes in a row here. Without them, what is left is in a string
        # where it was in one before.
        structure = line.translate(None, NO_STRUCTURE).replace(b'""', b"")
        if b'"' not in structure:
            opened = structure.count(b"{") + structure.count(b"[")
            return 2 * opened - len(structure)
    tokens = STRUCTURE.findall(line)
    return sum((token in (b"{", b"[")) - (token in (b"}", b"]")) for token in tokens)
