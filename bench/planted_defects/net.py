"""Planted defects of net."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    # invariant 8 of stepknot.net.loop
    PlantedDefect(
        path="stepknot/net/loop.py",
        original='self.run_callback("timer", timer.callback)',
        replacement="timer.callback()",
        tests=(
            "tests/net/test_loop.py::test_error_of_a_callback_is_reported_and_prevents_no_other_callback",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/rejections.py",
        original="    except OSError:  # the peer disconnected, and the poll has not reported it yet\n",
        replacement="    except TimeoutError:\n",
        tests=(
            "tests/net/test_server.py::test_client_that_resets_between_the_poll_and_its_timeout_does_not_end_the_server",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="            self.call_later(interval, call)\n            callback()\n",
        replacement="            callback()\n            self.call_later(interval, call)\n",
        tests=("tests/net/test_loop.py::test_periodic_callback_is_called_again_after_an_error",),
    ),
    # invariant 9 of stepknot.net.loop
    PlantedDefect(
        path="stepknot/net/link.py",
        original="if self.last_full_turn == self.loop.turns:",
        replacement="if False:",
        tests=("tests/net/test_loop.py::test_peer_that_never_stops_sending_is_read_once_a_turn",),
    ),
    PlantedDefect(
        path="stepknot/net/step_bound.py",
        original="is_full = self.request_count >= ANSWER_BATCH",
        replacement="is_full = False",
        tests=("tests/net/test_server.py::test_pipelined_requests_are_answered_in_batches",),
        invariant="9",
    ),
    PlantedDefect(
        path="stepknot/net/step_bound.py",
        original="or self._loop.clock() >= self._end",
        replacement="or False",
        tests=(
            "tests/net/test_server.py::test_requests_that_are_answered_slowly_are_bounded_in_time_in_one_step",
        ),
        invariant="9",
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="and self.link.last_received < self.deadline",
        replacement="and True",
        tests=(
            "tests/net/test_server.py::test_request_of_a_client_that_never_stops_sending_gets_408_in_time",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/line_bound.py",
        original="self._size += len(fed)",
        replacement="pass",
        tests=("tests/net/test_http.py::test_line_without_an_end_is_rejected",),
    ),
    PlantedDefect(
        path="stepknot/net/link.py",
        original='or self.closed or self.peek() == b""',
        replacement="or self.closed",
        tests=(
            "tests/broker/test_stalls_and_shutdown.py::test_requests_of_clients_that_disconnected_during_a_stall_are_not_run",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="request.arrived = arrived",
        replacement="request.arrived = self.server.loop.now + 2.0",
        tests=(
            "tests/broker/test_stalls_and_shutdown.py::test_the_deadline_counts_from_the_requests_arrival",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="            if is_last:\n                self.half_close()",
        replacement="            if False:\n                self.half_close()",
        tests=(
            "tests/broker/test_client_requests.py::test_no_answer_follows_one_that_closes_the_connection",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="self.run_due(self.new, self.clock() + NEW_SLICE)",
        replacement="self.run_due(self.new, self.clock() + 9)",
        tests=(
            "tests/net/test_loop.py::test_work_in_progress_runs_before_new_work_which_is_bounded_in_a_turn",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="        task.queue().append((task, task.ticket, None, None))",
        replacement="        self.due.append((task, task.ticket, None, None))",
        tests=(
            "tests/net/test_loop.py::test_work_in_progress_runs_before_new_work_which_is_bounded_in_a_turn",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="if ended >= until:",
        replacement="if False:",
        tests=("tests/net/test_loop.py::test_many_due_tasks_do_not_delay_a_timer",),
    ),
    PlantedDefect(
        path="stepknot/net/listener.py",
        original="if error.errno in OUT_OF_RESOURCES:",
        replacement="if False:",
        tests=("tests/net/test_loop.py::test_listener_without_descriptors_pauses_and_goes_on",),
    ),
    PlantedDefect(
        path="stepknot/net/response_parser.py",
        original="if self.size > self.max_bytes:\n            self.over",
        replacement="if False:\n            self.over",
        tests=(
            "tests/broker/test_node_faults.py::test_a_thirty_megabyte_reply_is_read_and_one_above_the_bound_is_not",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/http.py",
        original="if len(plain) > max_bytes:",
        replacement="if False:",
        tests=("tests/broker/test_client_requests.py::test_gzip_bombs_and_deep_json_are_rejected",),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="if left > 0:\n            self._check_deadline_at",
        replacement="if True:\n            self._check_deadline_at",
        tests=(
            "tests/broker/test_client_requests.py::test_slow_senders_get_a_timeout_error_and_are_closed",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/gate.py",
        original="if _arrives_too_slowly(connection, gate):",
        replacement="if False:",
        tests=(
            "tests/admission/test_sockets.py::test_slow_senders_in_every_slot_are_answered_and_closed",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/link.py",
        original="if len(data) - self.unsent < min_rate * (self.loop.now - started - grace):",
        replacement="if False:",
        tests=("tests/admission/test_sockets.py::test_slow_reader_of_a_large_answer_is_closed",),
    ),
    PlantedDefect(
        path="stepknot/net/listener.py",
        original="self._use_spare()\n",
        replacement="pass\n",
        tests=(
            "tests/admission/test_sockets.py::test_spare_descriptor_answers_connections_when_descriptors_run_out",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/listener.py",
        original="except Exception as error:  # noqa: BLE001 - one connection's",
        replacement="except OSError as error:  #",
        tests=("tests/net/test_loop.py::test_failed_connection_does_not_end_accepting",),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="gate.release_bytes(self, self.admitted + (parser.size if parser.started else 0))",
        replacement="pass",
        tests=(
            "tests/admission/test_sockets.py::test_answered_request_releases_its_bytes_though_the_next_has_begun",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="max(self.link.last_readable, self.last_answered)",
        replacement="self.link.last_readable",
        tests=(
            "tests/admission/test_sockets.py::test_thousands_of_pipelined_requests_are_served_one_at_a_time",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="            self.behind = max(self.behind, took)\n",
        replacement="            pass\n",
        tests=(
            "tests/platform/test_hard_cases.py::test_request_in_the_kernels_queue_during_a_stall_is_not_answered_past_its_deadline",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="            self.link.sock.shutdown(socket.SHUT_WR)\n",
        replacement="            self.link.close()\n",
        tests=(
            "tests/net/test_server.py::test_last_answer_arrives_though_bytes_are_unread_behind_its_request",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/request_reader.py",
        original="if not data or connection.is_half_closed:",
        replacement="if not data:",
        tests=(
            "tests/net/test_server.py::test_request_that_crosses_the_half_close_is_not_accepted",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="self.server.loop.call_later(LINGER_TIMEOUT, self.link.close)",
        replacement="None",
        tests=(
            "tests/net/test_server.py::test_client_that_stays_after_the_half_close_is_closed_after_the_linger_timeout",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="self.parser.started and self._has_unread_bytes()",
        replacement="False",
        tests=(
            "tests/net/test_server.py::test_received_bytes_that_wait_to_be_read_do_not_time_out",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/read_ahead.py",
        original="(_is_full(connection) and not connection.server.one_at_a_time)",
        replacement="True",
        tests=(
            "tests/net/test_server.py::test_disconnect_behind_more_bytes_than_are_read_ahead_is_noticed",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/read_ahead.py",
        original="(_is_full(connection) and not connection.server.one_at_a_time)",
        replacement="False",
        tests=("tests/net/test_server.py::test_read_ahead_is_bounded_and_served_in_order",),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="if not (yield from read_to_end(self)):",
        replacement="if self.link.disconnected():",
        tests=(
            "tests/net/test_server.py::test_request_of_a_client_that_left_is_not_begun_though_its_end_is_behind_unread_bytes",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/net/tasks.py",
        original="return self.loop.bulk if self.is_bulk else self.loop.new",
        replacement="return self.loop.new",
        tests=(
            "tests/net/test_server.py::test_small_request_does_not_wait_for_the_work_of_many_large_ones",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/net/request_reader.py",
        original="if not connection.fits_memory():",
        replacement="if False:",
        tests=(
            "tests/platform/test_memory_limit.py::test_slow_writers_stay_within_the_memory_limit",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/eviction.py",
        original="if self._turn != self._loop.turns:",
        replacement="if True:",
        tests=(
            "tests/net/test_server.py::test_accepting_over_the_limit_does_not_look_at_all_connections_each_time",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/rejections.py",
        original="if connection.has_overrun:",
        replacement="if False:",
        tests=(
            "tests/net/test_server.py::test_too_many_bytes_behind_a_request_reject_it_before_it_is_begun",
        ),
        invariant="7",
    ),
    PlantedDefect(
        path="stepknot/net/server.py",
        original="        self.listener.accept_rest()\n",
        replacement="",
        tests=(
            "tests/net/test_server.py::test_connections_that_the_kernel_accepted_before_the_close_are_answered",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/rejections.py",
        original="if arrived > server.closed_at + LATE_REQUEST_GRACE:",
        replacement="if False:",
        tests=(
            "tests/net/test_server.py::test_request_that_is_complete_only_after_the_close_is_rejected",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/server.py",
        original="if is_full and len(self.connections) >=",
        replacement="if is_full or len(self.connections) >=",
        tests=("tests/net/test_server.py::test_connection_over_the_limit_gets_503",),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="            not self.in_progress\n",
        replacement="            not self.is_busy\n",
        tests=(
            "tests/net/test_server.py::test_answer_being_written_is_completed_whatever_ends_meanwhile",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="if self.in_progress:",
        replacement="if self.is_busy:",
        tests=(
            "tests/net/test_server.py::test_answer_being_written_is_completed_whatever_ends_meanwhile",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/eviction.py",
        original="connection.is_half_closed or not connection.in_progress",
        replacement="(each.is_half_closed or not each.is_busy)",
        tests=(
            "tests/net/test_server.py::test_answer_being_written_is_completed_whatever_ends_meanwhile",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/eviction.py",
        original="max(connection.request_started, connection.last_answered)",
        replacement="connection.last_answered > 0",
        tests=(
            "tests/platform/test_requests.py::test_new_connections_are_not_evicted_for_those_between_requests",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/server.py",
        original="while len(self.idle) > self.max_idle:",
        replacement="while False:",
        tests=(
            "tests/platform/test_requests.py::test_connections_between_requests_are_bounded_and_the_latest_stay",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/server.py",
        original="and not self.evict()",
        replacement="and False",
        tests=(
            "tests/platform/test_requests.py::test_hundreds_of_idle_connections_leave_capacity_for_requests",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/request_reader.py",
        original="if connection.server.is_closed and connection.last_answered:",
        replacement="if connection.server.is_draining:",
        tests=("tests/net/test_server.py::test_new_connection_while_draining_is_served",),
    ),
    PlantedDefect(
        path="stepknot/net/connection.py",
        original="yield from self.link.send(data, self.server.limits.write, *min_rate)",
        replacement="yield from self.link.send(data, None, *min_rate)",
        tests=("tests/platform/test_hard_cases.py::test_slow_reader_delays_only_its_own_answers",),
    ),
    PlantedDefect(
        path="stepknot/net/listener.py",
        original="if error.errno in OUT_OF_RESOURCES:",
        replacement="if error.errno in OUT_OF_RESOURCES:\n                    return",
        tests=(
            "tests/platform/test_hard_cases.py::test_exhausted_descriptors_end_neither_accepting_nor_open_connections",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="while timers and timers[0][0] <= now:",
        replacement="while timers and timers[0][0] <= self.clock():",
        tests=(
            "tests/platform/test_hard_cases.py::test_after_a_stall_answers_in_the_sockets_are_handled_before_timeouts",
        ),
    ),
    PlantedDefect(
        path="stepknot/net/datagrams.py",
        original="self.loop.call_later(NEXT_TURN, self._read)",
        replacement="pass",
        tests=("tests/net/test_loop.py::test_burst_of_datagrams_is_read_in_batches",),
    ),
    PlantedDefect(
        path="stepknot/net/loop.py",
        original="            if task.is_urgent:\n                task.resume(ticket)",
        replacement="            if False:\n                task.resume(ticket)",
        tests=(
            "tests/net/test_loop.py::test_urgent_task_goes_first_in_each_turn_whatever_others_leave_undone",
        ),
        invariant="10",
    ),
]
