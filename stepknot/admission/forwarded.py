"""Finds the client of a request in the headers of proxies: `Forwarded` (RFC 7239), `X-Forwarded-For`.

Nothing is trusted further than the first hop that is not itself trusted: what stands before it was written by whoever
sent the request.
"""

from __future__ import annotations

from collections.abc import Mapping

from stepknot.admission.addresses import Address, NetworkSet, parse_address

MAX_HOPS = 32  # nearest hops that are read


def client_address(headers: Mapping[str, str], peer: Address, trusted: NetworkSet) -> Address:
    """The client by the headers, from the nearest hop outwards, as far as hops are trusted."""
    if peer not in trusted:
        return peer
    client = peer
    for hop in reversed(_hops(headers)):
        try:
            client = parse_address(hop)
        except ValueError:
            # "unknown", an obfuscated name, or malformed: the hop that wrote it is the last one known.
            return client
        if client not in trusted:
            return client
    return client


def _hops(headers: Mapping[str, str]) -> list[str]:
    """Addresses as written, the nearest last; `X-Forwarded-For` is read where `Forwarded` is missing."""
    if "forwarded" in headers:
        elements = headers["forwarded"].split(",")[-MAX_HOPS:]
        return [_for_parameter(element) for element in elements]
    addresses = headers.get("x-forwarded-for", "").split(",")[-MAX_HOPS:]
    return [_strip(address) for address in addresses if address.strip()]


def _for_parameter(element: str) -> str:
    """The `for` parameter of an element of `Forwarded`; "" where it has none."""
    for pair in element.split(";"):
        name, _, value = pair.partition("=")
        if name.strip().lower() == "for":
            return _strip(value)
    return ""


def _strip(text: str) -> str:
    """An address without quotes, brackets and port."""
    text = text.strip().strip('"')
    if text.startswith("["):
        return text[1:].partition("]")[0]
    return text.partition(":")[0] if text.count(":") == 1 else text
