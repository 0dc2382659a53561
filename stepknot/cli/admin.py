"""Asking a running broker by its admin socket, and what is shown of the answer."""

from __future__ import annotations

import http.client
from typing import Any

import orjson

TIME = 3.0  # seconds


def ask(admin: tuple[str, int], path: str) -> dict[str, Any]:
    """Raises OSError where nothing answers, or not as a broker does."""
    connection = http.client.HTTPConnection(*admin, timeout=TIME)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        data = response.read()
        if response.status != 200:
            raise OSError(f"status {response.status}: {data[:200].decode(errors='replace')}")
        found: dict[str, Any] = orjson.loads(data)
        return found
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(f"not a broker's answer: {error}") from None
    finally:
        connection.close()


def zone_table(found: dict[str, Any]) -> str:
    head = (f"{found['broker']} in zone {found['own'] or '-'}: "
            + (f"a zone is not sound; others get {found['spill']:.2f} times what they had at the most"
               if found["disturbed"] else "all zones sound") + f"; {found['shed']} queries shed")
    lines = [head, f"{'zone':<10} {'state':<10} {'tier':>4} {'boxes':>5} {'parts/s':>8} {'had':>8} {'allowed':>8} "
                   f"{'ramp':>5} {'failing':>7}  why"]
    for row in found["zones"]:
        allowed = "-" if row["allowed"] is None else f"{row['allowed']:.1f}"
        lines.append(f"{row['zone'] or '-':<10} {row['state']:<10} {row['tier']:>4} {row['boxes']:>5} "
                     f"{row['rate']:>8.1f} {row['had']:>8.1f} {allowed:>8} {row['ramp']:>5.2f} "
                     f"{row['failing']:>7.0%}  {row['why']}")
    return "\n".join(lines)
