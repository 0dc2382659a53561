"""Prometheus metrics of a broker, with one collector for each subsystem."""
