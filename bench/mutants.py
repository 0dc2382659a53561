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

HARD, ZONES, LOOP = (
    "tests/broker/test_hard_cases.py",
    "tests/zones/test_policy.py",
    "tests/net/test_loop.py",
)
ADMIT, GATE = "tests/admission/test_policy.py", "tests/admission/test_sockets.py"
GRAPH, DECIDE = "tests/graphql/test_hard_cases.py", "tests/graphql/test_decisions.py"
OPERATE, HTTP = "tests/graphql/test_operations.py", "tests/graphql/test_over_http.py"
FRAMES, NODES = "tests/platform/test_frames.py", "tests/platform/test_nodes.py"
ASKS, WATCH = "tests/platform/test_requests.py", "tests/platform/test_discovery.py"
ENDS, CONFIG, COLD = (
    "tests/net/test_server.py",
    "tests/platform/test_config.py",
    "tests/test_cold.py",
)
PROCESS, RARE = "tests/platform/test_service.py", "tests/platform/test_hard_cases.py"
FAILURES = "tests/test_failures.py"
PEERS, FUZZED = "tests/peers/test_model.py", "tests/peers/test_decisions.py"
OWNED, OWNMODEL = "tests/ownership/test_decisions.py", "tests/ownership/test_model.py"
SUBSET_COST = "tests/lab/test_subset_cost.py"
SUBSET_RULES = (
    f"{SUBSET_COST}::test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not"
)
SUBSET, SUBSETS = "tests/subsets/test_subsetting.py", "tests/subsets/test_config.py"
CHOSEN, CHOICE, SHARED = (f"tests/subsets/test_{name}.py" for name in ("subset", "choice", "cold"))
SIGTERM = (
    f"{PROCESS}::test_sigterm_serves_what_still_comes_finishes_what_is_in_work_and_exits_with_0"
)
Row = tuple[str, str, str, str]
ROWS: list[Row] = [
    (
        "net/loop.py",
        'or self.closed or self.peek() == b""',
        "or self.closed",
        f"{HARD}::test_after_a_stall_nothing_is_done_for_clients_that_went_meanwhile",
    ),
    (
        "net/server.py",
        "request.arrived = arrived",
        "request.arrived = self.server.loop.now + 2.0",
        f"{HARD}::test_the_clients_time_counts_from_when_its_request_was_there",
    ),
    (
        "broker/queries.py",
        "return now if self.arrived is None else self.arrived",
        "return now",
        f"{HARD}::test_the_clients_time_counts_from_when_its_request_was_there",
    ),
    (
        "net/server.py",
        "            if close:\n                self.leave()",
        "            if False:\n                self.leave()",
        f"{HARD}::test_no_second_answer_follows_one_that_closes",
    ),
    (
        "net/loop.py",
        "self.run_due(self.new, self.clock() + NEW_SLICE)",
        "self.run_due(self.new, self.clock() + 9)",
        f"{LOOP}::test_what_was_begun_goes_before_what_is_new_and_new_work_is_bounded_in_a_turn",
    ),
    (
        "net/loop.py",
        "(self.new if patient else self.due).append((task, task.ticket, None, None))",
        "self.due.append((task, task.ticket, None, None))",
        f"{LOOP}::test_what_was_begun_goes_before_what_is_new_and_new_work_is_bounded_in_a_turn",
    ),
    (
        "net/loop.py",
        "if clock() >= until:",
        "if False:",
        f"{LOOP}::test_much_work_at_once_does_not_hold_up_a_timer",
    ),
    (
        "net/loop.py",
        "if error.errno in OUT_OF:",
        "if False:",
        f"{LOOP}::test_a_listener_that_runs_out_rests_and_goes_on",
    ),
    (
        "boxes/pool.py",
        "not link.peer_closed and link.peek() is None",
        "not link.peer_closed",
        f"{HARD}::test_a_kept_connection_with_bytes_nobody_asked_for_is_not_used",
    ),
    (
        "boxes/pool.py",
        "Outcome.RESET if handed_over else Outcome.NOT_CONNECTED",
        "Outcome.NOT_CONNECTED",
        f"{HARD}::test_a_kept_connection_closed_as_an_unsafe_part_is_written",
    ),
    (
        "boxes/rest.py",
        "call.exchange.abandon()  # nobody",
        "pass  # nobody",
        f"{HARD}::test_a_client_that_hangs_up_has_its_parts_called_off",
    ),
    (
        "broker/core.py",
        "self.post(api.QueryGone(ask.query_id))\n            self.finish(ask, None)",
        "pass",
        f"{HARD}::test_a_client_that_hangs_up_has_its_parts_called_off",
    ),
    (
        "boxes/codec.py",
        "if len(responses) != len(parts):",
        "if False:",
        f"{HARD}::test_more_or_fewer_replies_than_parts_are_an_error_of_that_call",
    ),
    ("search/merge.py", "if len(rows) > search.start + search.size:", "if False:", "tests/search"),
    (
        "boxes/codec.py",
        "        if status == 429:\n            return [PartReply(",
        "        if False:\n            return [PartReply(",
        f"{HARD}::test_an_unsafe_part_that_was_turned_away_goes_elsewhere",
    ),
    (
        "net/http.py",
        "if self.size > self.most:\n            self.over",
        "if False:\n            self.over",
        f"{HARD}::test_a_thirty_megabyte_reply_is_read_and_a_longer_one_is_not",
    ),
    (
        "boxes/codec.py",
        "if statuses == {429}:",
        "if False:",
        f"{HARD}::test_an_unsafe_part_that_was_turned_away_goes_elsewhere",
    ),
    (
        "net/http.py",
        "if len(plain) > most:",
        "if False:",
        f"{HARD}::test_gzip_bombs_and_deep_json_are_refused",
    ),
    (
        "fronts/jsonbody.py",
        "if too_deep(value, most_depth):",
        "if False:",
        f"{HARD}::test_gzip_bombs_and_deep_json_are_refused",
    ),
    (
        "net/server.py",
        "if left > 0:\n            self.timer_set",
        "if True:\n            self.timer_set",
        f"{HARD}::test_slow_senders_are_told_and_closed",
    ),
    (
        "broker/core.py",
        "for ask in list(self.held.values()):\n            self.post",
        "for ask in ():\n            self.post",
        f"{HARD}::test_shutdown_gives_a_query_that_no_box_answers_its_final_answer",
    ),
    (
        "broker/service.py",
        "while self.core.held and self.loop.now < until:",
        "while False:",
        f"{HARD}::test_orderly_shutdown_gives_what_is_held_its_final_answer",
    ),
    (
        "zones/policy.py",
        "return zone.spill.bears(self.now, self.limit(name), base)",
        "return math.inf",
        ZONES,
    ),
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
    (
        "zones/policy.py",
        "return None\n        self.shed_parts",
        "pass\n        self.shed_parts",
        ZONES,
    ),
    (
        "fronts/graphql/limits.py",
        "if name in self.open:",
        "if False:",
        f"{GRAPH}::test_hostile_documents_are_refused",
    ),
    (
        "fronts/graphql/limits.py",
        "self.known[name] = self.selections(found.selection_set) if found is not None else Shape()",
        "self.known[name] = Shape()",
        f"{DECIDE}::test_fragments_count_as_often_as_they_are_spread",
    ),
    (
        "fronts/graphql/limits.py",
        "if found.tokens > most:",
        "if False:",
        f"{DECIDE}::test_counting_stops_at_the_limit",
    ),
    (
        "fronts/graphql/limits.py",
        "fields -= 1",
        "pass",
        f"{DECIDE}::test_a_look_at_the_text_counts_no_field_or_alias_too_many",
    ),
    (
        "fronts/graphql/limits.py",
        "(?:[eE][+-]?[0-9]+)?",
        "[0-9.eE+-]*",
        f"{DECIDE}::test_tokens_are_never_counted_too_low",
    ),
    (
        "fronts/graphql/plan.py",
        "if got > most:\n                raise TooMuch",
        "if False:\n                raise TooMuch",
        f"{GRAPH}::test_aliased_copies_of_a_costly_field_are_refused_before_anything_is_sent",
    ),
    (
        "fronts/graphql/plan.py",
        "+ self.linked_parts(wanted, first)\n",
        "\n",
        f"{DECIDE}::test_an_operations_cost_is_never_under_the_parts_it_causes",
    ),
    (
        "fronts/graphql/plan.py",
        "(min(len(query.targets), rows) if two else 0)",
        "0",
        f"{DECIDE}::test_an_operations_cost_is_never_under_the_parts_it_causes",
    ),
    (
        "fronts/graphql/plan.py",
        "if found[0] != order:",
        "if False:",
        f"{OPERATE}::test_a_cursor_of_another_sort_is_turned_down",
    ),
    (
        "fronts/graphql/plan.py",
        'if "_id" not in seen:',
        "if False:",
        f"{OPERATE}::test_cursors_lead_through_all_rows_once",
    ),
    (
        "fronts/graphql/run.py",
        "return None if served else bad(",
        "return None if True else bad(",
        f"{GRAPH}::test_500_keys_30_unknown_one_shard_down",
    ),
    (
        "fronts/graphql/run.py",
        "if error is None and not outcome.coverage().whole:",
        "if False:",
        f"{GRAPH}::test_counts_from_some_shards_are_errors_and_not_numbers",
    ),
    (
        "fronts/graphql/run.py",
        "if found is None\n",
        "if False\n",
        f"{GRAPH}::test_a_document_that_cannot_be_fetched_is_null_with_its_error",
    ),
    (
        "fronts/graphql/run.py",
        "if writes:\n        return bad(",
        "if False:\n        return bad(",
        f"{GRAPH}::test_a_write_whose_reply_is_lost_is_neither_repeated_nor_stops_the_next",
    ),
    (
        "fronts/graphql/app.py",
        "self.pay(request.client or str(connection.peer[0]), client, plan)",
        "pass",
        f"{GRAPH}::test_a_client_over_its_budget_is_told_when_to_return",
    ),
    (
        "fronts/graphql/app.py",
        'if request.method == "GET" and operation.operation is not OperationType.QUERY:',
        "if False:",
        f"{HTTP}::test_get_runs_no_mutations",
    ),
    (
        "fronts/graphql/documents.py",
        "if hash_of(text) != digest:",
        "if False:",
        f"{HTTP}::test_a_hash_that_does_not_fit_or_a_text_that_is_not_valid_is_not_kept",
    ),
    (
        "fronts/graphql/documents.py",
        "self.tokens -= self.kept.popitem(last=False)[1].tokens",
        "break",
        f"{DECIDE}::test_documents_kept_are_bounded_by_number_and_by_tokens",
    ),
    (
        "fronts/graphql/documents.py",
        "None if CONDITION.search(text) else {}",
        "{}",
        f"{OPERATE}::test_selections_that_hang_on_variables_are_not_kept",
    ),
    (
        "fronts/graphql/budget.py",
        "bucket.level -= parts",
        "pass",
        f"{DECIDE}::test_no_client_spends_more_than_its_rate_and_burst",
    ),
    (
        "fronts/graphql/budget.py",
        "if passed > 0:",
        "if True:",
        f"{DECIDE}::test_a_clock_that_steps_back_earns_nothing_and_costs_nothing",
    ),
    (
        "fronts/graphql/budget.py",
        "if len(self.buckets) < self.most else self.rest",
        "",
        f"{DECIDE}::test_a_flood_of_clients_shares_one_bucket_and_memory_stays",
    ),
    (
        "broker/queries.py",
        "self.left, goers, self.goers = True, self.goers, []",
        "self.left, goers = True, []",
        f"{GRAPH}::test_the_client_leaves_half_way",
    ),
    (
        "broker/queries.py",
        "len(outcome.documents) if search.source is not False else 0",
        "len(outcome.documents)",
        f"{OPERATE}::test_a_page_that_wants_no_documents_is_whole_and_costs_one_step",
    ),
    (
        "admission/policy.py",
        "if self.prefixed[prefix] >= cap * factor:",
        "if False:",
        f"{ADMIT}::test_many_addresses_of_one_prefix_count_together",
    ),
    (
        "admission/policy.py",
        "if held >= max(settings.per_address, min(settings.per_address * factor, free)):",
        "if False:",
        f"{ADMIT}::test_a_flood_from_one_address_leaves_room_for_all_others",
    ),
    (
        "admission/policy.py",
        "min(settings.per_address * factor, free)",
        "settings.per_address * factor",
        f"{GATE}::test_a_known_client_that_misbehaves_is_bound_as_well",
    ),
    (
        "admission/policy.py",
        "return self.seats - {Rank.UNKNOWN: reserve,",
        "return self.seats - {Rank.UNKNOWN: 0,",
        f"{ADMIT}::test_the_reserve_is_for_known_clients_who_may_also_displace_the_unknown",
    ),
    (
        "admission/policy.py",
        "rank is guest.rank and self.seated.held[address] >= own + 2",
        "True",
        f"{ADMIT}::test_with_equal_shares_nobody_is_shed_and_the_newcomer_is_refused",
    ),
    (
        "admission/policy.py",
        "guest.queries += 1\n        self.use(guest.address).idle.pop(number, None)",
        "guest.queries += 1",
        f"{ADMIT}::test_when_all_seats_are_taken_the_heaviest_address_gives_up_its_idlest",
    ),
    (
        "admission/policy.py",
        "gained = min(max(now - known.at, 0.0), 1.0)",
        "gained = 1.0",
        f"{ADMIT}::test_good_conduct_is_earned_by_time_and_lost_by_misbehaving",
    ),
    (
        "admission/policy.py",
        "if guest.reason is Reason.BANNED:",
        "if False:",
        f"{ADMIT}::test_a_key_opens_a_seat_from_the_lane_but_lifts_no_ban",
    ),
    (
        "admission/policy.py",
        "if rate > cap:",
        "if False:",
        f"{ADMIT}::test_a_rate_is_refused_and_forgotten_once_it_stops",
    ),
    (
        "admission/policy.py",
        "elif own >= min(settings.queries * self.factor(rank), free):",
        "elif False:",
        f"{ADMIT}::test_one_address_gets_half_of_the_turns_and_others_still_get_theirs",
    ),
    (
        "admission/policy.py",
        "(1 - LEVEL * level)",
        "1",
        f"{ADMIT}::test_what_is_worth_less_is_refused_first",
    ),
    (
        "admission/policy.py",
        "if len(self.conduct) > self.settings.conduct_kept:",
        "if False:",
        f"{ADMIT}::test_a_million_addresses_take_no_more_memory_than_a_few_thousand",
    ),
    (
        "admission/heavy.py",
        "error = self.drop_least()",
        "self.drop_least()",
        f"{ADMIT}::test_heavy_counters_are_never_too_low_nor_sure_of_too_much",
    ),
    (
        "admission/lists.py",
        "if hashlib.sha256(body).hexdigest().encode() != head:",
        "if False:",
        f"{ADMIT}::test_lists_come_back_from_disk_and_damage_is_seen",
    ),
    (
        "admission/forwarded.py",
        "if peer not in trusted:",
        "if False:",
        f"{GATE}::test_a_stranger_s_proxy_line_and_forwarded_headers_are_not_believed "
        "tests/admission/test_forwarded.py",
    ),
    (
        "admission/forwarded.py",
        "for text in reversed(hops(headers)):",
        "for text in hops(headers):",
        "tests/admission/test_forwarded.py",
    ),
    (
        "broker/gate.py",
        "if waiting.since > until:",
        "if True:",
        f"{GATE}::test_connections_opened_and_never_used_are_closed_without_a_word",
    ),
    (
        "broker/gate.py",
        'if self.left <= 0:\n            self.end("")\n\n    def end',
        'self.end("")\n\n    def end',
        f"{GATE}::test_a_refusal_reaches_a_client_that_is_still_sending",
    ),
    (
        "broker/gate.py",
        "if self.logged[what] <= LOGGED:",
        "if True:",
        f"{GATE}::test_a_flood_of_5000_connections_while_a_known_client_queries",
    ),
    (
        "net/server.py",
        "if self.too_slow():\n            self.end_slow()",
        "if False:\n            self.end_slow()",
        f"{GATE}::test_slow_senders_that_hold_every_seat_are_told_and_closed",
    ),
    (
        "net/loop.py",
        "if len(data) - self.unsent < least * (self.loop.now - begun - grace):",
        "if False:",
        f"{GATE}::test_a_slow_reader_of_a_large_answer_is_closed",
    ),
    (
        "net/loop.py",
        "self.use_spare()\n",
        "pass\n",
        f"{GATE}::test_when_descriptors_run_out_all_the_same_the_spare_one_lets_refusals_leave",
    ),
    (
        "net/loop.py",
        "except Exception as error:  # noqa: BLE001 - one connection's",
        "except OSError as error:  #",
        f"{LOOP}::test_a_connection_that_comes_to_nothing_does_not_end_accepting",
    ),
    (
        "net/server.py",
        "gate.let_go(self, parser.size)",
        "pass",
        f"{GATE}::test_what_was_answered_holds_no_bytes_though_the_next_has_begun",
    ),
    (
        "net/server.py",
        "max(self.link.heard_at, self.free_at)",
        "self.link.heard_at",
        f"{GATE}::test_thousands_of_pipelined_requests_on_one_connection",
    ),
    (
        "search/entities.py",
        "if key in found:",
        "if False:",
        f"{GRAPH}::test_a_key_that_several_documents_hold_is_an_error",
    ),
    ("platform/frames.py", "if not 1 <= length <= MOST:", "if False:", FRAMES),
    ("platform/frames.py", "data[begin] not in LETTERS", "False", FRAMES),
    ("platform/frames.py", "not 0 <= number < math.inf", "False", FRAMES),
    ("platform/frames.py", "except UnicodeDecodeError:", "except KeyError:", FRAMES),
    (
        "platform/nodes.py",
        "Outcome.RESET if taken else Outcome.NOT_CONNECTED",
        "Outcome.RESET",
        f"{NODES}::test_a_refused_connection_proves_that_nothing_ran",
    ),
    (
        "platform/nodes.py",
        "Outcome.RESET if taken else Outcome.NOT_CONNECTED",
        "Outcome.NOT_CONNECTED",
        f"{NODES}::test_a_connection_that_ends_after_the_call_was_taken_may_have_left_it_to_run",
    ),
    (
        "platform/nodes.py",
        "return part in self.waiting or part in self.cancelled",
        "return False",
        f"{NODES}::test_a_late_answer_never_passes_for_a_later_attempts",
    ),
    (
        "platform/nodes.py",
        "return conn.cancelled.pop(message.part, self) is None",
        "return False",
        f"{NODES}::test_one_part_is_given_up_and_the_connection_lives_on",
    ),
    (
        "platform/nodes.py",
        "self.put(conn, Frame([], self.loop.now, frames.cancel(part)))",
        "pass",
        f"{NODES}::test_one_part_is_given_up_and_the_connection_lives_on",
    ),
    (
        "platform/nodes.py",
        "if not frame.sent:",
        "if False:",
        f"{NODES}::test_a_partly_taken_frame_is_finished_and_what_waits_behind_it_never_ran",
    ),
    (
        "platform/nodes.py",
        "return self.loop.now - conn.silent_since > self.connect_timeout",
        "return False",
        f"{NODES}::test_a_connection_that_falls_silent_is_left_for_another_while_its_node_serves",
    ),
    (
        "platform/nodes.py",
        "conn.silent_since = math.inf  # called off",
        "pass  # called off",
        f"{NODES}::test_a_call_off_is_no_silence",
    ),
    (
        "platform/nodes.py",
        "<= self.streams and not self",
        "<= 10_000 and not self",
        f"{NODES}::test_a_burst_opens_no_more_connections_than_its_calls_need",
    ),
    (
        "platform/nodes.py",
        "if conn.idle and conn.since <= before:",
        "if False:",
        f"{NODES}::test_an_idle_connection_is_closed_before_the_node_would",
    ),
    (
        "platform/nodes.py",
        "if whole:",
        "if False:",
        f"{NODES}::test_a_full_list_forgets_the_nodes_that_it_does_not_name",
    ),
    (
        "platform/discovery.py",
        "self.current, self.opening = task, None",
        "self.opening = None",
        f"{WATCH}::test_a_new_address_is_followed_and_the_old_watch_counts_until_it_speaks",
    ),
    (
        "platform/discovery.py",
        "link.recv(CHUNK, max(until - self.loop.now, 0.0))",
        "link.recv(CHUNK)",
        f"{WATCH}::test_a_watch_that_falls_silent_is_broken",
    ),
    (
        "platform/discovery.py",
        "link.recv(CHUNK, max(until - self.loop.now, 0.0))",
        "link.recv(CHUNK, SILENCE)",
        f"{WATCH}::test_half_a_line_for_ever_is_silence_and_empty_lines_are_none",
    ),
    (
        "platform/discovery.py",
        "not news.full and news.version < (newest or since)",
        "False",
        f"{WATCH}::test_a_watch_that_fails_is_asked_for_again_and_the_old_list_serves",
    ),
    (
        "platform/discovery.py",
        "if len(self.kept) + len(self.object) > MOST_LINE:",
        "if False:",
        f"{WATCH}::test_a_line_over_its_bound_and_what_is_no_http_are_errors",
    ),
    (
        "platform/discovery.py",
        "if len(self.kept) + len(self.object) > MOST_LINE:",
        "if len(self.kept) > MOST_LINE:",
        f"{WATCH}::test_a_list_that_never_closes_its_brackets_is_bounded",
    ),
    (
        "platform/discovery.py",
        "if news is None and task is self.opening:",
        "if False:",
        f"{WATCH}::test_a_change_is_told_in_time_whatever_call_failed",
    ),
    (
        "platform/discovery.py",
        "OPENING = 1.5",
        "OPENING = 4.5",
        f"{WATCH}::test_a_change_is_told_in_time_whatever_call_failed",
    ),
    (
        "platform/discovery.py",
        'self.depth += (found in (b"{", b"[")) - (found in (b"}", b"]"))',
        "pass",
        f"{WATCH}::test_indented_lists_are_read_however_they_are_cut",
    ),
    (
        "platform/discovery.py",
        "self.whole = True",
        "pass",
        f"{WATCH}::test_another_numbering_after_a_move_begins_with_the_whole_list",
    ),
    (
        "platform/discovery.py",
        "news.version >= self.version and not self.whole",
        "True",
        f"{WATCH}::test_changes_that_another_watch_overtook_change_nothing",
    ),
    (
        "platform/discovery.py",
        "self.opening.kill()",
        "pass",
        f"{WATCH}::test_moves_while_nothing_answers_leave_two_watches_at_the_most",
    ),
    (
        "platform/discovery.py",
        "len({entry.server for entry in entries}) < len(entries)",
        "False",
        f"{WATCH}::test_a_bad_list_is_told_and_the_list_last_had_still_holds",
    ),
    (
        "platform/config.py",
        "must_ask=True",
        'must_ask=settings["discovery"] == "ask"',
        f"{WATCH}::test_a_pushed_list_is_watched_from_the_first_turn_on",
    ),
    (
        "platform/config.py",
        'known=given.get("known")',
        'known=dict(given.get("known") or {})',
        CONFIG,
    ),
    ("platform/config.py", 'if lane["idempotency"] not in EFFECTS:', "if False:", CONFIG),
    (
        "logic.py",
        "pause = min((self.settings.rules.ask_within or math.inf) * WATCH_RETRY, RETRY_MOST)",
        "pause = self.settings.rules.ask_within * WATCH_RETRY",
        f"{WATCH}::test_what_a_list_takes_to_be_told_has_a_bound_that_all_its_parts_keep",
    ),
    (
        "platform/service.py",
        "self.loop.call_later(again[0], lambda: self.reload(again[1:]))",
        "pass",
        f"{WATCH}::test_a_half_written_file_is_read_again_and_the_move_is_not_lost",
    ),
    (
        "platform/nodes.py",
        "        self.call_back_late(conn)\n",
        "",
        f"{NODES}::test_a_call_whose_time_is_over_is_not_written_and_half_of_one_is_cut_off",
    ),
    (
        "platform/nodes.py",
        'self.call_back(conn, frame, attempt, "its node takes nothing new")',
        "pass",
        f"{NODES}::test_what_waits_for_a_node_that_drains_is_not_written_any_more",
    ),
    (
        "platform/nodes.py",
        "if not frame.taken and not any(each.call for each in frame.attempts):",
        "if False:",
        f"{NODES}::test_a_half_written_call_that_nobody_waits_for_is_never_finished",
    ),
    (
        "broker/core.py",
        "action.server, api.Outcome.NOT_SENT, 0.0))",
        "action.server, api.Outcome.NOT_SENT, 0.0)) if not action.attempt else None",
        f"{RARE}::test_a_retry_decided_in_the_turn_in_which_the_client_left_leaves_nothing_out",
    ),
    (
        "broker/core.py",
        "if attempt is not None and self.boxes.unsent(attempt):",
        "if False:",
        f"{RARE}::test_where_nothing_may_be_cancelled_what_waits_unsent_goes_with_its_client",
    ),
    (
        "net/loop.py",
        "            self.behind = max(self.behind, took)\n",
        "            pass\n",
        f"{RARE}::test_a_request_that_stood_in_the_kernel_through_a_stall_is_not_worked_on_past_its_time",
    ),
    (
        "net/server.py",
        "            self.link.sock.shutdown(socket.SHUT_WR)\n",
        "            self.link.close()\n",
        f"{ENDS}::test_the_last_answer_arrives_though_bytes_wait_unread_behind_its_request",
    ),
    (
        "net/server.py",
        "if not data or self.leaving:",
        "if not data:",
        f"{ENDS}::test_a_request_that_crosses_the_half_close_is_not_taken_up",
    ),
    (
        "net/server.py",
        "self.server.loop.call_later(LINGER, self.link.close)",
        "pass",
        f"{ENDS}::test_a_client_that_stays_after_the_end_is_let_go_after_a_while",
    ),
    (
        "net/server.py",
        "if self.link.reader is None:",
        "if False:",
        f"{ENDS}::test_what_waits_for_its_turn_to_be_read_is_not_cut_short",
    ),
    (
        "net/server.py",
        "(len(self.first) < READ_AHEAD or self.server.one_at_a_time)",
        "False",
        f"{ENDS}::test_a_client_that_sends_more_than_is_read_and_goes_is_seen_to_go",
    ),
    (
        "net/server.py",
        "(len(self.first) < READ_AHEAD or self.server.one_at_a_time)",
        "True",
        f"{ENDS}::test_what_is_read_ahead_is_bounded_and_served_in_its_turn",
    ),
    (
        "net/server.py",
        "        self.listener.accept_rest()\n",
        "",
        f"{ENDS}::test_what_the_kernel_accepted_before_the_listener_closed_is_answered",
    ),
    (
        "net/server.py",
        "if arrived > self.server.closed_at + FRESH:",
        "if False:",
        f"{ENDS}::test_a_request_that_is_whole_only_after_the_end_is_refused_and_not_taken_up",
    ),
    (
        "net/server.py",
        "if full and len(self.connections) >=",
        "if full or len(self.connections) >=",
        f"{ENDS}::test_who_finds_no_room_is_told_so",
    ),
    (
        "net/server.py",
        "if not self.in_work and not self.parser",
        "if not self.busy and not self.parser",
        f"{ENDS}::test_an_answer_that_is_being_written_is_written_whole_whatever_ends_meanwhile",
    ),
    (
        "net/server.py",
        "if self.in_work:",
        "if self.busy:",
        f"{ENDS}::test_an_answer_that_is_being_written_is_written_whole_whatever_ends_meanwhile",
    ),
    (
        "net/server.py",
        "(each.leaving or not each.in_work)",
        "(each.leaving or not each.busy)",
        f"{ENDS}::test_an_answer_that_is_being_written_is_written_whole_whatever_ends_meanwhile",
    ),
    (
        "platform/service.py",
        "yield from self.wait_while(LAST_WORD,",
        "yield from self.wait_while(60.0,",
        f"{PROCESS}::test_no_client_holds_up_the_end",
    ),
    (
        "broker/life.py",
        "HANDLED = {signal.SIGHUP, signal.SIGTERM}",
        "HANDLED = {signal.SIGUSR1}",
        f"{PROCESS}::test_a_signal_before_anybody_listens_for_it_waits",
    ),
    (
        "platform/requests.py",
        'unquote_to_bytes(name.encode("latin-1")).decode("utf-8", "replace")',
        "name",
        f"{ASKS}::test_a_class_may_have_any_name",
    ),
    (
        "platform/service.py",
        'and request.method != "POST":',
        "and True:",
        f"{ASKS}::test_a_class_may_have_any_name",
    ),
    (
        "platform/requests.py",
        "part.weight /= total",
        "pass",
        f"{ASKS}::test_rounded_shares_of_many_parts_are_whole_together",
    ),
    ("logic.py", "left + cost * capsule.share.luck >= cost", "left + cost >= cost", COLD),
    (
        "logic.py",
        "self.now >= self.began + rules.fall_time and",
        "True and",
        f"{COLD}::test_a_process_that_just_began_leaves_the_share_to_the_one_before",
    ),
    (
        "logic.py",
        "share = self.shares.setdefault(entry.server, Share())",
        "share = Share()",
        f"{COLD}::test_an_entry_that_changes_brings_no_fresh_share",
    ),
    ("logic.py", "not_after = began + kind.repeat_window", "pass", "tests/test_rules.py"),
    (
        "platform/requests.py",
        "if len({part.shard for part in parts}) < len(parts):",
        "if False:",
        ASKS,
    ),
    ("platform/requests.py", "if abs(total - 1) > ROUNDING:", "if False:", ASKS),
    ("platform/requests.py", "elif not ID.match(key):", "elif False:", ASKS),
    (
        "platform/service.py",
        "if ask.name in self.open:",
        "if False:",
        f"{ASKS}::test_an_id_that_is_open_is_refused_and_the_first_of_it_is_answered",
    ),
    (
        "platform/service.py",
        "connection.on_disconnect(lambda: self.core.gone(ask))",
        "pass",
        f"{ASKS}::test_a_client_that_goes_away_has_its_parts_given_up",
    ),
    ("platform/service.py", "yield from self.loop.sleep(STAY)", "pass", SIGTERM),
    (
        "broker/core.py",
        "or still > self.most_open",
        "or False",
        f"{ASKS}::test_over_the_cap_on_what_is_open_a_query_is_refused_at_once",
    ),
    (
        "net/server.py",
        "max(each.begun, each.free_at)",
        "each.free_at > 0",
        f"{ASKS}::test_whoever_just_came_is_not_ended_for_those_that_asked_once_and_stay",
    ),
    (
        "net/server.py",
        "while len(self.idle) > self.most_idle:",
        "while False:",
        f"{ASKS}::test_those_that_asked_once_and_stay_are_bounded_and_the_latest_are_kept",
    ),
    (
        "net/server.py",
        "and not self.evict()",
        "and False",
        f"{ASKS}::test_silent_connections_by_hundreds_leave_room_for_whoever_asks",
    ),
    (
        "net/server.py",
        "if server.closing and self.free_at:",
        "if server.leaving:",
        f"{ENDS}::test_a_connection_that_comes_while_the_front_still_sends_is_waited_for",
    ),
    (
        "net/server.py",
        "encode_response(response, request, close), self.server.limits.write,",
        "encode_response(response, request, close), None,",
        f"{RARE}::test_a_slow_reader_holds_only_its_own_answers",
    ),
    (
        "net/loop.py",
        "if error.errno in OUT_OF:",
        "if error.errno in OUT_OF:\n                    return",
        f"{RARE}::test_descriptors_that_run_out_all_the_same_end_neither_accepting_nor_what_is_connected",
    ),
    (
        "net/loop.py",
        "while timers and timers[0][0] <= now:",
        "while timers and timers[0][0] <= self.clock():",
        f"{RARE}::test_after_a_stall_answers_and_ends_in_the_sockets_come_before_time_outs",
    ),
    (
        "broker/core.py",
        "self.end_attempt(attempt, api.Outcome.TIMED_OUT, {})",
        "pass",
        f"{RARE}::test_a_node_that_vanishes_and_returns_serves_again_and_nothing_is_held_for_it",
    ),
    (
        "platform/nodes.py",
        "size, calls = self.parts_per_call, 0",
        "size, calls = 1, 0",
        f"{NODES}::test_parts_that_share_a_call_travel_in_one_frame_and_are_answered_one_by_one",
    ),
    (
        "platform/service.py",
        "max(min(self.loop.lag_lately, SLICE), self.loop.behind)",
        "self.loop.behind",
        f"{RARE}::test_the_clients_time_has_room_for_a_turn_as_long_as_any_was",
    ),
    (
        "logic.py",
        "return deaf, bound, self.silent(capsule)",
        "return False, bound, self.silent(capsule)",
        f"{FAILURES}::test_a_class_that_a_server_loses_while_it_answers_others_goes_elsewhere",
    ),
    (
        "logic.py",
        "if not lost or capsule.answered_sent > attempt.sent:",
        "if True:",
        f"{FAILURES}::test_a_pause_is_not_taken_for_deafness",
    ),
    (
        "logic.py",
        "self.send_again(query, part, STILL_SHARE)",
        "pass",
        f"{FAILURES}::test_a_server_that_stands_still_is_chosen_last_and_what_is_out_there_is_copied",
    ),
    (
        "ownership/fence.py",
        "held.version <= self.newest.version:",
        "held.version < self.newest.version:",
        f"{OWNED}::test_a_fence_takes_nothing_before_a_majority_told_and_nothing_older_after",
    ),
    (
        "ownership/fence.py",
        "if len(able) < self.majority:",
        "if not able:",
        f"{OWNED}::test_a_fence_takes_nothing_before_a_majority_told_and_nothing_older_after",
    ),
    (
        "ownership/fence.py",
        "if newest.step and (",
        "if False and (",
        f"{OWNED}::test_a_fence_waits_where_the_newest_may_or_may_not_count",
    ),
    (
        "ownership/quorum.py",
        "if reply.life >= newest.get(voter, 0)",
        "if True",
        f"{OWNED}::test_an_answer_from_before_a_memory_was_lost_does_not_count",
    ),
    (
        "ownership/voter.py",
        "if len(way.done) > len(self.others) // 2:",
        "if way.done:",
        f"{OWNED}::test_a_voter_that_lost_its_memory_is_silent_until_most_others_told_it",
    ),
    (
        "ownership/voter.py",
        "None, True\n            self.votes_from = now + self.settings.hold",
        "None, True\n            self.votes_from = now",
        f"{OWNED}::test_a_voter_that_lost_its_memory_is_silent_until_most_others_told_it",
    ),
    (
        "ownership/voter.py",
        "if job is None and len(self.jobs) >= m.MOST_JOBS:",
        "if False:",
        f"{OWNED}::test_a_voter_takes_no_more_jobs_than_the_bound_and_says_so",
    ),
    (
        "ownership/owner.py",
        "if self.bypassed and self.pending is None",
        "if False and self.pending is None",
        f"{OWNMODEL}::test_a_minority_of_voters_costs_nothing",
    ),
    (
        "ownership/node.py",
        "if len(self.orders) >= ORDERS:",
        "if False:",
        f"{OWNED}::test_orders_are_bounded_and_end_in_time",
    ),
    (
        "ownership/drains.py",
        "len(state.out) >= drain.at_most or not left",
        "not left",
        f"{OWNED}::test_no_more_are_out_than_asked_each_goes_once_and_the_end_is_reached",
    ),
    (
        "ownership/drains.py",
        "if number in state.orders:",
        "if False:",
        f"{OWNED}::test_an_order_said_twice_is_taken_once",
    ),
    (
        "broker/voterstore.py",
        "if digest(version, body) != data[head:head + DIGEST]:",
        "if False:",
        f"{OWNED}::test_a_state_that_is_cut_or_flipped_at_any_byte_is_a_lost_memory_and_is_put_aside",
    ),
    (
        "broker/voterstore.py",
        'for path in (self.path, self.path.with_suffix(".damaged")):',
        "for path in (self.path,):",
        f"{OWNED}::test_a_voter_begins_once",
    ),
    (
        "discovery/drained.py",
        "self.entries.pop(entry.server, None)",
        "pass",
        f"{OWNED}::test_the_ledgers_drains_lie_over_the_list_and_what_it_says_gone_stays_gone",
    ),
    (
        "ownership/node.py",
        "to or (line[0] if line else None)",
        "to",
        f"{OWNMODEL}::test_a_job_that_is_handed_over_is_owned_again_within_fifty_milliseconds",
    ),
    (
        "peers/questions.py",
        "asked |= dict.fromkeys(self.watchers_of(names, others)[:count // 2])",
        "pass",
        f"{FUZZED}::test_those_that_watch_the_silent_one_are_asked_first",
    ),
    (
        "peers/members.py",
        "lacking.append(word.identity)",
        "pass",
        f"{FUZZED}::test_of_a_process_long_known_only_what_changed_is_told_and_who_lacks_it_asks",
    ),
    (
        "peers/table.py",
        "{record.port}\\n{record.process}",
        "{record.port}",
        f"{FUZZED}::test_short_news_of_an_earlier_process_do_not_touch_the_one_that_took_its_name",
    ),
    (
        "peers/members.py",
        "lacking[:wire.WORDS]",
        "lacking[:0]",
        f"{FUZZED}::test_a_question_about_the_table_gets_what_is_missing_and_asks_for_what_is_lacking_here",
    ),
    (
        "peers/members.py",
        "if room < 0 or count == wire.WORDS:",
        "if count == wire.RECORDS:",
        f"{FUZZED}::test_names_of_four_bytes_a_letter_get_through_too",
    ),
    (
        "peers/members.py",
        "not self.isolated and self.agrees(now, watched,",
        "self.agrees(now, watched,",
        f"{FUZZED}::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard",
    ),
    (
        "peers/members.py",
        "if sign.heard >= 0:\n                watched.note(",
        "if False:\n                watched.note(",
        f"{PEERS}::test_whom_one_watcher_does_not_hear_is_vouched_for_by_others_and_not_even_suspect",
    ),
    (
        "peers/members.py",
        "if beat.held >= 0:",
        "if False:",
        f"{FUZZED}::test_word_of_ones_own_death_is_answered_by_a_greater_incarnation",
    ),
    (
        "peers/members.py",
        "watched.shift(gap)",
        "pass",
        f"{FUZZED}::test_time_that_a_member_stood_still_is_not_counted_as_others_silence",
    ),
    (
        "peers/losses.py",
        "if edges and 2 * (hear_me + 1) <= len(edges) + 1:",
        "if False:",
        f"{PEERS}::test_who_hears_all_and_is_heard_by_nobody_learns_it_and_the_others_go_on",
    ),
    (
        "peers/members.py",
        "if dead:\n",
        "if False:\n",
        f"{FUZZED}::test_the_dead_are_called_now_and_then",
    ),
    (
        "peers/members.py",
        "if missing:\n",
        "if False:\n",
        f"{PEERS}::test_two_fleets_that_formed_apart_find_each_other_by_their_seeds",
    ),
    (
        "peers/members.py",
        "if apart > settings.tombstone / 2:",
        "if False:",
        f"{PEERS}::test_a_member_cut_off_for_long_takes_no_share_before_others_stop_counting_it",
    ),
    (
        "peers/members.py",
        "most = sum(counts) - counts[State.LEFT]",
        "most = sum(counts[:State.DEAD])",
        f"{PEERS}::test_the_dead_are_counted_for_as_long_as_they_are_remembered",
    ),
    (
        "peers/questions.py",
        "return lately >= min(settings.proofs, others)",
        "return True",
        f"{FUZZED}::test_a_verdict_takes_three_others_word_and_a_death_that_the_judge_is_heard",
    ),
    (
        "peers/rate.py",
        "if self.saved - size < -borrow * self.burst:",
        "if False:",
        f"{FUZZED}::test_a_flood_of_questions_is_answered_within_the_rate",
    ),
    (
        "peers/members.py",
        'self.step_aside(now, f"another process',
        'str(f"another process',
        f"{FUZZED}::test_of_two_living_processes_under_one_name_the_older_steps_aside_and_the_newer_stays",
    ),
    (
        "peers/members.py",
        "elif not self.joined or record.state in GONE",
        "elif record.state in GONE",
        f"{PEERS}::test_a_restart_with_a_clock_set_back_takes_an_epoch_above_the_old_one",
    ),
    (
        "peers/table.py",
        "if old is not None and record.rank <= old.rank:",
        "if old is not None and record == old:",
        f"{FUZZED}::test_what_was_learnt_is_not_unlearnt",
    ),
    (
        "peers/table.py",
        "return len(self.records) < self.most",
        "return True",
        f"{FUZZED}::test_ten_thousand_invented_members_take_no_more_room_than_the_bound_and_old_ones_stay",
    ),
    (
        "peers/wire.py",
        "if len(data) > MOST_BYTES:",
        "if False:",
        f"{FUZZED}::test_what_is_absurd_is_counted_and_changes_nothing",
    ),
    (
        "peers/wire.py",
        "if found.fleet != fleet:",
        "if False:",
        f"{FUZZED}::test_what_is_absurd_is_counted_and_changes_nothing",
    ),
    (
        "peers/rings.py",
        "between[other] = None",
        "pass",
        f"{FUZZED}::test_watching_is_mutual_and_everybody_has_watchers",
    ),
    (
        "net/loop.py",
        "self.loop.call_later(NEXT_TURN, self.read)",
        "pass",
        f"{LOOP}::test_datagrams_that_come_at_once_are_all_read_and_others_have_their_turn",
    ),
    (
        "peers/members.py",
        "wire.Ask(names), self.question_borrow)",
        "wire.Ask(names), ANSWERS)",
        f"{PEERS}::test_a_third_lost_at_once_is_known_to_all_also_where_little_may_be_sent",
    ),
    (
        "peers/members.py",
        "max(QUESTION_LEAVES * self.bulk, -0.5)",
        "0.0",
        f"{FUZZED}::test_where_little_is_left_of_the_rate_repairs_go_and_questions_wait",
    ),
    (
        "peers/members.py",
        "for name in known[:wire.ASKED]], borrow=0.0)",
        "for name in known[:wire.ASKED]])",
        f"{FUZZED}::test_word_that_nothing_was_heard_borrows_nothing",
    ),
    (
        "peers/members.py",
        "self.beat(now, sign.name, reply=True)",
        "self.beat(now, sign.name, reply=True, borrow=0.0)",
        f"{FUZZED}::test_whoever_is_asked_pings_the_silent_one_also_with_nothing_saved",
    ),
    (
        "peers/questions.py",
        "found.sort(key=lambda other: told_at",
        "str(lambda other: told_at",
        f"{FUZZED}::test_others_are_asked_in_turn_so_that_none_is_left_out_for_long",
    ),
    (
        "peers/questions.py",
        "min(BREADTH * settings.helpers, others)",
        "0",
        f"{FUZZED}::test_where_many_are_lost_at_once_more_others_must_have_heard_nothing",
    ),
    (
        "peers/members.py",
        "*first], ANSWERS, whole=True)",
        "*first], whole=True)",
        f"{PEERS}::test_many_that_join_at_once_are_let_in_by_seeds_that_were_there_before",
    ),
    (
        "broker/subsetting.py",
        "self.on_list(self.whole(ListKind.FULL,",
        "list(self.whole(ListKind.FULL,",
        f"{SUBSET}::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
    ),
    (
        "broker/subsetting.py",
        "if self.off or event.kind is ListKind.FAILED:",
        "if event.kind is ListKind.FAILED:",
        f"{SUBSET}::test_after_a_defect_the_core_has_the_whole_list_and_keeps_it",
    ),
    (
        "broker/subsetting.py",
        "timer.cancel()",
        "pass",
        f"{SUBSET}::test_what_was_decided_and_not_handed_over_does_not_come_after_the_whole_list",
    ),
    (
        "broker/subsetting.py",
        "while more and clock() < until:",
        "while more:",
        f"{SUBSET}::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
    ),
    (
        "broker/subsetting.py",
        "self.loop.call_later(NEXT_TURN, self.slice)",
        "self.loop.call_later(0.0, self.slice)",
        f"{SUBSET}::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
    ),
    (
        "broker/subsetting.py",
        "self.ready += parts(event)",
        "self.ready.append(event)",
        f"{SUBSET}::test_a_long_list_is_taken_in_slices_and_no_turn_is_held_for_long",
    ),
    (
        "broker/subsetting.py",
        "self.loop.call_at(at, self.begin) if at is not None else None",
        "None",
        f"{SUBSET}::test_a_cold_node_is_warm_at_its_time_though_no_list_comes",
    ),
    (
        "broker/subsetting.py",
        "self.guarded(lambda: self.subset.count(instances))",
        "pass",
        f"{SUBSET}::test_the_count_of_brokers_sets_how_many_nodes_each_uses",
    ),
    (
        "broker/subsetting.py",
        "if cells <= MAX_TOLD:",
        "if True:",
        f"{SUBSET}::test_few_changes_are_told_one_by_one_and_many_in_one_event",
    ),
    (
        "broker/service.py",
        "self.subsetting.count(count)",
        "pass",
        f"{SUBSET}::test_a_broker_uses_some_nodes_before_its_first_turn_and_both_hear_the_count",
    ),
    (
        "broker/service.py",
        "self.listed.on_list = self.subsetting.take",
        "pass",
        f"{SUBSET}::test_a_broker_uses_some_nodes_before_its_first_turn_and_both_hear_the_count",
    ),
    (
        "subsets/subset.py",
        "or self.told and urgent and not self.urgent",
        "",
        f"{SUBSET}::test_a_node_in_use_that_drains_while_a_long_list_is_taken_in_is_passed_on_first",
    ),
    (
        "subsets/subset.py",
        "[*cell.entries, *cell.held.values()]",
        "cell.held.values()",
        f"{SUBSET}::test_no_node_takes_anothers_place_that_the_same_list_says_gone_or_draining",
    ),
    (
        "config/subset.py",
        "if size < around.max_attempts:",
        "if False:",
        f"{SUBSETS}::test_a_default_size_under_the_attempts_is_told_where_the_block_begins",
    ),
    (
        "logic.py",
        "self.instances = max(event.instances, 1)",
        "pass",
        f"{FAILURES}::test_the_number_of_instances_that_may_be_there_sets_each_ones_share_of_a_cold_server",
    ),
    ("logic.py", "if capsule.entry.state is ServerState.LIVE:", "if True:", SUBSET_RULES),
    ("logic.py", "self.queries.pop(query.number, None)", "pass", SUBSET_RULES),
    (
        "subsets/choice.py",
        "return max(LEAST_QUOTA, *found)",
        "return max(LEAST_QUOTA, *found) + 1",
        f"{SUBSET_COST}::test_a_subset_holds_exactly_its_size_of_each_shard_and_told_the_module_no_more",
    ),
    (
        "lab/subset_cost.py",
        'random.Random(f"{seed} queries of {number}")',
        "random.Random()",
        f"{SUBSET_COST}::test_a_seed_gives_the_same_run_and_another_seed_another",
    ),
    (
        "lab/subset_cost.py",
        'random.Random(f"{seed} queries of {number}")',
        'random.Random(f"{seed} queries of {number} {world.variant}")',
        f"{SUBSET_COST}::test_all_lists_get_the_same_queries_with_the_same_work",
    ),
    (
        "lab/subset_cost.py",
        "if able >= 1.0:",
        "if True:",
        f"{SUBSET_COST}::test_a_cold_node_that_gets_more_than_it_bears_falls_and_one_that_gets_less_does_not",
    ),
    (
        "lab/subset_cost.py",
        "self.after(DETECTION, self.tell, nodes, ServerState.GONE)",
        "pass",
        f"{SUBSET_COST}::test_a_lost_zone_is_told_of_and_comes_back_cold_on_every_list",
    ),
    (
        "lab/subset_cost.py",
        "self.world.at(warm_at, self.choose)",
        "pass",
        f"{SUBSET_COST}::test_a_lost_zone_is_told_of_and_comes_back_cold_on_every_list",
    ),
    (
        "subsets/choice.py",
        "chosen[-1] = other",
        "pass",
        f"{CHOICE}::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
    ),  # S2
    (
        "subsets/choice.py",
        "if all(tier(entry.zone) > nearest for entry in chosen):",
        "if False:",
        f"{CHOICE}::test_the_chosen_are_the_first_but_for_one_of_another_zone_and_one_of_the_nearest",
    ),  # S3
    (
        "subsets/choice.py",
        "math.floor(min(holders * live / instances, float(live)) + dither)",
        "math.floor(min(holders * live / instances, float(live)))",
        f"{CHOICE}::test_rounding_by_a_draw_keeps_the_mean_of_holders",
    ),  # S6
    (
        "subsets/subset.py",
        "if shape.reach > 1:",
        "if False:",
        f"{CHOSEN}::test_a_shard_whose_one_cell_is_all_cold_is_served_from_its_other",
    ),  # S1
    (
        "subsets/subset.py",
        "self.mark(heapq.heappop(self.warming)[1], Cause.WARM, self.dirty)",
        "self.dirty.setdefault(heapq.heappop(self.warming)[1], Cause.WARM)",
        f"{CHOSEN}::test_a_cell_beside_gives_more_once_the_last_warm_node_drains_and_less_once_others_are_warm",
    ),  # S4
    (
        "subsets/subset.py",
        "if unread.whole or self.pending is None:",
        "if self.pending is None:",
        f"{CHOSEN}::test_the_subset_is_a_function_of_the_list_whatever_the_way_to_it",
    ),  # S4
    (
        "subsets/subset.py",
        "or self.told and urgent and not self.urgent",
        "",
        f"{CHOSEN}::test_what_drains_is_told_with_its_replacement_before_a_long_list_is_taken_in",
    ),  # S7
    (
        "subsets/subset.py",
        "self.take_words([*cell.entries, *cell.held.values()])",
        "self.take_words(cell.held.values())",
        f"{CHOSEN}::test_a_node_that_drains_by_a_list_in_work_does_not_stand_in_for_another",
    ),  # S7
    (
        "subsets/subset.py",
        "(word.state, word.up_since) != (entry.state, entry.up_since)",
        "word.state != entry.state",
        f"{CHOSEN}::test_a_held_node_that_is_another_process_is_no_longer_taken_for_warm",
    ),  # S7
    (
        "subsets/subset.py",
        "for entry in left if not self.index.held(entry.server)]",
        "for entry in left]",
        f"{CHOSEN}::test_a_node_that_moves_to_another_cell_is_not_told_to_be_gone_after_it_entered",
    ),
    (
        "subsets/subset.py",
        "self.heard, self.first = True, event.kind",
        "self.heard = True",
        f"{CHOSEN}::test_the_first_list_is_told_also_where_nothing_of_it_is_used",
    ),
    (
        "subsets/subset.py",
        "READ_AT_ONCE = 1024",
        "READ_AT_ONCE = 1_000_000",
        f"{CHOSEN}::test_no_unit_grows_with_the_list",
    ),
    (
        "subsets/subset.py",
        "len(warm) < quota and len(cold) < quota and share.may_send",
        "share.may_send",
        f"{CHOSEN}::test_of_a_cell_that_is_all_cold_a_quota_is_used_and_of_some_cold_what_ranks_before_a_warm_one",
    ),  # S9
    (
        "subsets/cold.py",
        "max(mean + SPREAD * math.sqrt(mean * (1.0 - share)), 1.0)",
        "max(mean, 1.0)",
        f"{SHARED}::test_alike_views_are_over_the_budget_once_in_a_thousand_and_never_over_what_is_spare",
    ),  # S8
    (
        "subsets/cold.py",
        "if divisor >= instances:",
        "if False:",
        f"{SHARED}::test_where_a_part_of_the_brokers_would_take_more_than_all_of_them_all_may",
    ),  # S8
    (
        "subsets/cold.py",
        "share = min(1.0, ELIGIBLE * quota / max(live, 1))",
        "share = min(1.0, ELIGIBLE * quota / max(live, 1)) / 2",
        f"{CHOSEN}::test_what_is_used_of_any_fleet",
    ),  # S8
]


def planted(root: Path, row: Row) -> str:
    """What came of one defect: 'seen', 'unseen' or why it could not be planted."""
    file, old, new, tests = row
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name)
        for folder in ("stepknot", "tests", "deploy"):
            shutil.copytree(
                root / folder, copy / folder, ignore=shutil.ignore_patterns("__pycache__")
            )
        shutil.copy(root / "pyproject.toml", copy)
        path = copy / "stepknot" / file
        text = path.read_text()
        if text.count(old) != 1:
            return f"its place was found {text.count(old)} times"
        path.write_text(text.replace(old, new))
        try:
            run = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-x",
                    "-p",
                    "no:cacheprovider",
                    *tests.split(),
                ],
                cwd=copy,
                env={**os.environ, "PYTHONPATH": str(copy)},
                capture_output=True,
                timeout=120,
            )
        except subprocess.TimeoutExpired:
            return "pytest did not end"
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
            click.echo(
                f"{came:<8} {row[0]}: {row[1].splitlines()[0]}  ({row[3].rpartition('::')[2]})"
            )
    click.echo(f"{len(rows) - bad} of {len(rows)} defects were seen by their tests")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
