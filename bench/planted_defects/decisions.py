"""Planted defects of the decision library."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/decisions/aggregator.py",
        original="others.append(event)",
        replacement="handlers[type(event)](event)",
        tests=(
            "tests/decisions/test_endpoint_list.py::test_change_counts_before_other_events_of_its_turn",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="delay = (self._turn.settings.rules.ask_within or math.inf) * WATCH_RETRY_SHARE",
        replacement="delay = self._turn.settings.rules.ask_within * WATCH_RETRY_SHARE",
        tests=(
            "tests/platform/test_discovery.py::test_timeouts_of_the_watch_add_up_to_less_than_the_propagation_delay",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="min(2 ** max(self._failed_watches - 2, 0), MAX_WATCH_BACKOFF)",
        replacement="1",
        tests=(
            "tests/decisions/test_endpoint_list.py::test_watch_is_retried_with_backoff_until_a_list_is_received",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="self.core.post(NO_CHANGES)  # ends the backoff",
        replacement="pass  #",
        tests=("tests/platform/test_discovery.py::test_address_change_ends_the_backoff",),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="remaining + cost * quota.draw >= cost",
        replacement="remaining + cost >= cost",
        tests=("tests/decisions/test_slow_start.py",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="now >= self.began_at + rules.fall_time and",
        replacement="True and",
        tests=(
            "tests/decisions/test_slow_start.py::test_new_process_sends_nothing_within_the_window_of_its_predecessor",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="return self.quotas.setdefault(server, ColdQuota())",
        replacement="return ColdQuota()",
        tests=("tests/decisions/test_slow_start.py::test_changed_entry_gets_no_new_quota",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="while removed and removed[0][0] <= until:",
        replacement="while False:",
        tests=(
            "tests/decisions/test_slow_start.py::test_quotas_of_removed_servers_are_forgotten_after_the_last_window",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/slow_start.py",
        original="        if self._is_in_use(server):\n",
        replacement="        if False:\n",
        tests=("tests/decisions/test_slow_start.py::test_changed_entry_gets_no_new_quota",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="if known is not None and known.entry.cell != entry.cell:",
        replacement="if False:",
        tests=(
            "tests/decisions/test_endpoint_list.py::test_replicas_are_those_of_the_list_whatever_changes_led_to_it",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/decisions/dispatch.py",
        original="return may_run_since + query_class.repeat_window",
        replacement="return math.inf",
        tests=("tests/decisions/test_rules.py",),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/decisions/selection.py",
        original="self._class_losses.fails_class(capsule, query.query_class.name),",
        replacement="False,",
        tests=(
            "tests/decisions/test_outlier_detection.py::test_class_that_a_server_loses_is_sent_to_another_replica",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/outlier_detection.py",
        original="if not is_lost or capsule.latest_served_sent_at > attempt.sent_at:",
        replacement="if True:",
        tests=(
            "tests/decisions/test_outlier_detection.py::test_pause_does_not_count_as_a_lost_class",
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
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="if capsule.entry.state is ServerState.LIVE\n",
        replacement="",
        tests=(
            "tests/simulation/test_subset_cost.py::test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/decisions/answers.py",
        original="self.queries.pop(query.number, None)",
        replacement="pass",
        tests=(
            "tests/simulation/test_subset_cost.py::test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/decisions/answers.py",
        original="need = 1.0 if is_second else query_class.need",
        replacement="need = 0.0",
        tests=(
            "tests/decisions/test_answers.py::test_answer_is_partial_under_need_and_complete_over_it",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/decisions/answers.py",
        original="if query.parts and served_weight(query) >= query_class.floor - EPSILON:",
        replacement="if query.parts:",
        tests=(
            "tests/decisions/test_answers.py::test_query_that_cannot_reach_its_floor_ends_at_once",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/decisions/answers.py",
        original="elif query_class.effect is Effect.SAFE or all(",
        replacement="elif True or all(",
        tests=(
            "tests/decisions/test_answers.py::test_unsafe_query_that_may_have_run_is_failed_not_rejected",
        ),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/decisions/retries.py",
        original="return query_class.effect is Effect.KEYED and self._turn.now < window_end",
        replacement="return query_class.effect is Effect.KEYED",
        tests=(
            "tests/decisions/test_retries.py::test_keyed_part_is_retried_within_its_repeat_window_only",
        ),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/decisions/retry_budget.py",
        original="len(self.retries) + 1 <= allowed",
        replacement="len(self.retries) <= allowed",
        tests=("tests/decisions/test_retries.py::test_retries_stop_at_the_budget",),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/decisions/retry_budget.py",
        original="allowed *= 1 - RESERVED_BUDGET_SHARE",
        replacement="pass",
        tests=(
            "tests/decisions/test_retries.py::test_half_of_the_budget_is_reserved_for_parts_that_their_query_needs",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/dispatch.py",
        original="self._slow_start.refund(attempt.capsule)",
        replacement="pass",
        tests=("tests/decisions/test_slow_start.py::test_rejected_query_spends_no_quota",),
    ),
    PlantedDefect(
        path="stepknot/decisions/capsule.py",
        original="wait = max(0.0, time_left * (beta - in_flight) / (beta - alpha))",
        replacement="wait = time_left",
        tests=("tests/decisions/test_capsule.py::test_wait_shrinks_from_alpha_to_beta",),
    ),
    PlantedDefect(
        path="stepknot/decisions/capsule.py",
        original="wait = time_left if in_flight < beta else 0.0",
        replacement="wait = time_left",
        tests=(
            "tests/decisions/test_capsule.py::test_query_that_needs_all_parts_waits_in_full_below_beta_and_is_rejected_at_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/capsule.py",
        original="if wait >= expected and time_left >= MIN_TIME_LEFT_IN_MEANS * expected:",
        replacement="if wait >= expected:",
        tests=(
            "tests/decisions/test_capsule.py::test_query_with_too_few_mean_times_left_is_rejected",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/selection.py",
        original="count += PENDING_PROBE_WEIGHT * capsule.is_probe_pending",
        replacement="pass",
        tests=(
            "tests/decisions/test_health.py::test_replica_that_reports_a_queue_is_better_than_one_that_does_not_answer",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/health.py",
        original="lifetime = max(FAILURE_MEMORY_WAITS * base_wait, FAILURE_MEMORY_GAPS * capsule.send_gap)",
        replacement="lifetime = FAILURE_MEMORY_WAITS * base_wait",
        tests=(
            "tests/decisions/test_health.py::test_failure_is_remembered_longer_where_sends_are_rare",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/outlier_detection.py",
        original="if not call.is_sampled:",
        replacement="if True:",
        tests=(
            "tests/decisions/test_outlier_detection.py::test_parts_lost_in_one_call_are_one_sample_of_its_connection",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/hedging.py",
        original="if not capsule.calls or capsule.unanswered_since == math.inf:",
        replacement="if not capsule.calls:",
        tests=(
            "tests/decisions/test_hedging.py::test_a_restarted_server_is_watched_for_its_new_process_only",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/hedging.py",
        original="if not capsule.attempts:",
        replacement="if False:",
        tests=(
            "tests/decisions/test_hedging.py::test_a_restarted_server_is_watched_for_its_new_process_only",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/hedging.py",
        original="if part not in query.parts or part.is_served:",
        replacement="if True:",
        tests=("tests/decisions/test_hedging.py::test_overdue_part_is_hedged_at_another_replica",),
    ),
    PlantedDefect(
        path="stepknot/decisions/load_shedding.py",
        original="dispatcher.withdraw(attempt)",
        replacement="pass",
        tests=(
            "tests/decisions/test_load_shedding.py::test_query_that_is_rejected_for_one_shard_leaves_nothing_in_flight_at_another",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/aggregator.py",
        original="timers_due.append(event)",
        replacement="self.timers.on_due(event)",
        tests=(
            "tests/decisions/test_hedging.py::test_backlog_after_a_stall_does_not_count_as_unanswered",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/endpoint_list.py",
        original="if known is None or known.entry.up_since != entry.up_since:",
        replacement="if known is None:",
        tests=(
            "tests/decisions/test_endpoint_list.py::test_restarted_server_has_no_failures_of_its_former_process",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/outcomes.py",
        original="elapsed = min(elapsed, attempt.query.query_class.aim)",
        replacement="pass",
        tests=(
            "tests/decisions/test_capsule.py::test_lost_part_counts_in_the_mean_with_no_more_than_the_aim",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/capsule.py",
        original="if query.first_parts:",
        replacement="if False:",
        tests=(
            "tests/decisions/test_load_shedding.py::test_second_step_is_sent_though_its_servers_are_full",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/send_hold.py",
        original="now - self._began_at >= self._max_seconds",
        replacement="False",
        tests=(
            "tests/decisions/test_send_hold.py::test_hold_ends_for_a_turn_within_the_allowance_and_begins_again",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/dispatch.py",
        original="_write_deadline(query_class, part.may_run_since)",
        replacement="_write_deadline(query_class, part.may_run_since if number else math.inf)",
        tests=(
            "tests/decisions/test_retries.py::test_first_attempt_is_not_written_after_its_repeat_window",
        ),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/decisions/send_hold.py",
        original="if not was_asked:",
        replacement="if False:",
        tests=("tests/decisions/test_send_hold.py::test_turn_without_a_question_ends_a_hold",),
    ),
]
