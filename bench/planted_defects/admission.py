"""Planted defects of admission."""

from bench.planted_defects.defect import PlantedDefect

POLICY = "tests/admission/test_policy.py"
SOCKETS = "tests/admission/test_sockets.py"

DEFECTS = [
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="if self.by_prefix[prefix] >= limit * factor:",
        replacement="if False:",
        tests=(f"{POLICY}::test_many_addresses_of_one_prefix_count_together",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="if own >= max(settings.per_address, min(settings.per_address * factor, free)):",
        replacement="if False:",
        tests=(f"{POLICY}::test_a_flood_from_one_address_leaves_room_for_all_others",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="min(settings.per_address * factor, free)",
        replacement="settings.per_address * factor",
        tests=(f"{SOCKETS}::test_a_known_client_that_misbehaves_is_bound_as_well",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="            return self.capacity - reserve\n",
        replacement="            return self.capacity\n",
        tests=(
            f"{POLICY}::test_the_reserve_is_for_known_clients_who_may_also_displace_the_unknown",
        ),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="has_lead = self.by_address[address] >= own + MIN_EVICTION_LEAD",
        replacement="has_lead = True",
        tests=(f"{POLICY}::test_with_equal_shares_nobody_is_shed_and_the_newcomer_is_refused",),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="connection.queries += 1\n        self.slots.mark_busy(connection)",
        replacement="connection.queries += 1",
        tests=(
            f"{POLICY}::test_when_all_seats_are_taken_the_heaviest_address_gives_up_its_idlest",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/admission/reputation.py",
        original="gained = min(max(now - reputation.updated_at, 0.0), MAX_GAIN)",
        replacement="gained = MAX_GAIN",
        tests=(f"{POLICY}::test_good_conduct_is_earned_by_time_and_lost_by_misbehaving",),
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="if connection.reason is RejectReason.BANNED:",
        replacement="if False:",
        tests=(f"{POLICY}::test_a_key_opens_a_seat_from_the_lane_but_lifts_no_ban",),
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="if rate > max_rate:",
        replacement="if False:",
        tests=(f"{POLICY}::test_a_rate_is_refused_and_forgotten_once_it_stops",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/admission/query_slots.py",
        original="if self.by_address[slot.address] >= min(settings.queries * factor, free):",
        replacement="if False:",
        tests=(f"{POLICY}::test_one_address_gets_half_of_the_turns_and_others_still_get_theirs",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/query_slots.py",
        original="(1 - RESERVED_PER_LEVEL * level)",
        replacement="1",
        tests=(f"{POLICY}::test_what_is_worth_less_is_refused_first",),
    ),
    PlantedDefect(
        path="stepknot/admission/reputation.py",
        original="if len(self._by_address) > self.settings.conduct_kept:",
        replacement="if False:",
        tests=(f"{POLICY}::test_a_million_addresses_take_no_more_memory_than_a_few_thousand",),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/admission/heavy_hitters.py",
        original="error = self._remove_lowest()",
        replacement="self._remove_lowest()",
        tests=(f"{POLICY}::test_heavy_counters_are_never_too_low_nor_sure_of_too_much",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/admission/access_lists.py",
        original="if _checksum(body).encode() != checksum:",
        replacement="if False:",
        tests=(f"{POLICY}::test_lists_come_back_from_disk_and_damage_is_seen",),
    ),
    PlantedDefect(
        path="stepknot/admission/forwarded.py",
        original="if peer not in trusted:",
        replacement="if False:",
        tests=(
            f"{SOCKETS}::test_a_stranger_s_proxy_line_and_forwarded_headers_are_not_believed",
            "tests/admission/test_forwarded.py",
        ),
    ),
    PlantedDefect(
        path="stepknot/admission/forwarded.py",
        original="for hop in reversed(_hops(headers)):",
        replacement="for hop in _hops(headers):",
        tests=("tests/admission/test_forwarded.py",),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_gate.py",
        original="if waiting.since > oldest_allowed:",
        replacement="if True:",
        tests=(f"{SOCKETS}::test_connections_opened_and_never_used_are_closed_without_a_word",),
    ),
    PlantedDefect(
        path="stepknot/broker/waiting_connection.py",
        original="        if self._unread <= 0:\n            self.close()\n\n    def close",
        replacement="        self.close()\n\n    def close",
        tests=(f"{SOCKETS}::test_a_refusal_reaches_a_client_that_is_still_sending",),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_rejections.py",
        original="if self._counts[reason] <= MAX_EVENTS_PER_SECOND:",
        replacement="if True:",
        tests=(f"{SOCKETS}::test_a_flood_of_5000_connections_while_a_known_client_queries",),
    ),
]
