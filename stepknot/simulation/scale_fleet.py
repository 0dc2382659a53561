"""The processes of a scale run: real brokers, and hosts of simulated members and of nodes, a zone to each host.

All are started here and ended here by id, however the run ends. Nodes and simulated members have a loopback address
that is drawn for each run, so that runs beside each other do not meet.
"""

from __future__ import annotations

import random
import shutil
import signal
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stepknot.broker.voter_store import VoterStore
from stepknot.simulation.fleet import (
    Box,
    Broker,
    Fleet,
    block_text,
    read_ready,
    settings_text,
)
from stepknot.simulation.ports import reserve_ports
from stepknot.simulation.scale_members import MembersSpec
from stepknot.simulation.scale_nodes import NodeSpec, NodesSpec
from stepknot.simulation.scale_plan import CELLS, DEFAULT, ZONES, ScalePlan, chance, zone_of

WORK = 0.002  # seconds of a node's core for a part
DEADLINE = 3.0  # seconds: the classes' own, and the longest that a client of the run waits
END_WITHIN = 15.0  # seconds for a process to end by itself
Started = subprocess.Popen[bytes]


@dataclass(slots=True)
class NodesHost:
    name: str
    zone: str
    boxes: list[Box]
    process: Started | None = None
    listed: bool = False

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None


@dataclass(slots=True)
class MembersProcess:
    name: str
    zone: str
    names: list[str]
    seed: int
    process: Started | None = None
    control: int = 0  # its port

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.control}"


