"""Former import path of the decision library, now `stepknot/decisions`. Its types are in `interface.py`."""

from stepknot.decisions import Aggregator

__all__ = ["Aggregator"]
