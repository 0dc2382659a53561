"""stepknot: the decisions of a client library that reads many shards for one query."""

from stepknot.logic import Aggregator

__all__ = ["Aggregator"]
