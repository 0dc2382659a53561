"""Load reports: the load of a node comes with each response as an ORCA header.

ORCA is the Open Request Cost Aggregation of the load-balancing field. The header is `endpoint-load-metrics` in its text
format, `TEXT name=value, ...`; names that are not among the standard's own have the prefix `named_metrics.`.
"""

from __future__ import annotations

LOAD_HEADER = "endpoint-load-metrics"
NAMED_PREFIX = "named_metrics."
MAX_LOAD_HEADER = 1024  # characters; longer reports are ignored
TEXT_FORMAT = "TEXT "
# Metrics of the header, and their names for the decision library.
METRIC_NAMES = {
    "queue": "queue",
    "inflight": "inflight",
    "latency_ms": "latency_ms",
    "qps": "qps",
    "cpu_utilization": "util",
    "rps": "qps",
}


def parse_load_report(text: str) -> dict[str, float]:
    """The known metrics of a header's value; empty where there is none or it is malformed."""
    if not text.startswith(TEXT_FORMAT) or len(text) > MAX_LOAD_HEADER:
        return {}
    load = {}
    for item in text[len(TEXT_FORMAT) :].split(","):
        name, _, value = item.strip().partition("=")
        metric = METRIC_NAMES.get(name.removeprefix(NAMED_PREFIX))
        if metric is None:
            continue
        try:
            load[metric] = float(value)
        except ValueError:
            continue
    return load
