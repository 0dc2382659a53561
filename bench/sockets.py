"""What the platform's broker costs, and how soon it hears of an answer: `python bench/sockets.py [--seconds N]`.

One broker in this process, two canned nodes and the clients in processes of their own, on loopback. An answer's value
is the moment before its last byte was sent; the time to the module runs from then to the turn in which it is decided.
"""

from __future__ import annotations

import multiprocessing
import random
import resource
import socket
import threading
import time
from collections.abc import Callable
from copy import copy
from dataclasses import dataclass
from functools import partial
from typing import Any

import click
import orjson

from stepknot.broker.query import QueryResult, QueryStatus
from stepknot.interface import Outcome
from stepknot.net.http import ServerParser, encode_response
from stepknot.platform import frames, requests
from stepknot.platform.config import parse_config
from stepknot.platform.service import LIMITS, Service

ROUNDS = 2000  # of each stage
WORK = 0.010  # seconds that a node takes for a part, in the mean


def free() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def node(port: int) -> None:
    """Answers each part after a while, parts of one connection side by side."""
    chance = random.Random(port)

    def later(sock: socket.socket, part: bytes) -> None:
        time.sleep(chance.expovariate(1 / WORK))
        line = b"%s OK 7 inflight=0\n%d" % (part, time.monotonic_ns())
        sock.sendall(frames.encode_frame(b"Y", line))

    def converse(sock: socket.socket) -> None:
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
            while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "little")):
                if data[4:5] == b"R":
                    threading.Thread(
                        target=later, args=(sock, data[5:].split(b" ")[0]), daemon=True
                    ).start()
                data = data[4 + size :]

    with socket.create_server(("127.0.0.1", port)) as server:
        while True:
            sock = server.accept()[0]
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=converse, args=(sock,), daemon=True).start()


def request(number: int) -> bytes:
    shards = (0, 1)
    body = orjson.dumps(
        {
            "segments": [{"segment": each, "boost": 0.5, "work": 9000} for each in shards],
            "text": "c4",
        }
    )
    return (
        f"POST /list HTTP/1.1\r\nhost: x\r\nx-txn: q{number:012d}\r\nx-remaining: 900m\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


def client(port: int, first: int, rate: float, seconds: float) -> None:
    chance, end = random.Random(first), time.monotonic() + seconds
    sock = socket.create_connection(("127.0.0.1", port))
    while time.monotonic() < end - 0.2:  # the broker stops then
        first += 1
        sock.sendall(request(first))
        sock.recv(65536)
        time.sleep(chance.expovariate(rate))


def configuration(listen: int, nodes: list[int]) -> bytes:
    rows = [
        {
            "id": f"s-{place}",
            "addr": f"127.0.0.1:{port}",
            "zone": "a",
            "kind": "m",
            "cell": place,
            "state": "active",
            "weight": 1.0,
            "started_ms": 0,
        }
        for place, port in enumerate(nodes)
    ]
    lane = {
        "name": "list",
        "slo-ns": 300e6,
        "deadline-ns": 1e9,
        "points": 1.0,
        "late-value": 0.0,
        "idempotency": "idempotent",
    }
    settings = {
        "allowed": {
            "cancelling": True,
            "conn-idle-ns": 30e9,
            "connect-timeout-ns": 250e6,
            "max-attempts": 3,
            "max-retry-after-ns": 1e9,
            "may-duplicate": False,
            "open-cap": 2000,
            "probing": False,
            "retry-after": True,
            "streams-per-conn": 32,
        },
        "balancers": 1,
        "discovery": "ask",
        "lanes": [lane],
        "period-ns": 1e6,
        "counted-by": "request",
        "family-info": {
            "cells": 2,
            "class-fetch": [0],
            "class-floor": [1.0],
            "class-need": [1.0],
            "parts-a-call": 1,
            "partial-earns": [0.9],
            "ranges": 2,
            "span": 1,
        },
        "rules": {
            "ask-within-ns": 60e9,
            "cold-from": 0.3,
            "cold-ns": 1e9,
            "drain-grace-ns": 500e6,
            "fall-ns": 1e9,
            "tip-multiple": 2.5,
        },
    }
    return orjson.dumps(
        {
            "name": "n0",
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{free()}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 1, "full": True, "servers": rows},
            "settings": settings,
        }
    )


def timed(what: Callable[[], Any]) -> float:
    """Microseconds of processor time, each."""
    begun = time.process_time()
    for _ in range(ROUNDS):
        what()
    return (time.process_time() - begun) / ROUNDS * 1e6


