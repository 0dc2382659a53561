"""Planted defects of platform."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="if not 1 <= length <= MOST:",
        replacement="if False:",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="data[begin] not in LETTERS",
        replacement="False",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="not 0 <= number < math.inf",
        replacement="False",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="except UnicodeDecodeError:",
        replacement="except KeyError:",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="Outcome.RESET if taken else Outcome.NOT_CONNECTED",
        replacement="Outcome.RESET",
        tests=("tests/platform/test_nodes.py::test_a_refused_connection_proves_that_nothing_ran",),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="Outcome.RESET if taken else Outcome.NOT_CONNECTED",
        replacement="Outcome.NOT_CONNECTED",
        tests=(
            "tests/platform/test_nodes.py::test_a_connection_that_ends_after_the_call_was_taken_may_have_left_it_to_run",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="return part in self.waiting or part in self.cancelled",
        replacement="return False",
        tests=(
            "tests/platform/test_nodes.py::test_a_late_answer_never_passes_for_a_later_attempts",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="return conn.cancelled.pop(message.part, self) is None",
        replacement="return False",
        tests=(
            "tests/platform/test_nodes.py::test_one_part_is_given_up_and_the_connection_lives_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="self.put(conn, Frame([], self.loop.now, frames.cancel(part)))",
        replacement="pass",
        tests=(
            "tests/platform/test_nodes.py::test_one_part_is_given_up_and_the_connection_lives_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="if not frame.sent:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_a_partly_taken_frame_is_finished_and_what_waits_behind_it_never_ran",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="return self.loop.now - conn.silent_since > self.connect_timeout",
        replacement="return False",
        tests=(
            "tests/platform/test_nodes.py::test_a_connection_that_falls_silent_is_left_for_another_while_its_node_serves",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="conn.silent_since = math.inf  # called off",
        replacement="pass  # called off",
        tests=("tests/platform/test_nodes.py::test_a_call_off_is_no_silence",),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="                len(conn.waiting) + len(attempts) <= self.streams\n",
        replacement="                len(conn.waiting) + len(attempts) <= 10_000\n",
        tests=(
            "tests/platform/test_nodes.py::test_a_burst_opens_no_more_connections_than_its_calls_need",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="if conn.idle and conn.since <= before:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_an_idle_connection_is_closed_before_the_node_would",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="if whole:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_a_full_list_forgets_the_nodes_that_it_does_not_name",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self.current, self.opening = task, None",
        replacement="self.opening = None",
        tests=(
            "tests/platform/test_discovery.py::test_a_new_address_is_followed_and_the_old_watch_counts_until_it_speaks",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="link.recv(CHUNK, max(until - self.loop.now, 0.0))",
        replacement="link.recv(CHUNK)",
        tests=("tests/platform/test_discovery.py::test_a_watch_that_falls_silent_is_broken",),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="link.recv(CHUNK, max(until - self.loop.now, 0.0))",
        replacement="link.recv(CHUNK, SILENCE)",
        tests=(
            "tests/platform/test_discovery.py::test_half_a_line_for_ever_is_silence_and_empty_lines_are_none",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="not news.full and news.version < (newest or since)",
        replacement="False",
        tests=(
            "tests/platform/test_discovery.py::test_a_watch_that_fails_is_asked_for_again_and_the_old_list_serves",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="if len(self.kept) + len(self.object) > MOST_LINE:",
        replacement="if False:",
        tests=(
            "tests/platform/test_discovery.py::test_a_line_over_its_bound_and_what_is_no_http_are_errors",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="if len(self.kept) + len(self.object) > MOST_LINE:",
        replacement="if len(self.kept) > MOST_LINE:",
        tests=(
            "tests/platform/test_discovery.py::test_a_list_that_never_closes_its_brackets_is_bounded",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="if news is None and task is self.opening:",
        replacement="if False:",
        tests=(
            "tests/platform/test_discovery.py::test_a_change_is_told_in_time_whatever_call_failed",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="OPENING = 1.5",
        replacement="OPENING = 4.5",
        tests=(
            "tests/platform/test_discovery.py::test_a_change_is_told_in_time_whatever_call_failed",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original='self.depth += (found in (b"{", b"[")) - (found in (b"}", b"]"))',
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_indented_lists_are_read_however_they_are_cut",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self.whole = True",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_another_numbering_after_a_move_begins_with_the_whole_list",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="news.version >= self.version and not self.whole",
        replacement="True",
        tests=(
            "tests/platform/test_discovery.py::test_changes_that_another_watch_overtook_change_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self.opening.kill()",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_moves_while_nothing_answers_leave_two_watches_at_the_most",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="len({entry.server for entry in entries}) < len(entries)",
        replacement="False",
        tests=(
            "tests/platform/test_discovery.py::test_a_bad_list_is_told_and_the_list_last_had_still_holds",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original="must_ask=True",
        replacement='must_ask=settings["discovery"] == "ask"',
        tests=(
            "tests/platform/test_discovery.py::test_a_pushed_list_is_watched_from_the_first_turn_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original='known=given.get("known")',
        replacement='known=dict(given.get("known") or {})',
        tests=("tests/platform/test_config.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original='if lane["idempotency"] not in EFFECTS:',
        replacement="if False:",
        tests=("tests/platform/test_config.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="self.loop.call_later(again[0], lambda: self.reload(again[1:]))",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_a_half_written_file_is_read_again_and_the_move_is_not_lost",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="        self.call_back_late(conn)\n",
        replacement="",
        tests=(
            "tests/platform/test_nodes.py::test_a_call_whose_time_is_over_is_not_written_and_half_of_one_is_cut_off",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original='self.call_back(conn, frame, attempt, "its node takes nothing new")',
        replacement="pass",
        tests=(
            "tests/platform/test_nodes.py::test_what_waits_for_a_node_that_drains_is_not_written_any_more",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="if not frame.taken and not any(each.call for each in frame.attempts):",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_a_half_written_call_that_nobody_waits_for_is_never_finished",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="            LAST_WORD, lambda: any(not each.leaving for each in self.server.connections)\n",
        replacement="            60.0, lambda: any(not each.leaving for each in self.server.connections)\n",
        tests=("tests/platform/test_service.py::test_no_client_holds_up_the_end",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original='unquote_to_bytes(name.encode("latin-1")).decode("utf-8", "replace")',
        replacement="name",
        tests=("tests/platform/test_requests.py::test_a_class_may_have_any_name",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original='and request.method != "POST":',
        replacement="and True:",
        tests=("tests/platform/test_requests.py::test_a_class_may_have_any_name",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="part.weight /= total",
        replacement="pass",
        tests=(
            "tests/platform/test_requests.py::test_rounded_shares_of_many_parts_are_whole_together",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="if len({part.shard for part in parts}) < len(parts):",
        replacement="if False:",
        tests=("tests/platform/test_requests.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="if abs(total - 1) > ROUNDING:",
        replacement="if False:",
        tests=("tests/platform/test_requests.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="elif not ID.match(key):",
        replacement="elif False:",
        tests=("tests/platform/test_requests.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="if ask.name in self.open:",
        replacement="if False:",
        tests=(
            "tests/platform/test_requests.py::test_an_id_that_is_open_is_refused_and_the_first_of_it_is_answered",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="connection.on_disconnect(lambda: self.core.gone(ask))",
        replacement="pass",
        tests=(
            "tests/platform/test_requests.py::test_a_client_that_goes_away_has_its_parts_given_up",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="yield from self.loop.sleep(STAY)",
        replacement="pass",
        tests=(
            "tests/platform/test_service.py::test_sigterm_serves_what_still_comes_finishes_what_is_in_work_and_exits_with_0",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="size, calls = self.parts_per_call, 0",
        replacement="size, calls = 1, 0",
        tests=(
            "tests/platform/test_nodes.py::test_parts_that_share_a_call_travel_in_one_frame_and_are_answered_one_by_one",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="max(min(self.loop.lag_lately, SLICE), self.loop.behind)",
        replacement="self.loop.behind",
        tests=(
            "tests/platform/test_hard_cases.py::test_the_clients_time_has_room_for_a_turn_as_long_as_any_was",
        ),
    ),
]
