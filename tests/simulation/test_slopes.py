"""Spreads and lines over made figures whose answers are known."""

from __future__ import annotations

import math

import pytest

from stepknot.simulation.slopes import Point, Series, Spread, fit, line, spread

pytestmark = pytest.mark.cpu_only


def test_a_spread_is_of_all_repeats_whatever_their_order() -> None:
    assert spread([5.0, 1.0, 9.0, 2.0]) == Spread(1.0, 3.5, 9.0, 4)
    with pytest.raises(ValueError):
        spread([])


def test_the_line_is_the_one_with_the_least_squares() -> None:
    """Against a search around it: no line near it has less."""
    xs, ys = (12.0, 200.0, 2000.0, 36_000.0), (40.0, 79.0, 44.0, 331.0)

    def squares(intercept: float, slope: float) -> float:
        return sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))

    intercept, slope = line(xs, ys)
    least = squares(intercept, slope)
    for step in (-1e-3, 1e-3):
        assert squares(intercept + step, slope) > least < squares(intercept, slope + step * 1e-3)


def test_one_wild_repeat_moves_the_spread_of_slopes_and_not_the_line() -> None:
    """A pause of the machine is in one repeat: medians pass it by, and the spread tells it."""
    found = fit(
        [
            Point(10.0, (25.0, 25.0, 25.0)),
            Point(20.0, (45.0, 45.0, 45.0)),
            Point(40.0, (85.0, 585.0, 85.0)),
        ]
    )
    assert (found.intercept, found.slope) == (pytest.approx(5.0), pytest.approx(2.0))
    assert found.r2 == pytest.approx(1.0) and found.misfit == pytest.approx(0.0, abs=1e-9)
    assert (
        found.slopes.low == pytest.approx(2.0)
        and found.slopes.high > 15.0
        and found.slopes.repeats == 3
    )
    assert (found.low, found.high) == (10.0, 40.0)


def test_what_is_no_line_says_so() -> None:
    found = fit([Point(x, (3 * x * x,)) for x in (1.0, 2.0, 3.0, 4.0, 10.0)])
    assert found.power == pytest.approx(2.0)
    assert 0.9 < found.r2 < 0.99  # close to 1 for a square: the misfit tells it
    assert found.misfit == pytest.approx(abs(3.0 - found.at(1.0)) / 3.0) and found.misfit > 5.0


def test_a_figure_that_is_the_same_at_all_sizes_is_fitted_whole() -> None:
    found = fit([Point(1.0, (0.0,)), Point(2.0, (0.0,))])
    assert (found.slope, found.r2, found.misfit, found.power) == (0.0, 1.0, 0.0, None)


def test_greater_sizes_with_fewer_repeats_are_in_the_lines_that_have_them() -> None:
    found = fit([Point(1.0, (1.0, 2.0)), Point(2.0, (2.0, 4.0)), Point(9.0, (9.0,))])
    assert found.slopes == Spread(pytest.approx(1.0), pytest.approx(1.5), pytest.approx(2.0), 2)  # type: ignore[arg-type]


def test_a_series_says_how_far_the_size_lies_beyond_what_was_measured() -> None:
    series = Series(
        "x",
        "members",
        "B/s",
        6600.0,
        (Point(100.0, (10.0,)), Point(200.0, (20.0,)), Point(50.0, (5.0,))),
    )
    assert series.factor == pytest.approx(33.0)
    assert series.fit is not None and math.isclose(series.fit.at(series.target), 660.0)


def test_one_size_gives_no_line() -> None:
    assert Series("x", "members", "B/s", 6600.0, (Point(100.0, (10.0, 11.0)),)).fit is None
    with pytest.raises(ValueError):
        line([3.0, 3.0], [1.0, 2.0])