def stages(service: Service) -> dict[str, float]:
    """Of one query of two parts, but for the module and the sockets."""
    asked, reply = request(1), frames.encode_frame(b"Y", b"q1.0 OK 7 inflight=0\nv")

    def parse() -> Any:
        parser = ServerParser(LIMITS)
        parser.feed(asked)
        return parser.requests[0]

    read = parse()
    ask = requests.parse_query(read, service.catalog, 0.0)
    answer = QueryResult(QueryStatus.ANSWERED, True)

    def reply_both() -> None:
        reader = frames.FrameReader()
        reader.feed(reply + reply)

    return {
        "request parsed": timed(parse),
        "request read": timed(lambda: requests.parse_query(read, service.catalog, 0.0)),
        "two calls written": timed(
            lambda: [frames.encode_call([(each.request, 0.2)]) for each in ask.parts]
        ),
        "two answers read": timed(reply_both),
        "answer written": timed(
            lambda: encode_response(requests.build_response(ask, answer), read, False)
        ),
    }


def heard(service: Service) -> list[float]:
    """Seconds from each answer's last byte to the module's turn, filled in as they come."""
    fresh: list[int] = []
    took: list[float] = []
    take, decide = service.core.attempts.on_reply, service.core.decide

    def take_reply(attempt: Any, reply: Any, load: Any) -> None:
        if reply.outcome is Outcome.SERVED:
            fresh.append(int(reply.payload))
        take(attempt, reply, load)

    def decided(now: float, events: Any) -> Any:
        at = time.monotonic_ns()
        took.extend((at - each) / 1e9 for each in fresh)
        fresh.clear()
        return decide(now, events)

    service.nodes.on_reply, service.core.decide = take_reply, decided
    return took


@dataclass(frozen=True, slots=True)
class Played:
    """Traffic at one rate: times in seconds, CPU of the broker's process."""

    queries: int
    took: list[float]  # from each answer's last byte to the module's turn, sorted
    longest_turn: float
    user: float
    system: float
    module: float  # of `user`: within the module's decisions

    @property
    def spent(self) -> float:
        return self.user + self.system


def play(rate: float, seconds: float) -> Played:
    """`rate`: queries a second, of two parts each."""
    listen, ports = free(), [free(), free()]
    config = parse_config(configuration(listen, ports), "bench")
    service = Service(config, lambda event, **fields: None, partial(copy, config))
    took = heard(service)
    lanes = 20
    others = [multiprocessing.Process(target=node, args=(port,), daemon=True) for port in ports]
    others += [
        multiprocessing.Process(
            target=client, args=(listen, lane * 10**6, rate / lanes, seconds), daemon=True
        )
        for lane in range(lanes)
    ]
    for each in others:
        each.start()
    service.loop.call_later(seconds, service.stop)
    before = resource.getrusage(resource.RUSAGE_SELF)
    service.run()
    after, core = resource.getrusage(resource.RUSAGE_SELF), service.core
    for each in others:
        each.kill()
        each.join()
    return Played(
        max(core.counts["queries"], 1),
        sorted(took),
        service.loop.lag_most,
        after.ru_utime - before.ru_utime,
        after.ru_stime - before.ru_stime,
        core.decide_time,
    )


def any_service() -> Service:
    """One that serves nobody, for `stages`."""
    config = parse_config(configuration(free(), [free(), free()]), "bench")
    return Service(config, lambda event, **fields: None, partial(copy, config))


@click.command(help=__doc__)
@click.option("--seconds", default=5.0, show_default=True, help="Of traffic at each rate.")
@click.option("--rates", default="60,130,260", show_default=True, help="Queries a second.")
def main(seconds: float, rates: str) -> None:
    for rate in [float(each) for each in rates.split(",")]:
        found = play(rate, seconds)
        queries, took = found.queries, found.took
        quantiles = ", ".join(
            f"{share:.1%} {took[int(share * len(took))] * 1e6:.0f}" for share in (0.5, 0.99, 0.999)
        )
        click.echo(
            f"{queries / seconds:.0f} queries a second: answer's last byte to the module, us: {quantiles}; "
            f"longest turn {found.longest_turn * 1e3:.1f} ms; CPU a query {found.spent / queries * 1e6:.0f} us, "
            f"the module {found.module / queries * 1e6:.0f} of it"
        )
    click.echo("; ".join(f"{name} {cost:.0f} us" for name, cost in stages(any_service()).items()))


if __name__ == "__main__":
    main()
