"""Planted defects in `stepknot/subsets` and its drivers."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="bool(self.outgoing or self.subset.has_urgent_work)",
        replacement="False",
        tests=(
            "tests/subsets/test_driver.py::test_broker_decides_on_nothing_before_drains_in_its_subset_are_passed_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._on_list(self._full_event(ListKind.FULL, entries))",
        replacement="list(entries)",
        tests=("tests/subsets/test_driver.py::test_core_has_the_full_list_after_a_defect",),
        invariant="driver 3",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="if self.fault or event.kind is ListKind.FAILED:",
        replacement="if event.kind is ListKind.FAILED:",
        tests=("tests/subsets/test_driver.py::test_core_has_the_full_list_after_a_defect",),
        invariant="driver 3",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="                timer.cancel()\n        self.slice_timer",
        replacement="                pass\n        self.slice_timer",
        tests=("tests/subsets/test_driver.py::test_pending_events_are_dropped_after_falling_back",),
        invariant="driver 3",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="while has_more and clock() < until:",
        replacement="while has_more:",
        tests=(
            "tests/subsets/test_driver.py::test_long_list_is_processed_in_slices_within_the_turn_bound",
        ),
        invariant="driver 1",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._loop.call_later(NEXT_TURN, self._run_slice)",
        replacement="self._loop.call_later(0.0, self._run_slice)",
        tests=(
            "tests/subsets/test_driver.py::test_long_list_is_processed_in_slices_within_the_turn_bound",
        ),
        invariant="driver 1",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.outgoing += split_event(event)",
        replacement="self.outgoing.append(event)",
        tests=(
            "tests/subsets/test_driver.py::test_long_list_is_processed_in_slices_within_the_turn_bound",
        ),
        invariant="driver 1",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._loop.call_at(at, self._start_work)",
        replacement="None",
        tests=("tests/subsets/test_driver.py::test_slow_start_ends_at_its_time_without_a_list",),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._guard(lambda: self.subset.set_instances(instances))",
        replacement="pass",
        tests=("tests/subsets/test_driver.py::test_count_of_brokers_determines_subset_size",),
        invariant="S6",
    ),
    PlantedDefect(
        path="stepknot/broker/subset_change_log.py",
        original="if cells <= MAX_LOGGED_CELLS:",
        replacement="if True:",
        tests=(
            "tests/subsets/test_driver.py::test_few_changes_are_logged_one_by_one_and_many_in_one_event",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if self.unemitted and had_urgent_cells and not self.urgent_cells:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_driver.py::test_draining_node_is_handed_over_before_a_long_list_is_indexed",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="[*cell.ranked, *cell.selected.values()]",
        replacement="cell.selected.values()",
        tests=(
            "tests/subsets/test_driver.py::test_replacement_is_never_gone_or_draining_by_the_same_list",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/config/subsets.py",
        original="if size < around.max_attempts:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_config.py::test_default_size_under_max_attempts_is_reported_at_the_block",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/quotas.py",
        original="return max(MIN_CELL_QUOTA, *quotas)",
        replacement="return max(MIN_CELL_QUOTA, *quotas) + 1",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_subset_holds_exactly_its_size_of_each_shard_and_told_the_module_no_more",
        ),
        invariant="S1",
    ),
    PlantedDefect(
        path="stepknot/subsets/selection.py",
        original="selected[-1] = of_other_zone",
        replacement="pass",
        tests=(
            "tests/subsets/test_selection.py::test_selection_is_the_first_ranked_except_for_zone_and_tier",
        ),
        invariant="S2",
    ),
    PlantedDefect(
        path="stepknot/subsets/selection.py",
        original="if all(tier(entry.zone) > nearest for entry in selected):",
        replacement="if False:",
        tests=(
            "tests/subsets/test_selection.py::test_selection_is_the_first_ranked_except_for_zone_and_tier",
        ),
        invariant="S3",
    ),
    PlantedDefect(
        path="stepknot/subsets/quotas.py",
        original="math.floor(exact + dither)",
        replacement="math.floor(exact)",
        tests=("tests/subsets/test_selection.py::test_dithered_quota_keeps_the_mean_of_holders",),
        invariant="S6",
    ),
    PlantedDefect(
        path="stepknot/subsets/cell_selector.py",
        original="if layout.reach > 1:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_subset.py::test_shard_with_one_cell_in_slow_start_is_served_by_its_other_cell",
        ),
        invariant="S1",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._mark_changed(number, ChangeCause.WARM)",
        replacement="self._stale_cells.setdefault(number, ChangeCause.WARM)",
        tests=(
            "tests/subsets/test_subset.py::test_neighbouring_cell_gives_more_nodes_until_slow_start_ends",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/list_intake.py",
        original="if read.is_snapshot or self.pending is None:",
        replacement="if self.pending is None:",
        tests=(
            "tests/subsets/test_subset.py::test_subset_is_a_function_of_the_list_for_any_history",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if self.unemitted and had_urgent_cells and not self.urgent_cells:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_subset.py::test_draining_node_is_emitted_with_its_replacement_before_a_long_list_is_indexed",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._put_newest([*cell.ranked, *cell.selected.values()])",
        replacement="self._put_newest(cell.selected.values())",
        tests=(
            "tests/subsets/test_subset.py::test_node_that_drains_by_an_unindexed_list_is_no_replacement",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="(newest.state, newest.up_since) != (entry.state, entry.up_since)",
        replacement="newest.state != entry.state",
        tests=("tests/subsets/test_subset.py::test_restarted_node_is_no_longer_treated_as_warm",),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="            if not self.index.selected(entry.server)\n",
        replacement="",
        tests=(
            "tests/subsets/test_subset.py::test_node_that_moves_to_another_cell_is_not_emitted_as_gone",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._first_kind = event.kind",
        replacement="pass",
        tests=(
            "tests/subsets/test_subset.py::test_first_list_is_emitted_even_if_nothing_is_selected",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/list_intake.py",
        original="READ_ENTRIES = 1024",
        replacement="READ_ENTRIES = 1_000_000",
        tests=("tests/subsets/test_subset.py::test_unit_of_work_does_not_grow_with_the_list",),
        invariant="driver 1",
    ),
    PlantedDefect(
        path="stepknot/subsets/cell_selector.py",
        original="is_below_quota = len(warm) < cell.quota and len(warming_up) < cell.quota",
        replacement="is_below_quota = True",
        tests=(
            "tests/subsets/test_subset.py::test_nodes_in_slow_start_are_bounded_by_quota_and_rank",
        ),
        invariant="S9",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="max(mean + MARGIN_DEVIATIONS * math.sqrt(mean * (1.0 - fraction)), 1.0)",
        replacement="max(mean, 1.0)",
        tests=(
            "tests/subsets/test_slow_start.py::test_equal_views_rarely_exceed_capacity_and_never_the_spare_part",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="if divisor >= instances:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_slow_start.py::test_all_brokers_are_eligible_where_a_fraction_would_need_a_larger_divisor",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1))",
        replacement="fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1)) / 2",
        tests=("tests/subsets/test_subset.py::test_subset_of_any_fleet_keeps_the_invariants",),
        invariant="S8",
    ),
]
