"""Where the list of boxes comes from. Each source hands `ListReceived` events to the broker."""
