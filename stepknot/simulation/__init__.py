"""Stand-ins, bad days and the audit of them. Nothing of the broker imports this."""
