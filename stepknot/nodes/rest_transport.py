"""The boxes' side over HTTP: calls are exchanges, each with a connection to itself, in the engines' public protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from stepknot.interface import Outcome
from stepknot.net.errors import HttpError
from stepknot.net.http import ClientParser
from stepknot.net.loop import Loop
from stepknot.nodes.codec import Codec, PartReply
from stepknot.nodes.connection_pool import ConnectionPool, Exchange
from stepknot.nodes.transport import Load, OnReply, OutgoingAttempt, ignore_reply


@dataclass(slots=True, eq=False)
class Call:
    """What travels together to one box; `live` are the attempts for whose reply somebody still waits."""

    attempts: list[OutgoingAttempt]
    live: int
    exchange: Exchange | None = None


class RestTransport:
    def __init__(
        self,
        loop: Loop,
        pool: ConnectionPool,
        codec: Codec,
        parts_per_call: int,
        on_event: Callable[..., None],
    ) -> None:
        self.loop, self.pool, self.codec = loop, pool, codec
        self.parts_per_call, self.on_event = parts_per_call, on_event
        self.on_reply: OnReply = ignore_reply

    def send(self, server: str, attempts: list[OutgoingAttempt]) -> int:
        shared = [each for each in attempts if self.codec.shares_call(each.request)]
        alone = [each for each in attempts if not self.codec.shares_call(each.request)]
        size = self.parts_per_call
        groups = [shared[place : place + size] for place in range(0, len(shared), size)] + [
            [each] for each in alone
        ]
        for group in groups:
            call = Call(group, len(group))
            for attempt in group:
                attempt.call = call
            name = group[0].name
            call.exchange = Exchange(
                partial(self.encode, server, call),
                partial(self.on_end, call),
                not_after=min(each.not_after for each in group),
            )
            self.on_event("call_sent", server=server, query=name, parts=len(group))
            self.pool.start(server, call.exchange)
        return len(groups)

    def encode(self, server: str, call: Call) -> bytes:
        """A call goes without the parts that were given up while its connection came up."""
        call.attempts = [each for each in call.attempts if each.call is call]
        return self.codec.encode(
            [each.request for each in call.attempts],
            self.pool.box(server).name,
            call.attempts[0].name,
        )

    def on_end(
        self, call: Call, parser: ClientParser | None, outcome: Outcome, reason: str
    ) -> None:
        """A call ended: each attempt for which somebody still waits ends with its own outcome."""
        load: Load = {}
        attempts, call.attempts, call.exchange = call.attempts, [], None  # no ring is left behind
        replies = [PartReply(outcome, reason=reason)] * len(attempts)
        if parser is not None:
            load = self.codec.load(parser.headers)
            try:
                body = parser.body()
            except HttpError as error:
                replies = [PartReply(Outcome.ERROR, reason=error.reason)] * len(attempts)
            else:
                requests = [each.request for each in attempts]
                replies = self.codec.decode(requests, parser.status, parser.headers, body)
        for attempt, reply in zip(attempts, replies, strict=True):
            if attempt.call is call:
                attempt.call = None
                self.on_reply(attempt, reply, load)

    def cancel(self, attempt: OutgoingAttempt) -> None:
        call, attempt.call = attempt.call, None
        if call is not None:
            call.live -= 1
            if not call.live and call.exchange is not None and not call.exchange.ended:
                call.exchange.cancel()  # nobody waits: the box sees it, and may drop the work
                call.exchange, call.attempts = None, []

    def unsent(self, attempt: OutgoingAttempt) -> bool:
        call = attempt.call
        return call is None or call.exchange is not None and call.exchange.link is None

    def withdraw(self, server: str) -> None:
        self.pool.withdraw(server)

    def probe(self, server: str, on_end: Callable[[Outcome, Load], None]) -> None:
        def end(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:
            timer.cancel()
            on_end(outcome, self.codec.load(parser.headers) if parser is not None else {})

        def expire() -> None:
            if not exchange.ended:
                exchange.cancel()
                end(None, Outcome.TIMED_OUT, "")

        exchange = Exchange(lambda: self.codec.encode_probe(self.pool.box(server).name), end)
        timer = self.loop.call_later(self.pool.connect_timeout, expire)
        self.pool.start(server, exchange)

    def close_idle(self, server: str) -> None:
        self.pool.close_idle(server)
