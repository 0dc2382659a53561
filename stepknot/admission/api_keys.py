"""API keys that clients send in the Authorization header; the settings contain their names and SHA-256 hashes."""

from __future__ import annotations

import hashlib

SCHEME = "apikey "  # authentication scheme at the start of the header's value, in lower case
HEADER = b"authorization"


def hash_api_key(key: str) -> str:
    """Return the hash by which the settings identify an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


class ApiKeys:
    """Finds the name of the API key in a request."""

    def __init__(self, names: dict[str, str]) -> None:
        self._names = names  # names by the key's hash

    def name_of(self, authorization: str) -> str:
        """Return the name of the key in an Authorization header's value, or "" if the settings do not contain it."""
        if authorization[: len(SCHEME)].lower() != SCHEME:
            return ""
        return self._names.get(hash_api_key(authorization[len(SCHEME) :].strip()), "")

    def find_name(self, head: bytes) -> str:
        """Return the name of the key in the unparsed head of a request, or "" if there is none."""
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() == HEADER:
                return self.name_of(value.strip().decode("latin-1"))
        return ""
