"""Planted defects of search."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/search/merge.py",
        original="if len(rows) > search.start + search.size:",
        replacement="if False:",
        tests=("tests/search",),
    ),
    PlantedDefect(
        path="stepknot/search/entities.py",
        original="if key in found:",
        replacement="if False:",
        tests=(
            "tests/graphql/test_hard_cases.py::test_a_key_that_several_documents_hold_is_an_error",
        ),
    ),
]
