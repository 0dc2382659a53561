"""Tests of S8: whatever the brokers' views, they together send a cold node at most its budget.

The proof is in `stepknot/subsets/slow_start.py`.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.decisions.slow_start import COLD_UTILIZATION
from stepknot.simulation.cold import play
from stepknot.simulation.cold_tails import View, mean_and_deviation, over, pmf
from stepknot.subsets.rendezvous import uniform_hash
from stepknot.subsets.slow_start import MARGIN_DEVIATIONS, slow_start_share

pytestmark = pytest.mark.cpu_only

# The node's capacity as a multiple of the budget that the decision library uses.
SPARE = 1 / COLD_UTILIZATION


def quota(brokers: int, live: int = 62, size: int = 4, holders: float = 256.0) -> int:
    """Return a broker's quota, rounded down."""
    return min(live, max(size, int(holders * live / brokers)))


@given(st.integers(0, 200), st.integers(0, 500), st.integers(1, 10**9))
def test_slow_start_share_is_bounded_by_count_and_capacity(
    quota_: int, live: int, count: int
) -> None:
    share = slow_start_share(quota_, live, count)
    assert 0 <= share.fraction <= 1 and share.divisor >= max(
        1.0, count * share.fraction * (1 - 1e-12)
    )
    assert share.fraction < 1 or share.divisor >= count or quota_ * 2 >= live
    assert not share.is_eligible(1.0 - share.fraction) and (
        share.fraction == 0 or share.is_eligible(1.0)
    )


@pytest.mark.parametrize("brokers", [1, 30, 200, 256])
def test_small_fleet_divides_capacity_by_all_brokers(brokers: int) -> None:
    assert over([View(brokers, quota(brokers), 62, brokers)], 1.0) == 0
    assert slow_start_share(quota(brokers), 62, brokers).divisor == brokers


def test_all_brokers_are_eligible_where_a_fraction_would_need_a_larger_divisor() -> None:
    """With 24 of 31 nodes, 23 of 30 brokers are eligible on average, and four standard deviations more would be 32."""
    share = slow_start_share(12, 31, 30)
    assert (share.fraction, share.divisor) == (1.0, 30.0)
    assert slow_start_share(4, 62, 1000).fraction < 1


@pytest.mark.parametrize("brokers", [600, 2000, 6600, 20_000])
@pytest.mark.parametrize("more", [0, 1])  # some brokers round the quota up
@pytest.mark.parametrize("holders", [16.0, 64.0, 256.0])
def test_equal_views_rarely_exceed_capacity_and_never_the_spare_part(
    brokers: int, more: int, holders: float
) -> None:
    view = View(brokers, quota(brokers, holders=holders) + more, 62, brokers)
    mean, deviation = mean_and_deviation([view])
    assert mean + MARGIN_DEVIATIONS * deviation <= 1 + 1e-9
    # Four standard deviations; the binomial distribution is skewed if few brokers are eligible.
    assert over([view], 1.0) < 4e-4
    assert over([view], SPARE) < (1e-9 if view.share.divisor > 200 else 2e-5)


COUNTS = st.integers(0, 12)


@settings(max_examples=500)
@given(
    st.lists(
        st.tuples(st.integers(1, 500), st.integers(1, 62), st.integers(1, 200), COUNTS),
        min_size=1,
        max_size=5,
    )
)
def test_mixed_views_keep_mean_and_four_deviations_within_the_spare_part(
    kinds: list[tuple[int, int, int, int]],
) -> None:
    """Counts are up to several thousand times the actual one; lists and quotas are of any size."""
    brokers = sum(each for each, *_ in kinds)
    views = [
        View(each, min(used, live), live, brokers * 2**more) for each, used, live, more in kinds
    ]
    mean, deviation = mean_and_deviation(views)
    assert mean <= 1 + 1e-9
    ratios = [
        math.sqrt(view.count * view.share.fraction * (1 - view.share.fraction)) / view.share.divisor
        for view in views
    ]
    assert max(ratios) < 1 / MARGIN_DEVIATIONS
    assert mean + MARGIN_DEVIATIONS * deviation <= 1 + max(ratios) * (1 + 1e-9) < SPARE


MIXES = {
    "half with a list from before a zone recovered": [
        View(3300, 4, 62, 6600),
        View(3300, 4, 57, 6600),
    ],
    "half with half of the nodes": [View(3300, 4, 62, 6600), View(3300, 4, 31, 6600)],
    "half count every broker twice": [View(3300, 4, 62, 6600), View(3300, 4, 62, 13_200)],
    "a quarter with 4 of 2,000 nodes": [View(1650, 4, 2000, 6600), View(4950, 62, 62, 6600)],
    "a quarter use all": [View(1650, 62, 62, 6600), View(4950, 4, 62, 6600)],
}


@pytest.mark.parametrize("mix", MIXES)
def test_two_views_have_exact_tail_probabilities_within_bounds(mix: str) -> None:
    views = MIXES[mix]
    mean, deviation = mean_and_deviation(views)
    assert mean <= 1
    assert over(views, max(1.0, mean + 5 * deviation)) < 1e-4
    assert over(views, SPARE) < 1e-6


def test_exact_tail_sums_agree_with_each_other() -> None:
    assert math.isclose(sum(pmf(6600, 8 / 62)), 1.0, rel_tol=1e-9)
    one = View(400, 4, 62, 400)
    split = [View(150, 4, 62, 400), View(250, 4, 62, 400)]
    for budget in (0.5, 0.8, 1.0, 1.1):
        assert math.isclose(over([one], budget), over(split, budget), rel_tol=1e-6)


def test_hashes_of_names_follow_the_computed_distribution() -> None:
    """With 6,600 brokers and 200 nodes, the mean is as computed and no node exceeds its capacity."""
    share = slow_start_share(4, 62, 6600)
    sums = [
        sum(
            share.is_eligible(uniform_hash(f"broker-{broker}", f"node-{number}"))
            for broker in range(6600)
        )
        / share.divisor
        for number in range(200)
    ]
    mean, deviation = mean_and_deviation([View(6600, 4, 62, 6600)])
    assert abs(sum(sums) / len(sums) - mean) < 4 * deviation / math.sqrt(len(sums))
    assert max(sums) < mean + 4.5 * deviation < SPARE


@pytest.mark.parametrize(
    ("instances", "demand", "counts"),
    [
        (400, "steady", (400,)),
        (400, "idle, then a burst", (400,)),
        (400, "uneven", (400, 800)),
        (400, "restarted", (400,)),
        (2000, "steady", (2000, 2000, 5000)),
        (6600, "steady", (6600,)),
        (6600, "uneven", (6600, 9000)),
    ],
)
def test_no_time_window_exceeds_capacity_and_chance(
    instances: int, demand: str, counts: tuple[int, ...]
) -> None:
    """Play the decision library's decisions for all eligible brokers, which can send only to the cold node."""
    shares = [
        slow_start_share(quota(instances, size=2, holders=64.0), 62 - 31 * (index % 2), count)
        for index, count in enumerate(counts)
    ]
    assert all(share.fraction < 1 for share in shares)
    for seed in range(3 if instances < 1000 else 1):
        result = play(instances, demand, 3.0, seed, seconds=4.0, shares=shares)
        assert result.worst <= 1.0, (seed, result)
        assert result.used > 0.02
