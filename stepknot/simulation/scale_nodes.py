"""Many stand-in nodes in one process and on one loop: `python -m stepknot.simulation.scale_nodes SPEC.json`.

Each is `box.StandIn`, real sockets and real data, and notes at its sockets what the audit needs; they share one tap.
Ends on SIGTERM, or when its parent does.
"""

from __future__ import annotations

import os
import random
import signal
import sys
from pathlib import Path

import msgspec

from stepknot.config.settings import load
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine
from stepknot.simulation.stand_in_node import BoxPlan, StandIn

PARENT_LOOK = 1.0  # seconds between two looks whether the parent is there


class NodeSpec(msgspec.Struct, frozen=True):
    number: int
    port: int
    cell: int
    zone: str


class NodesSpec(msgspec.Struct, frozen=True):
    """`work`: seconds a part."""

    settings: str  # a broker's file: indices and rules are in it
    host: str
    nodes: list[NodeSpec]
    documents: int
    work: float
    cold: bool
    tap: str


class Node(StandIn):
    """One of many in its process: where it ends, the others stay."""

    def end(self, code: int) -> None:
        if self.server is not None:
            self.server.close()
            for each in list(self.server.connections):
                each.link.close(abort=True)


def plan_of(spec: NodesSpec, node: NodeSpec) -> BoxPlan:
    return BoxPlan(
        spec.host,
        node.port,
        0,
        node.cell,
        node.zone,
        spec.documents,
        spec.work,
        cold=spec.cold,
        seed=node.number,
        tap=Path(spec.tap),
    )


def run(spec: NodesSpec) -> None:
    loop = Loop(rng=random.Random(spec.nodes[0].number))
    config, parent = load(Path(spec.settings)), os.getppid()
    nodes = [Node(loop, config, plan_of(spec, each)) for each in spec.nodes]

    def start() -> Coroutine:
        for node in nodes:
            yield from node.catch_up()
        print(f'{{"nodes": {len(nodes)}}}', flush=True)
        while os.getppid() == parent:
            yield from loop.sleep(PARENT_LOOK)
        loop.stop()

    loop.spawn(start(), "start")
    loop.on_signal(loop.stop, signal.SIGTERM, signal.SIGINT)
    loop.run()


if __name__ == "__main__":
    run(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=NodesSpec))
