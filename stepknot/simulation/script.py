"""A bad day's script: what goes wrong when. HCL, a bench day's list of troubles, or the built-in one.

    seconds = 30
    rate    = 40            # queries a second, in all
    step { at = "5s"  do = "crash"  boxes = 3  for = "4s" }

`at` and `for` may be shares of the day as numbers from 0 to 1. What a step does:
crash (boxes come back cold after `for`), hang, deaf (questions are answered, work is not), fail_fast, slow, pause,
reset, cut, garbage, lost, refuse and huge (at boxes, with `share`, `factor`, `broker` for one broker only, `zone`),
drain (boxes drain, restart and return cold), kill_broker, stall_broker, list_late (the list stands still), burst
(`factor` times the traffic), impatient (clients repeat at once), hot_key, flood (`factor` connections a second from one
address, each with a request and kept open). Where brokers know each other: part_peers (the first `boxes` brokers and
the others hear nothing of each other), lose_peers (a `share` of what brokers tell each other is lost).
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from stepknot.config.errors import ConfigError, Problem, SettingError
from stepknot.config.hcl import parse
from stepknot.config.readers import Checker, Key, count, duration, number, text

BOX_FAULTS = (
    "hang",
    "fail_fast",
    "slow",
    "pause",
    "reset",
    "cut",
    "garbage",
    "lost",
    "refuse",
    "huge",
    "deaf",
)
DOINGS = (
    "crash",
    "drain",
    "kill_broker",
    "stall_broker",
    "list_late",
    "burst",
    "impatient",
    "hot_key",
    "flood",
    "part_peers",
    "lose_peers",
    *BOX_FAULTS,
)
SECONDS, RATE = 30.0, 40.0


def moment(value: Any) -> float:
    """Seconds; a share of the day becomes negative here and is scaled later."""
    if isinstance(value, float) and 0 <= value <= 1:
        return -value
    return duration(value)


def doing(value: Any) -> str:
    if value not in DOINGS:
        raise SettingError(f"expected one of {', '.join(DOINGS)}")
    return str(value)


STEP = {
    "at": Key(moment),
    "do": Key(doing),
    "boxes": Key(count(1, 1000), 1),
    "for": Key(moment, -0.08),
    "share": Key(number(0, 1), 1.0),
    "factor": Key(number(0), 2.0),
    "broker": Key(count(0, 1000), -1),
    "zone": Key(text, ""),
}
DAY = {"seconds": Key(duration, SECONDS), "rate": Key(number(0.1, 10_000), RATE)}


@dataclass(frozen=True, slots=True)
class Step:
    at: float
    do: str
    boxes: int = 1
    lasts: float = 0.0
    share: float = 1.0
    factor: float = 2.0
    broker: int = -1  # the faults strike this one's calls only
    zone: str = ""  # of the boxes struck; "" any


@dataclass(frozen=True, slots=True)
class Script:
    seconds: float
    rate: float
    steps: tuple[Step, ...]


def scaled(rows: list[dict[str, Any]], seconds: float, rate: float) -> Script:
    def real(value: float) -> float:
        return -value * seconds if value < 0 else value

    steps = [
        Step(
            real(row["at"]),
            row["do"],
            row.get("boxes", 1),
            real(row.get("for", -0.08)),
            row.get("share", 1.0),
            row.get("factor", 2.0),
            row.get("broker", -1),
            row.get("zone", ""),
        )
        for row in rows
    ]
    return Script(seconds, rate, tuple(sorted(steps, key=lambda each: each.at)))


def read_script(path: Path, seconds: float | None = None, rate: float | None = None) -> Script:
    """Raises ConfigError. What is given beside the file wins over it."""
    checker, top, rows = Checker(str(path)), parse(path.read_text(), str(path)), []
    day = checker.read(top, DAY, "")
    for block in top.blocks:
        if block.kind != "step" or block.labels:
            checker.wrong(block.line, block.kind, "unknown block; known here: step")
        else:
            rows.append(checker.read(block, STEP, "step."))
    if checker.problems:
        raise ConfigError(checker.problems)
    return scaled(rows, seconds or day["seconds"], rate or day["rate"])


BUILT_IN: list[dict[str, Any]] = [
    {"at": -0.06, "do": "slow", "boxes": 2, "factor": 5.0},
    {"at": -0.14, "do": "crash", "boxes": 3, "for": -0.10},
    {"at": -0.20, "do": "flood", "factor": 150.0, "for": -0.14},
    {"at": -0.30, "do": "hang", "boxes": 2},
    {"at": -0.36, "do": "impatient", "for": -0.5},
    {"at": -0.38, "do": "kill_broker", "for": -0.05},
    {"at": -0.46, "do": "fail_fast", "boxes": 2, "share": 0.7},
    {"at": -0.50, "do": "drain", "boxes": 2, "for": -0.10},
    {"at": -0.60, "do": "cut", "share": 0.3},
    {"at": -0.60, "do": "garbage", "share": 0.3},
    {"at": -0.62, "do": "reset", "share": 0.5},
    {"at": -0.68, "do": "lost", "boxes": 2, "share": 0.4},
    {"at": -0.74, "do": "pause", "boxes": 2, "for": -0.04},
    {"at": -0.78, "do": "stall_broker", "for": -0.05},
    {"at": -0.84, "do": "refuse", "boxes": 2, "for": -0.05},
    {"at": -0.86, "do": "fail_fast", "boxes": 4, "share": 0.6, "broker": 0},
    {"at": -0.90, "do": "burst", "factor": 2.0, "for": -0.08},
    {"at": -0.92, "do": "huge", "factor": 2e6},
]


def built_in(seconds: float = SECONDS, rate: float = RATE) -> Script:
    return scaled(BUILT_IN, seconds, rate)


# The bench's kinds of trouble as steps here, scaled down. Those that need what the stand-ins do not model
# (slow handshakes, connections dropped unseen, queries of heavy work, messages between brokers) are told and left out.
BENCH_KINDS: dict[str, list[dict[str, Any]]] = {
    "burst": [{"do": "burst", "factor": 1.8}],
    "shared_slow": [{"do": "slow", "boxes": 1000, "factor": 1.6}],
    "hang": [{"do": "hang", "boxes": 2}],
    "crash": [{"do": "crash", "boxes": 3}],
    "balancer_crash": [{"do": "kill_broker"}],
    "balancer_roll": [{"do": "kill_broker"}],
    "balancer_stall": [{"do": "stall_broker", "for": -0.04}],
    "one_sided": [{"do": "fail_fast", "boxes": 4, "share": 0.6, "broker": 0}],
    "slow_link": [{"do": "slow", "boxes": 1000, "zone": "b", "factor": 8.0}],
    "zone_cut": [{"do": "refuse", "boxes": 1000, "zone": "b"}],
    "fast_errors": [{"do": "fail_fast", "boxes": 2, "share": 0.7}],
    "retry_abuse": [{"do": "impatient"}],
    "deploy": [{"do": "drain", "boxes": 3}],
    "slow": [{"do": "slow", "boxes": 2, "factor": 5.0}],
    "answer_lost": [{"do": "lost", "boxes": 3, "share": 0.3}],
    "preempt": [{"do": "drain", "boxes": 1}],
    "discovery_down": [{"do": "list_late"}],
    "discovery_stale": [{"do": "list_late"}],
    "hot_key": [{"do": "hot_key"}],
    "ageing": [{"do": "slow", "factor": 6.0}, {"do": "crash"}],
}


def from_journal(path: Path, day: str, seconds: float, rate: float) -> tuple[Script, list[str]]:
    """The kinds of trouble that a bench day had, in their order, spread over a day here; and those left out."""
    try:
        days = orjson.loads(path.read_bytes())["days"]
        found = next(each for each in days if not day or each["name"] == day)
        kinds = [str(each) for each in found["troubles"]]
    except (ValueError, KeyError, TypeError, StopIteration):
        expected = f"expected a bench journal with day {day or '(any)'}"
        raise ConfigError([Problem(str(path), 0, "days", expected)]) from None
    known = [kind for kind in kinds if kind in BENCH_KINDS]
    rows = []
    for place, kind in enumerate(known):
        at = 0.05 + 0.8 * place / max(len(known), 1)
        rows += [{**step, "at": -at} for step in BENCH_KINDS[kind]]
    return scaled(rows, seconds, rate), sorted({kind for kind in kinds if kind not in BENCH_KINDS})
