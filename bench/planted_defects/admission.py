"""Planted defects in `stepknot/admission`."""

from bench.planted_defects.defect import PlantedDefect

CONTROLLER = "tests/admission/test_controller.py"
SOCKETS = "tests/admission/test_sockets.py"

DEFECTS = [
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="if self.by_prefix[prefix] >= limit * factor:",
        replacement="if False:",
        tests=(f"{CONTROLLER}::test_addresses_of_one_prefix_count_together",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="if own >= max(settings.per_address, min(settings.per_address * factor, free)):",
        replacement="if False:",
        tests=(f"{CONTROLLER}::test_flood_from_one_address_leaves_slots_for_all_others",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="min(settings.per_address * factor, free)",
        replacement="settings.per_address * factor",
        tests=(f"{SOCKETS}::test_known_client_that_floods_is_limited_as_well",),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="            return self.capacity - reserve\n",
        replacement="            return self.capacity\n",
        tests=(f"{CONTROLLER}::test_known_clients_get_the_reserve_and_evict_unknown_ones",),
        invariant="2",
    ),
    PlantedDefect(
        path="stepknot/admission/connection_slots.py",
        original="has_more = self.by_address[address] >= own + MIN_EVICTION_DIFFERENCE",
        replacement="has_more = True",
        tests=(
            f"{CONTROLLER}::test_new_connection_among_equal_addresses_evicts_none_and_is_rejected",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="connection.queries += 1\n        self.slots.mark_busy(connection)",
        replacement="connection.queries += 1",
        tests=(
            f"{CONTROLLER}::test_new_connection_evicts_the_longest_idle_one_of_the_heaviest_address",
        ),
        invariant="3",
    ),
    PlantedDefect(
        path="stepknot/admission/reputation.py",
        original="gained = min(max(now - reputation.updated_at, 0.0), MAX_GAIN)",
        replacement="gained = MAX_GAIN",
        tests=(f"{CONTROLLER}::test_reputation_is_earned_by_time_and_lost_by_misconduct",),
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="if connection.reason is RejectReason.BANNED:",
        replacement="if False:",
        tests=(f"{CONTROLLER}::test_api_key_admits_from_the_waiting_queue_but_lifts_no_ban",),
    ),
    PlantedDefect(
        path="stepknot/admission/controller.py",
        original="if rate > max_rate:",
        replacement="if False:",
        tests=(f"{CONTROLLER}::test_excessive_rate_is_rejected_until_it_stops",),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/admission/query_slots.py",
        original="if self.by_address.get(slot.address, 0) >= min(settings.queries * factor, free):",
        replacement="if False:",
        tests=(
            f"{CONTROLLER}::test_one_address_gets_half_of_the_query_slots_and_others_still_get_theirs",
        ),
        invariant="1",
    ),
    PlantedDefect(
        path="stepknot/admission/query_slots.py",
        original="(1 - RESERVED_PER_LEVEL * level)",
        replacement="1",
        tests=(f"{CONTROLLER}::test_lower_priority_is_rejected_first",),
    ),
    PlantedDefect(
        path="stepknot/admission/reputation.py",
        original="if len(self._by_address) > self.settings.conduct_kept:",
        replacement="if False:",
        tests=(f"{CONTROLLER}::test_memory_does_not_grow_with_the_number_of_addresses",),
        invariant="5",
    ),
    PlantedDefect(
        path="stepknot/admission/heavy_hitters.py",
        original="error = self._remove_lowest()",
        replacement="self._remove_lowest()",
        tests=(
            "tests/admission/test_heavy_hitters.py::test_counts_are_never_too_low_and_lower_bounds_never_too_high",
        ),
        invariant="4",
    ),
    PlantedDefect(
        path="stepknot/admission/access_lists.py",
        original="if _checksum(body).encode() != checksum:",
        replacement="if False:",
        tests=("tests/admission/test_access_lists.py::test_damaged_snapshot_is_rejected",),
    ),
    PlantedDefect(
        path="stepknot/admission/forwarded.py",
        original="if peer not in trusted:",
        replacement="if False:",
        tests=(
            f"{SOCKETS}::test_untrusted_peers_proxy_line_and_forwarded_headers_are_ignored",
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
        tests=(f"{SOCKETS}::test_connections_opened_and_never_used_are_closed_without_an_answer",),
    ),
    PlantedDefect(
        path="stepknot/broker/waiting_connection.py",
        original="        if self._unread <= 0:\n            self.close()\n\n    def close",
        replacement="        self.close()\n\n    def close",
        tests=(f"{SOCKETS}::test_rejection_reaches_a_client_that_is_still_sending",),
    ),
    PlantedDefect(
        path="stepknot/broker/admission_rejections.py",
        original="if self._counts[reason] <= MAX_EVENTS_PER_SECOND:",
        replacement="if True:",
        tests=(
            f"{SOCKETS}::test_flood_of_5000_connections_is_answered_while_a_known_client_is_served",
        ),
    ),
]
