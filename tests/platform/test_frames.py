"""The nodes' frames on bytes alone."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.interface import Outcome
from stepknot.platform.frames import (
    MAX_ANSWER_LINE_BYTES,
    MAX_FRAME_BYTES,
    CallPart,
    FrameReader,
    FrameRejected,
    PartAnswered,
    ProbeAnswered,
    encode_call,
    encode_cancel,
    encode_frame,
    encode_probe,
    parse_load_report,
)

pytestmark = pytest.mark.cpu_only

GOOD = encode_frame(b"Y", b"9b1f.3 OK 1840277719 inflight=7,util=0.61\n5be2a07c")


def test_call_has_each_part_with_its_wait_and_idempotency_key() -> None:
    parts = [
        (CallPart(b"9b1f.3", 3, b"c41e77d0", "5c0f"), 0.24),
        (CallPart(b"9b1f.4", 4, b"c41e77d0"), 0.0001),
    ]
    rest = b"9b1f.3 3 d=240,k=5c0f 8\nc41e77d09b1f.4 4 d=1 8\nc41e77d0"
    assert encode_call(parts) == (len(rest) + 1).to_bytes(4, "little") + b"R" + rest
    assert encode_cancel(b"9b1f.3") == b"\x07\0\0\0A9b1f.3"
    assert encode_probe(b"T") == b"\x01\0\0\0T"


def test_answers_probes_and_rejections_are_parsed() -> None:
    data = (
        GOOD
        + encode_frame(b"Y", b"9b1f.4 REJECTED 0 -\n")
        + encode_frame(b"T", b"util=0.5")
        + encode_frame(b"G", b"ERROR")
    )
    assert FrameReader().feed(data + encode_frame(b"N", b"who are you")) == [
        PartAnswered(b"9b1f.3", Outcome.SERVED, "5be2a07c", {"inflight": 7.0, "util": 0.61}),
        PartAnswered(b"9b1f.4", Outcome.REJECTED, "", {}),
        ProbeAnswered(b"T", True, {"util": 0.5}),
        ProbeAnswered(b"G", False, {}),
        FrameRejected("who are you"),
    ]


MALFORMED = {
    "length zero": b"\0\0\0\0",
    "three gigabytes": (3 << 30).to_bytes(4, "little") + b"Y9b1f.3 OK 1 -\n" + b"x" * 100,
    "just over the bound": (MAX_FRAME_BYTES + 1).to_bytes(4, "little") + b"Y",
    "an unknown letter": encode_frame(b"Q", b"x"),
    "an unknown letter of which nothing else has come": (100).to_bytes(4, "little") + b"Q",
    "an unknown end": encode_frame(b"Y", b"9b1f.3 FINE 1 -\nx"),
    "a line with too few fields": encode_frame(b"Y", b"9b1f.3 OK -\nx"),
    "a line with too many fields": encode_frame(b"Y", b"9b1f.3 OK 1 - -\nx"),
    "a line without an end": encode_frame(b"Y", b"9b1f.3 OK 1 -"),
    "a line without an end that goes on": (MAX_FRAME_BYTES).to_bytes(4, "little")
    + b"Y"
    + b"x" * (MAX_ANSWER_LINE_BYTES + 2),
    "a score that is no number": encode_frame(b"Y", b"9b1f.3 OK one -\nx"),
    "a value that is not UTF-8": encode_frame(b"Y", b"9b1f.3 OK 1 -\n\xff\xfe"),
    "a probe's answer": encode_frame(b"G", b"PERHAPS"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_bytes_end_the_stream_and_messages_before_them_count(name: str) -> None:
    reader = FrameReader()
    assert [type(each) for each in reader.feed(GOOD + MALFORMED[name])] == [PartAnswered]
    assert reader.error and not reader.buffer
    assert reader.feed(GOOD) == []


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"inflight",
        b"inflight=x",
        b"inflight=nan",
        b"inflight=inf",
        b"inflight=-1",
        b"a=1,a=2",
        b"\xff=1",
        b"in flight=1",
        b",".join([b"a=1"] * 30),
    ],
)
def test_malformed_load_report_has_no_values(report: bytes) -> None:
    assert parse_load_report(report) == {}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 60), max_size=20))
def test_any_split_of_the_bytes_gives_the_same_messages(cuts: list[int]) -> None:
    data = GOOD + encode_frame(b"T", b"-") + GOOD
    reader, found, place = FrameReader(), [], 0
    for cut in cuts:
        found += reader.feed(data[place : place + cut])
        place += cut
    assert found + reader.feed(data[place:]) == FrameReader().feed(data)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 300))
def test_noise_raises_nothing_and_buffers_no_more_than_a_frame(data: bytes, cut: int) -> None:
    reader = FrameReader()
    reader.feed(data[:cut])
    reader.feed(data[cut:])
    assert len(reader.buffer) <= MAX_FRAME_BYTES + 4


def test_buffer_is_bounded_whatever_length_a_frame_says() -> None:
    reader = FrameReader()
    reader.feed((MAX_FRAME_BYTES).to_bytes(4, "little") + b"Y9b1f.3 OK 1 -\n")
    for _ in range(1000):
        reader.feed(b"x" * 1000)
        assert len(reader.buffer) <= MAX_FRAME_BYTES + 4
