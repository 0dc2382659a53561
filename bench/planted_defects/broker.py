"""Planted defects of broker."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/broker/queries.py",
        original="return now if self.arrived is None else self.arrived",
        replacement="return now",
        tests=(
            "tests/broker/test_hard_cases.py::test_the_clients_time_counts_from_when_its_request_was_there",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="self.post(api.QueryGone(ask.query_id))\n            self.finish(ask, None)",
        replacement="pass",
        tests=(
            "tests/broker/test_hard_cases.py::test_a_client_that_hangs_up_has_its_parts_called_off",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="for ask in list(self.held.values()):\n            self.post",
        replacement="for ask in ():\n            self.post",
        tests=(
            "tests/broker/test_hard_cases.py::test_shutdown_gives_a_query_that_no_box_answers_its_final_answer",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="while self.core.held and self.loop.now < until:",
        replacement="while False:",
        tests=(
            "tests/broker/test_hard_cases.py::test_orderly_shutdown_gives_what_is_held_its_final_answer",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/queries.py",
        original="self.left, goers, self.goers = True, self.goers, []",
        replacement="self.left, goers = True, []",
        tests=("tests/graphql/test_hard_cases.py::test_the_client_leaves_half_way",),
    ),
    PlantedDefect(
        path="stepknot/broker/queries.py",
        original="len(outcome.documents) if search.source is not False else 0",
        replacement="len(outcome.documents)",
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
        path="stepknot/broker/core.py",
        original="if attempt is not None and self.boxes.is_unsent(attempt):",
        replacement="if False:",
        tests=(
            "tests/platform/test_hard_cases.py::test_unwritten_call_is_removed_with_its_client_where_cancelling_is_not_allowed",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/process.py",
        original="HANDLED = {\n    signal.SIGHUP,\n    signal.SIGTERM,\n}  # held back, where the caller does so, until `live` listens for them\n",
        replacement="HANDLED = {signal.SIGUSR1}  # held back, where the caller does so, until `live` listens for them\n",
        tests=("tests/platform/test_service.py::test_signal_before_the_loop_handles_it_waits",),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="or still > self.most_open",
        replacement="or False",
        tests=(
            "tests/platform/test_requests.py::test_query_over_the_cap_of_open_ones_is_rejected_at_once",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/core.py",
        original="self.end_attempt(attempt, api.Outcome.TIMED_OUT, {})",
        replacement="pass",
        tests=(
            "tests/platform/test_hard_cases.py::test_node_that_fails_and_returns_serves_again_and_no_state_is_left",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="self.subsetting.set_instances(count)",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_broker_has_its_subset_before_the_first_turn_and_follows_the_count",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/service.py",
        original="self.listed.on_list = self.subsetting.on_watch_event",
        replacement="pass",
        tests=(
            "tests/subsets/test_driver.py::test_broker_has_its_subset_before_the_first_turn_and_follows_the_count",
        ),
    ),
]
