"""Model checking of ownership: the very classes that ship, over all orders of delivery, loss, copies and crashes.

A world is some voters and two candidates. What was ever sent may be delivered at any time, in any order, again, or
never. A voter dies before or after its disk has what it promised, and may come back without its memory. Two scopes:

- without time: voters' leases never hold anybody back and candidates' never run out, as if all clocks were astray. The
  records that count must form one history, each continuing from the one before (invariants 1 to 5 alone).
- with time: clocks in step, leases as configured. No two candidates may own at once.

`explore` goes breadth first; worlds alike but for their names are one. `walk` goes deep at random. A breach comes with
the actions that lead there; `replay` does them again.
"""

from __future__ import annotations

import itertools
import pickle
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

import msgspec

from stepknot.leases import model as m
from stepknot.leases.owner import Owner, Phase
from stepknot.leases.voter import Voter

JOB = "j"
VOTERS, CANDIDATES = ("A", "B", "C"), ("x", "y")
Action = tuple[Any, ...]


encoder, decoder = (
    msgspec.msgpack.Encoder(order="deterministic"),
    msgspec.msgpack.Decoder(m.Message),
)


@lru_cache(100_000)
def decode(data: bytes) -> Any:
    return decoder.decode(data)


def encode(message: Any) -> bytes:
    return encoder.encode(message)


class Breach(Exception):
    """What must never be; its text says what."""


@dataclass(frozen=True, slots=True)
class Scope:
    """How much may happen."""

    claims: int = 2  # of each candidate
    writes: int = 1  # of each epoch, beyond taking the ledger over
    crashes: int = 1  # of voters, with memory
    losses: int = 1  # of voters' memory, one at a time: a majority's is assumed to last
    time: int = 0  # steps of the clock; 0: without time
    lease: int = 2  # steps
    handovers: int = 0


@dataclass(frozen=True, slots=True)
class Parts:
    """What is checked; tests plant defects in subclasses."""

    voter: type[Voter] = Voter
    owner: type[Owner] = Owner
    told_first: bool = False  # a defect of the carrying out: replies leave before the disk has them


