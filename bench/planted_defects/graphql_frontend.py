"""Planted defects of graphql frontend."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/frontends/graphql/limits.py",
        original="if name in self.open:",
        replacement="if False:",
        tests=("tests/graphql/test_hard_cases.py::test_hostile_documents_are_refused",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/limits.py",
        original="            self.known[name] = (\n                self.selections(found.selection_set) if found is not None else Shape()\n            )\n",
        replacement="            self.known[name] = Shape()\n",
        tests=(
            "tests/graphql/test_decisions.py::test_fragments_count_as_often_as_they_are_spread",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/limits.py",
        original="if found.tokens > most:",
        replacement="if False:",
        tests=("tests/graphql/test_decisions.py::test_counting_stops_at_the_limit",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/limits.py",
        original="fields -= 1",
        replacement="pass",
        tests=(
            "tests/graphql/test_decisions.py::test_a_look_at_the_text_counts_no_field_or_alias_too_many",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/limits.py",
        original="(?:[eE][+-]?[0-9]+)?",
        replacement="[0-9.eE+-]*",
        tests=("tests/graphql/test_decisions.py::test_tokens_are_never_counted_too_low",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/plan.py",
        original="if got > most:\n                raise TooMuch",
        replacement="if False:\n                raise TooMuch",
        tests=(
            "tests/graphql/test_hard_cases.py::test_aliased_copies_of_a_costly_field_are_refused_before_anything_is_sent",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/plan.py",
        original="+ self.linked_parts(wanted, first)\n",
        replacement="\n",
        tests=(
            "tests/graphql/test_decisions.py::test_an_operations_cost_is_never_under_the_parts_it_causes",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/plan.py",
        original="(min(len(query.targets), rows) if two else 0)",
        replacement="0",
        tests=(
            "tests/graphql/test_decisions.py::test_an_operations_cost_is_never_under_the_parts_it_causes",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/plan.py",
        original="if found[0] != order:",
        replacement="if False:",
        tests=("tests/graphql/test_operations.py::test_a_cursor_of_another_sort_is_turned_down",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/plan.py",
        original='if "_id" not in seen:',
        replacement="if False:",
        tests=("tests/graphql/test_operations.py::test_cursors_lead_through_all_rows_once",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/run.py",
        original="return None if served else bad(",
        replacement="return None if True else bad(",
        tests=("tests/graphql/test_hard_cases.py::test_500_keys_30_unknown_one_shard_down",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/run.py",
        original="if error is None and not outcome.coverage().complete:",
        replacement="if False:",
        tests=(
            "tests/graphql/test_hard_cases.py::test_counts_from_some_shards_are_errors_and_not_numbers",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/run.py",
        original="if found is None\n",
        replacement="if False\n",
        tests=(
            "tests/graphql/test_hard_cases.py::test_a_document_that_cannot_be_fetched_is_null_with_its_error",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/run.py",
        original="if writes:\n        return bad(",
        replacement="if False:\n        return bad(",
        tests=(
            "tests/graphql/test_hard_cases.py::test_a_write_whose_reply_is_lost_is_neither_repeated_nor_stops_the_next",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/app.py",
        original="self.pay(request.client or str(connection.peer[0]), client, plan)",
        replacement="pass",
        tests=(
            "tests/graphql/test_hard_cases.py::test_a_client_over_its_budget_is_told_when_to_return",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/app.py",
        original='if request.method == "GET" and operation.operation is not OperationType.QUERY:',
        replacement="if False:",
        tests=("tests/graphql/test_over_http.py::test_get_runs_no_mutations",),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/documents.py",
        original="if hash_of(text) != digest:",
        replacement="if False:",
        tests=(
            "tests/graphql/test_over_http.py::test_a_hash_that_does_not_fit_or_a_text_that_is_not_valid_is_not_kept",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/documents.py",
        original="self.tokens -= self.kept.popitem(last=False)[1].tokens",
        replacement="break",
        tests=(
            "tests/graphql/test_decisions.py::test_documents_kept_are_bounded_by_number_and_by_tokens",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/documents.py",
        original="None if CONDITION.search(text) else {}",
        replacement="{}",
        tests=(
            "tests/graphql/test_operations.py::test_selections_that_hang_on_variables_are_not_kept",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/budget.py",
        original="bucket.level -= parts",
        replacement="pass",
        tests=(
            "tests/graphql/test_decisions.py::test_no_client_spends_more_than_its_rate_and_burst",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/budget.py",
        original="if passed > 0:",
        replacement="if True:",
        tests=(
            "tests/graphql/test_decisions.py::test_a_clock_that_steps_back_earns_nothing_and_costs_nothing",
        ),
    ),
    PlantedDefect(
        path="stepknot/frontends/graphql/budget.py",
        original="if len(self.buckets) < self.most else self.rest",
        replacement="",
        tests=(
            "tests/graphql/test_decisions.py::test_a_flood_of_clients_shares_one_bucket_and_memory_stays",
        ),
    ),
]
