"""Planted defects in the package `leases` and in the modules that its tests also cover."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="record.version <= self.newest.version:",
        replacement="record.version < self.newest.version:",
        tests=(
            "tests/leases/test_protocol.py::test_a_fence_admits_nothing_before_a_majority_reported_and_nothing_older_after",
        ),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="if len(valid) < self.quorum_size:",
        replacement="if not valid:",
        tests=(
            "tests/leases/test_protocol.py::test_a_fence_admits_nothing_before_a_majority_reported_and_nothing_older_after",
        ),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/leases/fence.py",
        original="if newest.step and (",
        replacement="if False and (",
        tests=(
            "tests/leases/test_protocol.py::test_a_fence_waits_where_the_newest_record_may_be_committed",
        ),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/leases/quorum.py",
        original="if reply.incarnation >= newest.get(voter, 0)",
        replacement="if True",
        tests=("tests/leases/test_protocol.py::test_a_reply_of_an_earlier_incarnation_is_void",),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/leases/recovery.py",
        original="return len(self.finished_voters) > len(self.other_voters) // 2",
        replacement="return bool(self.finished_voters)",
        tests=(
            "tests/leases/test_protocol.py::test_a_voter_that_lost_its_state_replies_to_nothing_until_a_majority_of_the_others_reported",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="self.unsaved = True\n            self.votes_from = now + self.settings.voter_lease_seconds",
        replacement="self.unsaved = True\n            self.votes_from = now",
        tests=(
            "tests/leases/test_protocol.py::test_a_voter_that_lost_its_state_replies_to_nothing_until_a_majority_of_the_others_reported",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="if job is None and len(self.jobs) >= MAX_JOBS:",
        replacement="if False:",
        tests=("tests/leases/test_protocol.py::test_a_voter_rejects_jobs_beyond_its_bound",),
    ),
    PlantedDefect(
        path="stepknot/leases/candidate.py",
        original="if self.election.needs_later_epoch and is_settled:",
        replacement="if False:",
        tests=("tests/leases/test_model.py::test_the_loss_of_a_minority_of_voters_moves_no_job",),
    ),
    PlantedDefect(
        path="stepknot/leases/commands.py",
        original="if len(self._waiting) >= MAX_COMMANDS:",
        replacement="if False:",
        tests=("tests/leases/test_node.py::test_commands_are_bounded_and_expire",),
    ),
    PlantedDefect(
        path="stepknot/leases/rolling_drains.py",
        original="len(state.drained) >= plan.max_drained or not remaining",
        replacement="not remaining",
        tests=(
            "tests/leases/test_rolling_drains.py::test_a_drain_respects_its_bound_drains_each_node_once_and_ends",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/rolling_drains.py",
        original="if number in state.command_numbers:",
        replacement="if False:",
        tests=("tests/leases/test_rolling_drains.py::test_a_repeated_command_is_applied_once",),
    ),
    PlantedDefect(
        path="stepknot/broker/voter_store.py",
        original="    if checksum(version, body) != data[head_bytes : head_bytes + DIGEST_BYTES]:\n",
        replacement="    if False:\n",
        tests=(
            "tests/leases/test_voter_store.py::test_a_state_truncated_or_flipped_at_any_byte_is_lost_and_moved_aside",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/voter_store.py",
        original="for path in (self.path, self.damaged_path):",
        replacement="for path in (self.path,):",
        tests=("tests/leases/test_voter_store.py::test_a_voter_is_bootstrapped_once",),
    ),
    PlantedDefect(
        path="stepknot/discovery/drained_endpoints.py",
        original="self.entries.pop(entry.server, None)",
        replacement="pass",
        tests=(
            "tests/leases/test_rolling_drains.py::test_drained_nodes_are_marked_in_the_list_and_removed_nodes_stay_removed",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/job_protocol.py",
        original="successor or next_in_rank",
        replacement="successor",
        tests=(
            "tests/leases/test_model.py::test_a_job_that_is_handed_over_has_a_holder_within_fifty_milliseconds",
        ),
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="is_repeated = request.epoch == job.promised_epoch and sender == job.holder",
        replacement="is_repeated = request.epoch == job.promised_epoch",
        tests=(
            "tests/leases/test_protocol.py::test_a_voter_promises_an_epoch_to_one_process_only",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/leases/voter.py",
        original="or request.incarnation != self.incarnation",
        replacement="or False",
        tests=(
            "tests/leases/test_protocol.py::test_a_voter_accepts_only_under_its_promise_of_this_incarnation",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/leases/replication.py",
        original="if not quorum.has_quorum(pending.acks, quorum_size):",
        replacement="if not pending.acks:",
        tests=("tests/leases/test_protocol.py::test_a_record_is_committed_by_a_majority_only",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/leases/renewal.py",
        original="return renewal_round.sent_at if quorum.has_quorum(valid, quorum_size) else None",
        replacement="return renewal_round.sent_at",
        tests=(
            "tests/leases/test_protocol.py::test_a_lease_is_renewed_by_a_majority_from_when_it_was_asked",
        ),
    ),
]
