"""Planted defects of platform."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="if not 1 <= length <= MAX_FRAME_BYTES:",
        replacement="if False:",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/frames.py",
        original="data[begin] not in NODE_FRAME_TYPES",
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
        original="except UnicodeDecodeError as error:",
        replacement="except KeyError as error:",
        tests=("tests/platform/test_frames.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="Outcome.RESET if is_sent else Outcome.NOT_CONNECTED",
        replacement="Outcome.RESET",
        tests=(
            "tests/platform/test_nodes.py::test_refused_connection_ends_its_parts_as_not_connected",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="Outcome.RESET if is_sent else Outcome.NOT_CONNECTED",
        replacement="Outcome.NOT_CONNECTED",
        tests=(
            "tests/platform/test_nodes.py::test_connection_that_ends_after_the_call_was_sent_resets_its_parts",
        ),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="is_expected = part.part_id in self.in_flight or part.part_id in self.cancelled",
        replacement="is_expected = False",
        tests=("tests/platform/test_nodes.py::test_late_answer_is_not_taken_for_a_later_attempt",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="return not is_expected and self.number not in part.carriers",
        replacement="return not is_expected",
        tests=(
            "tests/platform/test_nodes.py::test_second_copy_of_an_answer_is_not_taken_for_the_next_attempts_answer",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original=" or part_id in part_ids:",
        replacement=":",
        tests=(
            "tests/platform/test_nodes.py::test_two_attempts_of_a_part_in_one_turn_travel_on_connections_of_their_own",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="return is_cancelled",
        replacement="return False",
        tests=("tests/platform/test_nodes.py::test_cancelled_part_leaves_its_connection_open",),
        invariant="6",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="self._enqueue(QueuedFrame([], self.owner.loop.now, encode_cancel(part_id)))",
        replacement="pass",
        tests=("tests/platform/test_nodes.py::test_cancelled_part_leaves_its_connection_open",),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="if not frame.sent:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_connection_that_ends_with_a_full_socket_resets_only_sent_calls",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="return self.owner.loop.now - self.unanswered_since > self.owner.connect_timeout",
        replacement="return False",
        tests=(
            "tests/platform/test_nodes.py::test_unresponsive_connection_is_replaced_while_its_node_serves",
        ),
        invariant="9",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="self.unanswered_since = math.inf  # nothing is owed",
        replacement="pass  # nothing is owed",
        tests=(
            "tests/platform/test_nodes.py::test_cancelled_part_does_not_make_its_connection_unresponsive",
        ),
        invariant="9",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="            self.queue.remove_attempt(frame, attempt)\n            self._report_if_idle()\n",
        replacement="            self.queue.remove_attempt(frame, attempt)\n",
        tests=(
            "tests/platform/test_hard_cases.py::test_connection_whose_unwritten_call_was_removed_can_be_evicted",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="                self._withdraw(frame, attempt, reason)\n        self._report_if_idle()\n",
        replacement="                self._withdraw(frame, attempt, reason)\n",
        tests=(
            "tests/platform/test_hard_cases.py::test_connection_whose_unwritten_call_was_removed_can_be_evicted",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="            self.probes[probe_type] = None\n            self._report_if_idle()\n",
        replacement="            self.probes[probe_type] = None\n",
        tests=(
            "tests/platform/test_nodes.py::test_late_answer_to_a_probe_is_not_taken_for_a_new_probe",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="        self._flush()\n        self._report_if_idle()\n",
        replacement="        self._flush()\n",
        tests=("tests/platform/test_nodes.py::test_late_answer_is_not_taken_for_a_later_attempt",),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="        error = reader.error or error\n        self._report_if_idle()\n",
        replacement="        error = reader.error or error\n",
        tests=(
            "tests/platform/test_nodes.py::test_calls_on_one_connection_are_answered_in_any_order",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/idle_connections.py",
        original="            if connection.is_idle:\n",
        replacement="            if True:\n",
        tests=(
            "tests/platform/test_hard_cases.py::test_call_queued_as_its_connection_becomes_idle_or_evictable_keeps_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/connection_pool.py",
        original="len(connection.in_flight) + len(attempts) <= self._max_parts",
        replacement="len(connection.in_flight) + len(attempts) <= 10_000",
        tests=(
            "tests/platform/test_nodes.py::test_burst_opens_no_more_connections_than_its_calls_need",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/connection_pool.py",
        original="if connection.is_idle and connection.last_used <= before:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_idle_connection_is_closed_before_the_node_would",
        ),
        invariant="8",
    ),
    PlantedDefect(
        path="stepknot/platform/connection_pool.py",
        original="if is_snapshot:",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_full_list_removes_the_nodes_that_it_does_not_name",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self.active_watch, self.opening_watch, self.slow_watch = task, None, None",
        replacement="self.opening_watch = self.slow_watch = None",
        tests=(
            "tests/platform/test_discovery.py::test_watch_at_the_old_address_counts_until_the_new_one_receives_an_event",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="CALL_TIMEOUT = 2 * FIRST_EVENT_TIMEOUT",
        replacement="CALL_TIMEOUT = FIRST_EVENT_TIMEOUT",
        tests=(
            "tests/platform/test_slow_discovery.py::test_answer_of_an_older_call_counts_while_a_newer_one_is_out",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="CALL_TIMEOUT = 2 * FIRST_EVENT_TIMEOUT",
        replacement="CALL_TIMEOUT = 4 * FIRST_EVENT_TIMEOUT",
        tests=(
            "tests/platform/test_slow_discovery.py::test_calls_that_are_never_answered_are_two_at_most",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="if self.opening_watch is None and not is_followed:",
        replacement="if self.opening_watch is None:",
        tests=(
            "tests/platform/test_slow_discovery.py::test_answer_of_an_older_call_counts_while_a_newer_one_is_out",
        ),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="link.recv(READ_BYTES, max(watch.deadline - self._loop.now, 0.0))",
        replacement="link.recv(READ_BYTES)",
        tests=("tests/platform/test_discovery.py::test_silent_watch_is_replaced",),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="link.recv(READ_BYTES, max(watch.deadline - self._loop.now, 0.0))",
        replacement="link.recv(READ_BYTES, WATCH_TIMEOUT)",
        tests=(
            "tests/platform/test_discovery.py::test_half_a_line_just_before_the_deadline_does_not_extend_it",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="if link.last_received >= watch.deadline:",
        replacement="if False:",
        tests=(
            "tests/platform/test_discovery.py::test_watch_that_sends_without_a_pause_but_no_event_is_given_up_in_time",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="not event.is_snapshot and event.version < previous",
        replacement="False",
        tests=(
            "tests/platform/test_discovery.py::test_failed_watch_is_opened_again_and_the_known_list_serves",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/platform/watch_parser.py",
        original="if len(self._line) + len(self._object) > MAX_MESSAGE_BYTES:",
        replacement="if False:",
        tests=(
            "tests/platform/test_watch_parser.py::test_message_over_its_bound_and_other_than_http_raise",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/watch_parser.py",
        original="if len(self._line) + len(self._object) > MAX_MESSAGE_BYTES:",
        replacement="if len(self._line) > MAX_MESSAGE_BYTES:",
        tests=(
            "tests/platform/test_watch_parser.py::test_message_that_never_closes_its_brackets_raises_at_the_bound",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/watch_parser.py",
        original="self._line += end_of_line",
        replacement="self._line = self._line + end_of_line",
        tests=(
            "tests/platform/test_list_cost.py::test_line_in_small_chunks_costs_in_proportion_to_its_length",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="elif watch.task is not self.active_watch:",
        replacement="elif False:",
        tests=(
            "tests/platform/test_discovery.py::test_change_is_known_in_time_whatever_call_failed",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="FIRST_EVENT_TIMEOUT = 1.5",
        replacement="FIRST_EVENT_TIMEOUT = 4.5",
        tests=(
            "tests/platform/test_discovery.py::test_change_is_known_in_time_whatever_call_failed",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/list_slices.py",
        original="if len(message) > SLICE_BYTES else None",
        replacement="if False else None",
        tests=(
            "tests/platform/test_list_slices.py::test_plain_list_is_decoded_in_slices_of_bounded_size",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/list_slices.py",
        original='BETWEEN_OBJECTS = re.compile(rb"\\}(\\s*,\\s*)\\{")',
        replacement='BETWEEN_OBJECTS = re.compile(rb"\\}(\\s*,?\\s*)\\{")',
        tests=(
            "tests/platform/test_list_slices.py::test_message_that_is_not_json_raises_as_it_does_at_once",
        ),
    ),
    PlantedDefect(
        path="stepknot/decisions/records.py",
        original="last_call: Call = NO_CALL",
        replacement="last_call: Call = field(default_factory=lambda: Call(-1, *[False] * 2, *[0] * 2))",
        tests=("tests/platform/test_list_memory.py::test_memory_for_a_listed_node_is_bounded",),
    ),
    PlantedDefect(
        path="stepknot/platform/watch_parser.py",
        original="depth = count_open_brackets(line)",
        replacement="depth = 0",
        tests=(
            "tests/platform/test_watch_parser.py::test_indented_messages_are_the_same_however_they_are_cut",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self._needs_snapshot = True",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_versions_of_another_numbering_after_an_address_change_lead_to_a_snapshot",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="event.version >= self.version and not self._needs_snapshot",
        replacement="True",
        tests=(
            "tests/platform/test_discovery.py::test_changes_that_another_watch_overtook_change_nothing",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="self._end_opening_watches()",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_address_changes_while_nothing_answers_leave_two_watches_at_most",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/platform/discovery.py",
        original="for task in (self.opening_watch, self.slow_watch):",
        replacement="for task in (self.opening_watch,):",
        tests=("tests/platform/test_slow_discovery.py::test_address_change_ends_slow_calls",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/platform/endpoint_list.py",
        original="len({entry.server for entry in entries}) < len(entries)",
        replacement="False",
        tests=(
            "tests/platform/test_discovery.py::test_malformed_list_is_reported_and_the_known_list_holds",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original="must_ask=True",
        replacement='must_ask=settings["discovery"] == "ask"',
        tests=(
            "tests/platform/test_discovery.py::test_pushed_list_is_watched_from_the_first_turn_on",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original='cached_list=given.get("known")',
        replacement='cached_list=dict(given.get("known") or {})',
        tests=("tests/platform/test_config.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/config.py",
        original="if effect not in EFFECTS:",
        replacement="if False:",
        tests=("tests/platform/test_config.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="self.loop.call_later(delay, lambda: self.reload(tuple(later)))",
        replacement="pass",
        tests=(
            "tests/platform/test_discovery.py::test_half_written_file_is_read_again_and_the_address_change_is_not_lost",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="        self._withdraw_overdue()\n",
        replacement="",
        tests=(
            "tests/platform/test_nodes.py::test_overdue_call_is_not_written_and_a_half_written_one_ends_its_connection",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="                self._withdraw(frame, attempt, reason)\n",
        replacement="                pass\n",
        tests=(
            "tests/platform/test_nodes.py::test_unwritten_calls_to_a_draining_node_are_withdrawn",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/platform/node_connection.py",
        original="if not frame.is_sent and not any(each.call for each in frame.attempts):",
        replacement="if False:",
        tests=(
            "tests/platform/test_nodes.py::test_half_written_call_that_is_cancelled_ends_its_connection",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="self._has_unfinished_connections, WRITE_TIMEOUT_AT_STOP, STOP_POLL_INTERVAL",
        replacement="self._has_unfinished_connections, 60.0, STOP_POLL_INTERVAL",
        tests=("tests/platform/test_service.py::test_no_client_delays_the_exit",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original='unquote_to_bytes(name.encode("latin-1")).decode("utf-8", "replace")',
        replacement="name",
        tests=("tests/platform/test_requests.py::test_class_may_have_any_name",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original='and request.method != "POST":',
        replacement="and True:",
        tests=("tests/platform/test_requests.py::test_class_may_have_any_name",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="part.weight /= total",
        replacement="pass",
        tests=(
            "tests/platform/test_requests.py::test_rounded_weights_of_many_parts_are_complete_together",
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
        original="if abs(total - 1) > MAX_ROUNDING:",
        replacement="if False:",
        tests=("tests/platform/test_requests.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/requests.py",
        original="if not IDENTIFIER.match(key):",
        replacement="if False:",
        tests=("tests/platform/test_requests.py",),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="return was_sent and not (is_safe and is_complete)",
        replacement="return False",
        tests=(
            "tests/platform/test_requests.py::test_id_of_a_client_that_left_is_rejected_when_it_comes_again",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="if not self.request_ids.begin(self.loop.now, ask.name):",
        replacement="if False:",
        tests=(
            "tests/platform/test_requests.py::test_second_request_of_an_open_id_is_rejected_and_the_first_is_answered",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="connection.on_disconnect(lambda: self.core.on_client_disconnected(ask))",
        replacement="pass",
        tests=(
            "tests/platform/test_requests.py::test_disconnected_client_has_its_parts_cancelled",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="yield from self.loop.sleep(ACCEPT_AFTER_STOP)",
        replacement="pass",
        tests=(
            "tests/platform/test_service.py::test_sigterm_serves_new_requests_finishes_those_in_flight_and_exits_with_0",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/nodes.py",
        original="len(calls[-1]) == self.parts_per_call",
        replacement="len(calls[-1]) == 1",
        tests=(
            "tests/platform/test_nodes.py::test_parts_of_one_call_are_sent_in_one_frame_and_answered_one_by_one",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/service.py",
        original="max(min(self.loop.lag_lately, SLICE), self.loop.behind)",
        replacement="self.loop.behind",
        tests=(
            "tests/platform/test_hard_cases.py::test_deadline_leaves_time_for_one_turn_of_the_loop",
        ),
    ),
    PlantedDefect(
        path="stepknot/platform/watch_backlog.py",
        original="any(link.has_unread() for link in self._links)",
        replacement="False",
        tests=(
            "tests/platform/test_watch_backlog.py::test_last_row_of_a_long_list_counts_before_queries_that_came_with_it",
        ),
        invariant="10",
    ),
    PlantedDefect(
        path="stepknot/platform/connection_pool.py",
        original="if self.must_writes_wait():",
        replacement="if False:",
        tests=(
            "tests/platform/test_watch_backlog.py::test_call_whose_connection_comes_up_is_not_written_before_what_the_watch_received",
        ),
        invariant="10",
    ),
    PlantedDefect(
        path="stepknot/broker/process.py",
        original="any(each.may_accept_requests() for each in servers)",
        replacement="False",
        tests=(
            "tests/platform/test_service.py::test_request_at_the_end_of_the_shutdowns_grace_is_waited_for",
        ),
    ),
]
