"""Where the endpoint list comes from: each source hands `ListReceived` watch events to the broker."""
