"""Who is let in when not all can be: seats for connections, turns for queries, room for bytes.

State is of open connections only, besides two tables of fixed size (rates, conduct). Invariants, held by tests:
- Seats, lane, queries and bytes never pass their caps; unknown clients never hold a seat or a turn of the reserve.
- A query that was taken is never dropped: only idle connections are shed, the heaviest address's idlest first.
- Whoever is judged by a rate is judged by what it did itself at the least (`Heavy.sure`).
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from stepknot.admission.addresses import Networks, prefixes
from stepknot.admission.heavy import Heavy
from stepknot.admission.lists import Lists
from stepknot.admission.model import Address, AdmissionSettings, Place, Rank, Reason, Verdict

LEVEL = 0.05  # of the turns, kept free for each class that is worth more
HALF_FULL = 0.5  # of the seats: from here on keep-alive gets shorter
LOOKS = 16  # holders looked at for an idle connection to shed
CONDUCT_MEMORY = 600.0  # seconds over which good conduct fades
REFUSED = {reason: f"refused: {reason.value}" for reason in Reason}
SOON = 1.0  # seconds after which a refused client may return where nothing tells better


class Fullest:
    """Keys by how much each holds, the fullest first; every step costs the same, however many there are."""

    def __init__(self) -> None:
        self.held: Counter[bytes] = Counter()
        self.levels: dict[int, OrderedDict[bytes, None]] = {}
        self.most = 0

    def change(self, key: bytes, by: int) -> int:
        old = self.held[key]
        new = old + by
        if old:
            self.levels[old].pop(key)
            if not self.levels[old]:
                del self.levels[old]
        if new:
            self.held[key] = new
            self.levels.setdefault(new, OrderedDict())[key] = None
        else:
            del self.held[key]
        self.most = max(self.most, new)
        while self.most and self.most not in self.levels:
            self.most -= 1
        return new

    def keys(self) -> Iterator[bytes]:
        level = self.most
        while level > 0:
            yield from list(self.levels.get(level, ()))
            level -= 1


@dataclass(slots=True)
class Guest:
    """One open connection."""

    number: int
    address: Address
    place: Place
    rank: Rank
    reason: Reason | None = None
    key: str = ""
    queries: int = 0
    held: int = 0  # bytes of request bodies
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Turn:
    """A query in work."""

    number: int  # of its connection
    address: Address  # whom it is for
    tenant: str
    rank: Rank


@dataclass(slots=True)
class Conduct:
    points: float = 0.0
    at: float = 0.0


@dataclass(slots=True)
class Use:
    """What an address has now."""

    queries: int = 0
    bytes: int = 0
    idle: OrderedDict[int, None] = field(
        default_factory=OrderedDict
    )  # connections, the idlest first


class Admission:
    def __init__(self, settings: AdmissionSettings, seats: int, lists: Lists | None = None) -> None:
        self.settings, self.seats = settings, seats
        self.lists = lists or Lists()
        self.listed = Networks(settings.listed)
        self.guests: dict[int, Guest] = {}
        self.seated, self.laned = Fullest(), Fullest()  # by address
        self.prefixed: Counter[bytes] = Counter()  # seats by prefix
        self.keyed: Counter[str] = Counter()  # seats by key
        self.ranked: Counter[Rank] = Counter()  # seats by rank
        self.lane: OrderedDict[int, None] = OrderedDict()
        self.lanes: dict[Address, OrderedDict[int, None]] = {}
        self.uses: dict[Address, Use] = {}
        self.tenants: Counter[str] = Counter()
        self.turns: Counter[Rank] = Counter()  # queries in work by rank
        self.bytes = 0
        self.rates = Heavy(settings.tracked, settings.memory)
        self.refused = Heavy(settings.tracked, settings.memory)
        self.conduct: OrderedDict[Address, Conduct] = OrderedDict()
        self.decisions: Counter[str] = Counter()

    # --- who it is

    def rank_of(self, now: float, address: Address) -> Rank:
        if address in self.listed or self.lists.holds("allowed", address):
            return Rank.LISTED
        known = self.conduct.get(address)
        if known is not None and faded(known, now) >= self.settings.conduct:
            return Rank.CONDUCT
        return Rank.UNKNOWN

    def factor(self, rank: Rank) -> float:
        return 1.0 if rank is Rank.UNKNOWN else self.settings.known_factor

    def limit(self, rank: Rank) -> int:
        """Seats for clients of this rank and below."""
        reserve = math.ceil(self.seats * self.settings.reserve)
        return (
            self.seats
            - {Rank.UNKNOWN: reserve, Rank.CONDUCT: reserve - reserve // 2, Rank.LISTED: 0}[rank]
        )

    def up_to(self, counts: Counter[Rank], rank: Rank) -> int:
        if rank is Rank.LISTED:
            return counts.total()
        return sum(count for each, count in counts.items() if each <= rank)

    # --- connections

    def arrive(self, now: float, number: int, address: Address) -> Verdict:
        """A connection from this address. `shed` are to be closed; `gone` is told of them by whoever closes."""
        rank = self.rank_of(now, address)
        guest = self.guests[number] = Guest(number, address, Place.OUT, rank)
        if self.lists.holds("banned", address) and rank is not Rank.LISTED:
            return self.to_lane(now, guest, Reason.BANNED, SOON)
        rate, cap = self.rates.rate(now, address), self.settings.rate * self.factor(rank)
        if rate > cap:
            return self.to_lane(
                now, guest, Reason.RATE, self.settings.memory * math.log(rate / cap)
            )
        self.rates.add(
            now, address
        )  # what was refused for its rate does not count: when a flood ends, so does this
        return self.seat(now, guest)

    def welcome(self, now: float, number: int, address: Address) -> Verdict:
        """A trusted proxy's connection: it needs a seat, but no cap or rate of an address is the proxy's own."""
        guest = self.guests[number] = Guest(number, address, Place.OUT, Rank.LISTED)
        return self.seat(now, guest, False)

    def exhausted(self, now: float, address: Address) -> Verdict:
        """A connection for which there is no descriptor."""
        self.decisions[REFUSED[Reason.DESCRIPTORS]] += 1
        self.refused.add(now, address)
        return Verdict(Place.OUT, Reason.DESCRIPTORS, SOON)

    def seat(self, now: float, guest: Guest, capped: bool = True) -> Verdict:
        reason = self.over_cap(guest) if capped else None
        if reason is not None:
            return self.to_lane(now, guest, reason, SOON)
        shed: tuple[int, ...] = ()
        if not self.has_room(guest.rank):
            victim = self.victim(guest)
            if victim is None:
                return self.to_lane(now, guest, Reason.FULL, SOON)
            shed = (victim,)
            self.gone(now, victim)
            self.decisions["shed idle"] += 1
        guest.place, guest.reason = Place.SEAT, None
        self.count(guest, 1)
        self.rest(guest)
        self.decisions["seated"] += 1
        return Verdict(Place.SEAT, shed=shed)

    def over_cap(self, guest: Guest) -> Reason | None:
        settings, factor = self.settings, self.factor(guest.rank)
        held = self.keyed[guest.key] if guest.key else self.seated.held[guest.address]
        # Beyond what anybody may have, a known client gets as many as are free: it cannot take all by itself.
        free = self.seats - self.up_to(self.ranked, Rank.LISTED)
        if held >= max(settings.per_address, min(settings.per_address * factor, free)):
            return Reason.ADDRESS
        if guest.key:
            return None
        caps = (
            (settings.per_v4_24,)
            if len(guest.address) == 4
            else (settings.per_v6_64, settings.per_v6_56)
        )
        for prefix, cap in zip(prefixes(guest.address), caps, strict=True):
            if self.prefixed[prefix] >= cap * factor:
                return Reason.PREFIX
        return None

    def has_room(self, rank: Rank) -> bool:
        return all(
            self.up_to(self.ranked, each) < self.limit(each) for each in Rank if each >= rank
        )

    def victim(self, guest: Guest) -> int | None:
        """An idle connection to make room: of somebody less known, or as well known with two seats more."""
        own = self.seated.held[guest.address]
        for looked, address in enumerate(self.seated.keys()):
            if looked >= LOOKS:
                return None
            use = self.uses.get(address)
            for number in use.idle if use is not None else ():
                rank = self.guests[number].rank
                if rank < guest.rank or (
                    rank is guest.rank and self.seated.held[address] >= own + 2
                ):
                    return number
                break  # its idlest stands for all of it
        return None

    def count(self, guest: Guest, by: int) -> None:
        self.seated.change(guest.address, by)
        self.ranked[guest.rank] += by
        if guest.key:
            self.keyed[guest.key] += by
            if not self.keyed[guest.key]:
                del self.keyed[guest.key]
        for prefix in prefixes(guest.address):
            self.prefixed[prefix] += by
            if not self.prefixed[prefix]:
                del self.prefixed[prefix]

    def to_lane(self, now: float, guest: Guest, reason: Reason, retry_after: float) -> Verdict:
        """It gets its final answer there. A full lane lets go of the oldest of whoever has most of it."""
        self.decisions[REFUSED[reason]] += 1
        self.refused.add(now, guest.address)
        self.bad(now, guest.address)
        guest.reason, guest.retry_after = reason, retry_after
        shed: tuple[int, ...] = ()
        if len(self.lane) >= self.settings.lane:
            heaviest = next(self.laned.keys(), None)
            if heaviest is None or self.laned.held[heaviest] <= self.laned.held[guest.address]:
                self.decisions["out"] += 1
                return Verdict(Place.OUT, reason, retry_after)
            oldest = next(iter(self.lanes[heaviest]))
            self.gone(now, oldest)
            self.decisions["lane let go"] += 1
            shed = (oldest,)
        guest.place = Place.LANE
        self.lane[guest.number] = None
        self.lanes.setdefault(guest.address, OrderedDict())[guest.number] = None
        self.laned.change(guest.address, 1)
        return Verdict(Place.LANE, reason, retry_after, shed)

    def off_lane(self, guest: Guest) -> None:
        del self.lane[guest.number]
        own = self.lanes[guest.address]
        del own[guest.number]
        if not own:
            del self.lanes[guest.address]
        self.laned.change(guest.address, -1)

    def present(self, now: float, number: int, key: str) -> Verdict:
        """Its first request came, with the name of the key it showed, or "" for none. A key opens a seat to whom a
        cap or the rate kept out; a ban it does not lift."""
        guest = self.guests[number]
        if not key or key == guest.key:
            return Verdict(guest.place, guest.reason, guest.retry_after)
        if guest.place is Place.SEAT:
            if self.over_cap(replace(guest, key=key, rank=Rank.LISTED)) is not None:
                return Verdict(Place.SEAT)  # it keeps the seat that it has, as one of the unknown
            self.unseat(guest)
            guest.rank, guest.key = Rank.LISTED, key
            self.count(guest, 1)
            self.rest(guest)
            return Verdict(Place.SEAT)
        if guest.reason is Reason.BANNED:
            return Verdict(guest.place, guest.reason, guest.retry_after)
        self.off_lane(guest)
        guest.rank, guest.key, guest.place = Rank.LISTED, key, Place.OUT
        return self.seat(now, guest)

    def moved(self, now: float, number: int, address: Address) -> Verdict:
        """A proxy said whom the connection is for: it is judged again, as that one's."""
        self.gone(now, number)
        return self.arrive(now, number, address)

    def gone(self, now: float, number: int) -> None:
        """The connection ended, or was shed. Told twice, it does nothing."""
        guest = self.guests.pop(number, None)
        if guest is None:
            return
        self.release(guest, guest.held)
        if guest.place is Place.SEAT:
            self.unseat(guest)
        elif guest.place is Place.LANE:
            self.off_lane(guest)
        self.tidy(guest.address)

    def unseat(self, guest: Guest) -> None:
        self.count(guest, -1)
        use = self.uses.get(guest.address)
        if use is not None:
            use.idle.pop(guest.number, None)

    # --- idle and busy

    def use(self, address: Address) -> Use:
        found = self.uses.get(address)
        if found is None:
            found = self.uses[address] = Use()
        return found

    def tidy(self, address: Address) -> None:
        use = self.uses.get(address)
        if (
            use is not None
            and not use.queries
            and not use.bytes
            and not use.idle
            and (not self.seated.held[address])
        ):
            del self.uses[address]

    def rest(self, guest: Guest) -> None:
        """It waits for its next request: the latest to do so is the last to be shed."""
        if guest.place is Place.SEAT and not guest.queries and not guest.held:
            idle = self.use(guest.address).idle
            idle[guest.number] = None
            idle.move_to_end(guest.number)

    def stir(self, number: int) -> None:
        """Bytes of a request came."""
        guest = self.guests.get(number)
        if guest is not None:
            self.use(guest.address).idle.pop(number, None)

    def settle(self, number: int) -> None:
        """It is between requests again."""
        guest = self.guests.get(number)
        if guest is not None:
            self.rest(guest)

    def keep_alive(self, base: float) -> float:
        """How long an idle connection is kept: less the fuller it is, the least when all seats are taken."""
        fullness = self.up_to(self.ranked, Rank.LISTED) / max(self.seats, 1)
        least = min(self.settings.idle_least, base)
        if fullness <= HALF_FULL:
            return base
        return base - (base - least) * min((fullness - HALF_FULL) / (1 - HALF_FULL), 1.0)

    # --- queries

    def ask(
        self, now: float, number: int, address: Address, tenant: str, share: float, level: int
    ) -> Turn | Verdict:
        """A query: a turn for it, to be handed back to `answered` once, or why not.

        `share`: of the turns, that its tenant may have (0: any); `level`: how many classes are worth more. An address
        may have as many turns as are free, at the most: with one heavy client that is half of all, with many it shrinks
        for each, and some always stay free (dynamic thresholds, Choudhury and Hahne, 1998).
        """
        settings, guest = self.settings, self.guests[number]
        rank = max(guest.rank, self.rank_of(now, address))
        open_to = (
            settings.held
            if rank is not Rank.UNKNOWN
            else settings.held - math.ceil(settings.held * settings.reserve)
        )
        free = settings.held * (1 - LEVEL * level) - self.up_to(self.turns, Rank.LISTED)
        if rank is Rank.UNKNOWN:
            free = min(free, open_to - self.turns[Rank.UNKNOWN])
        own = self.uses[address].queries if address in self.uses else 0
        tenant_cap = settings.tenant_queries or (
            math.ceil(share * settings.held) if share else settings.held
        )
        reason = None
        if free < 1:
            reason = Reason.HELD
        elif own >= min(settings.queries * self.factor(rank), free):
            reason = Reason.QUERIES
        elif tenant and self.tenants[tenant] >= tenant_cap:
            reason = Reason.TENANT
        if reason is not None:
            self.decisions[REFUSED[reason]] += 1
            self.refused.add(now, address)
            return Verdict(guest.place, reason, SOON)
        guest.queries += 1
        self.use(guest.address).idle.pop(number, None)
        self.use(address).queries += 1
        self.turns[rank] += 1
        if tenant:
            self.tenants[tenant] += 1
        self.decisions["query taken"] += 1
        return Turn(number, address, tenant, rank)

    def answered(self, now: float, turn: Turn, good: bool) -> None:
        """The query of this turn has ended, whether its connection is still there or not."""
        guest = self.guests.get(turn.number)
        if guest is not None:
            guest.queries -= 1
        self.use(turn.address).queries -= 1
        self.turns[turn.rank] -= 1
        if turn.tenant:
            self.tenants[turn.tenant] -= 1
            if not self.tenants[turn.tenant]:
                del self.tenants[turn.tenant]
        if good:
            self.good(now, turn.address)
        self.tidy(turn.address)

    # --- bytes

    def hold(self, number: int, size: int) -> bool:
        """Whether bytes of a body may be kept; if not, the sender is to be made to wait, or refused."""
        guest, free = self.guests[number], self.settings.bytes - self.bytes
        use = self.use(guest.address)
        if size > free or use.bytes + size > max(free, self.settings.bytes // 64):
            return False
        guest.held += size
        use.bytes += size
        self.bytes += size
        return True

    def release(self, guest: Guest, size: int) -> None:
        guest.held -= size
        self.bytes -= size
        use = self.uses.get(guest.address)
        if use is not None:
            use.bytes -= size

    # --- conduct

    def good(self, now: float, address: Address) -> None:
        """A point for each second in which something was asked and served, however much it was."""
        known = self.conduct.pop(address, None) or Conduct(0.0, now - 1.0)
        gained = min(max(now - known.at, 0.0), 1.0)
        known.points = faded(known, now) + gained
        known.at = max(known.at, now)
        self.conduct[address] = known
        if len(self.conduct) > self.settings.conduct_kept:
            self.conduct.popitem(last=False)

    def bad(self, now: float, address: Address) -> None:
        """Half of the good conduct is lost: what was refused, malformed or too slow."""
        known = self.conduct.get(address)
        if known is not None:
            known.points = faded(known, now) / 2
            known.at = max(known.at, now)


def faded(conduct: Conduct, now: float) -> float:
    return conduct.points * math.exp(-max(now - conduct.at, 0.0) / CONDUCT_MEMORY)


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
