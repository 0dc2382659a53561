"""The platform's protocol: one more way in and out of the same broker."""
