"""Planted defects of admission."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="if self.prefixed[prefix] >= cap * factor:",
        replacement="if False:",
        tests=("tests/admission/test_policy.py::test_many_addresses_of_one_prefix_count_together",),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="if held >= max(settings.per_address, min(settings.per_address * factor, free)):",
        replacement="if False:",
        tests=(
            "tests/admission/test_policy.py::test_a_flood_from_one_address_leaves_room_for_all_others",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="min(settings.per_address * factor, free)",
        replacement="settings.per_address * factor",
        tests=(
            "tests/admission/test_sockets.py::test_a_known_client_that_misbehaves_is_bound_as_well",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="            - {Rank.UNKNOWN: reserve, Rank.CONDUCT: reserve - reserve // 2, Rank.LISTED: 0}[rank]\n",
        replacement="            - {Rank.UNKNOWN: 0, Rank.CONDUCT: reserve - reserve // 2, Rank.LISTED: 0}[rank]\n",
        tests=(
            "tests/admission/test_policy.py::test_the_reserve_is_for_known_clients_who_may_also_displace_the_unknown",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="rank is guest.rank and self.seated.held[address] >= own + 2",
        replacement="True",
        tests=(
            "tests/admission/test_policy.py::test_with_equal_shares_nobody_is_shed_and_the_newcomer_is_refused",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="guest.queries += 1\n        self.use(guest.address).idle.pop(number, None)",
        replacement="guest.queries += 1",
        tests=(
            "tests/admission/test_policy.py::test_when_all_seats_are_taken_the_heaviest_address_gives_up_its_idlest",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="gained = min(max(now - known.at, 0.0), 1.0)",
        replacement="gained = 1.0",
        tests=(
            "tests/admission/test_policy.py::test_good_conduct_is_earned_by_time_and_lost_by_misbehaving",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="if guest.reason is Reason.BANNED:",
        replacement="if False:",
        tests=(
            "tests/admission/test_policy.py::test_a_key_opens_a_seat_from_the_lane_but_lifts_no_ban",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="if rate > cap:",
        replacement="if False:",
        tests=(
            "tests/admission/test_policy.py::test_a_rate_is_refused_and_forgotten_once_it_stops",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="elif own >= min(settings.queries * self.factor(rank), free):",
        replacement="elif False:",
        tests=(
            "tests/admission/test_policy.py::test_one_address_gets_half_of_the_turns_and_others_still_get_theirs",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="(1 - LEVEL * level)",
        replacement="1",
        tests=("tests/admission/test_policy.py::test_what_is_worth_less_is_refused_first",),
    ),
    PlantedDefect(
        path="stepknot/admission/policy.py",
        original="if len(self.conduct) > self.settings.conduct_kept:",
        replacement="if False:",
        tests=(
            "tests/admission/test_policy.py::test_a_million_addresses_take_no_more_memory_than_a_few_thousand",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/heavy.py",
        original="error = self.drop_least()",
        replacement="self.drop_least()",
        tests=(
            "tests/admission/test_policy.py::test_heavy_counters_are_never_too_low_nor_sure_of_too_much",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/lists.py",
        original="if hashlib.sha256(body).hexdigest().encode() != head:",
        replacement="if False:",
        tests=(
            "tests/admission/test_policy.py::test_lists_come_back_from_disk_and_damage_is_seen",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/forwarded.py",
        original="if peer not in trusted:",
        replacement="if False:",
        tests=(
            "tests/admission/test_sockets.py::test_a_stranger_s_proxy_line_and_forwarded_headers_are_not_believed",
            "tests/admission/test_forwarded.py",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/forwarded.py",
        original="for text in reversed(hops(headers)):",
        replacement="for text in hops(headers):",
        tests=("tests/admission/test_forwarded.py",),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_gate.py",
        original="if waiting.since > until:",
        replacement="if True:",
        tests=(
            "tests/admission/test_sockets.py::test_connections_opened_and_never_used_are_closed_without_a_word",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_gate.py",
        original='if self.left <= 0:\n            self.end("")\n\n    def end',
        replacement='self.end("")\n\n    def end',
        tests=(
            "tests/admission/test_sockets.py::test_a_refusal_reaches_a_client_that_is_still_sending",
        ),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_gate.py",
        original="if self.logged[what] <= LOGGED:",
        replacement="if True:",
        tests=(
            "tests/admission/test_sockets.py::test_a_flood_of_5000_connections_while_a_known_client_queries",
        ),
    ),
]
