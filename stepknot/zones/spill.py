"""How much each zone may get: buckets of parts, filled at a multiple of what the zone had.

What a zone had is this broker's own history of sending there while all zones were sound. Every broker is bound by a
multiple of its own history, so the sum over brokers is bound by the same multiple of the sum, whatever each one's
load: no agreement is needed. A broker without history (just restarted) takes the zone's part of the boxes times what
it is asked for now: what it would have sent there, all being well.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

BURST = 2.0  # seconds of the rate that a bucket holds
LEAST_BURST = 2.0  # widest queries that it holds at the least: queries come in lumps, most where a broker has few
RATE_MEMORY = 1.0  # seconds over which the rate now is seen
# A zone that turns away, or answers too late, more than this share of at least so many parts is seen to bear no more
# than it gets: it is given a tenth less, and then a share of its bound more each second. Single refusals say nothing.
OVERLOAD, LEAST_HEARD, BACK_OFF, RECOVER = 0.2, 20.0, 0.9, 0.1
BACK_OFF_EVERY = 1.0  # seconds: what was done must show first
HEARD_MEMORY = 1.0  # seconds in which half of it is forgotten
DOUBT = 2.0  # standard errors that are allowed on top of what a zone is held to have had
YOUNG = 5.0  # seconds of history without which the guess from the boxes' part stands in


@dataclass(slots=True)
class Rate:
    """Events a second, as an exponential mean over `memory` seconds."""

    memory: float
    value: float = 0.0
    at: float | None = None

    def add(self, now: float, amount: float) -> None:
        if now == self.at:
            self.value += amount / self.memory
            return
        self.value = self.now(now) + amount / self.memory
        self.at = now if self.at is None else max(now, self.at)

    def now(self, now: float) -> float:
        return (
            0.0
            if self.at is None
            else self.value * math.exp(min(0.0, (self.at - now) / self.memory))
        )


@dataclass(slots=True)
class Spill:
    """One zone's bucket and history."""

    history: float  # seconds
    sent: Rate = field(default_factory=lambda: Rate(RATE_MEMORY))
    had: float = 0.0
    had_for: float = 0.0  # seconds of history behind it
    had_at: float | None = None
    cap: float = math.inf  # parts a second that the zone was seen to bear, and when
    cap_at: float = -math.inf
    ended: float = 0.0  # parts that ended and those of them that it could not take, both faded
    turned: float = 0.0
    heard_at: float = 0.0
    tokens: float = 0.0
    tokens_at: float | None = None

    def remember(self, now: float) -> None:
        """All zones are sound: what is sent now is what it has. Called at every turn then."""
        if self.had_at is not None:
            passed = min(max(now - self.had_at, 0.0), self.history)
            weight = 1 - math.exp(-passed / self.history)
            if self.had_for < self.history:  # a short history is a plain mean
                weight = max(weight, passed / max(self.had_for + passed, 1e-9))
            self.had += weight * (self.sent.now(now) - self.had)
            self.had_for += passed
        self.had_at = now

    def pause(self) -> None:
        """Some zone is not sound: what is sent meanwhile is no measure."""
        self.had_at = None

    def base(self, guess: float) -> float:
        """Parts a second that it had; a young history is filled in from the guess."""
        trust = min(1.0, self.had_for / YOUNG)
        return trust * self.had + (1 - trust) * guess

    def doubt(self, base: float, lump: float) -> float:
        """Parts a second by which that may be too low: parts come in lumps of so many, and few lumps say little."""
        seconds = min(max(self.had_for, YOUNG), self.history)
        return DOUBT * math.sqrt(base * max(lump, 1.0) / seconds)

    def hear(self, now: float, overloaded: bool) -> None:
        """A part ended: served, or turned away or too late at a box that is alive."""
        if now != self.heard_at:
            kept = math.exp2(min(0.0, (self.heard_at - now) / HEARD_MEMORY))
            self.ended, self.turned, self.heard_at = self.ended * kept, self.turned * kept, now
        self.ended += 1
        self.turned += overloaded
        if (
            overloaded
            and self.ended >= LEAST_HEARD
            and self.turned > OVERLOAD * self.ended
            and (now - self.cap_at >= BACK_OFF_EVERY)
        ):
            self.cap, self.cap_at = BACK_OFF * self.sent.now(now), now

    def forget(self, now: float) -> None:
        """Its state changed: what it was seen to bear is of another time, and it begins without a burst in hand."""
        self.cap, self.ended, self.turned = math.inf, 0.0, 0.0
        self.tokens, self.tokens_at = 1.0, now

    def bears(self, now: float, bound: float, base: float) -> float:
        """Of the bound, what the zone is seen to bear: never less than what it had."""
        if self.cap == math.inf:
            return bound
        return min(bound, max(self.cap + RECOVER * bound * max(now - self.cap_at, 0.0), base))

    def fill(self, now: float, rate: float, widest: float) -> float:
        """The tokens at this time, with the bucket filled at `rate` since the last call. `widest`: parts of a query."""
        most = max(rate * BURST, LEAST_BURST * widest)
        if self.tokens_at is None:
            self.tokens = most
        else:
            self.tokens = min(most, self.tokens + rate * max(now - self.tokens_at, 0.0))
        self.tokens_at = now
        return self.tokens

    def take(self, now: float, parts: float = 1.0) -> None:
        self.sent.add(now, parts)
        self.tokens -= parts
