"""What a broker tells of itself when asked to."""

import io
import os
import sys

import orjson
import pytest

from stepknot.interface import AttemptEnded, Outcome, Send, SetTimer, TimerDue
from stepknot.platform.log import make_log, trace_decisions, wants_trace


def test_trace_has_events_and_actions_but_not_timers(
    capsysbinary: pytest.CaptureFixture[bytes],
) -> None:
    asked = {"STEPKNOT_LOG": "trace"}
    assert wants_trace(asked) and not wants_trace({"STEPKNOT_LOG": "debug"}) and not wants_trace({})
    ended = AttemptEnded(7, 0, "s1", Outcome.SERVED, 0.02, True, {"util": 0.5})
    handle = trace_decisions(
        lambda now, events: [Send(8, "s2", 0.3), SetTimer(2.0, 1)] if ended in events else [],
        make_log(asked, lambda: 5.0),
    )
    assert handle(1.5, [ended, TimerDue(3)]) == [Send(8, "s2", 0.3), SetTimer(2.0, 1)]
    assert handle(1.6, [TimerDue(4)]) == []
    (line,) = capsysbinary.readouterr().err.splitlines()
    told = orjson.loads(line)
    assert told["now"] == 1.5 and told["actions"] == [["Send", 8, "s2", 0.3, 0, None]]
    assert told["events"] == [["AttemptEnded", 7, 0, "s1", "served", 0.02, True, {"util": 0.5}]]


def test_log_without_a_reader_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The error of a write left whichever callback logged, and could end the process."""
    reader, writer = os.pipe()
    os.close(reader)
    with io.TextIOWrapper(io.FileIO(writer, "w"), write_through=True) as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        make_log({}, lambda: 5.0)("loop_stalled", took=1.0)
