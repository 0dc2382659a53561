"""One member's part in membership: datagrams and ticks in, datagrams and changes out. No I/O, no clock.

Each member is watched by its neighbours in some rings (`rings.py`) and beats to them, as they do to it. A beat says
when its sender last heard the other, so each edge knows both directions. A watcher that hears nothing asks others, some
that it hears, some at random; who is asked and has heard nothing lately pings the silent one itself. What is decided:

1. *Suspect*: nobody among those asked has a sign of life younger than `suspect_after`, and enough of them said so.
   It spreads to all and reaches the suspect, which proves itself by a greater incarnation: from there the news
   that it lives takes all ways that are left.
2. *Dead*: the same with `dead_after`, and only by a member that is not isolated itself and did not stand still lately.
3. *Isolated*, of oneself: most neighbours are not heard, or say that they do not hear me, or half of all members are
   suspect or died lately. An isolated member declares nobody dead: from inside, a fleet that died looks the same as a
   cut cable. Where many are lost at once, but not half, a death waits until word of all came in and views agree.
4. *Standing still*: whoever finds that its own clock jumped moves all its waits by the gap, and says nothing of others'
   death for a while: their signs may lie unread in its own buffers.
5. *Names*: of two processes under one name the one with the greater (epoch, birth) stays, the other steps aside. A
   process that joins takes an epoch above all that it is told of for its name.
6. *Counts*: `at_most` counts all that did not leave by their own word, the dead too, as a cut-off member may live on.
   A new member, which was not told of the dead, counts the configured number at least, for as long as they are
   remembered. A member that was isolated for half of that time answers `UNBOUNDED`: by the time others stop counting
   it, it takes no share of anything.

Bounds: `docs/membership.md` has them in one table.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any

import msgspec

from stepknot.membership import wire
from stepknot.membership.errands import Errands
from stepknot.membership.errors import DatagramError
from stepknot.membership.gossip import News
from stepknot.membership.losses import many_lost, views_alike, why_isolated
from stepknot.membership.model import (
    ABSENT_STATES,
    MOST_EPOCH,
    MOST_INCARNATION,
    UNBOUNDED,
    Change,
    Counts,
    MembershipSettings,
    Record,
    State,
)
from stepknot.membership.questions import Questions, confirmed, widely_confirmed
from stepknot.membership.rate import Rate
from stepknot.membership.rings import Rings
from stepknot.membership.table import Table
from stepknot.membership.watched import Watched

Address = tuple[str, int]
LONG_AGO = 2**20  # seconds: what is longer ago was never
SUSPECTS_BEAT = 4  # periods between two beats to a suspect
KNOCK_MOST = 2.0  # seconds between two tries of a joining member at the most
SYNC = 4  # periods between two questions about the table: one takes as much as half a second's rate
# Of the burst: what answers, and beats in their time, may take beyond what is saved.
ANSWERS, BEATS = 0.25, 1.0
# Datagrams that a question about the silent leaves: more than a repair, which leaves one and is one. It is repairs that
# end a storm; where questions came first, a third lost at once kept all members asking for good.
QUESTION_LEAVES = 3
SPREAD_PAUSE = 0.05  # seconds between two rounds of news: what comes in a storm goes on together
FAREWELLS = 3  # rounds in which a leave is told
CALL_AGAIN = 5  # periods between two calls to one of the dead, or a seed that is not here
ASK_AFTER = 3.0  # periods without a sign, after which others are asked
STILL = 2.0  # periods without a tick after which a member stood still


class MembershipProtocol:
    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.own = msgspec.structs.replace(own, state=State.JOINING)
        self.table = Table(settings.most, settings.tombstone)
        self.rings = Rings(settings.rings)
        self.questions = Questions(settings, self.table, self.rings, self.random)
        self.watched: dict[str, Watched] = {}
        self.neighbours: dict[str, None] = {}  # those watched that are not suspect
        self.out: list[tuple[Address, bytes]] = []
        self.news = News(settings.rounds, wire.RECORDS)
        self.errands = Errands(settings.period)
        self.rate = Rate(settings.rate, settings.burst)
        # What can wait leaves one datagram, and on the whole no more: after a storm it is repairs that end it.
        self.bulk = -wire.MOST_BYTES / settings.burst
        self.question_borrow = max(QUESTION_LEAVES * self.bulk, -0.5)  # of a small burst half
        self.counters: Counter[str] = Counter()
        self.joined = self.rewire_due = self.stepped_aside = False
        self.ticked = self.woken_until = -math.inf
        self.started = math.inf  # the first tick
        self.stood_still = 0.0  # seconds, the last time
        self.isolated_since = math.inf
        self.isolated_why = ""
        self.agreed = -math.inf  # when a neighbour's view last had the digest of this one
        self.knock_at, self.knock_pause = -math.inf, settings.period / 2
        self.sync_from = 0  # the bucket from which on tables are compared next
        self.call_at = self.ask_at = self.sync_at = self.spread_at = -math.inf
        self.seeds = tuple(each for each in settings.seeds if each != own.address)
        self.put(-math.inf, self.own, "this process")

    # --- in

    def tick(self, now: float) -> None:
        """To be called each `settings.step` seconds."""
        self.note_gap(now)
        if self.stepped_aside:
            return
        if self.own.state is State.LEFT:
            self.spread(now)
            return
        if not self.joined:
            self.knock(now)
        if self.rewire_due:
            self.rewire(now)
        for name, watched in self.watched.items():
            if now >= watched.beat_at:
                self.beat(now, name, borrow=BEATS)
                slower = (
                    1 if name in self.neighbours else SUSPECTS_BEAT
                )  # its own are answered at once anyway
                watched.beat_at = max(watched.beat_at + slower * self.settings.period, now)
        self.consider_isolation(now)
        self.tell_of_silence(now)
        silent = [name for name, each in self.watched.items() if self.silent(now, each)]
        if silent:
            self.ask(now, silent)
            others = self.others()
            for name in silent:
                self.judge(now, name, others)
        self.table.expire(now)
        self.call_the_gone(now)
        self.compare(now)
        self.spread(now)

    def receive(self, now: float, data: bytes) -> None:
        """A datagram. What cannot be used is counted by its reason and forgotten."""
        self.note_gap(now)
        if self.stepped_aside or self.own.state is State.LEFT:
            return
        try:
            envelope = wire.decode(data, self.settings.fleet)
        except DatagramError as error:
            self.counters[f"dropped: {error}"] += 1
            return
        sender, message = envelope.sender, envelope.message
        if sender.name == self.own.name:
            self.meet_namesake(now, sender)
            return
        held = self.table.records.get(sender.name)
        if held is not None and sender.process < held.process:
            self.counters["dropped: an earlier process"] += 1
            self.emit(now, sender.address, wire.News([held]))  # it is the older one: it is to know
            return
        if sender is not held and sender != held:
            self.put(now, sender, "its own word")
            if sender.name not in self.table.records:
                return  # no room
        self.hear(now, sender)
        self.handlers[type(message)](self, now, sender, message)
        if self.news.left and now >= self.spread_at + SPREAD_PAUSE:
            self.spread(now)

    def leave(self, now: float) -> None:
        """Tell all: it is no death. `tick` is to be called a few times more."""
        if not self.stepped_aside and self.own.state is not State.LEFT:
            self.become(now, state=State.LEFT, why="told to stop")
            self.news.only(self.own.name, FAREWELLS)
            self.spread(now)

    def take(self) -> tuple[list[tuple[Address, bytes]], list[Change]]:
        """What is to be sent, and what changed, since the last call."""
        out, self.out = self.out, []
        changes, self.table.changes = self.table.changes, []
        return out, changes

    # --- own time

    def note_gap(self, now: float) -> None:
        self.started = min(self.started, now)
        gap, self.ticked = now - self.ticked, now
        if gap > STILL * self.settings.period and gap < math.inf:
            self.stood_still = gap
            self.counters["stood still"] += 1
            self.woken_until = now + self.settings.suspect_after
            for watched in self.watched.values():
                watched.shift(gap)
                watched.beat_at = now  # those that miss this member hear of it at once
            self.isolated_since += gap

    def awake(self, now: float) -> bool:
        return now >= self.woken_until

    # --- own record

    def become(self, now: float, why: str, **changes: Any) -> None:
        self.own = msgspec.structs.replace(self.own, **changes)
        self.put(now, self.own, why)

    def prove(self, now: float, record: Record) -> None:
        """Somebody holds this member to be worse than it is."""
        if record.process == self.own.process and record.rank > self.own.rank:
            self.counters["proved itself"] += 1
            if record.incarnation + 1 < MOST_INCARNATION:
                self.become(now, "proves itself", incarnation=record.incarnation + 1)
            else:
                self.take_epoch(now, record.epoch, "its incarnations are spent")

    def take_epoch(self, now: float, above: int, why: str) -> None:
        if above + 1 < MOST_EPOCH:
            self.become(now, why, epoch=above + 1, incarnation=0)
        else:
            self.step_aside(now, "no epoch is left for this name")

    def meet_namesake(self, now: float, record: Record) -> None:
        """A record of this name that is not this process's own."""
        if record.process <= self.own.process:
            self.prove(now, record)
            if record.process != self.own.process and record.state not in ABSENT_STATES:
                self.counters["met an older namesake"] += 1
                self.emit(now, record.address, wire.News([self.own]))
        elif not self.joined or record.state in ABSENT_STATES or record.address == self.own.address:
            self.take_epoch(
                now, record.epoch, "an earlier process had this name"
            )  # no other one can be there now
        else:
            self.step_aside(
                now,
                f"another process took this name: epoch {record.epoch} at "
                f"{record.host}:{record.port}",
            )

    def step_aside(self, now: float, why: str) -> None:
        self.stepped_aside = True
        self.isolated_since, self.isolated_why = now, why
        self.counters["stepped aside"] += 1
        self.table.tell(self.own.name, self.own.state, None, why)

    # --- others' records

    def put(self, now: float, record: Record, why: str) -> bool:
        known = self.table.present.get(record.name)
        if not self.table.put(now, record, why):
            return False
        if record.state is not State.JOINING:
            self.news.add(now, record.name)
        if record.state in ABSENT_STATES:
            self.rings.drop(record.name)
            self.watched.pop(record.name, None)
            self.errands.forget(record.name)
            self.rewire_due = True
        else:
            self.rings.add(record.name)
            self.rewire_due |= known is None or known.state != record.state
            watched = self.watched.get(record.name)
            if watched is not None and record.state is State.ALIVE:
                if known is None or known.process != record.process:
                    self.watched[record.name] = watched = Watched(now)
                watched.note(now, "a newer incarnation")
        return True

    def hear(self, now: float, sender: Record) -> None:
        watched = self.watched.get(sender.name)
        if watched is not None:
            watched.heard = now
            watched.note(now, "heard here")
        for asker in self.errands.answered(sender.name):
            self.tell(now, asker, [wire.Sign(sender.name, *sender.process, 0)])

    def rewire(self, now: float) -> None:
        """Watch those that the rings name now."""
        self.rewire_due = False
        here = self.table.present
        nearest, between = self.rings.around(
            self.own.name, lambda name: here[name].state is State.SUSPECT
        )
        self.neighbours = nearest
        wanted = nearest | between
        self.watched = {name: each for name, each in self.watched.items() if name in wanted}
        for name in wanted:
            if name not in self.watched:
                self.watched[name] = Watched(
                    now, beat_at=now + self.random.random() * self.settings.period
                )

    # --- out

    def emit(
        self, now: float, address: Address, message: wire.Message, borrow: float = 0.0
    ) -> bool:
        """Send, if the rate allows it or so much of the burst may be borrowed."""
        data = wire.encode(self.settings.fleet, self.own, message)
        if len(data) > wire.MOST_BYTES or not self.rate.grant(now, len(data), borrow):
            self.counters["kept back"] += 1
            return False
        self.counters["bytes"] += len(data)
        self.counters["datagrams"] += 1
        self.out.append((address, data))
        return True

    def beat(self, now: float, name: str, reply: bool = False, borrow: float = ANSWERS) -> None:
        record, watched = self.table.records[name], self.watched.get(name)
        heard = (
            -1
            if watched is None or watched.heard == -math.inf
            else int((now - watched.heard) * 1000)
        )
        held = record.incarnation if record.state in (State.SUSPECT, State.DEAD) else -1
        self.emit(
            now,
            record.address,
            wire.Beat(min(heard, 2**31 - 1), self.table.digest, held, reply, self.isolated),
            borrow,
        )

    def sign_of(self, now: float, name: str) -> wire.Sign:
        """What was heard here of a member that is on the table."""
        record, watched = self.table.records[name], self.watched.get(name)
        ago = now - watched.heard if watched is not None else math.inf
        return wire.Sign(name, *record.process, int(ago * 1000) if ago < LONG_AGO else -1)

    def tell(self, now: float, asker: str, signs: list[wire.Sign], borrow: float = ANSWERS) -> None:
        record = self.table.records.get(asker)
        if record is not None and signs:
            self.emit(now, record.address, wire.Tell(signs), borrow)

    def send_records(
        self,
        now: float,
        address: Address,
        records: list[Record],
        borrow: float = 0.0,
        whole: bool = False,
    ) -> None:
        """In as many datagrams as that takes, as far as the rate allows."""
        while records:
            news, count = self.pack(now, records, whole)
            if not self.emit(now, address, news, borrow):
                return
            records = records[count:]

    def pack(self, now: float, records: list[Record], whole: bool = False) -> tuple[wire.News, int]:
        """As many of them as fit one datagram. Processes that have been known for a while are known to most: of them
        only what changed is told, and who lacks one asks for it."""
        news, room = wire.News([], []), wire.ROOM
        for count, record in enumerate(records):
            identity, since = self.table.known[record.name]
            fresh = now < since + self.settings.suspect_after
            word = (
                record if whole or fresh else wire.Short(identity, record.incarnation, record.state)
            )
            room -= wire.size_of(word)
            if room < 0 or count == wire.WORDS:
                return news, count
            (news.records if isinstance(word, Record) else news.short).append(word)  # type: ignore[arg-type]
        return news, len(records)

    # --- what comes

    def on_beat(self, now: float, sender: Record, beat: wire.Beat) -> None:
        watched = self.watched.get(sender.name)
        if beat.held >= 0:
            self.prove(
                now, msgspec.structs.replace(self.own, incarnation=beat.held, state=State.DEAD)
            )
        if watched is not None:
            if beat.heard >= 0:
                watched.hears_me = max(watched.hears_me, now - beat.heard / 1000)
            if beat.digest == self.table.digest:
                watched.differs_since, self.agreed = math.inf, now
            else:
                watched.differs_since = min(watched.differs_since, now)
        held = self.table.records[sender.name].state
        if (
            beat.reply
            or held in (State.SUSPECT, State.DEAD)
            and (watched is None or now >= watched.beat_at)
        ):
            self.beat(now, sender.name)
            if watched is not None:
                watched.beat_at = now + self.settings.period

    def on_ask(self, now: float, sender: Record, ask: wire.Ask) -> None:
        """What was heard lately is told at once. Of others nothing is said before they had time to answer a ping."""
        known = [name for name in ask.names if name in self.table.records and name != self.own.name]
        signs = [self.sign_of(now, name) for name in known]
        fresh = [sign for sign in signs if 0 <= sign.heard <= self.settings.period * 1000]
        self.tell(now, sender.name, fresh)
        for sign in signs:
            if sign not in fresh and self.errands.take(now, sender.name, sign.name):
                self.beat(
                    now, sign.name, reply=True
                )  # its silence says something only if it was asked

    def tell_of_silence(self, now: float) -> None:
        """Those that were pinged for others and did not answer in time."""
        for asker, names in self.errands.expired(now).items():
            known = [name for name in names if name in self.table.records]
            self.tell(
                now, asker, [self.sign_of(now, name) for name in known[: wire.ASKED]], borrow=0.0
            )

    def on_tell(self, now: float, sender: Record, told: wire.Tell) -> None:
        for sign in told.signs:
            record, watched = self.table.records.get(sign.name), self.watched.get(sign.name)
            if record is None or watched is None or record.process != (sign.epoch, sign.birth):
                continue
            if 0 <= sign.heard <= self.settings.period * 1000:
                watched.teller = sender.name
            if sign.heard >= 0:
                watched.note(now - sign.heard / 1000, f"{sender.name} heard it")
            watched.told[sender.name] = now

    def on_news(self, now: float, sender: Record, news: wire.News) -> None:
        for record in news.records:
            if record.name == self.own.name:
                if record.process == self.own.process:
                    self.prove(now, record)
                else:
                    self.meet_namesake(now, record)
                if self.stepped_aside:
                    return
            else:
                self.put(now, record, f"{sender.name} says so")
        self.on_short(now, sender, news.short)
        if not self.joined and self.own.state is State.JOINING:
            self.joined = True
            self.become(now, "let in", state=State.ALIVE)

    def on_short(self, now: float, sender: Record, words: list[wire.Short]) -> None:
        lacking = []
        for word in words:
            name = self.table.identities.get(word.identity)
            if name is None:
                lacking.append(word.identity)
                continue
            record = msgspec.structs.replace(
                self.table.records[name], incarnation=word.incarnation, state=word.state
            )
            if name == self.own.name:
                self.prove(now, record)
            else:
                self.put(now, record, f"{sender.name} says so")
        if lacking:
            self.emit(now, sender.address, wire.Need(lacking))

    def on_need(self, now: float, sender: Record, need: wire.Need) -> None:
        names = dict.fromkeys(self.table.identities.get(each, "") for each in need.identities)
        records = [self.table.records[name] for name in names if name]
        self.send_records(now, sender.address, records[: wire.RECORDS], whole=True)
        self.send_records(
            now, sender.address, self.table.printed(need.prints)[: wire.WORDS], self.bulk
        )

    def on_join(self, now: float, sender: Record, join: wire.Join) -> None:
        """Its own name first; of the others as many as one datagram holds, the rest by comparing."""
        others = [each for each in self.table.present.values() if each.name != sender.name]
        first = self.random.sample(others, min(len(others), wire.RECORDS - 2))
        self.send_records(
            now,
            sender.address,
            [self.table.records[sender.name], self.own, *first],
            ANSWERS,
            whole=True,
        )

    def on_sync(self, now: float, sender: Record, sync: wire.Sync) -> None:
        found, lacking = self.table.missing(sync.first, sync.last, sync.prints)
        self.random.shuffle(found)  # what the rate cuts off is other records each time
        self.send_records(now, sender.address, found, self.bulk)
        if lacking:
            self.emit(
                now, sender.address, wire.Need(prints=b"".join(lacking[: wire.WORDS])), self.bulk
            )

    handlers: dict[type, Any] = {
        wire.Beat: on_beat,
        wire.Ask: on_ask,
        wire.Tell: on_tell,
        wire.News: on_news,
        wire.Join: on_join,
        wire.Sync: on_sync,
        wire.Need: on_need,
    }

    # --- what is done in time

    def knock(self, now: float) -> None:
        """Ask seeds to be let in, more seldom each time. Without any seed this is the first member."""
        if now < self.knock_at:
            return
        if not self.seeds:
            self.joined = True
            self.become(now, "there is no seed to ask", state=State.ALIVE)
            return
        for address in self.random.sample(self.seeds, min(len(self.seeds), self.settings.fanout)):
            self.emit(now, address, wire.Join(), ANSWERS)
        self.knock_at = now + self.knock_pause * self.random.uniform(0.5, 1.0)
        self.knock_pause = min(2 * self.knock_pause, KNOCK_MOST)

    def silent(self, now: float, watched: Watched) -> bool:
        if watched.silent(now) >= ASK_AFTER * self.settings.period:
            return True
        watched.told.clear()
        return False

    def judge(self, now: float, name: str, others: list[str]) -> None:
        settings, watched, record = self.settings, self.watched[name], self.table.records[name]
        silent = watched.silent(now)
        if record.state is not State.SUSPECT:
            if (
                silent > settings.suspect_after
                and self.awake(now)
                and confirmed(watched, settings, len(others), now)
            ):
                self.condemn(now, record, State.SUSPECT, silent)
        elif now - self.table.why[name][0] < settings.suspect_after:
            return  # it must hear of the suspicion, and have time to prove itself, however long it was silent here
        elif (
            silent > settings.dead_after
            and self.awake(now)
            and confirmed(watched, settings, len(others), now)
            and (not self.isolated and self.agrees(now, watched, len(others)))
        ):
            self.condemn(now, record, State.DEAD, silent)
            self.consider_isolation(now)  # the one that went may be the one too many

    def condemn(self, now: float, record: Record, state: State, silent: float) -> None:
        watched = self.watched[record.name]
        by = f"last {watched.sign_by}" if watched.sign_by else "never heard"
        why = f"silent for {silent:.2f} s ({by}); {', '.join(sorted(watched.told)) or 'nobody'} had nothing younger"
        self.put(now, msgspec.structs.replace(record, state=state), why)

    def others(self) -> list[str]:
        """Who may be asked about a silent member: those not suspect, nor silent here for as long as one that is."""
        after, watched = self.settings.suspect_after, self.watched
        return [
            name
            for name, record in self.table.present.items()
            if record.state is State.ALIVE
            and name != self.own.name
            and (name not in watched or watched[name].silent(self.ticked) <= after)
        ]

    def ask(self, now: float, silent: list[str]) -> None:
        """The silent ones themselves, then others: half of them such as are heard here, and so can answer."""
        records = (
            self.table.records
        )  # from inside a cut nothing more can be found out about suspects
        due = [
            name
            for name in silent
            if now >= self.watched[name].ask_at
            and not (self.isolated and records[name].state is State.SUSPECT)
        ]
        if not due or now < self.ask_at:
            return
        self.ask_at = now + self.settings.period  # what comes due meanwhile goes in one question
        due.sort(key=lambda name: self.watched[name].ask_at)
        for name in (names := due[: wire.ASKED]):
            self.watched[name].ask_at = now + 2 * self.settings.period
            if name in self.neighbours:
                self.beat(now, name, reply=True)
        for name in self.questions.helpers_for(names, self.others(), self.watched):
            self.emit(now, self.table.records[name].address, wire.Ask(names), self.question_borrow)

    def consider_isolation(self, now: float) -> None:
        why = "no seed has let it in"
        if self.joined:
            why = why_isolated(self.table, self.watched.values(), self.settings, now)
        if not why:
            if self.isolated:  # what was silent meanwhile gets its time anew
                for watched in self.watched.values():
                    watched.since = now
            self.isolated_since, self.isolated_why = math.inf, ""
        elif not self.isolated:
            self.isolated_since, self.isolated_why = now, why
            self.counters["isolated"] += 1

    def agrees(self, now: float, watched: Watched, others: int) -> bool:
        """The more are lost at once the more it looks like a cut. Word of all of them must have come in before anybody
        is held dead: it takes twice as long, until most neighbours' views are the same as this one, and more of the
        others' word."""
        settings = self.settings
        if not many_lost(self.table, settings, now):
            return True
        return (
            watched.silent(now) > 2 * settings.dead_after
            and widely_confirmed(watched, settings, others)
            and views_alike(self.watched.values(), now - settings.suspect_after)
        )

    @property
    def isolated(self) -> bool:
        return self.isolated_since < math.inf

    def call_the_gone(self, now: float) -> None:
        """Two halves that parted find each other: one of the dead, or a seed that is not here, is called."""
        if now < self.call_at:
            return
        self.call_at = now + CALL_AGAIN * self.settings.period * self.random.uniform(0.75, 1.25)
        dead = [name for name in self.table.gone if self.table.records[name].state is State.DEAD]
        if dead:
            self.beat(now, self.random.choice(dead), reply=True)
        here = {record.address for record in self.table.present.values()}
        missing = [each for each in self.seeds if each not in here]
        if missing:
            self.emit(now, self.random.choice(missing), wire.Join())

    def compare(self, now: float) -> None:
        """Ask one neighbour whose view differs for what differs: news get lost, and this finds them."""
        if now < self.sync_at:
            return
        differ = [
            name
            for name, each in self.watched.items()
            if now - each.differs_since > self.settings.period
        ]
        if differ:
            self.sync_at = now + SYNC * self.settings.period
            address = self.table.records[self.random.choice(differ)].address
            start = self.sync_from
            last, prints = self.table.section(start)
            self.sync_from = (last + 1) % wire.BUCKETS
            self.emit(now, address, wire.Sync(start, last, prints))

    def spread(self, now: float) -> None:
        """One round of news, to some members at random."""
        if not self.news.left:
            return
        self.spread_at = now
        others = [each for each in self.table.present.values() if each.name != self.own.name]
        picked = self.news.pick(wire.WORDS)
        names = [name for name in picked if name in self.table.records]
        news, count = self.pack(now, [self.table.records[name] for name in names])
        fanout = self.news.fanout(now, self.settings.fanout)
        sent = [
            self.emit(now, member.address, news)
            for member in self.random.sample(others, min(len(others), fanout))
        ]
        if any(sent) or not sent:  # what the rate held back of a round is not made up for
            self.news.went(
                [*(name for name in picked if name not in self.table.records), *names[:count]]
            )

    # --- what others are told of it

    def count(self, now: float) -> Counts:
        counts, settings = self.table.counts, self.settings
        apart = now - self.isolated_since if self.isolated else 0.0
        new = (
            now < self.started + settings.dead_after
        )  # what it was told of others it had no time to see for itself
        sure = (
            self.joined
            and not (new or self.isolated or self.stepped_aside)
            and self.awake(now)
            and (not self.neighbours or now - self.agreed <= settings.dead_after)
        )
        if new or self.isolated or not self.awake(now):
            least = 1 + sum(
                now - each.heard <= settings.suspect_after for each in self.watched.values()
            )
        else:
            least = counts[State.ALIVE]
        most = sum(counts) - counts[State.LEFT]
        if apart > settings.tombstone / 2:
            most = UNBOUNDED
        elif not sure or now < self.started + settings.tombstone:
            most = max(
                most, settings.configured
            )  # who is new was not told of those that died before, and may live on
        return Counts(min(least, most), most, sure)
