"""Load reports, probes and remembered failures."""

from __future__ import annotations

import pytest

from stepknot.interface import AttemptEnded, Outcome, Probe, SetTimer, TimerDue
from tests.decisions.steps import probe_reply, probing_driver
from tests.helpers import FLEET, Driver

pytestmark = pytest.mark.cpu_only


def test_server_that_fails_quickly_does_not_look_idle() -> None:
    driver = Driver(fleet=FLEET[:2])
    failed = 0
    for _ in range(20):
        query = driver.query("all", [0])
        (part,) = driver.parts[query]
        number = 0
        while query not in driver.finals:
            bad = driver.attempts[part][number][0] == "s0a"
            failed += bad
            driver.end(part, Outcome.ERROR if bad else Outcome.SERVED, 0.01, number)
            number += 1
        driver.at(driver.now + 0.1)
    assert failed <= 2
    driver.at(driver.now + 60.0)
    chosen = set()
    for _ in range(2):
        driver.query("all", [0])
        chosen.add(driver.sends()[0].server)
    assert "s0a" in chosen  # a server that has recovered gets its share again


def test_time_out_at_a_server_that_answers_others_is_no_failure() -> None:
    """Failures remembered after an overload concentrated the work on a few servers and left others idle."""
    driver = Driver(fleet=FLEET[:1])
    late, good = driver.queries(("all", [0], None, None), ("all", [0], None, None))
    driver.at(driver.now + 0.5)
    driver.end(next(iter(driver.parts[good])), elapsed=0.5)
    driver.end(next(iter(driver.parts[late])), Outcome.TIMED_OUT, 0.6)
    assert driver.aggregator.failures.count(driver.aggregator.capsules["s0a"]) == 0


def test_errors_are_remembered_up_to_a_bound_and_time_outs_without_one() -> None:
    """When all servers reset connections, the work concentrated on the one that happened to have the fewest resets."""
    driver = Driver(fleet=FLEET[:1])
    for outcome, remembered in [(Outcome.RESET, 3), (Outcome.TIMED_OUT, 9)]:
        for _ in range(6):
            query = driver.query("some", [0])
            (part,) = driver.parts[query]
            driver.end(part, outcome, 0.05)
            if driver.out():
                driver.gone(query)
                driver.end(part, Outcome.CANCELLED, attempt=1)
        assert driver.aggregator.failures.count(driver.aggregator.capsules["s0a"]) == remembered


def test_replicas_are_probed_before_a_send() -> None:
    """With dozens of aggregators an own count is 0 or 1, which made the choice of a replica arbitrary."""
    driver = probing_driver()
    driver.query("all", [0])
    assert {act.server for act in driver.acts if isinstance(act, Probe)} == {"s0a", "s0b", "s0c"}
    assert not driver.sends()
    driver.handle(
        probe_reply("s0a", inflight=9),
        probe_reply("s0b", queue=1, util=0.1),
        probe_reply("s0c", inflight=20),
    )
    assert [send.server for send in driver.sends()] == ["s0b"]


def test_replica_that_does_not_answer_its_probe_gets_no_part() -> None:
    """Each server that was down, unreachable or paused lost a part before it was detected."""
    driver = probing_driver()
    driver.query("all", [0])
    due = min((act for act in driver.acts if isinstance(act, SetTimer)), key=lambda act: act.at)
    driver.handle(probe_reply("s0c", inflight=0))
    assert not driver.sends()
    driver.at(due.at)
    driver.handle(TimerDue(due.token))
    assert [send.server for send in driver.sends()] == ["s0c"]


def test_impossible_reports_are_ignored_and_old_ones_do_not_count() -> None:
    driver = probing_driver()
    query = driver.query("all", [0])
    absurd = [
        {"inflight": float("nan")},
        {"inflight": -3.0},
        {"queue": float("inf")},
        {"strange": 1.0},
    ]
    for load in [*absurd, {}]:
        driver.handle(probe_reply("s0a", **load))
        assert driver.aggregator.capsules["s0a"].reported_at < 0
    driver.handle(
        probe_reply("s0a", inflight=50),
        probe_reply("s0b", inflight=0),
        probe_reply("s0c", inflight=50),
    )
    driver.gone(query)
    driver.at(driver.now + 30.0)
    driver.query("all", [0])
    assert any(
        isinstance(act, Probe) for act in driver.acts
    )  # servers with old reports are probed again


def test_reports_of_an_idle_fleet_make_probes_needless() -> None:
    driver = probing_driver()
    driver.query("all", [0])
    driver.handle(*(probe_reply(server, inflight=0) for server in ("s0a", "s0b", "s0c")))
    driver.query("all", [0])
    assert driver.sends() and not any(isinstance(act, Probe) for act in driver.acts)


def test_replica_that_reports_a_queue_is_better_than_one_that_does_not_answer() -> None:
    """Over a slow link, the near replica's queue made far replicas look better although they were unreachable."""
    driver = probing_driver()
    driver.query("all", [0])
    due = min((act for act in driver.acts if isinstance(act, SetTimer)), key=lambda act: act.at)
    driver.handle(probe_reply("s0b", inflight=7))
    driver.at(due.at)
    driver.handle(TimerDue(due.token))
    assert [send.server for send in driver.sends()] == ["s0b"]


def test_failure_is_remembered_longer_where_sends_are_rare() -> None:
    """Servers were slow for half a minute; an instance that sent to each every 12 s forgot each failure in between."""
    driver = Driver(fleet=FLEET[:1])
    for gap, remembered in ((0.5, 0), (20.0, 1)):
        driver.end(next(iter(driver.parts[driver.query("all", [0])])))
        driver.at(driver.now + gap)
        query = driver.query("all", [0])
        driver.end(next(iter(driver.parts[query])), Outcome.TIMED_OUT, 0.95)
        driver.at(driver.now + 20.0)
        driver.handle()
        assert driver.aggregator.failures.count(driver.aggregator.capsules["s0a"]) == remembered


def test_old_reports_do_not_keep_queries_rejected() -> None:
    """For 20 s after a burst, load reports from the burst rejected all queries; without sends no new reports came."""
    driver = Driver(fleet=FLEET[:3])
    query = driver.query("some", [0])
    (part,) = driver.parts[query]
    event = driver.ended(part, 0, Outcome.SERVED, 0.2)
    driver.handle(AttemptEnded(part, 0, event.server, Outcome.SERVED, 0.2, True, {"queue": 900.0}))
    driver.at(driver.now + 1.0)
    assert driver.query("all", [0]) in driver.finals
    driver.at(driver.now + 20.0)
    assert driver.query("all", [0]) not in driver.finals
