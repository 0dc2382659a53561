"""Planted defects of membership."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/membership/helpers.py",
        original="        helpers |= dict.fromkeys(self._observers_of(names, others)[: count // 2])\n",
        replacement="        pass\n",
        tests=(
            "tests/membership/test_decisions.py::test_those_that_watch_the_silent_one_are_asked_first",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/dissemination.py",
        original="unknown.append(update.identity)",
        replacement="pass",
        tests=(
            "tests/membership/test_decisions.py::test_of_a_process_long_known_only_what_changed_is_told_and_who_lacks_it_asks",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="{record.port}\\n{record.process}",
        replacement="{record.port}",
        tests=(
            "tests/membership/test_decisions.py::test_short_news_of_an_earlier_process_do_not_touch_the_one_that_took_its_name",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original='wanted = b"".join(difference.missing_here[: wire.MAX_UPDATES])',
        replacement='wanted = b"".join(difference.missing_here[:0])',
        tests=(
            "tests/membership/test_decisions.py::test_a_question_about_the_table_gets_what_is_missing_and_asks_for_what_is_lacking_here",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/dissemination.py",
        original="if room < 0 or count == wire.MAX_UPDATES:",
        replacement="if count == wire.MAX_FULL_RECORDS:",
        tests=(
            "tests/membership/test_decisions.py::test_names_of_four_bytes_a_letter_get_through_too",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="            and not self._isolation.is_isolated\n",
        replacement="",
        tests=(
            "tests/membership/test_decisions.py::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="if observation.last_received >= 0:\n                seen_at",
        replacement="if False:\n                seen_at",
        tests=(
            "tests/membership/test_model.py::test_whom_one_watcher_does_not_hear_is_vouched_for_by_others_and_not_even_suspect",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/heartbeats.py",
        original="if heartbeat.suspected_incarnation >= 0:",
        replacement="if False:",
        tests=(
            "tests/membership/test_decisions.py::test_word_of_ones_own_death_is_answered_by_a_greater_incarnation",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/local_health.py",
        original="subject.shift(gap)",
        replacement="pass",
        tests=(
            "tests/membership/test_decisions.py::test_time_that_a_member_stood_still_is_not_counted_as_others_silence",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/correlated_failures.py",
        original="    if edges and 2 * (receive_me + 1) <= len(edges) + 1:\n",
        replacement="    if False:\n",
        tests=(
            "tests/membership/test_model.py::test_who_hears_all_and_is_heard_by_nobody_learns_it_and_the_others_go_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original="if dead:\n",
        replacement="if False:\n",
        tests=("tests/membership/test_decisions.py::test_the_dead_are_called_now_and_then",),
    ),
    PlantedDefect(
        path="stepknot/membership/anti_entropy.py",
        original="if absent_seeds:\n",
        replacement="if False:\n",
        tests=(
            "tests/membership/test_model.py::test_two_fleets_that_formed_apart_find_each_other_by_their_seeds",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/member_count.py",
        original="if isolated_for > settings.tombstone / 2:",
        replacement="if False:",
        tests=(
            "tests/membership/test_model.py::test_a_member_cut_off_for_long_takes_no_share_before_others_stop_counting_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/member_count.py",
        original="not_left = sum(counts) - counts[State.LEFT]",
        replacement="not_left = sum(counts[: State.DEAD])",
        tests=(
            "tests/membership/test_model.py::test_the_dead_are_counted_for_as_long_as_they_are_remembered",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="return recent >= min(settings.min_confirmations, helper_count)",
        replacement="return True",
        tests=(
            "tests/membership/test_decisions.py::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/send_budget.py",
        original="if self.saved - size < -borrow * self.burst:",
        replacement="if False:",
        tests=(
            "tests/membership/test_decisions.py::test_a_flood_of_questions_is_answered_within_the_rate",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/refutation.py",
        original='            self._step_aside(\n                now,\n                f"another process',
        replacement='            str(\n                f"another process',
        tests=(
            "tests/membership/test_decisions.py::test_of_two_living_processes_under_one_name_the_older_steps_aside_and_the_newer_stays",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/refutation.py",
        original="            not self._own.has_joined\n            or record.state in ABSENT_STATES\n",
        replacement="            record.state in ABSENT_STATES\n",
        tests=(
            "tests/membership/test_model.py::test_a_restart_with_a_clock_set_back_takes_an_epoch_above_the_old_one",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="if old is not None and record.rank <= old.rank:",
        replacement="if old is not None and record == old:",
        tests=("tests/membership/test_decisions.py::test_what_was_learnt_is_not_unlearnt",),
    ),
    PlantedDefect(
        path="stepknot/membership/table.py",
        original="return len(self.records) < self.max_records",
        replacement="return True",
        tests=(
            "tests/membership/test_decisions.py::test_ten_thousand_invented_members_take_no_more_room_than_the_bound_and_old_ones_stay",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/wire.py",
        original="if len(data) > MAX_DATAGRAM_BYTES:",
        replacement="if False:",
        tests=(
            "tests/membership/test_decisions.py::test_what_is_absurd_is_counted_and_changes_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/wire.py",
        original="if envelope.fleet != fleet:",
        replacement="if False:",
        tests=(
            "tests/membership/test_decisions.py::test_what_is_absurd_is_counted_and_changes_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/rings.py",
        original="between[other] = None",
        replacement="pass",
        tests=(
            "tests/membership/test_decisions.py::test_watching_is_mutual_and_everybody_has_watchers",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="address, request, self._outbox.probe_request_borrow)",
        replacement="address, request, ANSWER_BORROW)",
        tests=(
            "tests/membership/test_model.py::test_a_third_lost_at_once_is_known_to_all_also_where_little_may_be_sent",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/outbox.py",
        original="max(PROBE_REQUEST_RESERVE * self.repair_borrow, -MAX_RESERVE)",
        replacement="0.0",
        tests=(
            "tests/membership/test_decisions.py::test_where_little_is_left_of_the_rate_repairs_go_and_questions_wait",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="self._answer(now, requester, observations, borrow=0.0)",
        replacement="self._answer(now, requester, observations)",
        tests=(
            "tests/membership/test_decisions.py::test_word_that_nothing_was_heard_borrows_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/indirect_probes.py",
        original="                self._heartbeats.ping(now, each.name)",
        replacement="                self._heartbeats.send(now, each.name, reply_requested=True, borrow=0.0)",
        tests=(
            "tests/membership/test_decisions.py::test_whoever_is_asked_pings_the_silent_one_also_with_nothing_saved",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/helpers.py",
        original="found.sort(key=lambda other: answered_at",
        replacement="str(lambda other: answered_at",
        tests=(
            "tests/membership/test_decisions.py::test_others_are_asked_in_turn_so_that_none_is_left_out_for_long",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/suspicion.py",
        original="min(WIDE_FACTOR * settings.probe_helpers, helper_count)",
        replacement="0",
        tests=(
            "tests/membership/test_decisions.py::test_where_many_are_lost_at_once_more_others_must_have_heard_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/membership/join.py",
        original="sender.address, records, ANSWER_BORROW)",
        replacement="sender.address, records)",
        tests=(
            "tests/membership/test_model.py::test_many_that_join_at_once_are_let_in_by_seeds_that_were_there_before",
        ),
    ),
]
