"""Planted defects of subsets."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._on_list(self._full_event(ListKind.FULL, entries))",
        replacement="list(entries)",
        tests=(
            "tests/subsets/test_driver.py::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="if self.fault or event.kind is ListKind.FAILED:",
        replacement="if event.kind is ListKind.FAILED:",
        tests=(
            "tests/subsets/test_driver.py::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="                timer.cancel()\n        self.slice_timer",
        replacement="                pass\n        self.slice_timer",
        tests=(
            "tests/subsets/test_driver.py::test_what_was_decided_and_not_handed_over_does_not_come_after_the_whole_list",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="while has_more and clock() < until:",
        replacement="while has_more:",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._loop.call_later(NEXT_TURN, self._run_slice)",
        replacement="self._loop.call_later(0.0, self._run_slice)",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.outgoing += split_event(event)",
        replacement="self.outgoing.append(event)",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._loop.call_at(at, self._start_work)",
        replacement="None",
        tests=(
            "tests/subsets/test_driver.py::test_a_cold_node_is_warm_at_its_time_though_no_list_comes",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self._guard(lambda: self.subset.set_instances(instances))",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_the_count_of_brokers_sets_how_many_nodes_each_uses",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_change_log.py",
        original="if cells <= MAX_LOGGED_CELLS:",
        replacement="if True:",
        tests=(
            "tests/subsets/test_driver.py::test_few_changes_are_told_one_by_one_and_many_in_one_event",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if self.unemitted and had_urgent_cells and not self.urgent_cells:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_driver.py::test_a_node_in_use_that_drains_while_a_long_list_is_taken_in_is_passed_on_first",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="[*cell.ranked, *cell.selected.values()]",
        replacement="cell.selected.values()",
        tests=(
            "tests/subsets/test_driver.py::test_no_node_takes_anothers_place_that_the_same_list_says_gone_or_draining",
        ),
    ),
    PlantedDefect(
        path="stepknot/config/subsets.py",
        original="if size < around.max_attempts:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_config.py::test_a_default_size_under_the_attempts_is_told_where_the_block_begins",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/quotas.py",
        original="return max(MIN_CELL_QUOTA, *quotas)",
        replacement="return max(MIN_CELL_QUOTA, *quotas) + 1",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_subset_holds_exactly_its_size_of_each_shard_and_told_the_module_no_more",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/selection.py",
        original="selected[-1] = of_other_zone",
        replacement="pass",
        tests=(
            "tests/subsets/test_choice.py::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
        ),
        invariant="S2",
    ),
    PlantedDefect(
        path="stepknot/subsets/selection.py",
        original="if all(tier(entry.zone) > nearest for entry in selected):",
        replacement="if False:",
        tests=(
            "tests/subsets/test_choice.py::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
        ),
        invariant="S3",
    ),
    PlantedDefect(
        path="stepknot/subsets/quotas.py",
        original="math.floor(exact + dither)",
        replacement="math.floor(exact)",
        tests=("tests/subsets/test_choice.py::test_rounding_by_a_draw_keeps_the_mean_of_holders",),
        invariant="S6",
    ),
    PlantedDefect(
        path="stepknot/subsets/cell_selector.py",
        original="if layout.reach > 1:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_subset.py::test_a_shard_whose_one_cell_is_all_cold_is_served_from_its_other",
        ),
        invariant="S1",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._mark_changed(number, ChangeCause.WARM)",
        replacement="self._stale_cells.setdefault(number, ChangeCause.WARM)",
        tests=(
            "tests/subsets/test_subset.py::test_a_cell_beside_gives_more_once_the_last_warm_node_drains_and_less_once_others_are_warm",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/list_intake.py",
        original="if read.is_snapshot or self.pending is None:",
        replacement="if self.pending is None:",
        tests=(
            "tests/subsets/test_subset.py::test_the_subset_is_a_function_of_the_list_whatever_the_way_to_it",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if self.unemitted and had_urgent_cells and not self.urgent_cells:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_subset.py::test_what_drains_is_told_with_its_replacement_before_a_long_list_is_taken_in",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._put_newest([*cell.ranked, *cell.selected.values()])",
        replacement="self._put_newest(cell.selected.values())",
        tests=(
            "tests/subsets/test_subset.py::test_a_node_that_drains_by_a_list_in_work_does_not_stand_in_for_another",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="(newest.state, newest.up_since) != (entry.state, entry.up_since)",
        replacement="newest.state != entry.state",
        tests=(
            "tests/subsets/test_subset.py::test_a_held_node_that_is_another_process_is_no_longer_taken_for_warm",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="            if not self.index.selected(entry.server)\n",
        replacement="",
        tests=(
            "tests/subsets/test_subset.py::test_a_node_that_moves_to_another_cell_is_not_told_to_be_gone_after_it_entered",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self._first_kind = event.kind",
        replacement="pass",
        tests=(
            "tests/subsets/test_subset.py::test_the_first_list_is_told_also_where_nothing_of_it_is_used",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/list_intake.py",
        original="READ_ENTRIES = 1024",
        replacement="READ_ENTRIES = 1_000_000",
        tests=("tests/subsets/test_subset.py::test_no_unit_grows_with_the_list",),
    ),
    PlantedDefect(
        path="stepknot/subsets/cell_selector.py",
        original="has_room = len(warm) < cell.quota and len(warming_up) < cell.quota",
        replacement="has_room = True",
        tests=(
            "tests/subsets/test_subset.py::test_of_a_cell_that_is_all_cold_a_quota_is_used_and_of_some_cold_what_ranks_before_a_warm_one",
        ),
        invariant="S9",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="max(mean + KEPT_DEVIATIONS * math.sqrt(mean * (1.0 - fraction)), 1.0)",
        replacement="max(mean, 1.0)",
        tests=(
            "tests/subsets/test_cold.py::test_alike_views_are_over_the_budget_once_in_a_thousand_and_never_over_what_is_spare",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="if divisor >= instances:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_cold.py::test_where_a_part_of_the_brokers_would_take_more_than_all_of_them_all_may",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/slow_start.py",
        original="fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1))",
        replacement="fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1)) / 2",
        tests=("tests/subsets/test_subset.py::test_what_is_used_of_any_fleet",),
        invariant="S8",
    ),
]
