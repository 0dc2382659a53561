"""Links between the brokers of a fleet that fail on command: a relay of datagrams on loopback, without privileges.

Each broker advertises a port of the relay in place of its own, so whatever others send it comes by here. Who sent it is
told by its source's port. Rules are for each direction of each pair and may change while it runs.
"""

from __future__ import annotations

import random
import threading
from collections import Counter
from dataclasses import dataclass
from typing import Any

from stepknot.net.loop import Loop


@dataclass(frozen=True, slots=True)
class Rule:
    """Shares from 0 to 1; `delay` in seconds, drawn anew for each datagram up to that, so that they overtake."""

    loss: float = 0.0
    copies: float = 0.0
    delay: float = 0.0


CUT, SOUND = Rule(loss=1.0), Rule()


class Links:
    """`ports`: each broker's own UDP port by its name. Runs on a thread of its own, on the project's loop."""

    def __init__(self, ports: dict[str, int], seed: int = 0) -> None:
        self.ports, self.names = ports, {port: name for name, port in ports.items()}
        self.loop = Loop(rng=random.Random(seed))
        self.rules: dict[tuple[str, str], Rule] = {}
        self.rest = SOUND
        self.passed: Counter[tuple[str, str]] = Counter()
        self.sockets = {
            name: self.loop.datagrams("127.0.0.1", 0, self.carrier(name)) for name in ports
        }
        self.thread = threading.Thread(target=self.loop.run, daemon=True)

    def address(self, name: str) -> str:
        """Where others send what is for this broker."""
        return f"127.0.0.1:{self.sockets[name].address[1]}"

    def carrier(self, target: str) -> Any:
        def carry(source: tuple[Any, ...], data: bytes) -> None:
            sender = self.names.get(source[1], "")
            rule, chance = self.rules.get((sender, target), self.rest), self.loop.rng
            if chance.random() < rule.loss:
                return
            for _ in range(1 + (chance.random() < rule.copies)):
                self.loop.call_later(
                    chance.random() * rule.delay, lambda: self.hand_over(sender, target, data)
                )

        return carry

    def hand_over(self, sender: str, target: str, data: bytes) -> None:
        self.passed[sender, target] += 1
        self.sockets[target].send(("127.0.0.1", self.ports[target]), data)

    def cut(self, sources: list[str], targets: list[str], rule: Rule = CUT) -> None:
        """Nothing goes from these to those any more, in this direction."""
        self.rules.update(
            {(source, target): rule for source in sources for target in targets if source != target}
        )

    def part(self, one: list[str], other: list[str]) -> None:
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        self.rules.clear()
        self.rest = SOUND

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        self.loop.stop()
        self.loop.network.wake()
        self.thread.join(5)
        for each in self.sockets.values():
            each.close()
