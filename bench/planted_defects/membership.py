"""Planted defects of membership, each with the tests that must detect it."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/membership/helper_selection.py",
        original="        helpers |= dict.fromkeys(self._observers_of(names, others)[: count // 2])\n",
        replacement="        pass\n",
        tests=(
            "tests/membership/test_indirect_probes.py::test_observers_of_the_unresponsive_subject_are_asked_first",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/dissemination.py",
        original="unknown.append(update.identity)",
        replacement="pass",
        tests=(
            "tests/membership/test_dissemination.py::test_a_known_process_is_spread_as_a_short_update_and_an_unknown_one_is_requested",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="{record.port}\\n{record.process}",
        replacement="{record.port}",
        tests=(
            "tests/membership/test_dissemination.py::test_a_short_update_of_an_earlier_process_does_not_change_its_successor",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original='wanted = b"".join(difference.missing_here[: wire.MAX_UPDATES])',
        replacement='wanted = b"".join(difference.missing_here[:0])',
        tests=(
            "tests/membership/test_dissemination.py::test_anti_entropy_sends_missing_records_and_requests_unknown_ones",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/dissemination.py",
        original="if bytes_left < 0 or count == wire.MAX_UPDATES:",
        replacement="if count == wire.MAX_FULL_RECORDS:",
        tests=(
            "tests/membership/test_wire.py::test_names_of_four_byte_characters_are_disseminated",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="            and not self._isolation.is_isolated\n",
        replacement="",
        tests=(
            "tests/membership/test_suspicion.py::test_a_suspicion_takes_three_confirmations_and_a_death_a_member_that_is_not_isolated",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="if observation.last_received >= 0:\n                received_at",
        replacement="if False:\n                received_at",
        tests=(
            "tests/membership/test_model.py::test_a_member_that_one_observer_does_not_receive_is_confirmed_by_helpers_and_not_suspect",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/membership/heartbeats.py",
        original="if heartbeat.suspected_incarnation >= 0:",
        replacement="if False:",
        tests=(
            "tests/membership/test_refutation.py::test_the_own_death_is_refuted_by_a_greater_incarnation",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/membership/local_health.py",
        original="subject.shift(gap)",
        replacement="pass",
        tests=(
            "tests/membership/test_suspicion.py::test_the_own_pause_is_not_counted_as_unresponsive_time_of_subjects",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/membership/correlated_failures.py",
        original="    if edges and 2 * (receive_me + 1) <= len(edges) + 1:\n",
        replacement="    if False:\n",
        tests=(
            "tests/membership/test_model.py::test_a_member_that_no_other_receives_becomes_isolated_and_the_others_go_on",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original="if dead:\n",
        replacement="if False:\n",
        tests=(
            "tests/membership/test_dissemination.py::test_dead_members_are_contacted_now_and_then",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original="if absent_seeds:\n",
        replacement="if False:\n",
        tests=(
            "tests/membership/test_model.py::test_two_fleets_that_formed_apart_merge_by_their_seeds",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/member_count.py",
        original="if isolated_for > settings.tombstone / 2:",
        replacement="if False:",
        tests=(
            "tests/membership/test_model.py::test_a_member_isolated_for_long_takes_no_share_before_others_stop_counting_it",
        ),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/membership/member_count.py",
        original="not_left = sum(counts) - counts[State.LEFT]",
        replacement="not_left = sum(counts[: State.DEAD])",
        tests=(
            "tests/membership/test_model.py::test_dead_members_count_while_their_tombstones_are_kept",
        ),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="return recent >= min(settings.min_confirmations, helper_count)",
        replacement="return True",
        tests=(
            "tests/membership/test_suspicion.py::test_a_suspicion_takes_three_confirmations_and_a_death_a_member_that_is_not_isolated",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/membership/send_budget.py",
        original="if self.available - size < -borrow * self.burst:",
        replacement="if False:",
        tests=(
            "tests/membership/test_join.py::test_a_flood_of_join_requests_is_answered_within_the_send_budget",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/refutation.py",
        original='            self._give_up_name(\n                now,\n                f"another process',
        replacement='            str(\n                f"another process',
        tests=(
            "tests/membership/test_refutation.py::test_in_a_name_conflict_the_older_process_gives_up_the_name_and_the_newer_keeps_it",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/membership/refutation.py",
        original="            not self._own.has_joined\n            or record.state in ABSENT_STATES\n",
        replacement="            record.state in ABSENT_STATES\n",
        tests=(
            "tests/membership/test_model.py::test_a_restart_with_a_clock_set_back_takes_a_greater_epoch",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="if old is not None and record.rank <= old.rank:",
        replacement="if old is not None and record == old:",
        tests=("tests/membership/test_table.py::test_a_record_is_never_replaced_by_a_lesser_one",),
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="return len(self.records) < self.max_records",
        replacement="return True",
        tests=(
            "tests/membership/test_table.py::test_ten_thousand_invented_members_stay_within_max_records_and_evict_no_known_member",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/wire.py",
        original="if len(data) > MAX_DATAGRAM_BYTES:",
        replacement="if False:",
        tests=(
            "tests/membership/test_wire.py::test_malformed_datagrams_are_counted_by_reason_and_change_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/wire.py",
        original="if envelope.fleet != fleet:",
        replacement="if False:",
        tests=(
            "tests/membership/test_wire.py::test_malformed_datagrams_are_counted_by_reason_and_change_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/rings.py",
        original="between[other] = None",
        replacement="pass",
        tests=(
            "tests/membership/test_rings.py::test_observation_is_mutual_and_every_member_has_observers",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="address, request, self._outbox.probe_request_borrow)",
        replacement="address, request, ANSWER_BORROW)",
        tests=(
            "tests/membership/test_model.py::test_the_failure_of_a_third_is_detected_by_all_also_with_a_small_send_budget",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/outbox.py",
        original="max(\n            PROBE_REQUEST_RESERVE * self.repair_borrow, -MAX_RESERVE_SHARE\n        )",
        replacement="0.0",
        tests=(
            "tests/membership/test_indirect_probes.py::test_with_little_send_budget_repairs_are_sent_and_probe_requests_wait",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="self._answer(now, requester, observations, borrow=0.0)",
        replacement="self._answer(now, requester, observations)",
        tests=(
            "tests/membership/test_indirect_probes.py::test_an_answer_without_a_sign_of_life_borrows_no_budget",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="                self._heartbeats.ping(now, each.name)",
        replacement="                self._heartbeats.send(now, each.name, reply_requested=True, borrow=0.0)",
        tests=(
            "tests/membership/test_indirect_probes.py::test_a_helper_pings_the_subject_also_without_available_budget",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/helper_selection.py",
        original="rotation.sort(key=lambda other: answered_at",
        replacement="str(lambda other: answered_at",
        tests=(
            "tests/membership/test_indirect_probes.py::test_helpers_are_asked_in_turn_so_that_none_is_left_out_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="min(\n        MANY_FAILED_FACTOR * settings.probe_helpers, helper_count\n    )",
        replacement="0",
        tests=(
            "tests/membership/test_suspicion.py::test_when_many_fail_at_once_a_death_takes_more_confirmations",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/membership/join.py",
        original="sender.address, records, ANSWER_BORROW)",
        replacement="sender.address, records)",
        tests=(
            "tests/membership/test_model.py::test_many_members_that_join_at_once_are_admitted_by_earlier_seeds",
        ),
    ),
]
