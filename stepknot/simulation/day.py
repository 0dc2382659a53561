"""A scripted bad day on real processes and sockets: traffic, troubles, and records for the audit.

Clients here are as the users have them: some give up early and say so (`timeout`), some hang up half way, some
repeat what was refused or failed, at once or as advised. Each query has a connection of its own that is read for a
while after its answer, so that nothing sent later goes unseen.
"""

from __future__ import annotations

import os
import random
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.loop import Loop
from stepknot.net.response_parser import ClientParser
from stepknot.net.tasks import Coroutine
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from stepknot.simulation import clients, corpus
from stepknot.simulation.fleet import Box, Broker, Fleet, readable
from stepknot.simulation.links import Rule
from stepknot.simulation.script import BOX_FAULTS, Script, Step
from stepknot.simulation.socket_recorder import Tap

MIX = (("search", 0.45), ("get", 0.25), ("index", 0.15), ("create", 0.15))
DEADLINE = 3.0  # seconds: the classes' own, as in the settings of the fleet
HASTY, HASTY_TIME = 0.10, 0.4  # share of clients that give up early, and after how long
LEAVERS, LEAVE_AFTER = 0.05, 0.03  # share that hang up, and within which time
REPEATS = 2
LISTEN_ON = 0.3  # seconds for which a connection is read after its final answer
FLOOD_FROM = "127.0.0.66"
# The day's own clients all come from one address: it is a known one.
ADMISSION = """\
  listed       = ["127.0.0.1/32"]
  rate         = 100
  known_factor = 20
  per_address  = 32
  queries      = 64"""
FRONTS = ("search", "graphql")  # each client's query goes by one of them


