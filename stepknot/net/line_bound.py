"""A bound on what an httptools parser keeps of a line that has no end yet.

httptools reports a header once its line is complete, and keeps all bytes of an incomplete one. It tells
nobody how many these are, so that they are counted here from what was fed and what was reported.
"""

from __future__ import annotations


class LineBound:
    """Counts the bytes behind the last complete element of a message.

    The parser's owner calls `on_element` or `on_body` in each of its callbacks, and `count` after each
    feed.
    """

    __slots__ = ("_body_size", "_has_element", "_is_in_body", "_size")

    def __init__(self) -> None:
        self._size = 0
        self._body_size = 0  # bytes of bodies since the last feed
        self._has_element = False  # since the last feed
        self._is_in_body = False  # the last element was one of the body

    def on_element(self) -> None:
        """A part of a head was reported, such as a header or the head's end."""
        self._has_element = True
        self._is_in_body = False

    def on_body(self, size: int) -> None:
        """Bytes of a body were reported, or, with 0, the message's end: no line is incomplete behind them."""
        self._body_size += size
        self._has_element = True
        self._is_in_body = True

    def count(self, fed: bytes) -> int:
        """Count what was fed last; returns the bytes of the incomplete line."""
        if not self._has_element:
            self._size += len(fed)
        elif self._is_in_body:
            self._size = 0
        else:  # a body without an end of line may stand before the next message's first line
            behind_last_line = len(fed) - fed.rfind(b"\n") - 1
            self._size = max(behind_last_line - self._body_size, 0)
        self._body_size = 0
        self._has_element = False
        return self._size
