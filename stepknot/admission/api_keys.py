"""API keys that clients show in an Authorization header; the settings have their SHA-256 and names."""

from __future__ import annotations

import hashlib

SCHEME = "apikey "  # of the header's value, in lower case
HEADER = b"authorization"


def hash_api_key(key: str) -> str:
    """The form in which the settings have an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


class ApiKeys:
    """Finds the name of a key by what a request shows."""

    def __init__(self, names: dict[str, str]) -> None:
        self._names = names  # by the key's hash

    def name_of(self, authorization: str) -> str:
        """The name of the key in a header's value; "" where it is none of the settings'."""
        if authorization[: len(SCHEME)].lower() != SCHEME:
            return ""
        return self._names.get(hash_api_key(authorization[len(SCHEME) :].strip()), "")

    def find_name(self, head: bytes) -> str:
        """The name of the key in the head of a request that is not parsed yet; "" where there is none."""
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() == HEADER:
                return self.name_of(value.strip().decode("latin-1"))
        return ""
