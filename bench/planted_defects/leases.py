"""Planted defects of leases."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="record.version <= self.newest.version:",
        replacement="record.version < self.newest.version:",
        tests=(
            "tests/leases/test_decisions.py::test_a_fence_takes_nothing_before_a_majority_told_and_nothing_older_after",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="if len(valid) < self.quorum_size:",
        replacement="if not valid:",
        tests=(
            "tests/leases/test_decisions.py::test_a_fence_takes_nothing_before_a_majority_told_and_nothing_older_after",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="if newest.step and (",
        replacement="if False and (",
        tests=(
            "tests/leases/test_decisions.py::test_a_fence_waits_where_the_newest_may_or_may_not_count",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/quorum.py",
        original="if reply.incarnation >= newest.get(voter, 0)",
        replacement="if True",
        tests=(
            "tests/leases/test_decisions.py::test_an_answer_from_before_a_memory_was_lost_does_not_count",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/recovery.py",
        original="return len(self.finished_voters) > len(self.others) // 2",
        replacement="return bool(self.finished_voters)",
        tests=(
            "tests/leases/test_decisions.py::test_a_voter_that_lost_its_memory_is_silent_until_most_others_told_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="self.unsaved = True\n            self.votes_from = now + self.settings.voter_lease_seconds",
        replacement="self.unsaved = True\n            self.votes_from = now",
        tests=(
            "tests/leases/test_decisions.py::test_a_voter_that_lost_its_memory_is_silent_until_most_others_told_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="if job is None and len(self.jobs) >= MAX_JOBS:",
        replacement="if False:",
        tests=(
            "tests/leases/test_decisions.py::test_a_voter_takes_no_more_jobs_than_the_bound_and_says_so",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/candidate.py",
        original="if self.election.needs_later_epoch and is_settled:",
        replacement="if False:",
        tests=("tests/leases/test_model.py::test_a_minority_of_voters_costs_nothing",),
    ),
    PlantedDefect(
        path="stepknot/leases/commands.py",
        original="if len(self._waiting) >= MAX_COMMANDS:",
        replacement="if False:",
        tests=("tests/leases/test_decisions.py::test_orders_are_bounded_and_end_in_time",),
    ),
    PlantedDefect(
        path="stepknot/leases/rolling_drains.py",
        original="len(state.drained) >= plan.max_drained or not remaining",
        replacement="not remaining",
        tests=(
            "tests/leases/test_decisions.py::test_no_more_are_out_than_asked_each_goes_once_and_the_end_is_reached",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/rolling_drains.py",
        original="if number in state.command_numbers:",
        replacement="if False:",
        tests=("tests/leases/test_decisions.py::test_an_order_said_twice_is_taken_once",),
    ),
    PlantedDefect(
        path="stepknot/broker/voter_store.py",
        original="    if checksum(version, body) != data[head_bytes : head_bytes + DIGEST_BYTES]:\n",
        replacement="    if False:\n",
        tests=(
            "tests/leases/test_decisions.py::test_a_state_that_is_cut_or_flipped_at_any_byte_is_a_lost_memory_and_is_put_aside",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/voter_store.py",
        original="for path in (self.path, self.damaged_path):",
        replacement="for path in (self.path,):",
        tests=("tests/leases/test_decisions.py::test_a_voter_begins_once",),
    ),
    PlantedDefect(
        path="stepknot/discovery/drained_endpoints.py",
        original="self.entries.pop(entry.server, None)",
        replacement="pass",
        tests=(
            "tests/leases/test_decisions.py::test_the_ledgers_drains_lie_over_the_list_and_what_it_says_gone_stays_gone",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/node.py",
        original="successor or next_in_rank",
        replacement="successor",
        tests=(
            "tests/leases/test_model.py::test_a_job_that_is_handed_over_is_owned_again_within_fifty_milliseconds",
        ),
    ),
]
