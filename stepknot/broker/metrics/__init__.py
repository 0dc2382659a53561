"""Prometheus metrics of a broker, a collector for each subsystem."""
