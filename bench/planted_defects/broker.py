"""Planted defects of broker."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/broker/process.py",
        original="        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)\n",
        replacement="",
        tests=(
            "tests/platform/test_service.py::test_signals_in_series_do_not_change_the_exit_code",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/attempt_tracker.py",
        original="        self._drop_expiry(attempt)\n",
        replacement="",
        tests=(
            "tests/platform/test_hard_cases.py::test_ended_attempt_and_its_text_are_dropped_at_once",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/client_query.py",
        original="return now if self.arrived is None else self.arrived",
        replacement="return now",
        tests=(
            "tests/broker/test_stalls_and_shutdown.py::test_the_deadline_counts_from_the_requests_arrival",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="self.post(api.QueryGone(query.query_id))\n            self._finish(query, None)",
        replacement="pass",
        tests=(
            "tests/broker/test_client_requests.py::test_a_disconnected_clients_parts_are_cancelled",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="for query in list(self.queries.values()):\n            self.post",
        replacement="for query in ():\n            self.post",
        tests=(
            "tests/broker/test_stalls_and_shutdown.py::test_shutdown_rejects_queries_in_flight_after_the_grace",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="self.finish_queries(fronts, IN_FLIGHT_GRACE)",
        replacement="self.finish_queries([], 0.0)",
        tests=(
            "tests/broker/test_stalls_and_shutdown.py::test_graceful_shutdown_answers_queries_in_flight",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/query_group.py",
        original="callbacks, self.callbacks = self.callbacks, []",
        replacement="callbacks = []",
        tests=("tests/graphql/test_hard_cases.py::test_the_client_leaves_half_way",),
    ),
    PlantedDefect(
        path="stepknot/broker/search_query.py",
        original="if self.page is None or self.search.source is False:",
        replacement="if self.page is None:",
        tests=(
            "tests/graphql/test_operations.py::test_a_page_that_wants_no_documents_is_whole_and_costs_one_step",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="                    action.part_id, action.attempt, action.server, api.Outcome.NOT_SENT, 0.0\n                )\n            )\n",
        replacement="                    action.part_id, action.attempt, action.server, api.Outcome.NOT_SENT, 0.0\n                )\n            ) if not action.attempt else None\n",
        tests=(
            "tests/platform/test_hard_cases.py::test_retry_decided_in_the_turn_of_the_disconnect_leaves_nothing_in_flight",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/attempt_tracker.py",
        original="if attempt is not None and self.transport.is_unsent(attempt):",
        replacement="if False:",
        tests=(
            "tests/platform/test_hard_cases.py::test_unwritten_call_is_removed_with_its_client_where_cancelling_is_not_allowed",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/process.py",
        original="HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}",
        replacement="HANDLED_SIGNALS = {signal.SIGUSR1}",
        tests=("tests/platform/test_service.py::test_signal_before_the_loop_handles_it_waits",),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="or in_flight + 1 + len(query.parts) > self.max_open",
        replacement="or False",
        tests=(
            "tests/platform/test_requests.py::test_query_over_the_cap_of_open_ones_is_rejected_at_once",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/attempt_tracker.py",
        original='self.loop.run_callback("expiry", self.end, attempt, api.Outcome.TIMED_OUT, {})',
        replacement="pass",
        tests=(
            "tests/platform/test_hard_cases.py::test_node_that_fails_and_returns_serves_again_and_no_state_is_left",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="self.subsets.set_instances(count)",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_broker_has_its_subset_before_the_first_turn_and_follows_the_count",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="self.endpoints.on_list = subsets.on_watch_event",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_broker_has_its_subset_before_the_first_turn_and_follows_the_count",
        ),
    ),
]
