"""Planted defects of nodes."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/nodes/connection_pool.py",
        original="not link.peer_closed and link.peek() is None",
        replacement="not link.peer_closed",
        tests=(
            "tests/broker/test_node_faults.py::test_an_idle_connection_with_stray_bytes_is_not_reused",
        ),
    ),
    PlantedDefect(
        path="stepknot/nodes/connection_pool.py",
        original="Outcome.RESET if is_sent else Outcome.NOT_CONNECTED",
        replacement="Outcome.NOT_CONNECTED",
        tests=(
            "tests/broker/test_node_faults.py::test_an_unsafe_write_that_may_have_run_is_not_retried",
        ),
    ),
    PlantedDefect(
        path="stepknot/nodes/rest_transport.py",
        original="call.exchange.cancel()  # the node",
        replacement="pass  # the node",
        tests=(
            "tests/broker/test_client_requests.py::test_a_disconnected_clients_parts_are_cancelled",
        ),
    ),
    PlantedDefect(
        path="stepknot/nodes/rest_codec.py",
        original="if len(responses) != expected:",
        replacement="if False:",
        tests=(
            "tests/broker/test_node_faults.py::test_more_or_fewer_replies_than_parts_are_an_error_of_that_call",
        ),
    ),
    PlantedDefect(
        path="stepknot/nodes/rest_codec.py",
        original="        if status == TOO_MANY_REQUESTS:\n            return [REJECTED]",
        replacement="        if False:\n            return [REJECTED]",
        tests=(
            "tests/broker/test_node_faults.py::test_an_unsafe_part_that_was_rejected_is_retried_elsewhere",
        ),
    ),
    PlantedDefect(
        path="stepknot/nodes/rest_codec.py",
        original="if statuses == {TOO_MANY_REQUESTS}:",
        replacement="if False:",
        tests=(
            "tests/broker/test_node_faults.py::test_an_unsafe_part_that_was_rejected_is_retried_elsewhere",
        ),
    ),
]
