"""What is known of a member that is watched here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Watched:
    """Times are the watching member's clock's; -inf: never."""

    since: float  # when watching began: silence is counted from then
    heard: float = -math.inf  # something came from it, here
    sign: float = -math.inf  # the youngest sign of life, here or told of
    sign_by: str = ""
    hears_me: float = -math.inf  # when it last heard something from here, by its own word
    beat_at: float = 0.0
    ask_at: float = 0.0
    teller: str = ""  # who told of a sign when nothing was heard here: a way round a cut, asked first next time
    differs_since: float = math.inf  # its view has another digest
    told: dict[str, float] = field(
        default_factory=dict
    )  # who had nothing younger, and when that was said

    def note(self, at: float, by: str) -> None:
        if at > self.sign:
            self.sign, self.sign_by = at, by

    def silent(self, now: float) -> float:
        return now - max(self.sign, self.since)

    def shift(self, gap: float) -> None:
        """As if the watching member's time had not run on."""
        self.since, self.heard, self.sign, self.hears_me = (
            each + gap for each in (self.since, self.heard, self.sign, self.hears_me)
        )
        self.told.clear()

    def forget_told(self, before: float) -> None:
        for each in [each for each, at in self.told.items() if at < before]:
            del self.told[each]
