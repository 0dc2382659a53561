"""The transport over HTTP: each call is an exchange with a connection to itself, in the public REST protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from stepknot.interface import Outcome
from stepknot.net.errors import HttpError
from stepknot.net.loop import Loop
from stepknot.net.response_parser import ClientParser
from stepknot.nodes.codec import Codec, PartReply
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from stepknot.nodes.transport import Load, OnReply, OutgoingAttempt, ignore_reply


@dataclass(slots=True, eq=False)
class Call:
    """Attempts that travel together to one node; the reply of `awaited` of them is still awaited."""

    attempts: list[OutgoingAttempt]
    awaited: int
    exchange: Exchange | None = None


class RestTransport:
    """Groups attempts into calls, and calls into exchanges of a connection pool.

    Args:
        loop: Its timers end probes.
        pool: The connections.
        codec: Encodes calls and decodes replies.
        parts_per_call: Parts that share a call, at most.
        on_event: Logs an event with its fields.
    """

    def __init__(
        self,
        loop: Loop,
        pool: ConnectionPool,
        codec: Codec,
        parts_per_call: int,
        on_event: Callable[..., None],
    ) -> None:
        self.on_reply: OnReply = ignore_reply
        self._loop = loop
        self._pool = pool
        self._codec = codec
        self._parts_per_call = parts_per_call
        self._on_event = on_event

    def send(self, server: str, attempts: list[OutgoingAttempt]) -> int:
        """Send the attempts of one turn to one node; returns the number of calls in which they travel."""
        groups = self._group(attempts)
        for group in groups:
            self._start_call(server, group)
        return len(groups)

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """The attempt's reply is no longer awaited. The last one of a call resets the connection."""
        call, attempt.call = attempt.call, None
        if call is None:
            return
        call.awaited -= 1
        if not call.awaited and call.exchange is not None and not call.exchange.ended:
            call.exchange.cancel()  # the node sees the reset, and may stop its work
            call.exchange = None
            call.attempts = []

    def is_unsent(self, attempt: OutgoingAttempt) -> bool:
        """Whether no byte of the attempt was handed to the kernel yet."""
        call = attempt.call
        return call is None or (call.exchange is not None and call.exchange.link is None)

    def withdraw(self, server: str) -> None:
        """The node accepts nothing new: calls whose connection is not up end as not connected."""
        self._pool.withdraw(server)

    def probe(self, server: str, on_end: Callable[[Outcome, Load], None]) -> None:
        """Request the load report alone; `on_end` is called once, after the connect timeout at the latest."""

        def end(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:  # noqa: ARG001
            timer.cancel()
            on_end(outcome, self._codec.load(parser.headers) if parser is not None else {})

        def expire() -> None:
            if not exchange.ended:
                exchange.cancel()
                end(None, Outcome.TIMED_OUT, "")

        exchange = Exchange(lambda: self._codec.encode_probe(self._pool.authority(server)), end)
        timer = self._loop.call_later(self._pool.connect_timeout, expire)
        self._pool.start(server, exchange)

    def close_idle(self, server: str) -> None:
        """Close the connections to a node on which nothing is in flight."""
        self._pool.close_idle(server)

    def _group(self, attempts: list[OutgoingAttempt]) -> list[list[OutgoingAttempt]]:
        """The attempts by call: those that may share one, in groups of `parts_per_call`; then the others."""
        shared = [each for each in attempts if self._codec.shares_call(each.request)]
        alone = [each for each in attempts if not self._codec.shares_call(each.request)]
        size = self._parts_per_call
        groups = [shared[start : start + size] for start in range(0, len(shared), size)]
        groups += [[each] for each in alone]
        return groups

    def _start_call(self, server: str, attempts: list[OutgoingAttempt]) -> None:
        call = Call(attempts, len(attempts))
        for attempt in attempts:
            attempt.call = call
        call.exchange = Exchange(
            partial(self._encode, server, call),
            partial(self._on_end, call),
            not_after=min(each.not_after for each in attempts),
        )
        self._on_event("call_sent", server=server, query=attempts[0].name, parts=len(attempts))
        self._pool.start(server, call.exchange)

    def _encode(self, server: str, call: Call) -> bytes:
        """The call's bytes, without the parts that were cancelled while its connection was opened."""
        call.attempts = [each for each in call.attempts if each.call is call]
        return self._codec.encode(
            [each.request for each in call.attempts],
            self._pool.authority(server),
            call.attempts[0].name,
        )

    def _on_end(
        self, call: Call, parser: ClientParser | None, outcome: Outcome, reason: str
    ) -> None:
        """End each attempt of the call that is still awaited with its own outcome."""
        attempts = call.attempts
        call.attempts = []
        call.exchange = None  # no reference cycle is left
        load: Load = {}
        if parser is not None:
            load = self._codec.load(parser.headers)
            replies = self._decode(attempts, parser)
        else:
            replies = [PartReply(outcome, reason=reason)] * len(attempts)
        for attempt, reply in zip(attempts, replies, strict=True):
            if attempt.call is call:
                attempt.call = None
                self.on_reply(attempt, reply, load)

    def _decode(self, attempts: list[OutgoingAttempt], parser: ClientParser) -> list[PartReply]:
        try:
            body = parser.body()
        except HttpError as error:
            return [PartReply(Outcome.ERROR, reason=error.reason)] * len(attempts)
        requests = [each.request for each in attempts]
        return self._codec.decode(requests, parser.status, parser.headers, body)
