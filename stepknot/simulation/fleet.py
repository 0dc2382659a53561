"""Real processes on loopback: brokers and stand-in boxes, their settings and the list of boxes.

The fleet is what an operator's supervisor is elsewhere: it starts, kills and restarts, and writes the box list.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from stepknot.simulation import corpus
from stepknot.simulation.links import Links
from stepknot.simulation.ports import reserve_ports
from stepknot.simulation.process_output import has_output

READY_WITHIN = 60.0  # seconds for a process to come up
RESTART_AFTER = 3.0  # seconds after which the demo starts a dead box again, cold

SETTINGS = """\
# Settings of one broker; `stepknot check` tells what is wrong in them.
name      = "{name}"
zone      = "{zone}"
listen    = "127.0.0.1:{port}"
admin     = "127.0.0.1:{admin}"
instances = {instances}

fleet {{
  cells          = {cells}
  reach          = 1
  parts_per_call = 16
  list           = "boxes.json"
  list_every     = "100ms"
}}

rules {{
  drain_grace   = "1s"
  cold_share    = 0.2
  cold_time     = "{cold_time}s"
  fall_multiple = 4
  fall_time     = "1s"
  extra_window  = "10s"
  extra_floor   = {extra_floor}
  extra_share   = 0.2
}}

limits {{
  max_attempts    = {max_attempts}
  max_retry_after = "2s"
  idle_connection = "10s"
}}

# A search over all shards may be answered in part; its hits are fetched in a second step.
class "search" {{
  aim           = "{aim}s"
  deadline      = "{deadline}s"
  worth         = 3
  late_value    = 0.1
  floor         = 0.7
  partial_value = 0.9
  steps         = 2
  operations    = ["search", "count"]
}}

class "lookup" {{
  aim        = "{aim}s"
  deadline   = "{deadline}s"
  operations = ["get", "mget"]
}}

# A router's batch of entities may be answered in part: each that is missing says so in its own place.
class "entities" {{
  aim           = "{aim}s"
  deadline      = "{deadline}s"
  floor         = 0.5
  partial_value = 0.8
  operations    = ["entities"]
}}

# A repeat of what names its document is dropped by the boxes for a while.
class "store" {{
  aim           = "{aim}s"
  deadline      = "{deadline}s"
  effect        = "keyed"
  repeat_window = "{deadline}s"
  operations    = ["index", "delete", "bulk"]
}}

class "edit" {{
  aim        = "{aim}s"
  deadline   = "{deadline}s"
  effect     = "unsafe"
  operations = ["create", "update"]
}}

zones {{
  enabled = {zones}
}}

admission {{
{admission}
}}

{peers}{ownership}{subset}index "{index}" {{
  shards = {shards}
{fields}}}

# The second front: a subgraph of a federated graph, on the same core. Its schema: `stepknot schema`.
graphql {{
  listen = "127.0.0.1:{graph}"
  type "Report" {{
    index  = "reports"
    keys   = ["id", "player played"]
    writes = true
    reference "home" {{
      entity = "Club"
      from   = {{ name = "club" }}
    }}
  }}
  # Another subgraph owns clubs; this one adds what it knows of each.
  entity "Club" {{
    index = "reports"
    keys  = ["name"]
    field "name" {{
      from = "club"
    }}
    field "founded" {{
      type     = "date"
      external = true
    }}
    count "reportCount" {{}}
    count "reportsSinceFounded" {{
      at_least = {{ played = "founded" }}
    }}
    metric "bestRating" {{
      kind  = "max"
      field = "rating"
    }}
  }}
}}
"""


def settings_text(**given: Any) -> str:
    values = {
        "name": "demo",
        "zone": "a",
        "port": 0,
        "admin": 0,
        "graph": 0,
        "instances": 2,
        "cells": 4,
        "shards": 12,
        "aim": 1.0,
        "deadline": 3.0,
        "cold_time": 10,
        "extra_floor": 20,
        "zones": "true",
        "admission": "  enabled = false",
        "peers": "",
        "ownership": "",
        "subset": "",
        "max_attempts": 3,
        "index": corpus.INDEX,
    } | given
    values["fields"] = "".join(
        f'  field "{name}" {{\n    type = "{kind}"\n  }}\n' for name, kind in corpus.FIELDS.items()
    )
    return SETTINGS.format(**values)


PEERS = """\
# Who else serves: brokers of one fleet learn of each other. `stepknot peers ADMIN` shows what is known.
peers {{
  name   = "{name}"
  listen = "127.0.0.1:{port}"
  seeds  = [{seeds}]
{more}}}

