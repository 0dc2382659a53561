"""Adapter between the simulator and the decision library, over standard input and output.

Each line of input is a JSON object with events, and each line of output is one with the actions that follow.
The adapter only parses, translates and dispatches; all decisions are made by the library.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from stepknot import interface as api
from stepknot.decisions import Aggregator
from stepknot.errors import StepknotError

NS = 1_000_000_000
Fields = dict[str, Any]

OUTCOMES = {
    "GOOD": api.Outcome.SERVED,
    "BAD": api.Outcome.ERROR,
    "FULL": api.Outcome.REJECTED,
    "LATE": api.Outcome.TIMED_OUT,
    "NOCONN": api.Outcome.NOT_CONNECTED,
    "RST": api.Outcome.RESET,
    "CXL": api.Outcome.CANCELLED,
    "NOP": api.Outcome.NOT_SENT,
}
EFFECTS = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
STATES = {
    "live": api.ServerState.LIVE,
    "quiescing": api.ServerState.DRAINING,
    "dead": api.ServerState.GONE,
}
LIST_KINDS = {
    "delta": api.ListKind.CHANGES,
    "full": api.ListKind.FULL,
    "cached": api.ListKind.CACHED,
    "failed": api.ListKind.FAILED,
}


class WireError(StepknotError):
    """A line or a setting is malformed."""


def seconds(ns: float) -> float:
    """Convert nanoseconds to seconds."""
    return ns / NS


def nanoseconds(value: float) -> int:
    """Convert seconds to nanoseconds, rounded to an integer."""
    return round(value * NS)


def parse_settings(profile: Fields) -> api.Settings:
    """Parse the settings of an instance; unknown keys are ignored."""
    family, allowed, rules = profile["family-info"], profile["allowed"], profile["rules"]
    classes = {}
    for index, class_fields in enumerate(profile["lanes"]):
        classes[class_fields["name"]] = api.QueryClass(
            name=class_fields["name"],
            aim=seconds(class_fields["slo-ns"]),
            deadline=seconds(class_fields["deadline-ns"]),
            worth=class_fields["points"],
            late_value=class_fields["late-value"],
            effect=EFFECTS[class_fields["idempotency"]],
            repeat_window=seconds(class_fields.get("window-ns", 0)),
            need=family["class-need"][index],
            floor=min(family["class-floor"][index], family["class-need"][index]),
            partial_value=family["partial-earns"][index],
            second_step_parts=family["class-fetch"][index],
        )
    return api.Settings(
        instances=profile["balancers"],
        cells=family["cells"],
        reach=family["span"],
        parts_per_call=family["parts-a-call"],
        classes=classes,
        rules=api.Rules(
            drain_grace=seconds(rules["drain-grace-ns"]),
            cold_share=rules["cold-from"],
            cold_time=seconds(rules["cold-ns"]),
            fall_multiple=rules["tip-multiple"],
            fall_time=seconds(rules["fall-ns"]),
            ask_within=seconds(rules.get("ask-within-ns", 0)),
            extra_window=seconds(rules.get("look-back-ns", 0)),
            extra_floor=rules.get("extra-floor", 0.0),
            extra_share=rules.get("extra-per-request", 0.0),
        ),
        limits=api.Limits(
            max_attempts=allowed["max-attempts"],
            cancelling=allowed["cancelling"],
            probing=allowed["probing"],
            second_copies=allowed["may-duplicate"],
            retry_after=allowed["retry-after"],
            max_retry_after=seconds(allowed.get("max-retry-after-ns", 0)),
            idle_connection=seconds(allowed.get("conn-idle-ns", 0)),
        ),
        must_ask=profile["discovery"] == "ask",
        worth_by_work=profile.get("counted-by") == "work",
        tick=seconds(profile.get("period-ns", 0)),
    )


def parse_entry(line: Fields) -> api.ServerEntry:
    """Parse one line of an endpoint list."""
    return api.ServerEntry(
        server=line["node"],
        zone=line["locality"],
        cell=line.get("set-no", 0),
        state=STATES[line["lifecycle"]],
        size=line.get("size", 1.0),
        up_since=seconds(line.get("up-since-ns", 0)),
        kind=line.get("generation-hw", ""),
    )


def parse_request(fields: Fields) -> api.Event:
    """Parse a query or a part of one; only a part has a shard number of 0 or more."""
    if fields["shard"] >= 0:
        return api.PartArrived(
            part_id=fields["request-id"],
            number=fields["whole-no"],
            shard=fields["shard"],
            weight=fields["amount"],
            effort=seconds(fields.get("effort-ns", 0)),
        )
    return api.QueryArrived(
        query_id=fields["request-id"],
        number=fields["whole-no"],
        class_name=fields["category"],
        deadline=seconds(fields["valid-until-ns"]),
        tenant=str(fields.get("billing", "")),
        key=fields.get("target-key", ""),
        effort=seconds(fields.get("effort-ns", 0)),
        retry=fields.get("retry", False),
    )


def parse_response(fields: Fields) -> api.Event:
    """Parse the end of an attempt."""
    return api.AttemptEnded(
        part_id=fields["request-id"],
        attempt=fields.get("go", 0),
        server=fields["node"],
        outcome=OUTCOMES[fields["ending"]],
        elapsed=seconds(fields.get("wait-time-ns", 0)),
        part_over=fields.get("terminal", False),
        load=fields.get("health-info") or {},
    )


def parse_probe(fields: Fields) -> api.Event:
    """Parse the end of a probe."""
    return api.ProbeEnded(
        server=fields["node"],
        outcome=OUTCOMES[fields["ending"]],
        elapsed=seconds(fields.get("wait-time-ns", 0)),
        load=fields.get("health-info") or {},
    )


PARSERS: dict[str, Callable[[Fields], api.Event]] = {
    "ASK": parse_request,
    "RESPONSE": parse_response,
    "PROBE_DONE": parse_probe,
    "DROPPED": lambda fields: api.QueryGone(fields["request-id"]),
    "DUE": lambda fields: api.TimerDue(fields["ctx"]),
}


def encode(instance: str, action: api.Action) -> dict[str, Fields]:
    """Encode one action of an instance as an item of the outbox."""
    fields: Fields = {"i": instance}
    match action:
        case api.Send():
            name = "RELAY"
            fields |= {"request-id": action.part_id, "node": action.server}
            fields["max-wait-ns"] = nanoseconds(action.timeout)
        case api.Cancel():
            name = "UNDO_SEND"
            fields |= {"request-id": action.part_id, "go": action.attempt}
        case api.Answer():
            name = "ASSEMBLE"
            fields |= {"request-id": action.query_id, "on": action.whole}
        case api.Refuse():
            name = "NOT_NOW"
            fields |= {"request-id": action.query_id, "backoff-ns": nanoseconds(action.retry_after)}
        case api.Fail():
            name = "DROP_REQUEST"
            fields["request-id"] = action.query_id
        case api.SetTimer():
            name = "TIMER"
            fields |= {"instant-ns": nanoseconds(action.at), "ctx": action.token}
        case api.Probe():
            name = "HEALTH_CHECK"
            fields["node"] = action.server
        case api.Close():
            name = "DROP_CONNS"
            fields["node"] = action.server
        case api.Watch():
            name = "KEEP_INFORMED"
            fields["on"] = True
    return {name: fields}


class Batch:
    """The content of one line: events by instance, in their order, and the actions that follow from them."""

    __slots__ = ("events", "now", "outbox")

    def __init__(self, now: float) -> None:
        self.now = now
        self.events: dict[str, list[api.Event]] = {}
        self.outbox: list[dict[str, Fields]] = []

    def add(self, instance: str, event: api.Event) -> None:
        """Add an event of an instance."""
        self.events.setdefault(instance, []).append(event)


class SimulatorLink:
    """Runs the instances of one process, each with its own aggregator."""

    def __init__(self) -> None:
        self.aggregators: dict[str, Aggregator] = {}
        self.tables: dict[int, tuple[api.ServerEntry, ...]] = {}

    def reply(self, line: str) -> str:
        """Process one line and return the line that answers it.

        Raises:
            WireError: The line is malformed.
        """
        try:
            fields = json.loads(line)
            batch = Batch(seconds(fields["clock-ns"]))
            serial = fields["serial"]
            for item in fields["items"]:
                ((name, item_fields),) = item.items()
                self._process_item(name, item_fields, batch)
        except WireError:
            raise
        except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
            raise WireError(
                "the line is not valid JSON, or a field is missing or malformed:"
                f" {type(error).__name__}: {error}"
            ) from error
        for instance, events in batch.events.items():
            self._run(instance, events, batch)
        return json.dumps({"serial": serial, "outbox": batch.outbox}, separators=(",", ":"))

    def _process_item(self, name: str, fields: Fields, batch: Batch) -> None:
        if name == "LIST":
            self.tables[fields["table"]] = tuple(parse_entry(line) for line in fields["lines"])
        elif name == "START":
            self._start(fields, batch)
        elif name == "CRASH_NOW":
            # Earlier events of this batch are lost with the instance.
            self.aggregators.pop(fields["i"], None)
            batch.events.pop(fields["i"], None)
        elif name == "SYNC":
            kind = LIST_KINDS[fields["mode"]]
            entries = () if kind is api.ListKind.FAILED else self.tables[fields["table"]]
            batch.add(fields["i"], api.ListReceived(kind, entries))
        elif name in PARSERS:
            batch.add(fields["i"], PARSERS[name](fields))

    def _start(self, fields: Fields, batch: Batch) -> None:
        try:
            settings = parse_settings(fields["profile-data"])
        except (KeyError, ValueError, TypeError, IndexError, AttributeError) as error:
            raise WireError(
                "a field of profile-data in a START item is missing or malformed:"
                f" {type(error).__name__}: {error}"
            ) from error
        self.aggregators[fields["i"]] = Aggregator(settings, fields["prng"])
        batch.events[fields["i"]] = []

    def _run(self, instance: str, events: list[api.Event], batch: Batch) -> None:
        aggregator = self.aggregators.get(instance)
        if aggregator is None:
            return
        try:
            actions = aggregator.handle(batch.now, events)
            batch.outbox += [encode(instance, action) for action in actions]
        except Exception as error:  # noqa: BLE001 - the protocol requires a report to the caller
            text = f"{type(error).__name__}: {error}"
            batch.outbox.append({"INTERNAL_ERROR": {"i": instance, "reason-text": text}})
            print(f"benchlink: {instance}: {text}", file=sys.stderr)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer each line until the input ends; returns 1 after a malformed line, else 0."""
    link = SimulatorLink()
    for line in source:
        try:
            reply = link.reply(line)
        except WireError as error:
            print(f"benchlink: {error}", file=sys.stderr)
            return 1
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
