"""What membership is measured against, in the same model: textbook detectors, as published and without additions.

- `Heartbeats`: each tells all others each second, and holds dead whoever was silent for a fixed time.
- `PhiAccrual`: the same beats; silence is weighed by how the gaps between them were spread (Hayashibara et al. 2004).
- `Swim`: one random member is pinged a second, then through three others; suspicion, incarnations and news on the
  back of messages (Das et al. 2002), without Lifeguard's additions.

All know the whole list from the start: they are measured as detectors, joining is not.
"""

from __future__ import annotations

import math
import random
import statistics
from collections import deque
from typing import Any

import msgspec

from stepknot.membership.model import MemberCount, MembershipSettings, Record, State, StateChange

Address = tuple[str, int]
SECOND = 1.0
SILENCE = (
    5.5  # seconds until a fixed time-out: a pause of 5 s is to be borne, as by `MembershipProtocol`
)
PHI = 8.0  # the threshold that its authors and users take
LEAST_SPREAD = 0.1  # seconds: of gaps that never vary
GAPS = 200
HELPERS, PIGGYBACK, SUSPICION = 3, 6, 3.0  # SWIM's usual figures
ANSWER = 0.4  # seconds for a direct answer, of the second that a round has


class Baseline:
    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        self.own, self.random = own, random.Random(seed)
        self.addresses: dict[str, Address] = {
            f"b{number}": ("127.0.0.1", 1 + number) for number in range(settings.configured)
        }
        self.held = dict.fromkeys(self.addresses, State.ALIVE)
        self.out: list[tuple[Address, bytes]] = []
        self.changes: list[StateChange] = []
        self.next = -math.inf

    def states(self) -> dict[str, State]:
        return dict(self.held)

    def take(self) -> tuple[list[tuple[Address, bytes]], list[StateChange]]:
        out, self.out = self.out, []
        changes, self.changes = self.changes, []
        return out, changes

    def count(self, now: float) -> MemberCount:
        alive = sum(state is not State.DEAD for state in self.held.values())
        return MemberCount(alive, alive, True)

    def leave(self, now: float) -> None:
        return None

    def hold(self, name: str, state: State, why: str) -> None:
        if self.held[name] is not state:
            self.changes.append(StateChange(len(self.changes), name, self.held[name], state, why))
            self.held[name] = state

    def send(self, name: str, *message: Any) -> None:
        self.out.append(
            (self.addresses[name], msgspec.msgpack.encode(("stepknot", self.own.name, *message)))
        )


class Heartbeats(Baseline):
    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        super().__init__(settings, own, seed)
        self.heard: dict[str, float] = {}

    def tick(self, now: float) -> None:
        if now >= self.next:
            self.next = now + SECOND
            for name in self.addresses:
                if name != self.own.name:
                    self.send(name)
        for name in self.addresses:
            if name != self.own.name and self.silent(now, name):
                self.hold(name, State.DEAD, "silent")

    def silent(self, now: float, name: str) -> bool:
        return now - self.heard.setdefault(name, now) > SILENCE

    def receive(self, now: float, data: bytes) -> None:
        _, name, *_ = msgspec.msgpack.decode(data)
        self.note(now, name)
        self.hold(name, State.ALIVE, "heard")

    def note(self, now: float, name: str) -> None:
        self.heard[name] = now


class PhiAccrual(Heartbeats):
    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        super().__init__(settings, own, seed)
        self.gaps: dict[str, deque[float]] = {}
        self.limits: dict[str, float] = {}

    def note(self, now: float, name: str) -> None:
        if name in self.heard:
            gaps = self.gaps.setdefault(name, deque([SECOND], GAPS))
            gaps.append(now - self.heard[name])
            spread = max(statistics.pstdev(gaps), LEAST_SPREAD) if len(gaps) > 1 else LEAST_SPREAD
            self.limits[name] = (
                statistics.fmean(gaps) + spread * 5.612
            )  # where a normal's tail is 10 ** -PHI
        self.heard[name] = now

    def silent(self, now: float, name: str) -> bool:
        return now - self.heard.setdefault(name, now) > self.limits.get(name, SILENCE)


class Swim(Baseline):
    """Messages: ("p" ping, "a" answer, "q" ping for another), each with news (name, incarnation, state)."""

    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        super().__init__(settings, own, seed)
        self.incarnations = dict.fromkeys(self.addresses, 0)
        self.news: dict[str, int] = {}
        self.suspected: dict[str, float] = {}
        self.order: list[str] = []
        self.target, self.answered, self.asked_others = "", True, True
        self.waits: dict[str, list[str]] = {}  # who asked for a ping of whom
        self.times = math.ceil(SUSPICION * math.log10(len(self.addresses) + 1))

    def tick(self, now: float) -> None:
        if now >= self.next:
            if not self.answered:
                self.learn(now, self.target, self.incarnations[self.target], State.SUSPECT)
            self.next, self.target = now + SECOND, self.pick()
            self.answered = self.asked_others = not self.target
            if self.target:
                self.tell(self.target, "p")
        elif not self.answered and not self.asked_others and now >= self.next - SECOND + ANSWER:
            self.asked_others = True
            others = [name for name in self.here() if name != self.target]
            for name in self.random.sample(others, min(HELPERS, len(others))):
                self.tell(name, "q", self.target)
        for name, since in list(self.suspected.items()):
            if now - since > self.times * SECOND:
                self.learn(now, name, self.incarnations[name], State.DEAD)

    def here(self) -> list[str]:
        return [
            name
            for name, state in self.held.items()
            if state is not State.DEAD and name != self.own.name
        ]

    def pick(self) -> str:
        if not self.order:
            self.order = self.here()
            self.random.shuffle(self.order)
        return self.order.pop() if self.order else ""

    def tell(self, name: str, kind: str, about: str = "") -> None:
        items = sorted(self.news, key=lambda each: -self.news[each])[:PIGGYBACK]
        self.send(
            name,
            kind,
            about,
            [(each, self.incarnations[each], int(self.held[each])) for each in items],
        )
        for each in items:
            self.news[each] -= 1
            if not self.news[each]:
                del self.news[each]

    def receive(self, now: float, data: bytes) -> None:
        _, sender, kind, about, news = msgspec.msgpack.decode(data)
        for name, incarnation, state in news:
            self.learn(now, name, incarnation, State(state))
        if kind == "p":
            self.tell(sender, "a")
        elif kind == "q":
            self.waits.setdefault(about, []).append(sender)
            self.tell(about, "p")
        else:
            source = about or sender
            self.answered |= source == self.target
            for asker in self.waits.pop(sender, []):
                self.tell(asker, "a", sender)

    def learn(self, now: float, name: str, incarnation: int, state: State) -> None:
        if name == self.own.name:
            if state is not State.ALIVE and incarnation >= self.incarnations[name]:
                self.incarnations[name] = incarnation + 1
                self.news[name] = 3 * self.times
            return
        held, known = self.held[name], self.incarnations[name]
        if (incarnation, state) <= (known, held):
            return
        self.incarnations[name] = incarnation
        self.hold(name, state, "news")
        self.news[name] = 3 * self.times
        self.suspected.pop(name, None)
        if state is State.SUSPECT:
            self.suspected[name] = now


BASELINES = {"heartbeats": Heartbeats, "phi": PhiAccrual, "swim": Swim}