@dataclass(slots=True)
class ScaleFleet(Fleet):
    scale: ScalePlan = field(default_factory=lambda: ScalePlan(Path()))
    host: str = "127.0.0.1"  # of nodes and simulated members
    node_hosts: list[NodesHost] = field(default_factory=list)
    member_hosts: list[MembersProcess] = field(default_factory=list)

    @classmethod
    def of(cls, plan: ScalePlan) -> ScaleFleet:
        draw = random.SystemRandom()
        host = f"127.{draw.randrange(1, 255)}.{draw.randrange(256)}.{draw.randrange(1, 255)}"
        ports = reserve_ports(4 * plan.real)
        keys = {
            "period": f"{plan.period}s",
            "pause": f"{plan.pause}s",
            "tombstone": f"{plan.tombstone}s",
            "rate": plan.member_rate,
        }
        brokers = [
            Broker(
                number, port, zone_of(number), admin, graph, peer, f"b{number}", peers=dict(keys)
            )
            for number, (port, admin, graph, peer) in enumerate(
                zip(*[iter(ports)] * 4, strict=True)
            )
        ]
        boxes = [
            Box(number, port, 0, number % CELLS, zone_of(number // CELLS), host=host)
            for number, port in enumerate(reserve_ports(plan.nodes, host))
        ]
        found = cls(
            plan.folder,
            brokers,
            boxes,
            plan.documents,
            CELLS,
            WORK * 1000,
            taps=True,
            scale=plan,
            host=host,
        )
        for broker in brokers:
            broker.owners = owner_keys(plan, broker.name)
        seeds = chance(plan, "members")
        for zone in ZONES:
            found.node_hosts += [
                NodesHost(f"nodes-{zone}{place}", zone, [boxes[each] for each in numbers])
                for place, numbers in enumerate(plan.nodes_of(zone))
            ]
            found.member_hosts += [
                MembersProcess(f"members-{zone}{place}", zone, names, seeds.getrandbits(60))
                for place, names in enumerate(plan.members_of(zone))
            ]
        return found

    # --- files

    def write_settings(self) -> None:
        for broker in self.brokers:
            text = settings_text(
                name=broker.name,
                port=broker.port,
                admin=broker.admin,
                graph=broker.graph,
                zone=broker.zone,
                peers=self.peers_text(broker),
                ownership=block_text("ownership", broker.owners),
                instances=self.scale.size,
                cells=self.cells,
                shards=self.scale.shards,
                **self.settings,
            )
            extra = self.scale.extra.replace("{name}", broker.name)
            (self.folder / f"broker-{broker.number}.hcl").write_text(f"{text}\n{extra}")

    def members_spec(self, host: MembersProcess) -> MembersSpec:
        plan = self.scale
        return MembersSpec(
            self.host,
            host.names,
            [("127.0.0.1", each.peer) for each in self.brokers[:3]],
            plan.size,
            plan.period,
            plan.pause,
            plan.tombstone,
            plan.member_rate,
            plan.start_within,
            plan.voter_names,
            host.seed,
        )

    def nodes_spec(self, host: NodesHost, cold: bool) -> NodesSpec:
        nodes = [NodeSpec(box.number, box.port, box.cell, box.zone) for box in host.boxes]
        return NodesSpec(
            str(self.folder / "broker-0.hcl"),
            self.host,
            nodes,
            self.documents,
            WORK,
            cold,
            str(self.folder / f"box-{host.name}.tap"),
        )

    def spawn_host(self, name: str, module: str, spec: msgspec.Struct) -> Started:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        return self.spawn(str(path), log=name, program=("-m", f"stepknot.simulation.{module}"))

    # --- processes

    def start_nodes(self, host: NodesHost, cold: bool) -> None:
        host.process = self.spawn_host(host.name, "scale_nodes", self.nodes_spec(host, cold))
        for box in host.boxes:
            box.process, box.up_since = host.process, 1.0 if cold else 0.0

    def nodes_ready(self, host: NodesHost) -> None:
        read_ready(host.process, host.name, self.log_of(host.name))
        host.listed = True
        for box in host.boxes:
            box.up_since = time.time() if box.up_since else 0.0
            box.listed = True

    def start_members(self, host: MembersProcess) -> None:
        host.process = self.spawn_host(host.name, "scale_members", self.members_spec(host))

    def members_ready(self, host: MembersProcess) -> None:
        host.control = read_ready(host.process, host.name, self.log_of(host.name))["control"]

    def start(self, words: Callable[[str], None]) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_settings()
        self.write_list()
        for broker in self.brokers:
            if "state" in broker.owners:
                folder = self.folder / broker.owners["state"]
                shutil.rmtree(
                    folder, ignore_errors=True
                )  # of an earlier run, of which nobody is left
                VoterStore(folder, DEFAULT.fleet, broker.name).bootstrap()
        words(
            f"starting {len(self.boxes)} nodes in {len(self.node_hosts)} processes, {len(self.member_hosts)} "
            f"processes for simulated members, {len(self.brokers)} brokers"
        )
        for nodes in self.node_hosts:
            self.start_nodes(nodes, cold=False)
        for members in self.member_hosts:
            self.start_members(members)
        for nodes in self.node_hosts:
            self.nodes_ready(nodes)
        for members in self.member_hosts:
            self.members_ready(members)
        self.write_list()
        for broker in self.brokers:
            self.start_broker(broker)
        for broker in self.brokers:
            self.broker_ready(broker)

    def processes(self) -> list[Started]:
        found: list[Any] = [
            *(each.process for each in self.brokers),
            *(each.process for each in self.node_hosts),
            *(each.process for each in self.member_hosts),
        ]
        return [each for each in found if each is not None]

    def stop(self) -> None:
        """Ends every process that was started, each by its id."""
        processes = self.processes()
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + END_WITHIN
        for process in processes:
            end(process, max(until - time.monotonic(), 0.1))


def owner_keys(plan: ScalePlan, name: str) -> dict[str, Any]:
    """Of a real broker's `ownership` block; none where there are no voters."""
    if not plan.voters:
        return {}
    return {"voters": plan.voter_names} | (
        {"state": f"voter-{name}"} if name in plan.voter_names else {}
    )


def end(process: Started, within: float) -> None:
    try:
        process.wait(within)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    if process.stdout:
        process.stdout.close()


@contextmanager
def running(fleet: ScaleFleet, words: Callable[[str], None]) -> Iterator[ScaleFleet]:
    """The fleet's processes, for as long as the block lasts: also where it is left by an error or an interrupt."""
    try:
        fleet.start(words)
        yield fleet
    finally:
        while True:
            try:
                fleet.stop()
                break
            except (
                KeyboardInterrupt,
                SystemExit,
            ):  # told again: the processes are ended first all the same
                continue
