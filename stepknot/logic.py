"""The decision library under its former name. It is in `stepknot/decisions`, its types in `interface.py`."""

from stepknot.decisions import Aggregator

__all__ = ["Aggregator"]