"""


def block_text(kind: str, keys: dict[str, Any]) -> str:
    """A block of plain keys; none where there are none."""
    body = "".join(f"  {key} = {orjson.dumps(value).decode()}\n" for key, value in keys.items())
    return f"{kind} {{\n{body}}}\n\n" if keys else ""


@dataclass(slots=True)
class Box:
    number: int
    port: int
    control: int
    cell: int
    zone: str
    process: subprocess.Popen[bytes] | None = None
    up_since: float = 0.0  # by the wall's clock, 0: long ago
    listed: bool = False
    draining: bool = False
    died: float = 0.0
    host: str = "127.0.0.1"

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None


@dataclass(slots=True)
class Broker:
    number: int
    port: int
    zone: str
    admin: int = 0
    graph: int = 0
    peer: int = 0  # the UDP port of membership; 0: it takes no part
    name: str = ""  # among its peers
    owners: dict[str, Any] = field(default_factory=dict)  # keys of its `ownership` block
    peers: dict[str, Any] = field(default_factory=dict)  # further keys of its `peers` block, as HCL
    subset: dict[str, Any] = field(default_factory=dict)  # keys of its `subset` block
    process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    @property
    def graph_url(self) -> str:
        return f"http://127.0.0.1:{self.graph}/graphql"


@dataclass(slots=True)
class Fleet:
    """All processes of one run, in a folder of their own."""

    folder: Path
    brokers: list[Broker]
    boxes: list[Box]
    documents: int
    cells: int = 4
    work_ms: float = 4.0
    settings: dict[str, Any] = field(default_factory=dict)
    taps: bool = False
    log_level: str = "info"
    on_list: Callable[[list[dict[str, Any]], float], None] | None = None
    program: tuple[str, ...] = ("-m", "stepknot")  # what runs the brokers, for comparisons
    links: Links | None = None  # between the brokers, where they fail on command

    @classmethod
    def plan(
        cls,
        folder: Path,
        brokers: int,
        boxes: int,
        documents: int,
        port: int = 0,
        cells: int = 4,
        zones: str = "ab",
        with_peers: bool = False,
        **more: Any,
    ) -> Fleet:
        """`zones`: a letter for each; a cell's boxes are spread over them."""
        ports = reserve_ports(4 * brokers + 2 * boxes)
        fronts = [port + each for each in range(brokers)] if port else ports[:brokers]
        admins = (
            [port + 100 + each for each in range(brokers)] if port else ports[brokers : 2 * brokers]
        )
        graphs = (
            [port + 200 + each for each in range(brokers)]
            if port
            else ports[2 * brokers : 3 * brokers]
        )
        peers = (
            [port + 300 + each for each in range(brokers)]
            if port
            else ports[3 * brokers : 4 * brokers]
        )
        rest = ports[4 * brokers :]
        count = len(zones)
        zone_of = [
            zones[(number // cells + number % cells * (number // cells // count)) % count]
            for number in range(boxes)
        ]
        return cls(
            folder,
            [
                Broker(
                    number,
                    each,
                    zones[number % count],
                    admins[number],
                    graphs[number],
                    peers[number] if with_peers else 0,
                    f"b{number}",
                )
                for number, each in enumerate(fronts)
            ],
            [
                Box(number, rest[2 * number], rest[2 * number + 1], number % cells, zone_of[number])
                for number in range(boxes)
            ],
            documents,
            cells,
            **more,
        )

    def relay(self, seed: int) -> Links:
        """Lead the brokers' datagrams through links that can be made to fail."""
        self.links = Links({broker.name: broker.peer for broker in self.brokers}, seed)
        for broker in self.brokers:
            broker.peers["advertise"] = self.links.address(broker.name)
        self.links.start()
        return self.links

    # --- files

    def write_settings(self) -> None:
        for broker in self.brokers:
            text = settings_text(
                port=broker.port,
                admin=broker.admin,
                graph=broker.graph,
                zone=broker.zone,
                peers=self.peers_text(broker),
                ownership=block_text("ownership", broker.owners),
                subset=block_text("subset", broker.subset),
                instances=len(self.brokers),
                cells=self.cells,
                **self.settings,
            )
            (self.folder / f"broker-{broker.number}.hcl").write_text(text)

    def peers_text(self, broker: Broker) -> str:
        if not broker.peer:
            return ""
        seeds = ", ".join(
            f'"{each.peers.get("advertise", f"127.0.0.1:{each.peer}")}"'
            for each in self.brokers[:3]
        )
        more = "".join(
            f"  {key} = {orjson.dumps(value).decode()}\n" for key, value in broker.peers.items()
        )
        return PEERS.format(name=broker.name, port=broker.peer, seeds=seeds, more=more)

    def write_list(self) -> None:
        rows = [
            {
                "address": box.address,
                "zone": box.zone,
                "cell": box.cell,
                "up_since": box.up_since,
                "state": "draining" if box.draining else "live",
            }
            for box in self.boxes
            if box.listed
        ]
        path = self.folder / "boxes.json"
        path.with_suffix(".new").write_bytes(
            orjson.dumps({"boxes": rows}, option=orjson.OPT_INDENT_2)
        )
        before = time.monotonic()  # from here on a broker may read it, noted or not
        os.replace(path.with_suffix(".new"), path)
        if self.on_list is not None:
            self.on_list(rows, before)

    # --- processes

    def log_of(self, process: str) -> Path:
        return self.folder / f"{process}.log"

    def spawn(
        self, *words: str, log: str, program: tuple[str, ...] = ("-m", "stepknot")
    ) -> subprocess.Popen[bytes]:
        with open(self.log_of(log), "ab") as errors:
            return subprocess.Popen(
                [sys.executable, *program, *words],
                stdout=subprocess.PIPE,
                stderr=errors,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )

    def start_box(self, box: Box, cold: bool) -> None:
        words = [
            "box",
            str(self.folder / "broker-0.hcl"),
            "--listen",
            box.address,
            "--control",
            str(box.control),
            "--cell",
            str(box.cell),
            "--zone",
            box.zone,
            "--documents",
            str(self.documents),
            "--work-ms",
            str(self.work_ms),
            "--seed",
            str(box.number),
        ]
        if cold:
            words.append("--cold")
        if self.taps:
            words += ["--tap", str(self.folder / f"box-{box.number}.tap")]
        box.process = self.spawn(*words, log=f"box-{box.number}")
        box.up_since = 1.0 if cold else 0.0  # until it is ready

    def start_broker(self, broker: Broker) -> None:
        broker.process = self.spawn(
            "serve",
            str(self.folder / f"broker-{broker.number}.hcl"),
            "--log-level",
            self.log_level,
            log=f"broker-{broker.number}",
            program=self.program,
        )

    def box_ready(self, box: Box) -> None:
        """Blocks until the box serves, then lists it."""
        read_ready(box.process, f"box {box.number}", self.log_of(f"box-{box.number}"))
        box.up_since = time.time() if box.up_since else 0.0
        box.listed, box.draining = True, False

    def broker_ready(self, broker: Broker) -> None:
        """Blocks until the broker serves."""
        name = f"broker {broker.number}"
        read_ready(broker.process, name, self.log_of(f"broker-{broker.number}"))

    def start(self, words: Callable[[str], None]) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_settings()
        self.write_list()
        words(f"starting {len(self.boxes)} boxes with {self.documents} documents between them")
        for box in self.boxes:
            self.start_box(box, cold=False)
        for box in self.boxes:
            self.box_ready(box)
        self.write_list()
        words(f"starting {len(self.brokers)} brokers")
        for broker in self.brokers:
            self.start_broker(broker)
        for broker in self.brokers:
            self.broker_ready(broker)

    def stop(self) -> None:
        if self.links is not None:
            self.links.stop()
        started = [*(each.process for each in self.brokers), *(each.process for each in self.boxes)]
        processes = [each for each in started if each is not None]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout:
                process.stdout.close()


def read_ready(
    process: subprocess.Popen[bytes] | None, who: str, log: Path | None = None
) -> dict[str, Any]:
    """The one line that a process prints once it serves.

    Raises:
        RuntimeError: it ended or did not serve in time; the text has the end of its log.
    """
    assert process is not None and process.stdout is not None
    line = process.stdout.readline() if has_output(process.stdout, READY_WITHIN) else b""
    if not line:
        raise RuntimeError(f"{who} did not come up: {last_line(log)}")
    found: dict[str, Any] = orjson.loads(line)
    return found


def last_line(log: Path | None) -> str:
    """Of a process's log: the reason where it could not start."""
    lines = log.read_text(errors="replace").split("\n") if log and log.exists() else []
    written = [each for each in lines if each]
    return written[-1] if written else "its log in the run's folder says why"


def run_demo(
    port: int,
    seconds: float | None,
    documents: int,
    brokers: int,
    boxes: int,
    words: Callable[[str], None],
    say: Callable[[bytes], Any],
) -> int:
    """Serve until a signal or the time; a box that dies is taken off the list and comes back cold."""
    stop: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: stop.append(number))
    signal.signal(signal.SIGINT, lambda number, _: stop.append(number))
    with tempfile.TemporaryDirectory(prefix="stepknot-demo-") as name:
        fleet = Fleet.plan(Path(name), brokers, boxes, documents, port, with_peers=True)
        try:
            fleet.start(words)
            say(
                orjson.dumps(
                    {
                        "brokers": [broker.url for broker in fleet.brokers],
                        "graphql": [broker.graph_url for broker in fleet.brokers],
                    }
                )
            )
            sys.stdout.flush()
            until = time.monotonic() + seconds if seconds else float("inf")
            while not stop and time.monotonic() < until:
                time.sleep(0.1)
                mend(fleet, words)
        finally:
            fleet.stop()
    return 0


def mend(fleet: Fleet, words: Callable[[str], None]) -> None:
    now = time.monotonic()
    for box in fleet.boxes:
        if box.listed and not box.running:
            words(f"box {box.address} died; it comes back cold")
            box.listed, box.died = False, now
            fleet.write_list()
        elif not box.listed and not box.running and now > box.died + RESTART_AFTER:
            fleet.start_box(box, cold=True)
        elif not box.listed and box.running and readable(box.process):
            fleet.box_ready(box)
            fleet.write_list()
            words(f"box {box.address} is back")


def readable(process: subprocess.Popen[bytes] | None) -> bool:
    return bool(process and process.stdout and has_output(process.stdout, 0.0))
