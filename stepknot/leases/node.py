"""One broker's part in ownership: its vote, its claims, what it knows of each job's ledger. No I/O, no clock.

Fed with datagrams and ticks; gives datagrams to send, and says when the voter's state must be on disk before those that
it names may leave.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stepknot.leases import model as m
from stepknot.leases.fence import Fence
from stepknot.leases.owner import Owner, Phase
from stepknot.leases.place import order
from stepknot.leases.voter import Voter
from stepknot.membership.errors import DatagramError

TURN = 0.5  # of a lease, that each next in line waits longer before it claims
ASK_EVERY = 2.0  # leases between two questions to the voters, once a majority answered
ORDERS = 32  # of operators, on their way to the owner, at the most
ORDER_TIME = 5.0  # leases for which an order is asked again


@dataclass(slots=True)
class Waiting:
    """An operator's order that is not in the ledger yet."""

    job: str
    body: bytes
    until: float
    error: str | None = None  # the owner's answer; empty: taken
    send_at: float = -math.inf


@dataclass(slots=True)
class Work:
    """What a job does. `step(now, value)` gives the next record, when its time has come; `order` the record once an
    operator's word is taken, or raises ValueError; `apply` hears each record that counts, the newest only."""

    step: Callable[[float, bytes], bytes | None]
    order: Callable[[bytes, str, bytes], bytes]
    apply: Callable[[m.Held], None]
    begin: Callable[[float], None] = lambda now: None  # this broker owns the job now


@dataclass(slots=True)
class JobView:
    owner: Owner
    work: Work
    fence: Fence
    owner_name: str = ""  # who said last that it owns it
    owner_epoch: int = 0
    heard: float = -math.inf  # from the owner
    free_since: float = math.inf  # nobody is known to own it
    asked_at: float = -math.inf
    tell_at: float = -math.inf
    told: tuple[int, int] = (0, 0)  # the version that was last told whole to all
    orders: dict[str, tuple[str, float]] = field(
        default_factory=dict
    )  # taken here, not in the ledger yet: by whom


