"""Planted defects of search frontend."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/frontends/jsonbody.py",
        original="if too_deep(value, most_depth):",
        replacement="if False:",
        tests=("tests/broker/test_client_requests.py::test_gzip_bombs_and_deep_json_are_rejected",),
    ),
]
