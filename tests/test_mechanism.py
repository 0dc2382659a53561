"""The ordinary path: the capsule's count and mean, the choice, the wait, the bypass, the answer."""

from collections import Counter

import pytest

from stepknot.interface import (
    Answer,
    Cancel,
    ListKind,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    TimerDue,
    Watch,
)
from tests.helpers import FLEET, START, Driver, entry, make_settings

pytestmark = pytest.mark.cpu_only


def test_a_part_goes_to_the_replica_with_the_fewest_out() -> None:
    driver = Driver()
    for _ in range(9):
        driver.query("all", [0])
    counts = Counter(tries[0][0] for tries in driver.attempts.values())
    assert counts == {"s0a": 3, "s0b": 3, "s0c": 3}


def test_ties_are_broken_by_the_seed() -> None:
    chosen = set()
    for seed in range(20):
        driver = Driver(seed=seed)
        driver.query("all", [0])
        chosen.add(driver.sends()[0].server)
    assert chosen == {"s0a", "s0b", "s0c"}


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(seed=7)
        driver.query("some", [0, 1, 0, 1])
        return list(driver.acts)

    assert play() == play()


def test_parts_to_one_server_in_one_turn_share_a_call_and_count_once() -> None:
    driver = Driver(make_settings(parts_per_call=16))
    driver.query("all", [0, 2, 4])
    assert len({send.server for send in driver.sends()}) == 1
    busy = driver.sends()[0].server
    driver.query("all", [0])
    assert driver.sends()[0].server != busy


def test_a_query_is_answered_whole_as_soon_as_all_parts_are_in() -> None:
    driver = Driver()
    query = driver.query("all", [0, 1])
    first, second = driver.parts[query]
    assert not driver.end(first)
    assert driver.end(second) == [Answer(query, True)]


def test_at_the_waits_end_a_query_is_answered_from_what_came() -> None:
    driver = Driver()
    query = driver.query("some", [0, 1])
    first, second = driver.parts[query]
    timer = max(
        (action for action in driver.acts if isinstance(action, SetTimer)), key=lambda each: each.at
    )
    assert START + 0.5 < timer.at <= START + 1.0
    driver.end(first)
    driver.at(timer.at)
    acts = driver.handle(TimerDue(timer.token))
    assert acts == [Answer(query, False), Cancel(second, 0)]


def test_an_answer_under_need_is_not_whole_and_over_need_is() -> None:
    driver = Driver()
    query = driver.query("need", [0, 1], [0.7, 0.3])
    first, second = driver.parts[query]
    driver.end(first)
    for number in range(3):
        driver.end(second, Outcome.ERROR, attempt=number)
    assert driver.finals[query] == Answer(query, True)


def test_a_second_step_follows_a_first_answer_and_needs_all() -> None:
    driver = Driver()
    query = driver.query("steps", [0, 1])
    for part in list(driver.parts[query]):
        driver.end(part)
    assert driver.acts[0] == Answer(query, True)
    driver.handle(*driver.part_events(query, [0, 1]))
    assert len(driver.sends()) == 2
    for part in list(driver.parts[query]):
        driver.end(part)
    assert driver.finals[query] == Answer(query, True)


def test_an_outcome_after_the_end_lowers_only_the_count() -> None:
    driver = Driver(fleet=FLEET[:1])
    query = driver.query("all", [0])
    part = next(iter(driver.parts[query]))
    driver.gone(query)
    assert len(driver.aggregator.capsules["s0a"].calls) == 1
    assert driver.end(part) == []
    assert not driver.aggregator.capsules["s0a"].calls


def test_an_unheard_server_is_held_to_the_mean_of_those_heard() -> None:
    driver = Driver(fleet=[entry("s0a"), entry("s0b")])
    query = driver.query("all", [0])
    driver.end(next(iter(driver.parts[query])), elapsed=0.3)
    aggregator = driver.aggregator
    means = {
        round(aggregator.throttle.estimate(capsule)[0], 6)
        for capsule in aggregator.capsules.values()
    }
    assert means == {0.3}


def test_a_query_with_too_little_time_left_is_not_sent() -> None:
    driver = Driver()
    query = driver.query("some", [0, 1], deadline=START + 0.03)
    assert not driver.sends() and isinstance(driver.finals[query], Refuse)


def test_odd_queries_get_a_defined_final_answer_at_once() -> None:
    driver = Driver()
    for kind, shards, deadline in [
        ("all", [], None),
        ("no such", [0], None),
        ("all", [0], START - 1.0),
    ]:
        query = driver.query(kind, shards, deadline=deadline)
        assert isinstance(driver.finals[query], Refuse)
    empty = Driver(fleet=[])
    assert isinstance(empty.finals[empty.query("all", [0])], Refuse)
    half = Driver(fleet=FLEET[:3])
    assert isinstance(half.finals[half.query("all", [0, 1])], Refuse)
    assert half.query("some", [0, 1]) and any(isinstance(action, Send) for action in half.acts)


def test_in_light_load_nothing_but_the_ordinary_path_acts() -> None:
    """No departure shows: whole answers, full waits, one attempt a part, nothing called off or held."""
    driver = Driver()
    for _ in range(50):
        query = driver.query("some", [0, 1])
        assert {round(send.timeout, 6) for send in driver.sends()} == {0.95}
        driver.at(driver.now + 0.1)
        for part in list(driver.parts[query]):
            driver.end(part)
        assert driver.acts == [Answer(query, True)]
    assert not driver.extras
    assert not any(capsule.failures for capsule in driver.aggregator.capsules.values())


def test_a_list_that_must_be_asked_for_is_watched_and_asked_for_again_after_a_failure() -> None:
    driver = Driver(make_settings(must_ask=True))
    assert driver.acts == [Watch()]
    driver.list([], ListKind.FAILED)
    (timer,) = [action for action in driver.acts if isinstance(action, SetTimer)]
    assert driver.now < timer.at <= driver.now + driver.settings.rules.ask_within / 4
    driver.query("all", [0])
    assert driver.sends()  # the old list still holds
    driver.end(next(iter(driver.parts[next(iter(driver.kinds))])))
    driver.at(timer.at)
    assert driver.handle(TimerDue(timer.token)) == [Watch()]
