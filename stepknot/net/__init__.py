"""Loop, sockets, timers and HTTP framing. Knows nothing of queries."""
