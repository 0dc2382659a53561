"""The six rules, decided from what was seen at sockets: the clients' side and the boxes' side, never a broker's word.

What each check goes by, and its tolerance, stands with it. A process that reads late sees late: TOLERANCE allows
for that where a time at one process is held against a time at another.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stepknot.config.settings import Config, load
from stepknot.interface import Effect
from stepknot.search.routing import shard_of
from stepknot.simulation import corpus
from stepknot.simulation.socket_recorder import read

TOLERANCE = 0.25  # seconds
LIST_TIME = (
    0.2  # seconds from the list's change until a broker that looks every 100 ms has been told
)
MOST_SHOWN = 20  # breaches kept for each rule
Event = dict[str, Any]


@dataclass(slots=True)
class Report:
    """One rule: how many checks were made, what broke it, and how near anything came."""

    rule: str
    checks: int = 0
    breaches: list[str] = field(default_factory=list)
    broken: int = 0
    nearest: float | None = None  # in the unit that `unit` names; what is left until a breach
    unit: str = ""

    def check(self, good: bool, what: str) -> None:
        self.checks += 1
        if not good:
            self.broken += 1
            if len(self.breaches) < MOST_SHOWN:
                self.breaches.append(what)

    def near(self, left: float) -> None:
        self.nearest = left if self.nearest is None else min(self.nearest, left)

    def body(self) -> dict[str, Any]:
        return {
            "rule": self.rule,
            "checks": self.checks,
            "broken": self.broken,
            "nearest": self.nearest,
            "unit": self.unit,
            "breaches": self.breaches,
        }


@dataclass(slots=True)
class Records:
    """All taps of a run, sorted by time."""

    config: Config
    client: list[Event]
    fleet: list[Event]
    boxes: list[Event]
    documents: int

    @classmethod
    def load(cls, folder: Path) -> Records:
        """Raises OSError where the folder is not a run's."""
        boxes = [event for path in sorted(folder.glob("box-*.tap")) for event in read(path)]
        fleet = read(folder / "fleet.tap")
        documents = next(each["documents"] for each in fleet if each["what"] == "begin")
        return cls(
            load(folder / "broker-0.hcl"),
            read(folder / "client.tap"),
            fleet,
            sorted(boxes, key=lambda each: float(each["t"])),
            documents,
        )

    def downs(self) -> dict[int, list[tuple[float, float]]]:
        """When each broker was dead or stopped from outside, by port."""
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        since: dict[int, float] = {}
        for event in self.fleet:
            if event["what"] == "broker_down":
                since[event["port"]] = event["t"]
            elif event["what"] == "broker_up" and event["port"] in since:
                spans[event["port"]].append((since.pop(event["port"]), event["t"]))
        for port, begun in since.items():
            spans[port].append((begun, float("inf")))
        return spans


def audit(records: Records) -> list[Report]:
    queries = by_query(records.client)
    return [
        no_query_lost(records, queries),
        no_effect_twice(records, queries),
        drains_kept(records),
        no_cold_box_pushed_over(records),
        answers_honest(records, queries),
        budget_kept(records, queries),
    ]


def by_query(events: Iterable[Event]) -> dict[str, list[Event]]:
    queries: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        queries[event["query"]].append(event)
    return queries


def part_names(event: Event) -> list[str]:
    """The queries' names. A GraphQL operation's fields are named by the operation and their place in it."""
    if event["what"] == "call":
        return [part[2].partition("~")[0] for part in event["parts"]]
    return [query_of(event["token"])]


def query_of(token: str) -> str:
    return token.partition(".")[2].partition("~")[0]


def no_query_lost(records: Records, queries: dict[str, list[Event]]) -> Report:
    """One final answer within the client's time, nothing to the client and no part to a box after it.

    Excused: what a broker held while it was dead or stopped, and who hung up.
    """
    report = Report("1 no query lost", unit="s left of the client's time")
    downs = records.downs()
    final: dict[str, float] = {}
    for name, events in queries.items():
        asked = events[0]
        until = asked["t"] + asked["seconds"]
        whats = [each["what"] for each in events]
        answers = [each for each in events if each["what"] == "answered"]
        if "hung_up" in whats or "answer_unread" in whats:
            # A broker that stands still cannot notice: from when it goes on, it must.
            left = events[-1]["t"]
            final[name] = max(
                [left, *(end for begun, end in downs[asked["broker"]] if begun <= left <= end)]
            )
            continue
        if any(begun <= until and asked["t"] <= end for begun, end in downs[asked["broker"]]):
            continue
        report.check(
            len(answers) == 1,
            f"{name}: {len(answers)} final answers ({asked['kind']}; {events[-1]})",
        )
        if answers:
            final[name] = answers[0]["t"]
            report.check(
                answers[0]["t"] <= until,
                f"{name}: answered {answers[0]['t'] - until:.3f} s too late",
            )
            report.near(until - answers[0]["t"])
        report.check("extra_bytes" not in whats, f"{name}: bytes after its final answer")
    for event in records.boxes:
        if event["what"] in ("call", "write"):
            for name in part_names(event):
                if name in final:
                    late = event["t"] - final[name]
                    report.check(
                        late <= TOLERANCE,
                        f"{name}: a part reached {event['who']} {late:.3f} s after its end",
                    )
    return report


