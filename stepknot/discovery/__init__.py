"""Sources of the endpoint list; each source passes `ListReceived` watch events to the broker."""
