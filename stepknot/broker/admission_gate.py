"""Carries admission's decisions out on both fronts' sockets: lets in, refuses with a final answer, sheds, tells.

A connection over a cap waits in the lane for its first request: it is answered in its front's own protocol then, or
served if it shows a key. It costs no coroutine: one object, and one read, one write and a close for most. What sends
nothing in time is closed without a word, and counted.
"""

from __future__ import annotations

import re
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from stepknot.admission.addresses import Networks, packed, prefix_shown, shown
from stepknot.admission.descriptors import Budgets
from stepknot.admission.forwarded import client_of
from stepknot.admission.lists import Lists
from stepknot.admission.model import Address, AdmissionSettings, Place, Rank, Verdict
from stepknot.admission.policy import Admission, Turn, key_hash
from stepknot.net.http import Request, Response, encode_response
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.server import Connection, Server
from stepknot.net.tasks import Coroutine

HEADER = 16 * 1024  # bytes of a first request that are read to find its end
READ = 64 * 1024
SWEEP = 0.1  # seconds between looks at the lane
MOST_ADDRESSES = 4096  # whose packed form is remembered
LOGGED = 5  # events of a kind that are logged in a second; the rest is counted
TOLD = 10  # addresses that operators are shown
SCHEME = "apikey "
AUTHORIZATION = re.compile(rb"authorization", re.IGNORECASE)
Refuse = Callable[[str, float], Response]  # a front's refusal: why, and when to return
Level = Callable[
    [Request], tuple[int, str]
]  # how many classes are worth more, and whose tenant it is


