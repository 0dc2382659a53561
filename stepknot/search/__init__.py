"""The search model: queries, aggregations, sorting, routing and merging, as pure functions."""
