"""The addresses under which an endpoint list would name this broker itself."""

from __future__ import annotations

from collections.abc import Iterable

ANY_ADDRESS = ("0.0.0.0", "::")
LOOPBACK = ("127.0.0.1", "::1")


def own_addresses(
    listeners: Iterable[tuple[str, int]], advertised: tuple[str, int] | None
) -> frozenset[str]:
    """Addresses of the broker's listeners as a list would name them.

    Args:
        listeners: Host as configured and port as bound. A listener on all addresses of the machine counts under
            the loopback addresses and the advertised one.
        advertised: Where other brokers send their datagrams, if that is configured.
    """
    anywhere = (*LOOPBACK, *([advertised[0]] if advertised is not None else []))
    return frozenset(
        _address(host, port)
        for configured, port in listeners
        for host in (anywhere if configured in ANY_ADDRESS else (configured,))
    )


def _address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