class Day:
    def __init__(
        self, fleet: Fleet, script: Script, seed: int, words: Callable[[str], None]
    ) -> None:
        self.fleet, self.script, self.words = fleet, script, words
        self.loop = Loop(rng=random.Random(seed))
        self.rng = random.Random(seed + 1)
        self.client = Tap(fleet.folder / "client.tap", "client")
        self.events = Tap(fleet.folder / "fleet.tap", "fleet")
        self.pool = ConnectionPool(self.loop, 8, 1.0, 5.0, 1 << 20)
        self.asked = self.open = 0
        self.factor, self.at_once, self.hot = 1.0, False, ""
        self.counts: Counter[str] = Counter()
        self.list_frozen = False
        fleet.on_list = lambda rows, before: self.events.note(
            "list", before=before, boxes=[[row["address"], row["state"]] for row in rows]
        )

    # --- life

    def run(self) -> None:
        self.begun = self.loop.clock()
        self.fleet.write_list()
        ports = [each.port for each in self.fleet.brokers]
        self.events.note("begin", documents=self.fleet.documents, brokers=ports)
        self.loop.spawn(self.traffic(), "traffic")
        self.until = self.begun + self.script.seconds
        self.loop.spawn(self.happen(), "steps")
        self.tend()
        self.loop.run()
        self.events.note("end")

    def tend(self) -> None:
        """Keeps the list; ends the loop when all is over."""
        self.tend_boxes()
        if self.loop.clock() > self.until and not self.open:
            self.loop.stop()
        else:
            self.loop.call_later(0.1, self.tend)

    def tend_boxes(self) -> None:
        """Lists boxes that came up, takes off those that died."""
        for box in self.fleet.boxes:
            if box.listed and not box.running:
                box.listed = False
                self.write_list()
            elif not box.listed and box.running and readable(box.process):
                self.fleet.box_ready(box)
                self.write_list()

    def write_list(self) -> None:
        if not self.list_frozen:
            self.fleet.write_list()

    def say(self, step: Step, who: list[Any]) -> None:
        self.words(f"{step.at:6.1f} s  {step.do:<12} {', '.join(map(str, who))}")
        self.events.note("step", do=step.do, who=list(map(str, who)), lasts=step.lasts)

    # --- troubles

    def happen(self) -> Coroutine:
        """The steps in their order. One that strikes a zone waits until all boxes there are back from an earlier one:
        on a slow machine the day becomes longer, and the same things happen in it."""
        late = 0.0
        for step in self.script.steps:
            while (left := self.begun + late + step.at - self.loop.clock()) > 0:
                yield from self.loop.sleep(left)
            while step.zone and not all(
                box.listed and box.running and not box.draining
                for box in self.fleet.boxes
                if box.zone == step.zone
            ):
                yield from self.loop.sleep(0.1)
            behind = self.loop.clock() - (self.begun + step.at)
            self.until += max(0.0, behind - late)
            late = max(late, behind)
            self.do(step)

    def do(self, step: Step) -> None:
        if step.do in BOX_FAULTS:
            self.strike(step)
        else:
            getattr(self, f"do_{step.do}")(step)

    def pick_boxes(self, step: Step) -> list[Box]:
        """Of those that are listed and sound, by chance; a crash leaves each cell one."""
        free = [
            box
            for box in self.fleet.boxes
            if box.listed and box.running and not box.draining and step.zone in ("", box.zone)
        ]
        self.rng.shuffle(free)
        if step.do not in ("crash", "drain"):
            return free[: step.boxes]
        left = Counter(
            box.cell for box in self.fleet.boxes if box.listed and box.running and not box.draining
        )
        picked: list[Box] = []
        for box in free:
            if len(picked) < step.boxes and left[box.cell] > 1:
                left[box.cell] -= 1
                picked.append(box)
        return picked

    def command(self, box: Box, **fault: Any) -> None:
        body = orjson.dumps(fault)
        head = f"POST /fault HTTP/1.1\r\nhost: box\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        self.pool.start(
            f"127.0.0.1:{box.control}", Exchange(head + body, lambda parser, outcome, reason: None)
        )

    def strike(self, step: Step) -> None:
        boxes = self.pick_boxes(step)
        more = {"agent": f"/{self.fleet.brokers[step.broker].port}"} if step.broker >= 0 else {}
        for box in boxes:
            self.command(
                box, kind=step.do, seconds=step.lasts, share=step.share, factor=step.factor, **more
            )
        self.say(step, [box.number for box in boxes])

    def do_crash(self, step: Step) -> None:
        boxes = self.pick_boxes(step)
        for box in boxes:
            assert box.process is not None
            box.process.kill()
            self.loop.call_later(step.lasts, lambda box=box: self.fleet.start_box(box, cold=True))  # type: ignore[misc]
        self.say(step, [box.number for box in boxes])

    def do_drain(self, step: Step) -> None:
        """As a deploy does it: drain, end a while later, come back cold."""
        boxes = self.pick_boxes(step)
        for box in boxes:
            box.draining = True
            self.loop.call_later(step.lasts * 0.6, lambda box=box: self.end_box(box))  # type: ignore[misc]
            self.loop.call_later(step.lasts, lambda box=box: self.fleet.start_box(box, cold=True))  # type: ignore[misc]
        self.write_list()
        self.say(step, [box.number for box in boxes])

    def end_box(self, box: Box) -> None:
        if box.process is not None:
            box.process.terminate()

    def do_kill_broker(self, step: Step) -> None:
        broker = self.rng.choice([each for each in self.fleet.brokers if each.process is not None])
        self.events.note("broker_down", port=broker.port)
        assert broker.process is not None
        broker.process.kill()
        broker.process.wait()
        broker.process = None
        self.loop.call_later(
            step.lasts, lambda: void(self.loop.spawn(self.revive(broker), "revive"))
        )
        self.say(step, [broker.port])

    def revive(self, broker: Broker) -> Coroutine:
        self.fleet.start_broker(broker)
        while not readable(broker.process):
            yield from self.loop.sleep(0.05)
        self.fleet.broker_ready(broker)
        self.events.note("broker_up", port=broker.port)

    def do_stall_broker(self, step: Step) -> None:
        broker = self.rng.choice([each for each in self.fleet.brokers if each.process is not None])
        assert broker.process is not None
        process = broker.process
        self.events.note("broker_down", port=broker.port, stalled=True)
        os.kill(process.pid, signal.SIGSTOP)

        def go_on() -> None:
            os.kill(process.pid, signal.SIGCONT)
            self.events.note("broker_up", port=broker.port, stalled=True)

        self.loop.call_later(step.lasts, go_on)
        self.say(step, [broker.port])

    def do_part_peers(self, step: Step) -> None:
        names, links = [each.name for each in self.fleet.brokers], self.fleet.links
        assert links is not None, "the brokers of this day do not know each other"
        links.part(names[: step.boxes], names[step.boxes :])
        self.loop.call_later(step.lasts, links.heal)
        self.say(step, names[: step.boxes])

    def do_lose_peers(self, step: Step) -> None:
        links = self.fleet.links
        assert links is not None, "the brokers of this day do not know each other"
        links.rest = Rule(loss=step.share)
        self.loop.call_later(step.lasts, links.heal)
        self.say(step, [each.name for each in self.fleet.brokers])

    def do_list_late(self, step: Step) -> None:
        self.list_frozen = True

        def thaw() -> None:
            self.list_frozen = False
            self.fleet.write_list()

        self.loop.call_later(step.lasts, thaw)
        self.say(step, [])

    def do_burst(self, step: Step) -> None:
        self.factor = step.factor
        self.loop.call_later(step.lasts, lambda: setattr(self, "factor", 1.0))
        self.say(step, [f"x{step.factor:g}"])

    def do_flood(self, step: Step) -> None:
        broker = self.fleet.brokers[max(step.broker, 0)]
        self.loop.spawn(self.flood(broker, step.factor, self.loop.now + step.lasts), "flood")
        self.say(step, [broker.port])

    def flood(self, broker: Broker, rate: float, until: float) -> Coroutine:
        at = self.loop.now
        while at < until:
            at += 1 / rate
            if at > self.loop.now:
                yield from self.loop.sleep(at - self.loop.now)
            self.loop.spawn(self.one_of_the_flood(broker, until), "flood")

    def one_of_the_flood(self, broker: Broker, until: float) -> Coroutine:
        """Asks, and keeps its connection as long as it may."""
        try:
            link = yield from self.loop.connect("127.0.0.1", broker.port, 1.0, FLOOD_FROM)
        except (OSError, WaitTimeoutError):
            self.counts["flood: not connected"] += 1
            return
        parser, came = ClientParser(1 << 20), "no answer"
        try:
            yield from link.send(b"GET / HTTP/1.1\r\nhost: broker\r\n\r\n", 1.0)
            while not parser.done:
                chunk = yield from link.recv(1 << 16, DEADLINE)
                if not chunk:
                    break
                parser.feed(chunk)
            came = str(parser.status) if parser.done else came
            if parser.done and parser.status == 200 and until > self.loop.now:
                yield from link.recv(1, until - self.loop.now)
        except (OSError, WaitTimeoutError, HttpError):
            pass
        finally:
            self.counts[f"flood: {came}"] += 1
            link.close()

    def do_impatient(self, step: Step) -> None:
        self.at_once = True
        self.loop.call_later(step.lasts, lambda: setattr(self, "at_once", False))
        self.say(step, [])

    def do_hot_key(self, step: Step) -> None:
        self.hot = corpus.name_of(self.rng.randrange(self.fleet.documents))
        self.loop.call_later(step.lasts, lambda: setattr(self, "hot", ""))
        self.say(step, [self.hot])

    # --- clients

    def traffic(self) -> Coroutine:
        """Open loop: arrivals do not wait for answers."""
        at = self.loop.now
        while at < self.until:
            at += self.rng.expovariate(self.script.rate * self.factor)
            if at > self.loop.now:
                yield from self.loop.sleep(at - self.loop.now)
            self.loop.spawn(self.one_client(), "client")

    def one_client(self) -> Coroutine:
        self.open += 1
        try:
            kind = self.rng.choices([each for each, _ in MIX], [share for _, share in MIX])[0]
            number, pause = self.rng.randrange(1 << 48), 0.0
            for _ in range(1 + REPEATS):
                again = yield from self.one_query(kind, number)
                if again is None:
                    return
                pause = again if not self.at_once else 0.0
                if pause:
                    yield from self.loop.sleep(pause)
        finally:
            self.open -= 1

    def one_query(self, kind: str, number: int) -> Any:
        """Ask once; the pause after which to ask again, None for not at all."""
        hasty, leaves = self.rng.random() < HASTY, self.rng.random() < LEAVERS
        seconds = HASTY_TIME if hasty else DEADLINE
        broker = self.rng.choice(self.fleet.brokers)
        self.asked += 1
        name, front = f"d{self.asked}", self.rng.choice(FRONTS)
        data, fields = clients.ask(
            front, kind, number, name, seconds, self.fleet.documents, self.hot
        )
        self.counts[f"by {front}"] += 1
        try:
            link = yield from self.loop.connect(
                "127.0.0.1", broker.graph if front == "graphql" else broker.port, 1.0
            )
        except (OSError, WaitTimeoutError):
            self.counts["not_connected"] += 1
            return 0.3
        parser, begun = ClientParser(1 << 26), self.loop.clock()
        try:
            self.client.note("asked", broker=broker.port, **fields)
            yield from link.send(data, 1.0)
            if leaves:
                yield from self.loop.sleep(self.rng.random() * LEAVE_AFTER)
                if link.recv_now(1) is None:
                    self.client.note("hung_up", query=name)
                    self.counts["hung_up"] += 1
                    return None
                link.can_read = True  # the answer is there: it cannot be left any more, and its first byte is gone
                self.client.note("answer_unread", query=name)
                return None
            while not parser.done:
                left = begun + seconds - self.loop.clock()
                if left <= 0:
                    raise WaitTimeoutError
                chunk = yield from link.recv(1 << 16, left)
                if not chunk:
                    raise ConnectionError("closed")
                parser.feed(chunk)
        except (OSError, WaitTimeoutError, HttpError) as error:
            self.client.note("no_answer", query=name, why=f"{type(error).__name__}: {error}")
            self.counts["no_answer"] += 1
            link.close()
            return None if kind == "create" else 0.3  # it may have taken effect
        finally:
            if leaves:
                link.close(abort=True)
        again = self.take_answer(fields, parser)
        yield from self.listen_on(link, name)
        return again

    def take_answer(self, fields: dict[str, Any], parser: ClientParser) -> float | None:
        noted, again = clients.read(fields, parser)
        self.client.note("answered", **noted)
        self.counts[str(noted["status"])] += 1
        return again

    def listen_on(self, link: Any, name: str) -> Coroutine:
        """Whatever comes after the final answer is a breach."""
        until = self.loop.clock() + LISTEN_ON
        try:
            while (left := until - self.loop.clock()) > 0:
                chunk = yield from link.recv(1 << 16, left)
                if not chunk:
                    break
                self.client.note("extra_bytes", query=name, bytes=len(chunk))
        except (OSError, WaitTimeoutError):
            pass
        finally:
            link.close()