class Waiting:
    """A connection in the lane: until its first request is there, then until its refusal has left."""

    __slots__ = ("gate", "server", "link", "peer", "number", "data", "since", "answered", "left")

    def __init__(
        self, gate: Gate, server: Server, link: Link, peer: tuple[Any, ...], number: int
    ) -> None:
        self.gate, self.server, self.link, self.peer, self.number = gate, server, link, peer, number
        self.data, self.since = b"", gate.loop.now
        self.answered, self.left = False, 0  # bytes of the body still to be read off
        link.on_readable = self.read

    def read(self) -> None:
        try:
            data = self.link.recv_now(READ)
        except OSError:
            data = b""
        if data is None:
            return
        if not data:
            self.end("left before its refusal" if not self.answered else "")
        else:
            self.take(data)

    def take(self, data: bytes) -> None:
        if self.answered:
            self.left -= len(data)
            if self.left <= 0:
                self.end("")
        else:
            self.data += data
            if b"\r\n\r\n" in self.data or len(self.data) > HEADER:
                self.decide()

    def decide(self) -> None:
        """Its first request is here: a key opens the door, all else is answered."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        key = self.gate.key_in(head) if AUTHORIZATION.search(head) else ""
        verdict = self.gate.admission.present(self.gate.loop.now, self.number, key)
        self.gate.close_shed(verdict)
        if verdict.place is Place.SEAT:
            self.gate.waiting.pop(self.number, None)
            self.link.on_readable = None
            self.gate.let_in(self.server, self.link, self.peer, self.number, self.data)
            return
        self.gate.refused_now(verdict)
        response = self.gate.refusal(self.server, verdict)
        self.answered = True
        self.left = length_of(head) - len(body)
        try:
            self.link.sock.send(response)
            self.link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.end("left before its refusal")
            return
        # Closing with bytes unread would reset the connection and could lose the answer: they are read off first.
        if self.left <= 0:
            self.end("")

    def end(self, why: str) -> None:
        if why:
            self.gate.silent[why] += 1
        self.link.close()
        self.gate.waiting.pop(self.number, None)
        self.gate.admission.gone(self.gate.loop.now, self.number)


def length_of(head: bytes) -> int:
    _, found, rest = head.lower().partition(b"content-length:")
    digits = rest.partition(b"\r\n")[0].strip() if found else b""
    return int(digits) if digits.isdigit() and len(digits) < 12 else 0


class Gate:
    """One for all fronts of a broker. `wall` is the clock that bans end by."""

    def __init__(
        self,
        loop: Loop,
        settings: AdmissionSettings,
        budgets: Budgets,
        lists: Lists,
        log: Callable[..., None],
        shares: dict[str, float],
        wall: Callable[[], float],
    ) -> None:
        self.loop, self.settings, self.budgets, self.log = loop, settings, budgets, log
        self.shares, self.wall = shares, wall
        self.admission = Admission(settings, budgets.clients, lists)
        self.trusted = Networks(settings.trusted)
        self.last = 0
        # What was screened last.
        self.arrived: tuple[int, Verdict, bytes] = (0, Verdict(Place.OUT), b"")
        self.addresses: dict[str, Address] = {}
        self.open: dict[int, Connection] = {}
        self.waiting: dict[int, Waiting] = {}  # the oldest first
        self.fronts: dict[Server, tuple[Refuse, Level]] = {}
        self.silent: Counter[str] = Counter()
        self.refusals: dict[tuple[Server, Any, int], bytes] = {}
        self.logged: Counter[str] = Counter()
        self.second = 0
        loop.call_later(SWEEP, self.sweep)

    def attach(self, server: Server, refuse: Refuse, level: Level) -> None:
        """Every connection and request of this server goes through here from now on."""
        self.fronts[server] = (refuse, level)
        server.gate = self
        handler = server.handler
        server.handler = lambda request, connection: self.handle(
            server, handler, request, connection
        )
        server.listener.screen = lambda sock, peer: self.screen(server, sock, peer)
        server.listener.on_failed = lambda: self.gone(self.arrived[0])
        server.listener.on_exhausted = lambda sock, peer: self.exhausted(server, sock, peer)

    # --- connections

    def address_of(self, peer: tuple[Any, ...]) -> Address:
        found = self.addresses.get(peer[0])
        if found is None:
            if len(self.addresses) >= MOST_ADDRESSES:
                self.addresses.clear()
            found = self.addresses[peer[0]] = packed(str(peer[0]))
        return found

    def screen(self, server: Server, sock: socket.socket, peer: tuple[Any, ...]) -> bool:
        """A connection was accepted, and is nothing but a socket yet. Whether it is done with: one to be refused whose
        request is here already needs no more than a read, a write and a close."""
        self.last += 1
        number, address = self.last, self.address_of(peer)
        if (
            address in self.trusted
        ):  # a proxy: its clients are judged, when it is known who they are
            verdict = self.admission.welcome(self.loop.now, number, address)
        else:
            verdict = self.admission.arrive(self.loop.now, number, address)
        self.arrived = number, verdict, b""
        if verdict.place is not Place.LANE:
            return False
        try:
            data = sock.recv(READ, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        head, found, body = data.partition(b"\r\n\r\n")
        if data and (not found or AUTHORIZATION.search(head) or length_of(head) > len(body)):
            self.arrived = number, verdict, data
            return False
        self.close_shed(verdict)
        self.admission.gone(self.loop.now, number)
        if data:
            self.refused_now(verdict)
            try:
                sock.send(self.refusal(server, verdict), socket.MSG_DONTWAIT)
            except OSError:
                self.silent["left before its refusal"] += 1
        else:
            self.silent["left before its refusal"] += 1
        sock.close()
        return True

    def arrive(self, server: Server, link: Link, peer: tuple[Any, ...]) -> None:
        """It goes on as more than a socket."""
        number, verdict, data = self.arrived
        self.place(server, link, peer, number, verdict, data)

    def place(
        self,
        server: Server,
        link: Link,
        peer: tuple[Any, ...],
        number: int,
        verdict: Verdict,
        data: bytes,
    ) -> None:
        self.close_shed(verdict)
        if verdict.place is Place.SEAT:
            self.let_in(server, link, peer, number, b"")
        elif verdict.place is Place.LANE:
            waiting = self.waiting[number] = Waiting(self, server, link, peer, number)
            waiting.take(data)
        else:
            self.out(server, link, number, verdict)

    def out(self, server: Server, link: Link, number: int, verdict: Verdict) -> None:
        """Not even the lane has room: it is answered if its request is here already."""
        self.refused_now(verdict)
        if not self.answer_at_once(server, link.sock, verdict):
            self.silent["closed without a word"] += 1
        link.close()
        self.admission.gone(self.loop.now, number)

    def answer_at_once(self, server: Server, sock: socket.socket, verdict: Verdict) -> bool:
        try:
            if not sock.recv(READ):
                return False
            sock.send(self.refusal(server, verdict))
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(READ):
                pass
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def exhausted(self, server: Server, sock: socket.socket, peer: tuple[Any, ...]) -> None:
        """Descriptors ran out in spite of the budgets: what the spare one let in is answered and closed."""
        verdict = self.admission.exhausted(self.loop.now, self.address_of(peer))
        self.refused_now(verdict)
        if not self.answer_at_once(server, sock, verdict):
            self.silent["closed without a word"] += 1

    def let_in(
        self, server: Server, link: Link, peer: tuple[Any, ...], number: int, data: bytes
    ) -> None:
        connection = Connection(server, link, peer, number, data)
        self.open[number] = connection
        server.connections.add(connection)

    def gone(self, number: int) -> None:
        """A connection that had been let in has ended."""
        self.open.pop(number, None)
        self.admission.gone(self.loop.now, number)

    def close_shed(self, verdict: Verdict) -> None:
        for number in verdict.shed:
            connection = self.open.pop(number, None)
            if connection is not None:
                self.silent["idle, shed"] += 1
                connection.link.close()
            waiting = self.waiting.pop(number, None)
            if waiting is not None:
                self.silent["let go in the lane"] += 1
                waiting.link.close()

    def sweep(self) -> None:
        """The lane is short in time: who has not sent a request by then gets no answer, as nobody has asked."""
        until = self.loop.now - self.settings.lane_time
        while self.waiting:
            waiting = next(iter(self.waiting.values()))
            if waiting.since > until:
                break
            waiting.end("silent in the lane" if not waiting.answered else "")
        for name in self.admission.lists.expire(self.wall()):
            self.log("admission_entry_ended", network=name)
        self.loop.call_later(SWEEP, self.sweep)

    # --- what connections ask for

    def expects_proxy(self, connection: Connection) -> bool:
        return self.settings.proxy_protocol and self.address_of(connection.peer) in self.trusted

    def moved(self, connection: Connection, address: Address | None) -> Response | None:
        """The PROXY header is here; a refusal where its client is not let in."""
        if address is None:
            return None
        verdict = self.admission.moved(self.loop.now, connection.number, address)
        self.close_shed(verdict)
        if verdict.place is Place.SEAT:
            return None
        self.refused_now(verdict)
        refuse, _ = self.fronts[connection.server]
        return refuse(told(verdict), verdict.retry_after)

    def malformed(self, connection: Connection) -> None:
        guest = self.admission.guests.get(connection.number)
        if guest is not None:
            self.admission.bad(self.loop.now, guest.address)

    def hold(self, connection: Connection, size: int) -> bool:
        return connection.number not in self.admission.guests or self.admission.hold(
            connection.number, size
        )

    def settle(self, connection: Connection) -> None:
        """Between requests: what its last one held is let go."""
        self.let_go(connection, 0)
        self.admission.settle(connection.number)

    def let_go(self, connection: Connection, left: int) -> None:
        """What was answered holds nothing any more; `left` bytes are of the request that has begun behind it."""
        guest = self.admission.guests.get(connection.number)
        if guest is not None and guest.held > left:
            self.admission.release(guest, guest.held - left)

    def stir(self, connection: Connection) -> None:
        self.admission.stir(connection.number)

    def keep_alive(self, base: float) -> float:
        return self.admission.keep_alive(base)

    # --- requests

    def key_in(self, head: bytes) -> str:
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"authorization":
                return self.key_named(value.strip().decode("latin-1"))
        return ""

    def key_named(self, value: str) -> str:
        """The name of the API key in an Authorization header; "" where it is none of ours."""
        if value[: len(SCHEME)].lower() != SCHEME:
            return ""
        return self.settings.keys.get(key_hash(value[len(SCHEME) :].strip()), "")

    def handle(
        self, server: Server, handler: Any, request: Request, connection: Connection
    ) -> Coroutine:
        admission, now, number = self.admission, self.loop.now, connection.number
        refuse, level_of = self.fronts[server]
        guest = admission.guests.get(number)
        if guest is None:  # it was shed in this very turn
            return None
        address = guest.address
        if address in self.trusted:
            address = client_of(request.headers, address, self.trusted)
        if address != self.address_of(connection.peer):
            request.client = shown(address)
        if "authorization" in request.headers:
            self.close_shed(
                admission.present(now, number, self.key_named(request.headers["authorization"]))
            )
        level, tenant = level_of(request)
        turn = admission.ask(now, number, address, tenant, self.shares.get(tenant, 0.0), level)
        if not isinstance(turn, Turn):
            self.refused_now(turn)
            return refuse(told(turn), turn.retry_after)
        good = False
        try:
            response = yield from handler(request, connection)
            good = response is not None and response.status < 400
            return response
        finally:
            admission.answered(self.loop.now, turn, good)

    # --- telling

    def refusal(self, server: Server, verdict: Verdict) -> bytes:
        """The bytes of a refusal, which closes the connection."""
        key = (server, verdict.reason, int(verdict.retry_after + 0.999))
        found = self.refusals.get(key)
        if found is None:
            if len(self.refusals) > 1000:
                self.refusals.clear()
            found = self.refusals[key] = encode_response(
                self.fronts[server][0](told(verdict), float(key[2])), None, True
            )
        return found

    def refused_now(self, verdict: Verdict) -> None:
        """An event, sampled: a flood of refusals is not to become a flood of lines."""
        second = int(self.loop.now)
        if second != self.second:
            for what, count in self.logged.items():
                if count > LOGGED:
                    self.log("admission_refused_more", reason=what, count=count - LOGGED)
            self.logged.clear()
            self.second = second
        what = told(verdict)
        self.logged[what] += 1
        if self.logged[what] <= LOGGED:
            self.log("admission_refused", reason=what, place=verdict.place.value)

    def view(self) -> dict[str, Any]:
        """What operators see: budgets and their use, decisions, and who does most."""
        admission, now = self.admission, self.loop.now
        seats = {rank.name.lower(): admission.ranked[rank] for rank in Rank}
        return {
            "budgets": {
                name: getattr(self.budgets, name)
                for name in ("limit", "fixed", "admin", "lane", "boxes", "clients")
            },
            "seats": seats,
            "lane": len(admission.lane),
            "reserve": admission.seats - admission.limit(Rank.UNKNOWN),
            "queries": admission.up_to(admission.turns, Rank.LISTED),
            "queries_most": self.settings.held,
            "bytes": admission.bytes,
            "bytes_most": self.settings.bytes,
            "decisions": dict(admission.decisions),
            "silent": dict(self.silent),
            "arriving": [
                {
                    "address": shown(key),
                    "a_second": count / self.settings.memory,
                    "error": error / self.settings.memory,
                }
                for key, count, error in admission.rates.top(now, TOLD)
            ],
            "refused": [
                {"address": shown(key), "of_late": count, "error": error}
                for key, count, error in admission.refused.top(now, TOLD)
            ],
            "connected": [
                {
                    "address": shown(key),
                    "connections": admission.seated.held[key],
                    "rank": admission.rank_of(now, key).name.lower(),
                }
                for key, _ in zip(admission.seated.keys(), range(TOLD), strict=False)
            ],
            "prefixes": [
                {"prefix": prefix_shown(key), "connections": count}
                for key, count in admission.prefixed.most_common(TOLD)
            ],
            "banned": admission.lists.banned,
            "allowed": admission.lists.allowed,
        }


def told(verdict: Verdict) -> str:
    return verdict.reason.value if verdict.reason is not None else ""
