"""Helper functions that several tests of the decision library share."""

from __future__ import annotations

from stepknot.interface import Close, Outcome, ProbeEnded, SetTimer, TimerDue
from tests.helpers import FLEET, Driver, limits, make_settings


def run_queries(driver: Driver, rounds: int, elapsed: float) -> None:
    """Run queries one after another; each part takes `elapsed` seconds."""
    for _ in range(rounds):
        query = driver.query("all", [0, 1])
        driver.at(driver.now + elapsed)
        for part in list(driver.parts[query]):
            driver.end(part, elapsed=elapsed)


def next_timer(driver: Driver) -> TimerDue:
    """Advance the clock to the first timer that the last reply set; returns its event."""
    timer = min(
        (action for action in driver.acts if isinstance(action, SetTimer)), key=lambda each: each.at
    )
    driver.at(timer.at)
    return TimerDue(timer.token)


def probing_driver(**changes: object) -> Driver:
    """A driver with three replicas of one shard, with probes allowed."""
    return Driver(make_settings(limits=limits(probing=True), **changes), fleet=FLEET[:3])


def probe_reply(server: str, **load: float) -> ProbeEnded:
    """A server's answer to a probe."""
    return ProbeEnded(server, Outcome.SERVED, 0.002, dict(load))


def fire_timers(driver: Driver, before: float) -> None:
    """Fire the timers of the last reply that are due before `before`, in order."""
    due = [act for act in driver.acts if isinstance(act, SetTimer) and act.at < before]
    for timer in sorted(due, key=lambda act: act.at):
        driver.at(timer.at)
        driver.handle(TimerDue(timer.token))


def play_pauses(lost_when_idle: bool, lost_in_use: bool) -> list[object]:
    """Run pairs of queries with a pause before each pair; returns the actions of the last reply.

    Args:
        lost_when_idle: Whether the part of each first query, which follows the pause, is lost.
        lost_in_use: Whether the part of each second query is lost.
    """
    driver = Driver(
        make_settings(limits=limits(idle_connection=30.0, second_copies=False)), fleet=FLEET[:1]
    )
    for _ in range(8):
        for lost in (lost_when_idle, lost_in_use):
            query = driver.query("some", [0])
            (part,) = driver.parts[query]
            lost = lost and not any(isinstance(act, Close) for act in driver.acts)
            if lost:
                fire_timers(driver, driver.now + 0.9)
            driver.at(driver.now + (0.9 if lost else 0.1))
            if query not in driver.finals:
                driver.end(
                    part, Outcome.TIMED_OUT if lost else Outcome.SERVED, 0.9 if lost else 0.1
                )
        driver.at(driver.now + 4.0)
    driver.query("some", [0])
    return list(driver.acts)


def set_means(driver: Driver, mean: float = 0.02, in_flight: float = 2.0) -> None:
    """Set the means of all servers as if they had just answered, with this many parts in flight."""
    for capsule in (*driver.aggregator.capsules.values(), driver.aggregator.throttle.fleet):
        capsule.responses, capsule.last_response_at, capsule.mean_time, capsule.mean_in_flight = (
            50,
            driver.now,
            mean,
            in_flight,
        )
