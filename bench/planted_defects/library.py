"""Planted defects of the decision library."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="pause = (self._turn.settings.rules.ask_within or math.inf) * WATCH_RETRY_SHARE",
        replacement="pause = self._turn.settings.rules.ask_within * WATCH_RETRY_SHARE",
        tests=(
            "tests/platform/test_discovery.py::test_timeouts_of_the_watch_add_up_to_less_than_the_propagation_delay",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="left + cost * quota.draw >= cost",
        replacement="left + cost >= cost",
        tests=("tests/decisions/test_slow_start.py",),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="now >= self.began_at + rules.fall_time and",
        replacement="True and",
        tests=(
            "tests/decisions/test_slow_start.py::test_new_process_leaves_the_quota_to_the_one_before",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="return self.quotas.setdefault(server, ColdQuota())",
        replacement="return ColdQuota()",
        tests=("tests/decisions/test_slow_start.py::test_changed_entry_brings_no_fresh_quota",),
    ),
    PlantedDefect(
        path="stepknot/decisions/dispatch.py",
        original="return since + kind.repeat_window",
        replacement="return math.inf",
        tests=("tests/decisions/test_rules.py",),
    ),
    PlantedDefect(
        path="stepknot/decisions/selection.py",
        original="self._class_losses.fails_class(capsule, query.query_class.name),",
        replacement="False,",
        tests=(
            "tests/decisions/test_outlier_detection.py::test_class_that_a_server_loses_goes_elsewhere",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/outlier_detection.py",
        original="if not is_lost or capsule.latest_answered_send > attempt.sent_at:",
        replacement="if True:",
        tests=(
            "tests/decisions/test_outlier_detection.py::test_pause_is_not_taken_for_a_lost_class",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/hedging.py",
        original="self._send_again(query, part, UNRESPONSIVE_HEDGE_SHARE)",
        replacement="pass",
        tests=(
            "tests/decisions/test_hedging.py::test_unresponsive_server_is_chosen_last_and_its_parts_are_hedged",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="self.instances = max(event.instances, 1)",
        replacement="pass",
        tests=(
            "tests/decisions/test_slow_start.py::test_counted_instances_set_the_share_of_a_cold_server",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="if capsule.entry.state is ServerState.LIVE:",
        replacement="if True:",
        tests=(
            "tests/simulation/test_subset_cost.py::test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/answers.py",
        original="self.queries.pop(query.number, None)",
        replacement="pass",
        tests=(
            "tests/simulation/test_subset_cost.py::test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not",
        ),
    ),
]
