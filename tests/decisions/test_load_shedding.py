"""Which queries are sent and which are rejected near beta."""

from __future__ import annotations

import pytest

from stepknot.interface import Refuse, SetTimer, TimerDue
from tests.decisions.steps import probe_reply, probing_driver, run_queries
from tests.helpers import FLEET, Driver

pytestmark = pytest.mark.cpu_only


def test_near_beta_queries_of_higher_worth_are_preferred() -> None:
    def accepted(kind: str) -> int:
        driver = Driver()
        run_queries(driver, 20, 0.1)
        rejected = sum(driver.query(kind, [0]) in driver.finals for _ in range(60))
        return 60 - rejected

    assert accepted("keyed") > accepted("all") > 0  # "keyed" has twice the worth per part


def test_second_step_is_sent_though_its_servers_are_full() -> None:
    """A rejected second step wasted the work of the first step."""
    driver = probing_driver()
    query = driver.query("steps", [0])
    driver.handle(*(probe_reply(server, inflight=0) for server in ("s0a", "s0b", "s0c")))
    (part,) = driver.parts[query]
    driver.end(part)
    for server in ("s0a", "s0b", "s0c"):
        driver.handle(probe_reply(server, inflight=500))
    driver.handle(*driver.part_events(query, [0]))
    due = [act for act in driver.acts if isinstance(act, SetTimer)]
    while not driver.sends() and due:
        timer = min(due, key=lambda act: act.at)
        due.remove(timer)
        driver.at(timer.at)
        driver.handle(TimerDue(timer.token))
    assert len(driver.sends()) == 1 and query not in driver.finals


def test_query_that_is_rejected_for_one_shard_leaves_nothing_in_flight_at_another() -> None:
    driver = Driver(fleet=FLEET[:3])  # no server holds shard 1
    query = driver.query("all", [0, 1])
    assert isinstance(driver.finals[query], Refuse) and not driver.sends()
    assert [len(each.calls) for each in driver.aggregator.capsules.values()] == [0, 0, 0]