def void(_: object) -> None:
    """For a callback whose result nobody wants."""


def run_day(
    folder: Path,
    script: Script,
    brokers: int,
    boxes: int,
    documents: int,
    seed: int,
    words: Callable[[str], None],
    log_level: str = "info",
    cold_time: float = 4.0,
    work_ms: float = 4.0,
    program: tuple[str, ...] = ("-m", "stepknot"),
    names: str = "ab",
    peers: dict[str, Any] | None = None,
    subset: dict[str, Any] | None = None,
    **settings: Any,
) -> Counter[str]:
    """Start a fleet, let the day happen, stop the fleet. The records stay in `folder`. `names`: a letter a zone.
    `peers`: keys of that block, by which the brokers know each other, over links that can fail; `subset`: of that one,
    which takes each broker's name from the former."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.tap"):
        old.unlink()
    fleet = Fleet.plan(
        folder,
        brokers,
        boxes,
        documents,
        taps=True,
        log_level=log_level,
        work_ms=work_ms,
        program=program,
        zones=names,
        with_peers=peers is not None,
        settings={"cold_time": cold_time, "deadline": DEADLINE, "admission": ADMISSION, **settings},
    )
    if peers is not None:
        fleet.relay(seed)
        for broker in fleet.brokers:
            broker.peers |= peers
    for broker in fleet.brokers:
        broker.subset |= subset or {}
    day = Day(fleet, script, seed, words)
    try:
        fleet.start(words)
        day.run()
    finally:
        fleet.stop()
    return day.counts