def effect_of(records: Records, actions: list[str]) -> Effect:
    """The strictest of the classes that these actions belong to."""
    kinds = {
        records.config.settings.classes[records.config.operations[action]].effect
        for action in actions
    }
    return Effect.UNSAFE if Effect.UNSAFE in kinds else Effect.KEYED


def no_effect_twice(records: Records, queries: dict[str, list[Event]]) -> Report:
    """Each write's arrivals at all boxes. Unsafe: another only once the earlier ones are known to have been turned
    away; it runs once at the most, and not at all where the client was told that trying again is harmless. Keyed:
    another only within the time for which repeats are dropped."""
    report = Report("2 no effect twice", unit="s left of the repeat window")
    settings = records.config.settings
    window = max(
        (kind.repeat_window for kind in settings.classes.values() if kind.effect is Effect.KEYED),
        default=0.0,
    )
    arrivals: dict[str, list[Event]] = defaultdict(list)
    rejected: dict[str, list[float]] = defaultdict(list)
    ran: dict[str, int] = defaultdict(int)
    refused = {
        name
        for name, events in queries.items()
        if any(each.get("status") == 429 for each in events)
    }
    for event in records.boxes:
        if event["what"] == "write":
            arrivals[event["token"]].append(event)
        elif event["what"] == "rejected":
            rejected[event["token"]].append(event["t"])
        elif event["what"] == "ran":
            ran[event["token"]] += 1
    for token, events in arrivals.items():
        name = query_of(token)
        if effect_of(records, events[0]["actions"]) is Effect.UNSAFE:
            for place, event in enumerate(events[1:], 1):
                known = sum(at <= event["t"] for at in rejected[token])
                report.check(
                    known >= place, f"{token}: sent again to {event['who']} though it may have run"
                )
            report.check(ran[token] <= 1, f"{token}: ran {ran[token]} times")
            report.check(
                not (ran[token] and name in refused),
                f"{token}: refused as harmless to repeat, but it ran",
            )
        else:
            for event in events[1:]:
                left = events[0]["t"] + window - event["t"]
                report.check(left >= 0, f"{token}: repeated {-left:.3f} s after its window")
                report.near(left)
            report.check(True, token)
    return report


def drains_kept(records: Records) -> Report:
    """Nothing reaches a box later than the grace after the list said that it drains or is gone, until it may be known
    to be back: the list is there for brokers a little before that is noted."""
    report = Report("3 drains kept", unit="s left of the grace")
    grace = records.config.settings.rules.drain_grace
    lists = [event for event in records.fleet if event["what"] == "list"]
    off: dict[str, list[tuple[float, float]]] = defaultdict(
        list
    )  # when each box was not live, by the list
    since: dict[str, float] = {}
    known: set[str] = set()
    for event in lists:
        live = {address for address, state in event["boxes"] if state == "live"}
        known |= live
        for address in known - live:
            since.setdefault(address, event["t"])
        for address in [each for each in since if each in live]:
            off[address].append((since.pop(address), event["before"]))
    for address, begun in since.items():
        off[address].append((begun, float("inf")))
    for event in records.boxes:
        if event["what"] in ("call", "write"):
            for begun, end in off[event["who"]]:
                if begun < event["t"] < end:
                    left = begun + LIST_TIME + grace - event["t"]
                    report.check(left >= 0, f"{event['who']}: work {-left:.3f} s after the grace")
                    report.near(left)
    report.checks += sum(map(len, off.values()))
    return report


def no_cold_box_pushed_over(records: Records) -> Report:
    """No box fell; how near each cold one came: work that arrived in the rule's time over what makes it fall."""
    report = Report(
        "4 no cold box pushed over", unit="share of the load left until a cold box falls"
    )
    rules = records.config.settings.rules
    cold: dict[str, Event] = {}
    recent: dict[str, list[float]] = defaultdict(list)
    for event in records.boxes:
        who = event["who"]
        if event["what"] == "up":
            cold.pop(who, None)
            recent[who] = []
            if event["cold"]:
                cold[who] = event
                report.checks += 1
        elif event["what"] == "fell":
            report.check(False, f"{who} fell over {event['age']:.2f} s after its start")
        elif event["what"] in ("call", "write") and who in cold:
            age = event["t"] - cold[who]["t"]
            if age >= rules.cold_time:
                continue
            parts = len(event["parts"]) if event["what"] == "call" else 1
            recent[who] = [at for at in recent[who] if at >= event["t"] - rules.fall_time] + [
                event["t"]
            ] * parts
            able = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
            bound = rules.fall_multiple * able * cold[who]["cores"] * rules.fall_time
            report.near(1 - len(recent[who]) * cold[who]["work"] / bound)
    return report


