"""The addresses by which an endpoint list may name this broker itself."""

from __future__ import annotations

from collections.abc import Iterable

ANY_ADDRESS = ("0.0.0.0", "::")
LOOPBACK = ("127.0.0.1", "::1")


def own_addresses(
    listeners: Iterable[tuple[str, int]], advertised: tuple[str, int] | None
) -> frozenset[str]:
    """The addresses of the broker's listeners in the form of an endpoint list.

    Args:
        listeners: The configured host and the bound port of each listener. For a listener on all of the machine's
            addresses, the result has the loopback addresses and the advertised address.
        advertised: The address to which other brokers send datagrams, if it is configured.
    """
    machine_hosts = (*LOOPBACK, *([advertised[0]] if advertised is not None else []))
    return frozenset(
        _address(host, port)
        for configured, port in listeners
        for host in (machine_hosts if configured in ANY_ADDRESS else (configured,))
    )


def _address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
