"""Finds the client of a request in the headers of proxies: `Forwarded` (RFC 7239) or `X-Forwarded-For`.

The headers are read from the nearest hop outwards, up to the first hop that is not trusted. Entries beyond it are
ignored, because the sender of the request could have written anything there.
"""

from __future__ import annotations

from collections.abc import Mapping

from stepknot.admission.addresses import Address, NetworkSet, parse_address

MAX_HOPS = 32  # maximum number of hops read, counted from the nearest


def client_address(headers: Mapping[str, str], peer: Address, trusted: NetworkSet) -> Address:
    """Return the client according to the headers: the nearest hop that is not trusted."""
    if peer not in trusted:
        return peer
    client = peer
    for hop in reversed(_hops(headers)):
        try:
            client = parse_address(hop)
        except ValueError:
            # The entry is "unknown", an obfuscated name or malformed; the hop that wrote it is the last known one.
            return client
        if client not in trusted:
            return client
    return client


def _hops(headers: Mapping[str, str]) -> list[str]:
    """Return the hops' addresses as text, the nearest last; use `X-Forwarded-For` if there is no `Forwarded`."""
    if "forwarded" in headers:
        elements = headers["forwarded"].split(",")[-MAX_HOPS:]
        return [_for_parameter(element) for element in elements]
    addresses = headers.get("x-forwarded-for", "").split(",")[-MAX_HOPS:]
    return [_strip(address) for address in addresses if address.strip()]


def _for_parameter(element: str) -> str:
    """Return the `for` parameter of an element of `Forwarded`, or "" if it has none."""
    for pair in element.split(";"):
        name, _, value = pair.partition("=")
        if name.strip().lower() == "for":
            return _strip(value)
    return ""


def _strip(text: str) -> str:
    """Return an address without quotes, brackets and port."""
    text = text.strip().strip('"')
    if text.startswith("["):
        return text[1:].partition("]")[0]
    return text.partition(":")[0] if text.count(":") == 1 else text