class Ownership:
    def __init__(
        self,
        me: m.Process,
        settings: m.OwnerSettings,
        voter: Voter | None,
        jobs: dict[str, Work],
        seed: int,
        member: Callable[[str], bool],
    ) -> None:
        """`member(name)`: whether it is held alive: a hint for whose turn it is."""
        self.me, self.settings, self.voter, self.member = me, settings, voter, member
        self.random = random.Random(seed)
        self.jobs = {
            name: JobView(
                Owner(name, me, settings, self.random.getrandbits(60)),
                work,
                Fence(settings.majority),
            )
            for name, work in jobs.items()
        }
        self.members: list[str] = [me[0]]
        self.out: list[
            tuple[str, bytes, bool]
        ] = []  # to whom, what, and whether it waits for the disk
        self.orders: dict[str, Waiting] = {}
        self.counters: Counter[str] = Counter()
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.yielding = False
        self.started = False

    # --- in

    def tick(self, now: float, members: list[str]) -> None:
        """`members`: all that are held alive, this one among them."""
        self.members = members
        self.begin(now)
        if self.voter is not None:
            for to, message in self.voter.tick(now):
                self.send(to, message)
        for name, view in self.jobs.items():
            self.work(now, name, view)
        self.ask_orders(now)

    def begin(self, now: float) -> None:
        if not self.started:
            self.started = True
            for view in self.jobs.values():
                view.free_since = now  # an owner has a lease's time to be heard
            if self.voter is not None:
                self.voter.start(now)

    def receive(self, now: float, data: bytes) -> None:
        """A datagram. What cannot be used is counted by its reason and forgotten."""
        self.begin(now)
        try:
            envelope = m.decode(data, self.settings.fleet)
        except DatagramError as error:
            self.counters[f"dropped: {error}"] += 1
            return
        self.hear(now, (envelope.sender, envelope.birth), envelope.message)

    def hear(self, now: float, who: m.Process, message: m.Message) -> None:
        if isinstance(message, TO_VOTER) and self.voter is not None:
            found = self.voter.receive(now, who, message)
            if found is not None:
                self.send(who[0], found, waits=True)
        job = self.jobs.get(getattr(message, "job", ""))
        if job is not None and (answer := self.handlers.get(type(message))) is not None:
            answer(self, now, who, job, message)

    # --- a job

    def work(self, now: float, name: str, view: JobView) -> None:
        owner = view.owner
        owner.tick(now, not self.yielding and self.my_turn(now, name, view))
        self.carry(now, name, view)
        if owner.acting(now):
            view.owner_name, view.owner_epoch, view.heard = self.me[0], owner.epoch, now
            if owner.pending is None:
                self.advance(now, view)
            self.tell(now, name, view)
        elif not view.fence.ready or now >= view.asked_at + ASK_EVERY * self.settings.lease:
            if now >= view.asked_at + self.settings.renew:
                view.asked_at = now
                for voter in self.settings.voters:
                    self.send(voter, m.Ask(name))

    def my_turn(self, now: float, name: str, view: JobView) -> bool:
        """Nobody is heard to own it, and those before this one in line had their time."""
        silent = now - view.heard > self.settings.lease or not self.member(view.owner_name)
        if not silent:
            view.free_since = math.inf
            return False
        view.free_since = min(view.free_since, now)
        line = order(name, self.members)
        turn = line.index(self.me[0]) if self.me[0] in line else len(line)
        return now >= view.free_since + TURN * self.settings.lease * turn

    def advance(self, now: float, view: JobView) -> None:
        """The owner's next record, if it is time for one. Asked at this very moment (the first line of defence)."""
        assert view.owner.committed is not None
        value = view.work.step(now, view.owner.committed.value)
        if value is not None:
            view.owner.propose(now, value)

    def carry(self, now: float, name: str, view: JobView) -> None:
        """What the claims want sent and told."""
        owner = view.owner
        out, owner.out = owner.out, []
        for to, message in out:
            self.send(to, message)
        news, owner.news = owner.news, []
        for what in news:
            self.counters[what] += 1
            if what == "committed":
                self.counts(view, owner.committed)
                for number, (by, _) in list(view.orders.items()):
                    del view.orders[number]
                    self.answer_order(now, by, name, number, "")
                if owner.committed is not None and owner.committed.step == 1:
                    self.events.append(("job_owned", {"job": name, "epoch": owner.epoch}))
                    view.work.begin(now)
            elif what == "lost":
                view.orders.clear()  # who asked asks the next owner
                self.events.append(
                    ("job_lost", {"job": name, "epoch": owner.epoch, "why": owner.why})
                )

    def counts(self, view: JobView, held: m.Held | None) -> None:
        if held is not None and view.fence.admit(held):
            view.work.apply(held)

    def tell(self, now: float, name: str, view: JobView) -> None:
        """All members hear who owns the job and which record counts; whole when it is new."""
        held = view.owner.committed
        assert held is not None
        if held.version == view.told and now < view.tell_at:
            return
        whole, view.told, view.tell_at = (
            held.version != view.told,
            held.version,
            now + self.settings.renew,
        )
        for each in self.members:
            if each != self.me[0]:
                self.send(each, m.Told(name, *held.version, held.value if whole else None))

    def on_told(self, now: float, who: m.Process, view: JobView, told: m.Told) -> None:
        if told.epoch < view.owner_epoch:
            self.counters["told by an earlier owner"] += 1
            return
        view.owner_name, view.owner_epoch, view.heard = who[0], told.epoch, now
        view.owner.known_epoch = max(view.owner.known_epoch, told.epoch)
        newest = view.fence.newest
        if newest is not None and (told.epoch, told.step) <= newest.version:
            return
        if told.value is None:
            self.send(who[0], m.Ask(told.job))
        else:  # a process that just started may hear a late owner first: it waits for the voters' word
            held = m.Held(told.epoch, told.step, told.value)
            if view.fence.ready:
                self.counts(view, held)

    def on_ask(self, now: float, who: m.Process, view: JobView, ask: m.Ask) -> None:
        held = view.owner.committed
        if held is not None and view.owner.acting(now):
            self.send(who[0], m.Told(ask.job, *held.version, held.value))

    def on_holds(self, now: float, who: m.Process, view: JobView, holds: m.Holds) -> None:
        if who[0] in self.settings.voters:
            view.owner.known_epoch = max(view.owner.known_epoch, holds.held.epoch)
            if view.fence.hear(who[0], holds) and view.fence.newest is not None:
                view.work.apply(view.fence.newest)

    def on_answer(self, now: float, who: m.Process, view: JobView, message: Any) -> None:
        view.owner.receive(now, who[0], message)
        self.carry(now, message.job, view)

    def on_offer(self, now: float, who: m.Process, view: JobView, offer: m.Offer) -> None:
        owner = view.owner
        if self.yielding or owner.phase is not Phase.IDLE:
            return
        owner.known_epoch = max(owner.known_epoch, offer.epoch)
        owner.claim(now, released=offer.epoch)
        self.carry(now, offer.job, view)

    def hand_over(self, now: float, name: str, why: str, to: str | None = None) -> bool:
        """Whether there was something to hand over."""
        view = self.jobs[name]
        if view.owner.phase is not Phase.OWNING:
            return False
        line = [each for each in order(name, self.members) if each != self.me[0]]
        view.owner.hand_over(now, to or (line[0] if line else None), why)
        view.heard, view.free_since = -math.inf, now
        self.carry(now, name, view)
        return True

    def leave(self, now: float) -> None:
        """Told to stop: all jobs go to the next in line, and none is taken again."""
        self.yielding = True
        for name, view in self.jobs.items():
            if not self.hand_over(now, name, "told to stop"):
                view.owner.hand_over(now, None, "told to stop")
                self.carry(now, name, view)

    # --- operators' orders

    def ask_for(self, now: float, job: str, number: str, body: bytes) -> None:
        """Raises ValueError where there is no room for it, or it is too long."""
        if job not in self.jobs:
            raise ValueError(f"no job {job}; known: {', '.join(self.jobs)}")
        if len(body) > m.MOST_VALUE:
            raise ValueError(f"an order of {len(body)} bytes, {m.MOST_VALUE} at the most")
        if len(self.orders) >= ORDERS:
            raise ValueError(f"{ORDERS} orders wait already")
        self.orders[number] = Waiting(job, body, now + ORDER_TIME * self.settings.lease)
        self.ask_orders(now)

    def ask_orders(self, now: float) -> None:
        for number, waiting in self.orders.items():
            view = self.jobs[waiting.job]
            if waiting.error is not None or now < waiting.send_at:
                continue
            if now >= waiting.until:
                waiting.error = f"no owner of {waiting.job} took it in time: it may still be carried out, or not"
                continue
            waiting.send_at = now + self.settings.renew / 4
            if view.owner.acting(now):
                self.on_order(now, self.me, view, m.Order(waiting.job, number, waiting.body))
            elif view.owner_name and view.owner_name != self.me[0]:
                self.send(view.owner_name, m.Order(waiting.job, number, waiting.body))

    def taken(self, number: str) -> str | None:
        """The answer to an order, once: None while it waits."""
        waiting = self.orders.get(number)
        if waiting is None or waiting.error is None:
            return None
        return self.orders.pop(number).error

    def on_order(self, now: float, who: m.Process, view: JobView, asked: m.Order) -> None:
        owner = view.owner
        if not owner.acting(now) or owner.pending is not None or asked.number in view.orders:
            return  # asked again soon
        assert owner.committed is not None
        try:
            value = view.work.order(owner.committed.value, asked.number, asked.body)
        except ValueError as error:
            self.answer_order(now, who[0], asked.job, asked.number, str(error)[:300] or "refused")
            return
        if value == owner.committed.value:
            self.answer_order(now, who[0], asked.job, asked.number, "")
            return
        view.orders[asked.number] = who[0], now
        owner.propose(now, value)
        self.carry(now, asked.job, view)

    def answer_order(self, now: float, to: str, job: str, number: str, error: str) -> None:
        if to == self.me[0]:
            if number in self.orders:
                self.orders[number].error = error
        else:
            self.send(to, m.Answered(job, number, error))

    def on_answered(self, now: float, who: m.Process, view: JobView, answered: m.Answered) -> None:
        if answered.number in self.orders:
            self.orders[answered.number].error = answered.error

    handlers: dict[type, Any] = {
        m.Told: on_told,
        m.Ask: on_ask,
        m.Holds: on_holds,
        m.Granted: on_answer,
        m.Refused: on_answer,
        m.Renewed: on_answer,
        m.Written: on_answer,
        m.Offer: on_offer,
        m.Order: on_order,
        m.Answered: on_answered,
    }

    # --- out

    def send(self, to: str, message: m.Message, waits: bool = False) -> None:
        """What goes to this broker itself goes by the same way, without the network."""
        self.out.append((to, m.encode(self.settings.fleet, self.me, message), waits))

    def take(
        self,
    ) -> tuple[list[tuple[str, bytes, bool]], m.Saved | None, list[tuple[str, dict[str, Any]]]]:
        """What to send; the voter's state, where it has to be on disk before what `waits` may leave; what happened."""
        out, self.out = self.out, []
        events, self.events = self.events, []
        saved = None
        if self.voter is not None and self.voter.unsaved:
            self.voter.unsaved = False
            saved = self.voter.saved()
        return out, saved, events


TO_VOTER = (m.Claim, m.Renew, m.Write, m.Yield, m.Ask, m.AskLife, m.TellLife, m.Recall, m.Recalled)
