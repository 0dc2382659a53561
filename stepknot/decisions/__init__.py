"""The decisions: a library without input, output or clock. Types: `stepknot/interface.py`."""

from stepknot.decisions.aggregator import Aggregator

__all__ = ["Aggregator"]
