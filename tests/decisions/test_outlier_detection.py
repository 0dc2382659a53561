"""Outages of all servers, classes lost at a server, and faults that servers share."""

from __future__ import annotations

import pytest

from stepknot.decisions.records import DecayingShare
from stepknot.interface import Answer, Close, Outcome, Send
from tests.decisions.steps import play_pauses, run_queries, set_means
from tests.helpers import FLEET, Driver, entry, limits, make_settings

pytestmark = pytest.mark.cpu_only


def test_outage_of_all_ends_with_the_answer_to_a_trial() -> None:
    """The means from the outage bypassed all parts; nothing was sent, so no response could correct the means."""
    driver = Driver()
    kind = driver.settings.classes["all"]
    run_queries(driver, 20, 0.05)
    for _ in range(20):
        driver.query("all", [0, 1])
        driver.at(driver.now + kind.aim)
        driver.handle(*[driver.ended(*key, Outcome.TIMED_OUT, kind.aim) for key in driver.out()])
    query = driver.query("all", [0, 1])
    assert query not in driver.finals and driver.out()
    for part in driver.parts[query]:
        driver.end(part, elapsed=0.01)
    assert isinstance(driver.finals[query], Answer)
    assert all(driver.query("all", [0, 1]) not in driver.finals for _ in range(3))


def test_idle_connections_that_lose_parts_are_closed_before_the_next_send() -> None:
    """Idle connections dropped without notice lost a third of the parts sent after a pause; new ones lost none."""
    kinds = [type(act) for act in play_pauses(lost_when_idle=True, lost_in_use=False)]
    assert Close in kinds and kinds.index(Close) < kinds.index(Send)
    assert not any(isinstance(act, Close) for act in play_pauses(False, False))


def test_losses_at_one_kind_of_machine_count_at_others_of_its_kind() -> None:
    """For some instances half of the attempts at one kind were reset, and each server was detected separately."""
    alike = [entry(f"s{cell}{letter}", cell, kind="old") for cell in range(6) for letter in "ab"]
    mixed = [
        entry(f"s{cell}{kind}", cell, kind=kind) for cell in range(6, 12) for kind in ("old", "new")
    ]
    driver = Driver(make_settings(cells=12, limits=limits(max_attempts=1)), fleet=alike + mixed)

    def play(cells: range, outcome: Outcome) -> set[str]:
        chosen = set()
        for cell in cells:
            query = driver.query("some", [cell])
            (part,) = driver.parts[query]
            chosen.add(driver.attempts[part][0][0])
            driver.end(part, outcome, 0.05)
        return {driver.entries[server].kind for server in chosen}

    for _ in range(3):
        play(range(6), Outcome.RESET)
    assert play(range(6, 12), Outcome.SERVED) == {
        "new"
    }  # although nothing was sent to the old servers of these cells before
    driver.at(driver.now + 30.0)
    assert play(range(12), Outcome.SERVED) == {"old", "new"}  # the losses decay


def test_losses_that_all_kinds_and_zones_share_do_not_change_the_choice() -> None:
    """Under overload each zone loses parts, and random differences moved the work from one zone to the other."""
    fleet = [
        entry(f"s{cell}{kind}", cell, kind=kind) for cell in range(2) for kind in ("old", "new")
    ]
    driver = Driver(make_settings(limits=limits(max_attempts=1)), fleet=fleet)
    for _ in range(12):
        query = driver.query("some", [0])
        driver.end(next(iter(driver.parts[query])), Outcome.RESET)
    chosen = set()
    for _ in range(2):
        driver.query("some", [1])
        chosen.add(driver.entries[driver.sends()[0].server].kind)
    assert chosen == {"old", "new"}


def test_failing_new_connections_end_the_closing_of_idle_ones() -> None:
    """While handshakes failed, closing idle connections made a third of the parts fail."""
    settings = make_settings(
        limits=limits(idle_connection=30.0, second_copies=False, max_attempts=1)
    )
    driver = Driver(settings, fleet=FLEET[:1])
    driver.aggregator.outliers.shared_faults.connections[True] = DecayingShare(0.5, driver.now)
    closed = []
    driver.end(next(iter(driver.parts[driver.query("all", [0])])))
    for _ in range(4):
        driver.at(driver.now + 2.0)
        query = driver.query("all", [0])
        closed.append(any(isinstance(act, Close) for act in driver.acts))
        driver.end(next(iter(driver.parts[query])), Outcome.NOT_CONNECTED, 0.25)
    assert closed[0] and not closed[-1]


def test_parts_lost_in_one_call_are_one_sample_of_its_connection() -> None:
    """Four parts of one slow call counted as four lost connections, and all idle connections were closed."""
    settings = make_settings(parts_per_call=4, limits=limits(idle_connection=30.0, max_attempts=1))
    driver = Driver(settings, fleet=FLEET[:1])
    driver.end(next(iter(driver.parts[driver.query("all", [0])])))
    driver.at(driver.now + 2.0)
    query = driver.query("some", [0, 0, 0, 0])
    driver.at(driver.now + 0.9)
    driver.handle(*(driver.ended(part, 0, Outcome.TIMED_OUT, 0.9) for part in driver.parts[query]))
    assert 0.0 < driver.aggregator.outliers.shared_faults.connections[True].share <= 0.2


def test_class_that_a_server_loses_is_sent_to_another_replica() -> None:
    """Over sockets, five of twelve nodes left three quarters of one class unanswered and answered all other classes."""
    driver = Driver(fleet=FLEET[:1])
    set_means(driver)
    for _ in range(8):
        driver.query("all", [0])
        answered = driver.query("some", [0])
        driver.at(driver.now + 0.03)
        driver.query("some", [0])
        driver.handle(
            *[
                driver.ended(*key, Outcome.SERVED, 0.03)
                for key in driver.out()
                if driver.query_of[key[0]] >= answered and driver.kind_of(key[0]) == "some"
            ]
        )
        driver.at(driver.now + 0.03)
        driver.fire()
    for each in list(driver.kinds):
        driver.gone(each)
    driver.handle(*[driver.ended(*key, Outcome.CANCELLED) for key in driver.out()])
    driver.list(FLEET[:2])
    set_means(driver)
    driver.aggregator.capsules[
        "s0a"
    ].failures = []  # drop remembered failures, which apply to all classes
    lost_class = [driver.query("all", [0]) for _ in range(6)]
    other = driver.query("some", [0])
    assert {driver.attempts[part][0][0] for each in lost_class for part in driver.parts[each]} == {
        "s0b"
    }
    assert [driver.attempts[part][0][0] for part in driver.parts[other]] == ["s0a"]


def test_pause_does_not_count_as_a_lost_class() -> None:
    """In a pause all parts in flight are late; they may be of one class by chance, and no later part was served."""
    driver = Driver(fleet=FLEET[:1])
    set_means(driver)
    for _ in range(8):
        driver.query("all", [0])
    driver.at(driver.now + 0.3)
    driver.fire()
    assert not driver.aggregator.outliers.class_losses.fails_class(
        driver.aggregator.capsules["s0a"], "all"
    )
    assert driver.aggregator.outliers.unresponsive.is_unresponsive(
        driver.aggregator.capsules["s0a"]
    )
