"""Is each failure test seen to fail? One defect at a time is planted in a copy of the code: `python bench/mutants.py`.

A row names a file, a piece of it, what is put in its place and the tests that must fail then. Exit code 1 where a
defect went unseen. Nothing of the checkout is touched.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

HARD, ZONES, LOOP = "tests/broker/test_hard_cases.py", "tests/zones/test_policy.py", "tests/net/test_loop.py"
ADMIT, GATE = "tests/admission/test_policy.py", "tests/admission/test_sockets.py"
GRAPH, DECIDE = "tests/graphql/test_hard_cases.py", "tests/graphql/test_decisions.py"
OPERATE, HTTP = "tests/graphql/test_operations.py", "tests/graphql/test_over_http.py"
FRAMES, NODES = "tests/platform/test_frames.py", "tests/platform/test_nodes.py"
ASKS, WATCH = "tests/platform/test_requests.py", "tests/platform/test_discovery.py"
PROCESS, RARE = "tests/platform/test_service.py", "tests/platform/test_hard_cases.py"
FAILURES = "tests/test_failures.py"
PEERS, FUZZED = "tests/peers/test_model.py", "tests/peers/test_decisions.py"
SIGTERM = f"{PROCESS}::test_sigterm_serves_what_still_comes_finishes_what_is_in_work_and_exits_with_0"
Row = tuple[str, str, str, str]
ROWS: list[Row] = [
    ("net/loop.py", "or self.closed or self.peek() == b\"\"", "or self.closed",
     f"{HARD}::test_after_a_stall_nothing_is_done_for_clients_that_went_meanwhile"),
    ("net/server.py", "request.arrived = arrived", "request.arrived = self.server.loop.now + 2.0",
     f"{HARD}::test_the_clients_time_counts_from_when_its_request_was_there"),
    ("broker/queries.py", "return now if self.arrived is None else self.arrived", "return now",
     f"{HARD}::test_the_clients_time_counts_from_when_its_request_was_there"),
    ("net/server.py", "if (yield from self.serve_ready()):\n                        yield from self.refuse(error)",
     "yield from self.serve_ready()\n                    yield from self.refuse(error)",
     f"{HARD}::test_no_second_answer_follows_one_that_closes"),
    ("net/loop.py", "self.run_due(self.new, self.clock() + NEW_SLICE)", "self.run_due(self.new, self.clock() + 9)",
     f"{LOOP}::test_what_was_begun_goes_before_what_is_new_and_new_work_is_bounded_in_a_turn"),
    ("net/loop.py", "(self.new if patient else self.due).append((task, task.ticket, None, None))",
     "self.due.append((task, task.ticket, None, None))",
     f"{LOOP}::test_what_was_begun_goes_before_what_is_new_and_new_work_is_bounded_in_a_turn"),
    ("net/loop.py", "if clock() >= until:", "if False:", f"{LOOP}::test_much_work_at_once_does_not_hold_up_a_timer"),
    ("net/loop.py", "if error.errno in OUT_OF:", "if False:",
     f"{LOOP}::test_a_listener_that_runs_out_rests_and_goes_on"),
    ("boxes/pool.py", "not link.peer_closed and link.peek() is None", "not link.peer_closed",
     f"{HARD}::test_a_kept_connection_with_bytes_nobody_asked_for_is_not_used"),
    ("boxes/pool.py", "Outcome.RESET if handed_over else Outcome.NOT_CONNECTED", "Outcome.NOT_CONNECTED",
     f"{HARD}::test_a_kept_connection_closed_as_an_unsafe_part_is_written"),
    ("boxes/rest.py", "call.exchange.abandon()  # nobody", "pass  # nobody",
     f"{HARD}::test_a_client_that_hangs_up_has_its_parts_called_off"),
    ("broker/core.py", "self.post(api.QueryGone(ask.query_id))\n            self.finish(ask, None)", "pass",
     f"{HARD}::test_a_client_that_hangs_up_has_its_parts_called_off"),
    ("boxes/codec.py", "if len(responses) != len(parts):", "if False:",
     f"{HARD}::test_more_or_fewer_replies_than_parts_are_an_error_of_that_call"),
    ("search/merge.py", "if len(rows) > search.start + search.size:", "if False:", "tests/search"),
    ("boxes/codec.py", "        if status == 429:\n            return [PartReply(", "        if False:\n"
     "            return [PartReply(",
     f"{HARD}::test_an_unsafe_part_that_was_turned_away_goes_elsewhere"),
    ("net/http.py", "if self.size > self.most:\n            self.over", "if False:\n            self.over",
     f"{HARD}::test_a_thirty_megabyte_reply_is_read_and_a_longer_one_is_not"),
    ("boxes/codec.py", "if statuses == {429}:", "if False:",
     f"{HARD}::test_an_unsafe_part_that_was_turned_away_goes_elsewhere"),
    ("net/http.py", "if len(plain) > most:", "if False:", f"{HARD}::test_gzip_bombs_and_deep_json_are_refused"),
    ("fronts/jsonbody.py", "if too_deep(value, most_depth):", "if False:",
     f"{HARD}::test_gzip_bombs_and_deep_json_are_refused"),
    ("net/server.py", "if left > 0:\n            self.timer_set", "if True:\n            self.timer_set",
     f"{HARD}::test_slow_senders_are_told_and_closed"),
    ("broker/core.py", "for ask in list(self.held.values()):\n            self.post", "for ask in ():\n"
     "            self.post", f"{HARD}::test_shutdown_gives_a_query_that_no_box_answers_its_final_answer"),
    ("broker/service.py", "while self.core.held and self.loop.now < until:", "while False:",
     f"{HARD}::test_orderly_shutdown_gives_what_is_held_its_final_answer"),
    ("zones/policy.py", "return zone.spill.bears(self.now, self.limit(name), base)", "return math.inf", ZONES),
    ("zones/policy.py", "return max(least, health.ramp * base)", "return math.inf", ZONES),
    ("zones/policy.py", "return max(least, self.bounds.first * base)", "return math.inf", ZONES),
    ("zones/spill.py", "min(bound, max(self.cap", "max(bound, max(self.cap", ZONES),
    ("zones/spill.py", "self.turned > OVERLOAD * self.ended and", "self.turned > 0 and", ZONES),
    ("zones/policy.py", "if safe and not owed and health.may_try", "if health.may_try", ZONES),
    ("zones/policy.py", "if not any(open_to.values()) and all(", "if False and all(", ZONES),
    ("zones/policy.py", "or not alive and self.was_silent", "or self.was_silent", ZONES),
    ("zones/policy.py", "elapsed >= SILENT * self.mean", "elapsed >= 0", ZONES),
    ("zones/policy.py", "if now <= self.now:\n            return", "", ZONES),
    ("zones/health.py", "recent >= max(1, math.ceil(0.6 * boxes))", "recent >= 1", ZONES),
    ("zones/policy.py", "waiting = max(", "return 1.0\n        waiting = max(", ZONES),
    ("zones/policy.py", "OVER_SHARE if over_share else 1.0", "1.0", ZONES),
    ("zones/health.py", "return ((lost or silent) and", "return (lost and", ZONES),
    ("zones/health.py", "self.ramp = max(self.bounds.first, self.ramp / 2)", "pass", ZONES),
    ("zones/health.py", "self.relapses += 1", "pass", ZONES),
    ("zones/policy.py", "return None\n        self.shed_parts", "pass\n        self.shed_parts", ZONES),
    ("fronts/graphql/limits.py", "if name in self.open:", "if False:",
     f"{GRAPH}::test_hostile_documents_are_refused"),
    ("fronts/graphql/limits.py", "self.known[name] = self.selections(found.selection_set) if found is not None else "
     "Shape()", "self.known[name] = Shape()",
     f"{DECIDE}::test_fragments_count_as_often_as_they_are_spread"),
    ("fronts/graphql/limits.py", "if found.tokens > most:", "if False:",
     f"{DECIDE}::test_counting_stops_at_the_limit"),
    ("fronts/graphql/limits.py", "fields -= 1", "pass",
     f"{DECIDE}::test_a_look_at_the_text_counts_no_field_or_alias_too_many"),
    ("fronts/graphql/limits.py", "(?:[eE][+-]?[0-9]+)?", "[0-9.eE+-]*",
     f"{DECIDE}::test_tokens_are_never_counted_too_low"),
    ("fronts/graphql/plan.py", "if got > most:\n                raise TooMuch",
     "if False:\n                raise TooMuch",
     f"{GRAPH}::test_aliased_copies_of_a_costly_field_are_refused_before_anything_is_sent"),
    ("fronts/graphql/plan.py", "+ self.linked_parts(wanted, first)\n", "\n",
     f"{DECIDE}::test_an_operations_cost_is_never_under_the_parts_it_causes"),
    ("fronts/graphql/plan.py", "(min(len(query.targets), rows) if two else 0)", "0",
     f"{DECIDE}::test_an_operations_cost_is_never_under_the_parts_it_causes"),
    ("fronts/graphql/plan.py", "if found[0] != order:", "if False:",
     f"{OPERATE}::test_a_cursor_of_another_sort_is_turned_down"),
    ("fronts/graphql/plan.py", "if \"_id\" not in seen:", "if False:",
     f"{OPERATE}::test_cursors_lead_through_all_rows_once"),
    ("fronts/graphql/run.py", "return None if served else bad(", "return None if True else bad(",
     f"{GRAPH}::test_500_keys_30_unknown_one_shard_down"),
    ("fronts/graphql/run.py", "if error is None and not outcome.coverage().whole:", "if False:",
     f"{GRAPH}::test_counts_from_some_shards_are_errors_and_not_numbers"),
    ("fronts/graphql/run.py", "if found is None\n", "if False\n",
     f"{GRAPH}::test_a_document_that_cannot_be_fetched_is_null_with_its_error"),
    ("fronts/graphql/run.py", "if writes:\n        return bad(", "if False:\n        return bad(",
     f"{GRAPH}::test_a_write_whose_reply_is_lost_is_neither_repeated_nor_stops_the_next"),
    ("fronts/graphql/app.py", "self.pay(request.client or str(connection.peer[0]), client, plan)", "pass",
     f"{GRAPH}::test_a_client_over_its_budget_is_told_when_to_return"),
    ("fronts/graphql/app.py", "if request.method == \"GET\" and operation.operation is not OperationType.QUERY:",
     "if False:", f"{HTTP}::test_get_runs_no_mutations"),
    ("fronts/graphql/documents.py", "if hash_of(text) != digest:", "if False:",
     f"{HTTP}::test_a_hash_that_does_not_fit_or_a_text_that_is_not_valid_is_not_kept"),
    ("fronts/graphql/documents.py", "self.tokens -= self.kept.popitem(last=False)[1].tokens", "break",
     f"{DECIDE}::test_documents_kept_are_bounded_by_number_and_by_tokens"),
    ("fronts/graphql/documents.py", "None if CONDITION.search(text) else {}", "{}",
     f"{OPERATE}::test_selections_that_hang_on_variables_are_not_kept"),
    ("fronts/graphql/budget.py", "bucket.level -= parts", "pass",
     f"{DECIDE}::test_no_client_spends_more_than_its_rate_and_burst"),
    ("fronts/graphql/budget.py", "if passed > 0:", "if True:",
     f"{DECIDE}::test_a_clock_that_steps_back_earns_nothing_and_costs_nothing"),
    ("fronts/graphql/budget.py", "if len(self.buckets) < self.most else self.rest", "",
     f"{DECIDE}::test_a_flood_of_clients_shares_one_bucket_and_memory_stays"),
    ("broker/queries.py", "self.left, goers, self.goers = True, self.goers, []", "self.left, goers = True, []",
     f"{GRAPH}::test_the_client_leaves_half_way"),
    ("broker/queries.py", "len(outcome.documents) if search.source is not False else 0", "len(outcome.documents)",
     f"{OPERATE}::test_a_page_that_wants_no_documents_is_whole_and_costs_one_step"),
    ("admission/policy.py", "if self.prefixed[prefix] >= cap * factor:", "if False:",
     f"{ADMIT}::test_many_addresses_of_one_prefix_count_together"),
    ("admission/policy.py", "if held >= max(settings.per_address, min(settings.per_address * factor, free)):",
     "if False:", f"{ADMIT}::test_a_flood_from_one_address_leaves_room_for_all_others"),
    ("admission/policy.py", "min(settings.per_address * factor, free)", "settings.per_address * factor",
     f"{GATE}::test_a_known_client_that_misbehaves_is_bound_as_well"),
    ("admission/policy.py", "return self.seats - {Rank.UNKNOWN: reserve,", "return self.seats - {Rank.UNKNOWN: 0,",
     f"{ADMIT}::test_the_reserve_is_for_known_clients_who_may_also_displace_the_unknown"),
    ("admission/policy.py", "rank is guest.rank and self.seated.held[address] >= own + 2", "True",
     f"{ADMIT}::test_with_equal_shares_nobody_is_shed_and_the_newcomer_is_refused"),
    ("admission/policy.py", "guest.queries += 1\n        self.use(guest.address).idle.pop(number, None)",
     "guest.queries += 1",
     f"{ADMIT}::test_when_all_seats_are_taken_the_heaviest_address_gives_up_its_idlest"),
    ("admission/policy.py", "gained = min(max(now - known.at, 0.0), 1.0)", "gained = 1.0",
     f"{ADMIT}::test_good_conduct_is_earned_by_time_and_lost_by_misbehaving"),
    ("admission/policy.py", "if guest.reason is Reason.BANNED:", "if False:",
     f"{ADMIT}::test_a_key_opens_a_seat_from_the_lane_but_lifts_no_ban"),
    ("admission/policy.py", "if rate > cap:", "if False:",
     f"{ADMIT}::test_a_rate_is_refused_and_forgotten_once_it_stops"),
    ("admission/policy.py", "elif own >= min(settings.queries * self.factor(rank), free):", "elif False:",
     f"{ADMIT}::test_one_address_gets_half_of_the_turns_and_others_still_get_theirs"),
    ("admission/policy.py", "(1 - LEVEL * level)", "1", f"{ADMIT}::test_what_is_worth_less_is_refused_first"),
    ("admission/policy.py", "if len(self.conduct) > self.settings.conduct_kept:", "if False:",
     f"{ADMIT}::test_a_million_addresses_take_no_more_memory_than_a_few_thousand"),
    ("admission/heavy.py", "error = self.drop_least()", "self.drop_least()",
     f"{ADMIT}::test_heavy_counters_are_never_too_low_nor_sure_of_too_much"),
    ("admission/lists.py", "if hashlib.sha256(body).hexdigest().encode() != head:", "if False:",
     f"{ADMIT}::test_lists_come_back_from_disk_and_damage_is_seen"),
    ("admission/forwarded.py", "if peer not in trusted:", "if False:",
     f"{GATE}::test_a_stranger_s_proxy_line_and_forwarded_headers_are_not_believed "
     "tests/admission/test_forwarded.py"),
    ("admission/forwarded.py", "for text in reversed(hops(headers)):", "for text in hops(headers):",
     "tests/admission/test_forwarded.py"),
    ("broker/gate.py", "if waiting.since > until:", "if True:",
     f"{GATE}::test_connections_opened_and_never_used_are_closed_without_a_word"),
    ("broker/gate.py", "if self.left <= 0:\n            self.end(\"\")\n\n    def end", "self.end(\"\")\n\n    def end",
     f"{GATE}::test_a_refusal_reaches_a_client_that_is_still_sending"),
    ("broker/gate.py", "if self.logged[what] <= LOGGED:", "if True:",
     f"{GATE}::test_a_flood_of_5000_connections_while_a_known_client_queries"),
    ("net/server.py", "if self.too_slow():\n            self.end_slow()", "if False:\n            self.end_slow()",
     f"{GATE}::test_slow_senders_that_hold_every_seat_are_told_and_closed"),
    ("net/loop.py", "if len(data) - self.unsent < least * (self.loop.now - begun - grace):", "if False:",
     f"{GATE}::test_a_slow_reader_of_a_large_answer_is_closed"),
    ("net/loop.py", "self.use_spare()\n", "pass\n",
     f"{GATE}::test_when_descriptors_run_out_all_the_same_the_spare_one_lets_refusals_leave"),
    ("net/loop.py", "except Exception as error:  # noqa: BLE001 - one connection's", "except OSError as error:  #",
     f"{LOOP}::test_a_connection_that_comes_to_nothing_does_not_end_accepting"),
    ("net/server.py", "gate.let_go(self, parser.size)", "pass",
     f"{GATE}::test_what_was_answered_holds_no_bytes_though_the_next_has_begun"),
    ("net/server.py", "max(self.link.heard_at, self.free_at)", "self.link.heard_at",
     f"{GATE}::test_thousands_of_pipelined_requests_on_one_connection"),
    ("search/entities.py", "if key in found:", "if False:",
     f"{GRAPH}::test_a_key_that_several_documents_hold_is_an_error"),
    ("platform/frames.py", "if not 1 <= length <= MOST:", "if False:", FRAMES),
    ("platform/frames.py", "data[begin] not in LETTERS", "False", FRAMES),
    ("platform/frames.py", "not 0 <= number < math.inf", "False", FRAMES),
    ("platform/frames.py", "except UnicodeDecodeError:", "except KeyError:", FRAMES),
    ("platform/nodes.py", "Outcome.RESET if taken else Outcome.NOT_CONNECTED", "Outcome.RESET",
     f"{NODES}::test_a_refused_connection_proves_that_nothing_ran"),
    ("platform/nodes.py", "Outcome.RESET if taken else Outcome.NOT_CONNECTED", "Outcome.NOT_CONNECTED",
     f"{NODES}::test_a_connection_that_ends_after_the_call_was_taken_may_have_left_it_to_run"),
    ("platform/nodes.py", "return part in self.waiting or part in self.given_up", "return False",
     f"{NODES}::test_a_late_answer_never_passes_for_a_later_attempts"),
    ("platform/nodes.py", "return conn.given_up.pop(message.part, self) is None", "return False",
     f"{NODES}::test_one_part_is_given_up_and_the_connection_lives_on"),
    ("platform/nodes.py", "self.put(conn, Frame([], self.loop.now, frames.give_up(part)))", "pass",
     f"{NODES}::test_one_part_is_given_up_and_the_connection_lives_on"),
    ("platform/nodes.py", "if not frame.sent:", "if False:",
     f"{NODES}::test_a_partly_taken_frame_is_finished_and_what_waits_behind_it_never_ran"),
    ("platform/nodes.py", "return self.loop.now - conn.silent_since > self.connect_timeout", "return False",
     f"{NODES}::test_a_connection_that_falls_silent_is_left_for_another_while_its_node_serves"),
    ("platform/nodes.py", "conn.silent_since = math.inf  # called off", "pass  # called off",
     f"{NODES}::test_a_call_off_is_no_silence"),
    ("platform/nodes.py", "<= self.streams and not self", "<= 10_000 and not self",
     f"{NODES}::test_a_burst_opens_no_more_connections_than_its_calls_need"),
    ("platform/nodes.py", "if conn.idle and conn.since <= before:", "if False:",
     f"{NODES}::test_an_idle_connection_is_closed_before_the_node_would"),
    ("platform/nodes.py", "if whole:", "if False:",
     f"{NODES}::test_a_full_list_forgets_the_nodes_that_it_does_not_name"),
    ("platform/discovery.py", "if task is self.newest:\n                    self.end_older()", "self.end_older()",
     f"{WATCH}::test_a_new_address_is_followed_and_the_old_watch_counts_until_it_speaks"),
    ("platform/discovery.py", "link.recv(CHUNK, SILENCE)", "link.recv(CHUNK)",
     f"{WATCH}::test_a_watch_that_falls_silent_is_broken"),
    ("platform/discovery.py", "not news.full and news.version < self.version", "False",
     f"{WATCH}::test_a_watch_that_fails_is_asked_for_again_and_the_old_list_serves"),
    ("platform/discovery.py", "if len(self.kept) > MOST_LINE:", "if False:",
     f"{WATCH}::test_a_line_over_its_bound_and_what_is_no_http_are_errors"),
    ("platform/requests.py", "if len({piece.shard for piece in pieces}) < len(pieces):", "if False:", ASKS),
    ("platform/requests.py", "if abs(math.fsum(piece.weight for piece in pieces) - 1) > ROUNDING:", "if False:", ASKS),
    ("platform/requests.py", "elif not ID.match(key):", "elif False:", ASKS),
    ("platform/service.py", "if ask.name in self.open:", "if False:",
     f"{ASKS}::test_an_id_that_is_open_is_refused_and_the_first_of_it_is_answered"),
    ("platform/service.py", "connection.on_hang_up(lambda: self.core.gone(ask))", "pass",
     f"{ASKS}::test_a_client_that_goes_away_has_its_parts_given_up"),
    ("platform/service.py", "yield from self.loop.sleep(STAY)", "pass", SIGTERM),
    ("broker/core.py", "or still > self.most_open", "or False",
     f"{ASKS}::test_over_the_cap_on_what_is_open_a_query_is_refused_at_once"),
    ("net/server.py", "max(each.begun, each.free_at)", "each.free_at > 0",
     f"{ASKS}::test_whoever_just_came_is_not_ended_for_those_that_asked_once_and_stay"),
    ("net/server.py", "while len(self.resting) > self.most_resting:", "while False:",
     f"{ASKS}::test_those_that_asked_once_and_stay_are_bounded_and_the_latest_are_kept"),
    ("net/server.py", "and not self.make_room()", "and False",
     f"{ASKS}::test_silent_connections_by_hundreds_leave_room_for_whoever_asks"),
    ("net/server.py", "if server.closing and not parser.started and link.peek() is None:", "if server.leaving:",
     SIGTERM),
    ("net/server.py", "encode_response(response, request, close), self.server.limits.write,",
     "encode_response(response, request, close), None,", f"{RARE}::test_a_slow_reader_holds_only_its_own_answers"),
    ("net/loop.py", "if error.errno in OUT_OF:", "if error.errno in OUT_OF:\n                    return",
     f"{RARE}::test_descriptors_that_run_out_all_the_same_end_neither_accepting_nor_what_is_connected"),
    ("net/loop.py", "while timers and timers[0][0] <= now:", "while timers and timers[0][0] <= self.clock():",
     f"{RARE}::test_after_a_stall_answers_and_ends_in_the_sockets_come_before_time_outs"),
    ("broker/core.py", "self.end_attempt(attempt, api.Outcome.TIMED_OUT, {})", "pass",
     f"{RARE}::test_a_node_that_vanishes_and_returns_serves_again_and_nothing_is_held_for_it"),
    ("platform/nodes.py", "size, calls = self.parts_per_call, 0", "size, calls = 1, 0",
     f"{NODES}::test_parts_that_share_a_call_travel_in_one_frame_and_are_answered_one_by_one"),
    ("platform/service.py", "request.arrived - min(self.loop.lag_most, SLICE)", "request.arrived",
     f"{RARE}::test_the_clients_time_has_room_for_a_turn_as_long_as_any_was"),
    ("logic.py", "return deaf, bound, self.silent(capsule)", "return False, bound, self.silent(capsule)",
     f"{FAILURES}::test_a_class_that_a_server_loses_while_it_answers_others_goes_elsewhere"),
    ("logic.py", "if not lost or capsule.answered_sent > attempt.sent:", "if True:",
     f"{FAILURES}::test_a_pause_is_not_taken_for_deafness"),
    ("logic.py", "self.send_again(query, part, STILL_SHARE)", "pass",
     f"{FAILURES}::test_a_server_that_stands_still_is_chosen_last_and_what_is_out_there_is_copied"),
    ("peers/members.py", "asked |= dict.fromkeys(self.watchers_of(names, others)[:count // 2])", "pass",
     f"{FUZZED}::test_those_that_watch_the_silent_one_are_asked_first"),
    ("peers/members.py", "lacking.append(word.identity)", "pass",
     f"{FUZZED}::test_of_a_process_long_known_only_what_changed_is_told_and_who_lacks_it_asks"),
    ("peers/table.py", "{record.port}\\n{record.process}", "{record.port}",
     f"{FUZZED}::test_short_news_of_an_earlier_process_do_not_touch_the_one_that_took_its_name"),
    ("peers/members.py", "lacking[:wire.WORDS]", "lacking[:0]",
     f"{FUZZED}::test_a_question_about_the_table_gets_what_is_missing_and_asks_for_what_is_lacking_here"),
    ("peers/members.py", "if room < 0 or count == wire.WORDS:", "if count == wire.RECORDS:",
     f"{FUZZED}::test_names_of_four_bytes_a_letter_get_through_too"),
    ("peers/members.py", "not self.isolated and self.agrees(now, silent)):", "self.agrees(now, silent)):",
     f"{FUZZED}::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard"),
    ("peers/members.py", "if sign.heard >= 0:\n                watched.note(",
     "if False:\n                watched.note(",
     f"{PEERS}::test_whom_one_watcher_does_not_hear_is_vouched_for_by_others_and_not_even_suspect"),
    ("peers/members.py", "if beat.held >= 0:", "if False:",
     f"{FUZZED}::test_word_of_ones_own_death_is_answered_by_a_greater_incarnation"),
    ("peers/members.py", "watched.shift(gap)", "pass",
     f"{FUZZED}::test_time_that_a_member_stood_still_is_not_counted_as_others_silence"),
    ("peers/members.py", "if edges and 2 * (hear_me + 1) <= len(edges) + 1:", "if False:",
     f"{PEERS}::test_who_hears_all_and_is_heard_by_nobody_learns_it_and_the_others_go_on"),
    ("peers/members.py", "if dead:\n", "if False:\n",
     f"{FUZZED}::test_the_dead_are_called_now_and_then"),
    ("peers/members.py", "if missing:\n", "if False:\n",
     f"{PEERS}::test_two_fleets_that_formed_apart_find_each_other_by_their_seeds"),
    ("peers/members.py", "if apart > settings.tombstone / 2:", "if False:",
     f"{PEERS}::test_a_member_cut_off_for_long_takes_no_share_before_others_stop_counting_it"),
    ("peers/members.py", "most = sum(counts) - counts[State.LEFT]", "most = sum(counts[:State.DEAD])",
     f"{PEERS}::test_the_dead_are_counted_for_as_long_as_they_are_remembered"),
    ("peers/members.py", "return len(watched.told) >= min(self.settings.proofs, len(others))", "return True",
     f"{FUZZED}::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard"),
    ("peers/rate.py", "if self.saved - size < -borrow * self.burst:", "if False:",
     f"{FUZZED}::test_a_flood_of_questions_is_answered_within_the_rate"),
    ("peers/members.py", "self.step_aside(now, f\"another process", "str(f\"another process",
     f"{FUZZED}::test_of_two_living_processes_under_one_name_the_older_steps_aside_and_the_newer_stays"),
    ("peers/members.py", "elif not self.joined or record.state in GONE", "elif record.state in GONE",
     f"{PEERS}::test_a_restart_with_a_clock_set_back_takes_an_epoch_above_the_old_one"),
    ("peers/table.py", "if old is not None and record.rank <= old.rank:", "if old is not None and record == old:",
     f"{FUZZED}::test_what_was_learnt_is_not_unlearnt"),
    ("peers/table.py", "return len(self.records) < self.most", "return True",
     f"{FUZZED}::test_ten_thousand_invented_members_take_no_more_room_than_the_bound_and_old_ones_stay"),
    ("peers/wire.py", "if len(data) > MOST_BYTES:", "if False:",
     f"{FUZZED}::test_what_is_absurd_is_counted_and_changes_nothing"),
    ("peers/wire.py", "if found.fleet != fleet:", "if False:",
     f"{FUZZED}::test_what_is_absurd_is_counted_and_changes_nothing"),
    ("peers/rings.py", "between[other] = None", "pass",
     f"{FUZZED}::test_watching_is_mutual_and_everybody_has_watchers"),
    ("net/loop.py", "self.loop.call_later(NEXT_TURN, self.read)", "pass",
     f"{LOOP}::test_datagrams_that_come_at_once_are_all_read_and_others_have_their_turn"),
    ("logic.py", "self.instances = max(event.instances, 1)", "pass",
     f"{FAILURES}::test_the_number_of_instances_that_may_be_there_sets_each_ones_share_of_a_cold_server"),
]


def planted(root: Path, row: Row) -> str:
    """What came of one defect: 'seen', 'unseen' or why it could not be planted."""
    file, old, new, tests = row
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name)
        for folder in ("stepknot", "tests", "deploy"):
            shutil.copytree(root / folder, copy / folder, ignore=shutil.ignore_patterns("__pycache__"))
        shutil.copy(root / "pyproject.toml", copy)
        path = copy / "stepknot" / file
        text = path.read_text()
        if text.count(old) != 1:
            return f"its place was found {text.count(old)} times"
        path.write_text(text.replace(old, new))
        run = subprocess.run([sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests.split()],
                             cwd=copy, env={**os.environ, "PYTHONPATH": str(copy)}, capture_output=True, timeout=300)
        return {0: "unseen", 1: "seen"}.get(run.returncode, f"pytest ended with {run.returncode}")


@click.command()
@click.option("--only", default="", help="Only rows whose file begins so, such as platform/.")
@click.option("--jobs", default=4, show_default=True, help="How many at once.")
def main(only: str, jobs: int) -> None:
    root = Path(__file__).parents[1]
    bad = 0
    with ThreadPoolExecutor(jobs) as pool:
        rows = [row for row in ROWS if row[0].startswith(only)]
        for row, came in zip(rows, pool.map(lambda row: planted(root, row), rows), strict=True):
            bad += came != "seen"
            click.echo(f"{came:<8} {row[0]}: {row[1].splitlines()[0]}  ({row[3].rpartition('::')[2]})")
    click.echo(f"{len(rows) - bad} of {len(rows)} defects were seen by their tests")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
