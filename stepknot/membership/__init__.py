"""Membership among the brokers of one fleet: who is there, decided without I/O and clock (`docs/membership.md`)."""
