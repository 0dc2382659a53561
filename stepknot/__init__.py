"""stepknot: an aggregator that reads many shards for one query. Its top level is the decision library."""

from stepknot.decisions import Aggregator

__all__ = ["Aggregator", "__version__"]
__version__ = "0.2.0"
