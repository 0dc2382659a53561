"""The health of one zone, pooled over its boxes, from own traffic alone.

A zone is dark when nearly all that is sent there fails over several boxes and nothing came back meanwhile, or when
the list names none of its boxes any more. Questions that are answered say nothing for it: a hall may answer those and
no queries. It returns when parts are served again: then each step of sound answers lets more of what it had come back;
a step that fails takes half of it away, and a relapse makes the next way back slower.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from stepknot.zones.model import Bounds, State

MEMORY = 2.0  # seconds in which half of the evidence is forgotten
LEAST_SAMPLES = 6.0  # faded samples below which nothing is concluded
DARK_SHARE = 0.8  # of parts that fail: over this, and over several boxes, the zone is dark
QUIET = 1.0  # seconds in which parts failed and none was served, at most boxes: the zone is dark, whatever came before
BAD_STEP = 0.3  # of a step's parts failed: it takes back half
WARM_FIRST = 0.5  # of what its boxes can do is given to a zone that returns
LEAST_STEP = 3  # parts served without which a step does not count


@dataclass(slots=True)
class Faded:
    """A sum of which half is forgotten in MEMORY seconds."""

    value: float = 0.0
    at: float = 0.0

    def add(self, now: float, amount: float, memory: float = MEMORY) -> None:
        if now == self.at:
            self.value += amount
            return
        self.value, self.at = self.now(now, memory) + amount, max(now, self.at)

    def now(self, now: float, memory: float = MEMORY) -> float:
        return self.value * math.exp2(min(0.0, (self.at - now) / memory))


@dataclass(slots=True)
class Health:
    bounds: Bounds
    rng: random.Random
    state: State = State.SOUND
    since: float = 0.0
    served: Faded = field(default_factory=Faded)
    failed: Faded = field(default_factory=Faded)
    failing_boxes: dict[str, float] = field(default_factory=dict)  # box: when it last failed
    last_served: float = -math.inf
    unserved: int = 0  # parts that failed since
    ramp: float = 1.0
    able: float = (
        1.0  # share of its work that the zone's boxes can do by the time since their starts
    )
    step_end: float = 0.0
    step_served: int = 0
    step_failed: int = 0
    relapses: int = 0
    next_trial: float = 0.0
    trial_gap: float = 0.0
    why: str = "nothing was seen yet"

    def share_failing(self, now: float) -> float:
        failed, served = self.failed.now(now), self.served.now(now)
        return failed / (failed + served) if failed + served > 0 else 0.0

    def samples(self, now: float) -> float:
        return self.failed.now(now) + self.served.now(now)

    def step_time(self) -> float:
        """Longer after each relapse, within the bound."""
        return self.bounds.step * float(min(2.0**self.relapses, self.bounds.most_steps))

    # --- evidence

    def hear(self, now: float, box: str, served: bool, boxes: int) -> None:
        """A part sent there was served or lost. `boxes`: how many the zone has."""
        if served:
            self.served.add(now, 1.0)
            self.last_served, self.unserved = now, 0
            self.failing_boxes.pop(box, None)
            self.step_served += 1
        else:
            self.failed.add(now, 1.0)
            self.unserved += 1
            self.failing_boxes[box] = now
            self.step_failed += 1
        if self.state is State.SOUND and not served and self.looks_dark(now, boxes):
            self.go_dark(
                now,
                f"{self.share_failing(now):.0%} of parts failed at {len(self.failing_boxes)} boxes",
            )
        elif self.state is State.RETURNING and not served and self.looks_dark(now, boxes):
            self.go_dark(now, "it failed again on its way back")
        elif self.state is State.DARK and served:
            self.begin_return(now, "a trial was served")

    def looks_dark(self, now: float, boxes: int) -> bool:
        """Nearly all fails, at most of the boxes: half a hall is left to the module, which knows each box."""
        silent = self.unserved >= LEAST_SAMPLES and now - self.last_served >= QUIET
        recent = sum(at > now - 2 * MEMORY for at in self.failing_boxes.values())
        lost = self.samples(now) >= LEAST_SAMPLES and self.share_failing(now) >= DARK_SHARE
        return (lost or silent) and recent >= max(1, math.ceil(0.6 * boxes))

    def list_lost(self, now: float) -> None:
        """The list names none of its boxes any more."""
        if self.state is not State.DARK:
            self.go_dark(now, "the list names no live box of it")

    def list_back(self, now: float) -> None:
        """The list names live boxes again after it named none."""
        if self.state is State.DARK:
            self.next_trial = min(self.next_trial, now)

    # --- transitions

    def go_dark(self, now: float, why: str) -> None:
        if self.state is not State.SOUND or now - self.since < self.bounds.calm and self.since > 0:
            self.relapses += 1
        self.enter(State.DARK, now, why)
        self.ramp = 0.0
        self.trial_gap = self.bounds.trial
        self.next_trial = now + self.trial_gap * self.rng.uniform(0.5, 1.0)

    def begin_return(self, now: float, why: str) -> None:
        self.enter(State.RETURNING, now, why)
        # Half of what the boxes can do: warm ones behind a link that was cut need no warm-up. Less after each relapse.
        self.ramp = max(self.bounds.first, WARM_FIRST * self.able / 2.0**self.relapses)
        self.served, self.failed = Faded(1.0, now), Faded(0.0, now)
        self.failing_boxes = {}
        self.begin_step(now)

    def begin_step(self, now: float) -> None:
        self.step_end, self.step_served, self.step_failed = now + self.step_time(), 0, 0

    def enter(self, state: State, now: float, why: str) -> None:
        self.state, self.since, self.why = state, now, why

    def tick(self, now: float) -> None:
        """Let a returning zone's step end, and what is long ago be forgotten."""
        if self.state is State.RETURNING and now >= self.step_end:
            total = self.step_served + self.step_failed
            if total and self.step_failed >= BAD_STEP * total:
                self.ramp = max(self.bounds.first, self.ramp / 2)
                self.why = f"{self.step_failed} of {total} parts failed in the last step"
            elif self.step_served >= LEAST_STEP:
                self.ramp *= self.bounds.growth
                self.why = f"{self.step_served} parts served in the last step"
            if self.ramp >= 1.0:
                self.ramp = 1.0
                self.enter(State.SOUND, now, "all of what it had is back")
            self.begin_step(now)
        elif self.state is State.SOUND and self.relapses and now - self.since >= self.bounds.calm:
            self.relapses -= 1
            self.since = now

    def may_try(self, now: float) -> bool:
        """Whether a part may go to a dark zone as a trial now; asking takes the trial."""
        if self.state is not State.DARK or now < self.next_trial:
            return False
        self.next_trial = now + self.trial_gap * self.rng.uniform(0.75, 1.25)
        self.trial_gap = min(self.bounds.longest_trial, 2 * self.trial_gap)
        return True
