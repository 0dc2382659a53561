"""The nodes' frames on bytes alone."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.interface import Outcome
from stepknot.platform.frames import (
    MOST,
    MOST_LINE,
    NotUsable,
    Part,
    PartEnded,
    ProbeAnswered,
    Reader,
    call,
    cancel,
    frame,
    probe,
    read_load,
)

pytestmark = pytest.mark.cpu_only

GOOD = frame(b"Y", b"9b1f.3 OK 1840277719 inflight=7,util=0.61\n5be2a07c")


def test_a_call_is_written_part_by_part_with_its_wait_and_key() -> None:
    parts = [
        (Part(b"9b1f.3", 3, b"c41e77d0", "5c0f"), 0.24),
        (Part(b"9b1f.4", 4, b"c41e77d0"), 0.0001),
    ]
    rest = b"9b1f.3 3 d=240,k=5c0f 8\nc41e77d09b1f.4 4 d=1 8\nc41e77d0"
    assert call(parts) == (len(rest) + 1).to_bytes(4, "little") + b"R" + rest
    assert cancel(b"9b1f.3") == b"\x07\0\0\0A9b1f.3"
    assert probe(b"T") == b"\x01\0\0\0T"


def test_answers_probes_and_refused_frames_are_read() -> None:
    data = (
        GOOD
        + frame(b"Y", b"9b1f.4 REJECTED 0 -\n")
        + frame(b"T", b"util=0.5")
        + frame(b"G", b"ERROR")
    )
    assert Reader().feed(data + frame(b"N", b"who are you")) == [
        PartEnded(b"9b1f.3", Outcome.SERVED, "5be2a07c", {"inflight": 7.0, "util": 0.61}),
        PartEnded(b"9b1f.4", Outcome.REJECTED, "", {}),
        ProbeAnswered(b"T", True, {"util": 0.5}),
        ProbeAnswered(b"G", False, {}),
        NotUsable("who are you"),
    ]


SPOILT = {
    "length zero": b"\0\0\0\0",
    "three gigabytes": (3 << 30).to_bytes(4, "little") + b"Y9b1f.3 OK 1 -\n" + b"x" * 100,
    "just over the bound": (MOST + 1).to_bytes(4, "little") + b"Y",
    "an unknown letter": frame(b"Q", b"x"),
    "an unknown letter of which nothing else has come": (100).to_bytes(4, "little") + b"Q",
    "an unknown end": frame(b"Y", b"9b1f.3 FINE 1 -\nx"),
    "a line with too few fields": frame(b"Y", b"9b1f.3 OK -\nx"),
    "a line with too many fields": frame(b"Y", b"9b1f.3 OK 1 - -\nx"),
    "a line without an end": frame(b"Y", b"9b1f.3 OK 1 -"),
    "a line without an end that goes on": (MOST).to_bytes(4, "little")
    + b"Y"
    + b"x" * (MOST_LINE + 2),
    "a score that is no number": frame(b"Y", b"9b1f.3 OK one -\nx"),
    "a value that is not UTF-8": frame(b"Y", b"9b1f.3 OK 1 -\n\xff\xfe"),
    "a probe's answer": frame(b"G", b"PERHAPS"),
}


@pytest.mark.parametrize("name", SPOILT)
def test_spoilt_bytes_end_the_stream_and_what_was_sound_before_them_counts(name: str) -> None:
    reader = Reader()
    assert [type(each) for each in reader.feed(GOOD + SPOILT[name])] == [PartEnded]
    assert reader.spoilt and not reader.kept
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
def test_of_a_report_that_cannot_be_read_nothing_is_taken(report: bytes) -> None:
    assert read_load(report) == {}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 60), max_size=20))
def test_any_split_of_the_bytes_gives_the_same_messages(cuts: list[int]) -> None:
    data = GOOD + frame(b"T", b"-") + GOOD
    reader, found, place = Reader(), [], 0
    for cut in cuts:
        found += reader.feed(data[place : place + cut])
        place += cut
    assert found + reader.feed(data[place:]) == Reader().feed(data)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 300))
def test_noise_raises_nothing_and_keeps_no_more_than_a_frame(data: bytes, cut: int) -> None:
    reader = Reader()
    reader.feed(data[:cut])
    reader.feed(data[cut:])
    assert len(reader.kept) <= MOST + 4


def test_what_is_kept_is_bounded_by_the_reader_and_not_by_the_length_told() -> None:
    reader = Reader()
    reader.feed((MOST).to_bytes(4, "little") + b"Y9b1f.3 OK 1 -\n")
    for _ in range(1000):
        reader.feed(b"x" * 1000)
        assert len(reader.kept) <= MOST + 4
