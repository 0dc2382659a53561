"""Model checking of leases: search for a violated invariant over all orders of delivery, loss, copies and crashes.

`explore` goes breadth first; worlds that are alike but for their names are one. `walk` goes deep at random. A breach
comes with the actions that lead there; `replay` does them again. `lease_model_world` has the world and its actions.
"""

from __future__ import annotations

import itertools
import pickle
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from stepknot.simulation.lease_model_messages import decode
from stepknot.simulation.lease_model_world import (
    CANDIDATES,
    VOTERS,
    Action,
    Breach,
    Parts,
    Scope,
    World,
)


@dataclass(slots=True)
class Result:
    states: int = 0  # alike but for names counted once
    deepest: int = 0  # actions from the beginning up to which all was seen
    whole: bool = False  # nothing was left to see
    breach: str = ""
    trail: list[Action] = field(default_factory=list)

    def note(self, scope: Scope, parts: Parts | None, trail: list[Action], breach: Breach) -> None:
        self.trail = shrunk(scope, parts, trail)
        self.breach = replay(scope, parts, self.trail) or str(breach)


def explore(scope: Scope, parts: Parts | None = None, most: int = 20_000) -> Result:
    """Breadth first, until `most` worlds were seen."""
    first = World(scope, parts or Parts()).begin()
    seen = {first.key()}
    queue = deque([(pickle.dumps(first), (), 0)])
    result = Result(1)
    while queue:
        data, trail, depth = queue.popleft()
        result.deepest = depth
        for action in pickle.loads(data).actions():
            world: World = pickle.loads(data)
            try:
                world.do(action)
            except Breach as breach:
                result.breach, result.trail = str(breach), unrolled((trail, action))
                return result
            key = world.key()
            if key not in seen:
                seen.add(key)
                result.states += 1
                queue.append((pickle.dumps(world), (trail, action), depth + 1))  # type: ignore[arg-type]
        if result.states >= most:
            return result
    result.whole = True
    return result


def unrolled(trail: Any) -> list[Action]:
    found = []
    while trail:
        trail, action = trail
        found.append(action)
    return found[::-1]


WEIGHTS = {
    "deliver": 3.0,
    "claim": 0.3,
    "nudge": 0.5,
    "write": 3.0,
    "hand over": 0.5,
    "renew": 1.0,
    "disk": 3.0,
    "crash": 0.1,
    "lose": 0.2,
    "way": 3.0,
    "time": 0.3,
    "stop": 0.3,
}
LINKS, SPELL = (0.003, 1.0, 1.0), 25  # how well links carry, and for how many actions that lasts
AGAIN = {"deliver": 0.003, "nudge": 0.5, "way": 0.3}  # how much less once it was done


def walk(
    scope: Scope, parts: Parts | None = None, seeds: Iterable[int] = range(100), steps: int = 80
) -> Result:
    """At random, deep. Each walk likes some kinds of action more than others; what was done before is done seldom
    again, so that walks get somewhere."""
    result = Result()
    first = pickle.dumps(World(scope, parts or Parts()).begin())
    for seed in seeds:
        chance = random.Random(seed)
        world: World = pickle.loads(first)
        trail: list[Action] = []
        weights = {kind: usual * chance.choice((0.3, 1.0, 3.0)) for kind, usual in WEIGHTS.items()}
        done: Counter[Action] = Counter()
        links: dict[
            Action, float
        ] = {}  # by receiver and sender: some are as good as cut for a while
        for step in range(steps):
            if step % SPELL == 0:
                links = {
                    each: chance.choice(LINKS)
                    for each in itertools.product((*VOTERS, *CANDIDATES), repeat=2)
                }
            actions = world.actions()
            if not actions:
                break
            (action,) = chance.choices(
                actions,
                [
                    weights[each[0]]
                    * links.get(each[1:3], 1.0)
                    * (AGAIN[each[0]] ** min(done[each], 3) if each[0] in AGAIN else 1.0)
                    for each in actions
                ],
            )
            trail.append(action)
            done[action] += 1
            result.states += 1
            try:
                world.do(action)
            except Breach as breach:
                result.note(scope, parts, trail, breach)
                return result
    return result


def phases(
    scope: Scope, parts: Parts | None = None, seeds: Iterable[int] = range(100), count: int = 14
) -> Result:
    """At random, in phases: some action, then all that some links carry, until nothing new comes by them. Deep
    orders are reached so, such as a record that one voter has, then another's memory lost, then the first cut off."""
    result = Result()
    first = pickle.dumps(World(scope, parts or Parts()).begin())
    for seed in seeds:
        chance = random.Random(seed)
        world: World = pickle.loads(first)
        trail: list[Action] = []
        gone: set[Action] = set()  # delivered once, or lost for good
        cut = chance.choice((0.2, 0.4, 0.6))
        try:
            for _ in range(count):
                some = [each for each in world.actions() if each[0] != "deliver"]
                if some:
                    take(
                        world,
                        trail,
                        chance.choices(some, [WEIGHTS[each[0]] ** 0.5 for each in some])[0],
                    )
                joined = [
                    each
                    for each in itertools.combinations((*VOTERS, *CANDIDATES), 2)
                    if chance.random() > cut
                ]
                carried = [
                    *joined,
                    *((to, source) for source, to in joined if chance.random() > 0.2),
                ]
                for turn in range(60):
                    if turn % 10 == 0:
                        for each in [each for each in world.actions() if each[0] == "way"]:
                            take(world, trail, each)
                    due = [
                        each
                        for each in world.actions()
                        if each[0] == "deliver"
                        and each not in gone
                        and tuple(sorted(each[1:3])) in joined
                        and each[1:3] in carried
                    ]
                    disks = [
                        each
                        for each in world.actions()
                        if each[0] == "disk" and chance.random() < 0.9
                    ]
                    if not due and not disks:
                        break
                    action = chance.choice(due + disks)
                    gone.add(action)
                    if action[0] == "disk" or chance.random() < 0.95:
                        take(world, trail, action)
                late = [
                    each for each in world.actions() if each[0] == "deliver" and each not in gone
                ]
                gone.update(each for each in late if chance.random() < 0.5)
        except Breach as breach:
            result.note(scope, parts, trail, breach)
        result.states += len(trail)
        if result.breach:
            return result
    return result


def take(world: World, trail: list[Action], action: Action) -> None:
    trail.append(action)
    world.do(action)


def replay(scope: Scope, parts: Parts | None, trail: Iterable[Action]) -> str:
    """The breach that these actions lead to; empty: none, or they cannot be done."""
    world = World(scope, parts or Parts()).begin()
    for action in trail:
        if action not in world.actions():
            return ""
        try:
            world.do(action)
        except Breach as breach:
            return str(breach)
    return ""


def shrunk(scope: Scope, parts: Parts | None, trail: list[Action]) -> list[Action]:
    """With every action taken out that the breach does not need."""
    at = len(trail) - 1
    while at >= 0:
        fewer = trail[:at] + trail[at + 1 :]
        if replay(scope, parts, fewer):
            trail = fewer
        at = min(at - 1, len(trail) - 1)
    return trail


def story(trail: Iterable[Action]) -> str:
    return "\n".join(
        f"{number:>3}. "
        + (
            f"{action[2]} -> {action[1]}: {decode(action[3])}"
            if action[0] == "deliver"
            else " ".join(map(str, action))
        )
        for number, action in enumerate(trail, 1)
    )
