"""What a broker costs: `python bench/broker.py [--seconds N] [--runs N] [--json FILE]`.

All on loopback, boxes canned (bench/canned.py), so the figures are of the broker alone. Rates are queries for each
second of the broker's own CPU time, so they hold on a shared machine; ratios are within one run.
"""

from __future__ import annotations

import os
import pickle
import pstats
import random
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import orjson
from harness import cpu_of, processes

from stepknot.config.settings import load
from stepknot.decisions import Aggregator
from stepknot.interface import (
    AttemptEnded,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    Probe,
    ProbeEnded,
    QueryArrived,
    QueryGone,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    TimerDue,
)
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine
from stepknot.search.merge import Target, merge, read_shard
from stepknot.search.request import parse_search
from stepknot.simulation.fleet import settings_text
from stepknot.simulation.ports import reserve_ports

WIDTHS = (1, 5, 12, 30)
BOXES, CELLS = 6, 6
CLIENTS = 16  # connections, each with one query at a time
BODY = orjson.dumps({"query": {"match": {"title": "go"}}, "_source": False, "size": 10})
FOLDER = Path(__file__).parent


def settings(port: int) -> str:
    text = settings_text(port=port, instances=1, cells=CELLS, shards=1)
    head, _, _ = text.partition("index ")
    return head + "".join(f'index "p{width}" {{\n  shards = {width}\n}}\n' for width in WIDTHS)


@contextmanager
def running(
    delay_ms: float, profile: Path | None = None, record: Path | None = None
) -> Iterator[tuple[int, int, list[int]]]:
    """A broker and its boxes: the broker's port and process id, and the boxes' ports."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        port, *ports = reserve_ports(1 + BOXES)
        (folder / "broker.hcl").write_text(settings(port))
        rows = [
            {"address": f"127.0.0.1:{each}", "cell": place % CELLS}
            for place, each in enumerate(ports)
        ]
        (folder / "boxes.json").write_bytes(orjson.dumps({"boxes": rows}))
        words = [
            sys.executable,
            "-m",
            "stepknot",
            "serve",
            str(folder / "broker.hcl"),
            "--log-level",
            "error",
        ]
        if profile is not None:
            words[1:1] = ["-m", "cProfile", "-o", str(profile)]
        if record is not None:
            words = [sys.executable, __file__, "record", str(folder / "broker.hcl"), str(record)]
        with processes(words, ports, delay_ms) as pid:
            yield port, pid, ports


def request(width: int) -> bytes:
    return (
        f"POST /p{width}/_search HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
        f"content-length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


def reply_at(sock: socket.socket) -> bytes:
    data = sock.recv(1 << 18)
    while b"\r\n\r\n" not in data:
        data += sock.recv(1 << 18)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head[head.index(b"content-length: ") + 16 :].partition(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(1 << 18)
    assert head.startswith(b"HTTP/1.1 200"), head
    return body


def ask_for(port: int, data: bytes, seconds: float) -> int:
    """Closed loop on CLIENTS connections; how many queries were answered."""
    import select

    socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENTS)]
    by_number = {sock.fileno(): sock for sock in socks}
    poll = select.epoll()
    for sock in socks:
        poll.register(sock.fileno(), select.EPOLLIN)
        sock.sendall(data)
    done, until = 0, time.monotonic() + seconds
    while time.monotonic() < until:
        for number, _ in poll.poll(1):
            reply_at(by_number[number])
            by_number[number].sendall(data)
            done += 1
    for sock in socks:
        sock.close()
    return done


def broker_rate(width: int, seconds: float) -> float:
    """Queries for each second of the broker's CPU."""
    with running(0) as (port, pid, _):
        ask_for(port, request(width), seconds / 3)
        before = cpu_of(pid)
        done = ask_for(port, request(width), seconds)
        return done / (cpu_of(pid) - before)


def record(config: Path, out: Path) -> None:
    """`stepknot serve` that keeps what its decision module is handed, and writes it down at its end."""
    from stepknot.cli.serve import run

    calls: list[Any] = []
    handle = Aggregator.handle

    def noted(self: Aggregator, now: float, events: list[Any]) -> list[Any]:
        calls.append((now, events))
        return handle(self, now, events)

    Aggregator.handle = noted  # type: ignore[method-assign]
    run(load(config), lambda event, **fields: None)
    out.write_bytes(pickle.dumps((load(config).settings, calls)))


