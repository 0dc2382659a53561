"""Seeded runs of the decision packages, a module for each: `record(trace)` and `EXPECTED`."""