@dataclass
class World:
    scope: Scope
    parts: Parts
    now: int = 0
    voters: dict[str, Voter] = field(default_factory=dict)
    disks: dict[str, m.Saved | None] = field(default_factory=dict)
    waiting: dict[str, list[tuple[str, Any]]] = field(
        default_factory=dict
    )  # replies until the disk has them
    owners: dict[str, Owner] = field(default_factory=dict)
    sent: dict[tuple[str, str, bytes], None] = field(
        default_factory=dict
    )  # all that ever was: to, from, what
    claims: dict[str, int] = field(default_factory=dict)
    writes: dict[str, int] = field(default_factory=dict)
    crashes: int = 0
    losses: int = 0
    handovers: int = 0
    counted: dict[tuple[int, int], bytes] = field(default_factory=dict)

    # --- beginning

    def begin(self) -> World:
        for name in VOTERS:
            self.disks[name] = m.Saved("f", name, 1, {}, [])
            self.restart(name)
            self.voters[name].votes_from = float("-inf")  # the first start of a fleet
        for number, name in enumerate(CANDIDATES):
            self.owners[name] = self.parts.owner(
                JOB, (name, number), self.settings(candidate=True), 0
            )
            self.claims[name] = self.writes[name] = 0
        return self

    def settings(self, candidate: bool) -> m.OwnerSettings:
        lease = float(self.scope.lease) if self.scope.time else 1e9 if candidate else 0.0
        return m.OwnerSettings(VOTERS, "f", lease, 0.0)

    def restart(self, name: str) -> None:
        self.voters[name] = voter = self.parts.voter(
            name, self.settings(candidate=False), self.disks[name]
        )
        voter.start(self.now)
        self.waiting[name] = []

    # --- what may happen

    def actions(self) -> list[Action]:
        found: list[Action] = [("deliver", *each) for each in self.sent]
        scope = self.scope
        for name, owner in self.owners.items():
            if owner.phase is not Phase.OWNING and self.claims[name] < scope.claims:
                found.append(("claim", name))
            if owner.phase is Phase.OWNING:
                found.append(("nudge", name))
                if not scope.time:
                    found.append(("stop", name))
                if (
                    owner.pending is None
                    and owner.committed is not None
                    and self.writes[name] < scope.writes
                ):
                    found.append(("write", name))
                if self.handovers < scope.handovers:
                    found.append(("hand over", name))
                if scope.time and owner.renew_at <= self.now:
                    found.append(("renew", name))
        for name, voter in self.voters.items():
            if voter.unsaved:
                found.append(("disk", name))
            if self.crashes < scope.crashes:
                found.append(("crash", name))
            if self.losses < scope.losses and all(
                each.way is None for each in self.voters.values()
            ):
                found.append(("lose", name))
            if voter.way is not None:
                found.append(("way", name))
        if self.now < scope.time:
            found.append(("time",))
        return found

    def do(self, action: Action) -> None:
        getattr(self, "do_" + action[0].replace(" ", "_"))(*action[1:])
        self.check()

    def do_deliver(self, to: str, source: str, data: bytes) -> None:
        message = decode(data)
        if to in self.voters:
            birth = self.owners[source].me[1] if source in self.owners else 0
            reply = self.voters[to].receive(self.now, (source, birth), message)
            if reply is not None:
                self.reply(to, source, reply)
        else:
            owner = self.owners[to]
            if isinstance(message, m.Offer):
                if owner.phase is Phase.IDLE and self.claims[to] < self.scope.claims:
                    self.claims[to] += 1
                    self.writes[to] = 0
                    owner.known_epoch = max(owner.known_epoch, message.epoch)
                    owner.claim(self.now, released=message.epoch)
            else:
                owner.receive(self.now, source, message)
            self.carry(to)

    def reply(self, voter: str, to: str, message: Any) -> None:
        if self.voters[voter].unsaved and not self.parts.told_first:
            self.waiting[voter].append((to, message))
        else:
            self.sent[to, voter, encode(message)] = None

    def do_disk(self, name: str) -> None:
        voter = self.voters[name]
        self.disks[name], voter.unsaved = voter.saved(), False
        for to, message in self.waiting[name]:
            self.sent[to, name, encode(message)] = None
        self.waiting[name] = []

    def do_crash(self, name: str) -> None:
        self.crashes += 1
        self.restart(name)

    def do_lose(self, name: str) -> None:
        self.losses += 1
        self.disks[name] = None
        self.restart(name)

    def do_way(self, name: str) -> None:
        voter = self.voters[name]
        assert voter.way is not None
        voter.way.ask_at = float("-inf")
        for to, message in voter.tick(self.now):
            self.sent[to, name, encode(message)] = None

    def do_claim(self, name: str) -> None:
        owner = self.owners[name]
        self.claims[name] += 1
        self.writes[name] = 0
        if owner.phase is Phase.CLAIMING:
            owner.give_up(self.now, "")
        owner.claim(self.now)
        self.carry(name)

    def do_nudge(self, name: str) -> None:
        """All that is sent again in time: records on their way, and claims to those that did not grant."""
        owner = self.owners[name]
        if owner.pending is not None:
            owner.pending.send_at = float("-inf")
        owner.push(self.now)
        owner.send(m.Claim(JOB, owner.epoch, owner.released), owner.missing())
        self.carry(name)

    def do_stop(self, name: str) -> None:
        """Its lease ran out, or it was started again."""
        self.owners[name].stop(self.now, "")
        self.carry(name)

    def do_renew(self, name: str) -> None:
        self.owners[name].renew(self.now)
        self.carry(name)

    def do_write(self, name: str) -> None:
        owner = self.owners[name]
        assert owner.committed is not None
        self.writes[name] += 1
        owner.propose(
            self.now, owner.committed.value + f"{owner.epoch}.{self.writes[name]} ".encode()
        )
        self.carry(name)

    def do_hand_over(self, name: str) -> None:
        self.handovers += 1
        other = next(each for each in CANDIDATES if each != name)
        self.owners[name].hand_over(self.now, other, "")
        self.carry(name)

    def do_time(self) -> None:
        self.now += 1
        for name, owner in self.owners.items():
            owner.next_claim = float("inf")  # claims are actions of their own
            if owner.phase is Phase.OWNING and self.now >= owner.until:
                owner.stop(self.now, "")
            self.carry(name)

    def carry(self, name: str) -> None:
        owner = self.owners[name]
        for to, message in owner.out:
            self.sent[to, name, encode(message)] = None
        owner.out = []
        owner.news = []
        owner.next_claim = 0.0

    # --- what must hold

    def check(self) -> None:
        for name, owner in self.owners.items():
            held = owner.committed
            if held is not None and self.counted.setdefault(held.version, held.value) != held.value:
                raise Breach(f"{name}: two records count as {held.version}")
        rows = sorted(self.counted.items())
        for (before, old), (after, new) in itertools.pairwise(rows):
            if not new.startswith(old):
                raise Breach(f"{after} {new!r} does not continue from {before} {old!r}")
        if self.scope.time:
            owning = [
                name
                for name, owner in self.owners.items()
                if owner.phase is Phase.OWNING and self.now < owner.until
            ]
            if len(owning) > 1:
                raise Breach(f"{' and '.join(owning)} own at {self.now}")

    # --- alike or not

    def key(self) -> str:
        """The same for worlds that differ in voters' and candidates' names only."""
        return min(
            self.text(dict(zip((*VOTERS, *CANDIDATES), (*some, *others), strict=True)))
            for some in itertools.permutations(VOTERS)
            for others in itertools.permutations(CANDIDATES)
        )

    def text(self, names: dict[str, str]) -> str:
        """All that later behaviour hangs on, under other names."""

        def of(given: Any) -> Any:
            """A dict or a set by its new names, in their order."""
            if isinstance(given, dict):
                return sorted((names[name], value) for name, value in given.items())
            return sorted(names[name] for name in given)

        def msg(message: Any) -> tuple[Any, ...]:
            return fields(message, names)

        voters = []
        for name, voter in self.voters.items():
            jobs = [
                (
                    job.promised,
                    names.get(job.holder[0], ""),
                    job.until,
                    held(job.held),
                    job.committed,
                )
                for job in voter.jobs.values()
            ]
            way = voter.way and (
                of(voter.way.lives),
                of(voter.way.after),
                of(voter.way.done),
                voter.way.life,
            )
            disk = self.disks[name]
            kept = disk and (
                disk.life,
                of({**dict.fromkeys(VOTERS, 1), **disk.lives}),
                [
                    (each.promised, names.get(each.holder, ""), held(each.held))
                    for each in disk.jobs
                ],
            )
            waiting = sorted((names[to], msg(each)) for to, each in self.waiting[name])
            voters.append(
                (
                    names[name],
                    jobs,
                    voter.life,
                    of(voter.lives),
                    voter.votes_from,
                    way,
                    voter.unsaved,
                    kept,
                    waiting,
                )
            )
        owners = []
        for name, owner in self.owners.items():
            pending = owner.pending and (
                held(owner.pending.held),
                of({each: (ack.life, of(ack.lives)) for each, ack in owner.pending.acks.items()}),
            )
            times = (
                (
                    owner.until,
                    owner.claimed_at,
                    owner.renew_at,
                    [
                        (number, at, of({each: msg(renewed) for each, renewed in answers.items()}))
                        for number, (at, answers) in owner.numbers.items()
                    ],
                )
                if self.scope.time
                else ()
            )
            owners.append(
                (
                    names[name],
                    owner.phase.name,
                    owner.epoch,
                    owner.known_epoch,
                    owner.released,
                    of({each: msg(grant) for each, grant in owner.grants.items()}),
                    of(owner.refusals),
                    held(owner.base),
                    owner.step,
                    times,
                    pending,
                    owner.committed and held(owner.committed),
                    self.claims[name],
                    self.writes[name],
                )
            )
        sent = sorted(
            repr((names[to], names[source], msg(decode(data)))) for to, source, data in self.sent
        )
        counts = sorted((version, value) for version, value in self.counted.items())
        return repr(
            (
                sorted(voters),
                sorted(owners),
                sent,
                counts,
                self.now,
                self.crashes,
                self.losses,
                self.handovers,
            )
        )


def held(record: m.Held) -> tuple[Any, ...]:
    return record.epoch, record.step, record.value


def fields(message: Any, names: dict[str, str]) -> tuple[Any, ...]:
    """A message's number and fields, under other names."""
    found: list[Any] = [message.__struct_config__.tag]
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if name in ("job", "why"):
            continue
        if isinstance(value, dict):
            value = sorted((names[voter], life) for voter, life in value.items())
        elif isinstance(value, m.Held):
            value = held(value)
        elif isinstance(value, m.JobRecord):
            value = value.promised, names.get(value.holder, ""), held(value.held)
        found.append(value)
    return tuple(found)


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