def shard_counts(records: Records) -> dict[str, dict[int, int]]:
    """How many documents of each game each shard of the corpus holds: the truth that totals are held against."""
    index = records.config.indices[corpus.INDEX]
    counts: dict[str, dict[int, int]] = {game: defaultdict(int) for game in corpus.GAMES}
    for number in range(records.documents):
        shard = shard_of(corpus.name_of(number), index.shards, index.routing_shards)
        counts[corpus.document(number)["game"]][shard] += 1
    return counts


def answers_honest(records: Records, queries: dict[str, list[Event]]) -> Report:
    """Totals are what the shards that are not named as failed hold; whole only with all; never under the floor."""
    report = Report("5 answers honest", unit="share of parts over the least share")
    counts = shard_counts(records)
    floor = records.config.settings.classes[records.config.operations["search"]].floor
    shards = records.config.indices[corpus.INDEX].shards
    for name, events in queries.items():
        asked = events[0]
        for answer in (each for each in events if each["what"] == "answered"):
            if asked["kind"] == "get" and answer["status"] in (200, 404):
                report.check(
                    bool(answer.get("found")) and answer.get("id") == asked["id"],
                    f"{name}: {asked['id']} exists, the answer says otherwise",
                )
            if "entities_wrong" in answer:
                report.check(
                    not answer["entities_wrong"],
                    f"{name}: {answer['entities_wrong']} entities that exist are told to be other or none",
                )
            if asked["kind"] != "search" or "total" not in answer:
                continue
            failed, said = set(answer["failed_shards"]) - {-1}, answer["shards"]
            true = sum(
                count for shard, count in counts[asked["game"]].items() if shard not in failed
            )
            share = (shards - len(failed)) / shards
            report.check(
                answer["total"]["value"] == true,
                f"{name}: total {answer['total']['value']}, its shards hold {true}",
            )
            report.check(
                share >= floor, f"{name}: {share:.2f} of the parts, under the floor {floor}"
            )
            report.check(
                said["total"] == shards and said["successful"] <= shards - len(failed),
                f"{name}: says {said}, {len(failed)} shards failed",
            )
            whole = answer["total"]["relation"] == "eq" or not said["failed"]
            report.check(
                not (whole and failed), f"{name}: marked whole with {len(failed)} shards missing"
            )
            report.near(share - floor)
    return report


def budget_kept(records: Records, queries: dict[str, list[Event]]) -> Report:
    """Arrivals of a part beyond its first, by broker, in any window: at most a floor and a share of what was taken."""
    report = Report("6 attempts within budget", unit="attempts left in the tightest window")
    rules, index = records.config.settings.rules, records.config.indices[corpus.INDEX]
    shards = index.shards
    if not rules.extra_window:
        return report
    taken: dict[int, list[float]] = defaultdict(list)
    for events in queries.values():
        asked = events[0]
        parts = shards if asked["kind"] == "search" else 1
        parts += len({shard_of(key, shards, index.routing_shards) for key in asked.get("keys", ())})
        taken[asked["broker"]] += [asked["t"]] * (1 + parts)
    extras: dict[int, list[float]] = defaultdict(list)
    seen: set[tuple[Any, ...]] = set()
    for event in records.boxes:
        if event["what"] not in ("call", "write"):
            continue
        port = int(event["agent"].rpartition("/")[2])
        arrived_parts: list[tuple[Any, ...]]
        if event["what"] == "call":
            arrived_parts = [tuple(part) for part in event["parts"]]
        else:
            arrived_parts = [(event["token"],)]
        for part in arrived_parts:
            if (port, *part) in seen:
                extras[port].append(event["t"])
            elif part[-1] == "fetch":
                taken[port].append(event["t"])
            seen.add((port, *part))
    for port, times in extras.items():
        arrived = sorted(taken[port])
        for place, at in enumerate(times):
            begun = at - rules.extra_window
            used = sum(begun < each <= at for each in times[: place + 1])
            allowed = rules.extra_floor + rules.extra_share * sum(
                begun - TOLERANCE < each <= at for each in arrived
            )
            report.check(
                used <= allowed,
                f"broker {port}: {used} further attempts where {allowed:.1f} are allowed",
            )
            report.near(allowed - used)
    report.checks += len(seen)
    return report