def replayed_rate(width: int, seconds: float) -> float:
    """The decision module alone, fed the very events that a broker under the same load fed it."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "events"
        with running(0, record=path) as (port, _, _ports):
            ask_for(port, request(width), seconds)
        settings, calls = pickle.loads(path.read_bytes())
    module, done, sends = Aggregator(settings, 1), 0, 0
    begun = time.process_time()
    for now, events in calls:
        sends += sum(type(action) is Send for action in module.handle(now, events))
    spent = time.process_time() - begun
    done = sum(type(event) is QueryArrived for _, events in calls for event in events)
    ended = sum(type(event) is AttemptEnded for _, events in calls for event in events)
    assert sends >= ended > 0.9 * sends, "the replay took another course"
    return done / spent


def module_rate(width: int, seconds: float) -> float:
    """The decision module alone at its best: one query at a time, all its parts ended in one call."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "broker.hcl"
        path.write_text(settings(0))
        module = Aggregator(load(path).settings, 1)
    entries = tuple(
        ServerEntry(f"127.0.0.1:{each}", "a", each % CELLS, ServerState.LIVE)
        for each in range(BOXES)
    )
    now, number, done = 100.0, 0, 0
    module.handle(now, [ListReceived(ListKind.FULL, entries)])
    begun = time.process_time()
    timers: list[SetTimer] = []
    while time.process_time() - begun < seconds:
        now += 0.001
        number += width + 1
        events: list[Any] = [QueryArrived(number, number, "search", now + 3.0)]
        events += [PartArrived(number + 1 + each, number, each, 1 / width) for each in range(width)]
        due = [timer for timer in timers if timer.at <= now]
        timers = [timer for timer in timers if timer.at > now]
        actions = module.handle(now, [*events, *(TimerDue(timer.token) for timer in due)])
        timers += [each for each in actions if isinstance(each, SetTimer)]
        asked = [
            ProbeEnded(each.server, Outcome.SERVED, 0.0005, {"queue": 0.0, "util": 0.1})
            for each in actions
            if isinstance(each, Probe)
        ]
        if asked:
            actions = module.handle(now, asked)
            timers += [each for each in actions if isinstance(each, SetTimer)]
        sends = [each for each in actions if isinstance(each, Send)]
        assert len(sends) == width
        now += 0.001
        module.handle(
            now,
            [
                AttemptEnded(
                    each.part_id,
                    0,
                    each.server,
                    Outcome.SERVED,
                    0.001,
                    load={"queue": 0.0, "util": 0.1},
                )
                for each in sends
            ],
        )
        module.handle(now, [QueryGone(number)])
        timers = timers[-200:]
        done += 1
    return done / (time.process_time() - begun)


def bare(port: int, ports: list[int], data: bytes) -> None:
    """The loop alone: a request comes, as many calls as a broker would make go out, the last reply goes back."""
    loop = Loop(on_error=lambda name, error: None)  # clients that went
    pools: list[list[Link]] = [[] for _ in ports]

    def call(place: int, left: list[int], task_done: Any) -> Coroutine:
        link = (
            pools[place].pop()
            if pools[place]
            else (yield from loop.connect("127.0.0.1", ports[place], 1.0))
        )
        yield from link.send(data)
        got = yield from link.recv(1 << 18)
        while not got.endswith(b"}"):
            got += yield from link.recv(1 << 18)
        pools[place].append(link)
        left[0] -= 1
        if not left[0]:
            task_done.set(got)

    def converse(link: Link) -> Coroutine:
        from stepknot.net.tasks import Future

        while (yield from link.recv(1 << 16)):
            done, left = Future(), [len(ports)]
            for place in range(len(ports)):
                loop.spawn(call(place, left, done))
            got = yield from done.wait()
            yield from link.send(got)
        link.close()

    def accept(link: Link, peer: Any) -> None:
        loop.spawn(converse(link))

    loop.listen("127.0.0.1", port, accept)
    print("ready", flush=True)
    loop.run()


