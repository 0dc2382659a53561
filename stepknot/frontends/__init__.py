"""Fronts: each is a codec and a mapping to the broker's core."""
