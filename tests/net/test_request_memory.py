"""What a request that is incomplete or waits takes of the process's memory, whatever its form on the wire."""

from __future__ import annotations

import tracemalloc

import pytest

from stepknot.net.http import ServerParser, gzipped
from tests.net.test_http import CHUNKED, HEAD, LIMITS


def memory_of(pieces: list[bytes]) -> int:
    """Bytes that a parser takes while it holds an incomplete request that was fed in these pieces."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    parser = ServerParser(LIMITS)
    for piece in pieces:
        parser.feed(piece)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert parser.started
    return after - before


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_memory_of_a_body_does_not_depend_on_its_framing(size: int) -> None:
    """Each chunk was an object of its own: 64 KiB in chunks of two bytes took over 2 MB."""
    plain = [HEAD + b"content-length: %d\r\n\r\n" % LIMITS.body, b"x" * (LIMITS.body - 1)]
    count = (LIMITS.body - 1) // size
    chunks = [CHUNKED, (b"%x\r\n" % size + b"x" * size + b"\r\n") * count]
    in_writes = [plain[0], *[b"x" * size] * count]
    bound = 2 * memory_of(plain) + LIMITS.header
    assert memory_of(chunks) < bound
    assert memory_of(in_writes) < bound


def test_memory_of_a_compressed_body_is_that_of_the_decompressed_one() -> None:
    """A request of 200 bytes held 64 KiB that no budget counted."""
    data = gzipped(bytes(LIMITS.body))
    parser = ServerParser(LIMITS)
    parser.feed(HEAD + b"content-encoding: gzip\r\ncontent-length: %d\r\n\r\n" % len(data) + data)
    assert len(data) < 500 and parser.memory > LIMITS.body