def bare_rate(width: int, seconds: float) -> float:
    calls = min(width, BOXES)
    (port,), ports = reserve_ports(1), reserve_ports(calls)
    boxes = [
        subprocess.Popen(
            [sys.executable, str(FOLDER / "canned.py"), str(each), "0"], stdout=subprocess.PIPE
        )
        for each in ports
    ]
    for each in boxes:
        assert each.stdout is not None
        each.stdout.readline()
    lines = b"".join(
        orjson.dumps({"index": "p", "preference": f"_shards:{shard}"}) + b"\n{}\n"
        for shard in range(max(width // calls, 1))
    )
    data = f"POST /_msearch HTTP/1.1\r\ncontent-length: {len(lines)}\r\n\r\n".encode() + lines
    child = subprocess.Popen(
        [sys.executable, __file__, "bare", str(port), ",".join(map(str, ports)), data.hex()],
        stdout=subprocess.PIPE,
    )
    assert child.stdout is not None
    child.stdout.readline()
    try:
        ask_for(port, request(width), seconds / 3)
        before = cpu_of(child.pid)
        done = ask_for(port, request(width), seconds)
        return done / (cpu_of(child.pid) - before)
    finally:
        for each in (child, *boxes):
            each.terminate()
            each.wait()


def latencies(port: int, data: bytes, rate: float, seconds: float) -> list[float]:
    """Open loop: arrivals are drawn ahead and latency counts from when each was due."""
    rng, loop, took = random.Random(1), Loop(), []
    free: list[Link] = []
    open_calls = [0]

    def one(due: float) -> Coroutine:
        open_calls[0] += 1
        link = free.pop() if free else (yield from loop.connect("127.0.0.1", port, 1.0))
        yield from link.send(data)
        got = b""
        while not got.endswith(b"}"):
            got += yield from link.recv(1 << 18)
        took.append(loop.clock() - due)
        free.append(link)
        open_calls[0] -= 1

    def arrivals() -> Coroutine:
        due = loop.now
        end = due + seconds
        while due < end:
            due += rng.expovariate(rate)
            if due > loop.now:
                yield from loop.sleep(due - loop.now)
            loop.spawn(one(due))
        while open_calls[0]:
            yield from loop.sleep(0.01)
        loop.stop()

    loop.spawn(arrivals())
    loop.run()
    return sorted(took[len(took) // 10 :])


def quantile(values: list[float], share: float) -> float:
    return values[min(int(len(values) * share), len(values) - 1)]


def added_latency(width: int, rate: float, seconds: float) -> dict[str, float]:
    """At half load, over what the same number of clients see at a box itself."""
    lines = b"".join(
        orjson.dumps({"index": "p", "preference": f"_shards:{shard}"}) + b"\n{}\n"
        for shard in range(max(width // BOXES, 1))
    )
    direct = f"POST /_msearch HTTP/1.1\r\ncontent-length: {len(lines)}\r\n\r\n".encode() + lines
    with running(10) as (port, _, ports):
        box = latencies(ports[0], direct, rate, seconds)
        whole = latencies(port, request(width), rate, seconds)
    return {
        "rate": rate,
        "box_p50_ms": 1000 * quantile(box, 0.5),
        "box_p99_ms": 1000 * quantile(box, 0.99),
        "p50_added_ms": 1000 * (quantile(whole, 0.5) - quantile(box, 0.5)),
        "p99_added_ms": 1000 * (quantile(whole, 0.99) - quantile(box, 0.99)),
    }


STAGES = {
    "interface.py": "decide",
    "core.py": "carry out",
    "queries.py": "carry out",
    "codec.py": "boxes' codec",
    "pool.py": "send",
    "loop.py": "loop",
    "http.py": "parse",
    "server.py": "parse",
    "merge.py": "merge",
    "aggs.py": "merge",
    "request.py": "parse",
    "dsl.py": "parse",
    "app.py": "front",
    "replies.py": "write",
    "jsonbody.py": "parse",
    "random.py": "decide",
}


def stage_of(file: str) -> str:
    """The stage to which a source file belongs."""
    path = Path(file)
    return "decide" if path.parent.name == "decisions" else STAGES.get(path.name, "other")


def stages(width: int, seconds: float) -> dict[str, float]:
    """Share of the broker's time by stage, under cProfile; built-in calls count where they were made."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "profile"
        with running(0, path) as (port, _, _ports):
            ask_for(port, request(width), seconds)
        found: Any = pstats.Stats(str(path))
    times: dict[str, float] = defaultdict(float)
    for (file, _, function), (_, _, own, _, callers) in found.stats.items():
        if "poll" in function:
            continue
        if file == "~":
            for (caller, _, _), (_, _, part, _) in callers.items():
                times[stage_of(caller)] += part
        else:
            times[stage_of(file)] += own
    total = sum(times.values())
    return {stage: part / total for stage, part in sorted(times.items(), key=lambda each: -each[1])}


def idle_memory(clients: int) -> float:
    """Bytes of the broker's memory for each idle client."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20_000), hard))
    with running(0) as (port, pid, _):
        ask_for(port, request(5), 0.5)
        before = resident(pid)
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(clients)]
        for sock in socks:  # each has asked once and is kept
            sock.sendall(b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n")
        for sock in socks:
            sock.recv(4096)
        used = (resident(pid) - before) / clients
        for sock in socks:
            sock.close()
    return used


def held_memory(queries: int) -> float:
    """Bytes of the broker's memory for each query of 12 parts that it holds, its client's connection included."""
    with running(900) as (port, pid, _):
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(queries)]
        for sock in socks:
            sock.sendall(b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n")
        for sock in socks:
            sock.recv(4096)
        before = resident(pid)
        for sock in socks:
            sock.sendall(request(12))
        most, until = before, time.monotonic() + 0.8
        while time.monotonic() < until:
            most = max(most, resident(pid))
            time.sleep(0.01)
        for sock in socks:
            sock.close()
    return (most - before) / queries


def resident(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def merging(shards: int, hits: int) -> float:
    """Seconds to read and merge so many shards' hits into one page of as many rows."""
    search = parse_search({"size": hits, "sort": [{"rating": "desc"}]}, {}, hits)
    answers = []
    for shard in range(shards):
        rows = [
            {
                "_index": "i",
                "_id": f"{shard}-{place}",
                "_score": None,
                "sort": [hits * 10 - place * 9 - shard % 7],
            }
            for place in range(hits)
        ]
        answers.append({"hits": {"total": {"value": hits, "relation": "eq"}, "hits": rows}})
    begun = time.perf_counter()
    found = [
        read_shard(Target("i", shard, shard), search, each) for shard, each in enumerate(answers)
    ]
    page = merge(search, found, False, 1000)
    assert len(page.rows) == hits
    return time.perf_counter() - begun


@click.command()
@click.option("--seconds", default=3.0, show_default=True, help="Length of each measurement.")
@click.option("--runs", default=3, show_default=True, help="Of each; medians are shown.")
@click.option("--json", "out", type=click.Path(path_type=Path), help="Write the figures here too.")
def main(seconds: float, runs: int, out: Path | None) -> None:
    figures: dict[str, Any] = {"rates": {}}
    click.echo("queries a second of one core's CPU, medians of alternating runs")
    click.echo(
        f"{'parts':>6} {'broker':>9} {'parts/s':>9} {'module':>9} {'at best':>9} {'bare loop':>10} "
        f"{'broker/module':>14}"
    )
    for width in WIDTHS:
        samples = [
            (
                broker_rate(width, seconds),
                replayed_rate(width, seconds),
                module_rate(width, seconds / 3),
                bare_rate(width, seconds),
            )
            for _ in range(runs)
        ]
        broker, module, best, loop = (
            statistics.median(each) for each in zip(*samples, strict=True)
        )
        figures["rates"][width] = {
            "broker": broker,
            "module": module,
            "module_at_best": best,
            "bare": loop,
        }
        click.echo(
            f"{width:>6} {broker:>9.0f} {broker * width:>9.0f} {module:>9.0f} {best:>9.0f} {loop:>10.0f} "
            f"{broker / module:>14.2f}"
        )
    half = figures["rates"][12]["broker"] / 2
    figures["latency"] = added_latency(12, half, seconds * 2)
    click.echo(
        "added latency at half load, 12 parts, boxes of 10 ms: "
        + ", ".join(f"{key} {value:.2f}" for key, value in figures["latency"].items())
    )
    figures["stages"] = stages(12, seconds)
    click.echo(
        "share of time by stage, 12 parts: "
        + ", ".join(f"{key} {value:.0%}" for key, value in figures["stages"].items())
    )
    figures["idle_bytes"] = idle_memory(2000)
    figures["held_bytes"] = held_memory(200)
    figures["merge_ms"] = statistics.median(1000 * merging(30, 1000) for _ in range(5))
    click.echo(
        f"memory for each idle client: {figures['idle_bytes'] / 1024:.1f} KB, for each query of 12 parts held: "
        f"{figures['held_bytes'] / 1024:.1f} KB; "
        f"merging 30 parts of 1000 hits: {figures['merge_ms']:.1f} ms"
    )
    if out:
        out.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))


if __name__ == "__main__":
    if sys.argv[1:2] == ["record"]:
        record(Path(sys.argv[2]), Path(sys.argv[3]))
    elif sys.argv[1:2] == ["bare"]:
        bare(
            int(sys.argv[2]),
            [int(each) for each in sys.argv[3].split(",")],
            bytes.fromhex(sys.argv[4]),
        )
    else:
        main()
