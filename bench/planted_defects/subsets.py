"""Planted defects of subsets."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.on_list(self.whole(ListKind.FULL,",
        replacement="list(self.whole(ListKind.FULL,",
        tests=(
            "tests/subsets/test_driver.py::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="if self.off or event.kind is ListKind.FAILED:",
        replacement="if event.kind is ListKind.FAILED:",
        tests=(
            "tests/subsets/test_driver.py::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="timer.cancel()",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_what_was_decided_and_not_handed_over_does_not_come_after_the_whole_list",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="while more and clock() < until:",
        replacement="while more:",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.loop.call_later(NEXT_TURN, self.slice)",
        replacement="self.loop.call_later(0.0, self.slice)",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.ready += parts(event)",
        replacement="self.ready.append(event)",
        tests=(
            "tests/subsets/test_driver.py::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.loop.call_at(at, self.begin) if at is not None else None",
        replacement="None",
        tests=(
            "tests/subsets/test_driver.py::test_a_cold_node_is_warm_at_its_time_though_no_list_comes",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="self.guarded(lambda: self.subset.count(instances))",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_the_count_of_brokers_sets_how_many_nodes_each_uses",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/subset_driver.py",
        original="if cells <= MAX_TOLD:",
        replacement="if True:",
        tests=(
            "tests/subsets/test_driver.py::test_few_changes_are_told_one_by_one_and_many_in_one_event",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="        if (\n            len(self.told) >= TOLD_AT_ONCE\n            or self.told\n            and urgent\n            and not self.urgent\n            or idle\n            and (self.told or self.first)\n        ):\n",
        replacement="        if len(self.told) >= TOLD_AT_ONCE or idle and (self.told or self.first):\n",
        tests=(
            "tests/subsets/test_driver.py::test_a_node_in_use_that_drains_while_a_long_list_is_taken_in_is_passed_on_first",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="[*cell.entries, *cell.held.values()]",
        replacement="cell.held.values()",
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
        path="stepknot/subsets/choice.py",
        original="return max(LEAST_QUOTA, *found)",
        replacement="return max(LEAST_QUOTA, *found) + 1",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_subset_holds_exactly_its_size_of_each_shard_and_told_the_module_no_more",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/choice.py",
        original="chosen[-1] = other",
        replacement="pass",
        tests=(
            "tests/subsets/test_choice.py::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
        ),
        invariant="S2",
    ),
    PlantedDefect(
        path="stepknot/subsets/choice.py",
        original="if all(tier(entry.zone) > nearest for entry in chosen):",
        replacement="if False:",
        tests=(
            "tests/subsets/test_choice.py::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
        ),
        invariant="S3",
    ),
    PlantedDefect(
        path="stepknot/subsets/choice.py",
        original="math.floor(min(holders * live / instances, float(live)) + dither)",
        replacement="math.floor(min(holders * live / instances, float(live)))",
        tests=("tests/subsets/test_choice.py::test_rounding_by_a_draw_keeps_the_mean_of_holders",),
        invariant="S6",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if shape.reach > 1:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_subset.py::test_a_shard_whose_one_cell_is_all_cold_is_served_from_its_other",
        ),
        invariant="S1",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self.mark(heapq.heappop(self.warming)[1], Cause.WARM, self.dirty)",
        replacement="self.dirty.setdefault(heapq.heappop(self.warming)[1], Cause.WARM)",
        tests=(
            "tests/subsets/test_subset.py::test_a_cell_beside_gives_more_once_the_last_warm_node_drains_and_less_once_others_are_warm",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="if unread.whole or self.pending is None:",
        replacement="if self.pending is None:",
        tests=(
            "tests/subsets/test_subset.py::test_the_subset_is_a_function_of_the_list_whatever_the_way_to_it",
        ),
        invariant="S4",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="        if (\n            len(self.told) >= TOLD_AT_ONCE\n            or self.told\n            and urgent\n            and not self.urgent\n            or idle\n            and (self.told or self.first)\n        ):\n",
        replacement="        if len(self.told) >= TOLD_AT_ONCE or idle and (self.told or self.first):\n",
        tests=(
            "tests/subsets/test_subset.py::test_what_drains_is_told_with_its_replacement_before_a_long_list_is_taken_in",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self.take_words([*cell.entries, *cell.held.values()])",
        replacement="self.take_words(cell.held.values())",
        tests=(
            "tests/subsets/test_subset.py::test_a_node_that_drains_by_a_list_in_work_does_not_stand_in_for_another",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="(word.state, word.up_since) != (entry.state, entry.up_since)",
        replacement="word.state != entry.state",
        tests=(
            "tests/subsets/test_subset.py::test_a_held_node_that_is_another_process_is_no_longer_taken_for_warm",
        ),
        invariant="S7",
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="        self.told += [\n            replace(entry, state=ServerState.GONE)\n            for entry in left\n            if not self.index.held(entry.server)\n        ]\n",
        replacement="        self.told += [replace(entry, state=ServerState.GONE) for entry in left]\n",
        tests=(
            "tests/subsets/test_subset.py::test_a_node_that_moves_to_another_cell_is_not_told_to_be_gone_after_it_entered",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="self.heard, self.first = True, event.kind",
        replacement="self.heard = True",
        tests=(
            "tests/subsets/test_subset.py::test_the_first_list_is_told_also_where_nothing_of_it_is_used",
        ),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="READ_AT_ONCE = 1024",
        replacement="READ_AT_ONCE = 1_000_000",
        tests=("tests/subsets/test_subset.py::test_no_unit_grows_with_the_list",),
    ),
    PlantedDefect(
        path="stepknot/subsets/subset.py",
        original="            elif (\n                len(warm) < quota\n                and len(cold) < quota\n                and share.may_send(self.index.drawn(entry.server))\n            ):\n",
        replacement="            elif share.may_send(self.index.drawn(entry.server)):\n",
        tests=(
            "tests/subsets/test_subset.py::test_of_a_cell_that_is_all_cold_a_quota_is_used_and_of_some_cold_what_ranks_before_a_warm_one",
        ),
        invariant="S9",
    ),
    PlantedDefect(
        path="stepknot/subsets/cold.py",
        original="max(mean + SPREAD * math.sqrt(mean * (1.0 - share)), 1.0)",
        replacement="max(mean, 1.0)",
        tests=(
            "tests/subsets/test_cold.py::test_alike_views_are_over_the_budget_once_in_a_thousand_and_never_over_what_is_spare",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/cold.py",
        original="if divisor >= instances:",
        replacement="if False:",
        tests=(
            "tests/subsets/test_cold.py::test_where_a_part_of_the_brokers_would_take_more_than_all_of_them_all_may",
        ),
        invariant="S8",
    ),
    PlantedDefect(
        path="stepknot/subsets/cold.py",
        original="share = min(1.0, ELIGIBLE * quota / max(live, 1))",
        replacement="share = min(1.0, ELIGIBLE * quota / max(live, 1)) / 2",
        tests=("tests/subsets/test_subset.py::test_what_is_used_of_any_fleet",),
        invariant="S8",
    ),
]
