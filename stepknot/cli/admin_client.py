"""Requests to a running broker's admin socket, and its answers as typed views."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import orjson

from stepknot.cli.errors import AdminRequestError

REQUEST_TIMEOUT = 3.0  # seconds
HTTP_OK = 200
ORDER_TIMEOUT = 60.0  # seconds; a drain order is answered once a majority of voters has it

View = TypeVar("View", bound=msgspec.Struct)


def query_admin(
    admin: tuple[str, int],
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    timeout: float = REQUEST_TIMEOUT,
) -> dict[str, Any]:
    """Send one request to an admin socket.

    Args:
        admin: Host and port of the admin socket.
        path: Path and query string.
        method: HTTP method.
        body: Body of the request.
        timeout: Seconds to connect, and seconds for each read.

    Returns:
        The JSON object that the broker answered.

    Raises:
        AdminRequestError: The status is not 200, or the answer is not a JSON object over HTTP.
        OSError: Nothing answers at the address.
    """
    import http.client  # 1.5 MB that a broker, which is started by the same program, does not need

    connection = http.client.HTTPConnection(*admin, timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
        if response.status != HTTP_OK:
            raise AdminRequestError(response.status, data[:200].decode(errors="replace"))
        answer: dict[str, Any] = orjson.loads(data)
    except (http.client.HTTPException, ValueError) as error:
        raise AdminRequestError(0, f"not a broker's answer: {error}") from error
    finally:
        connection.close()
    return answer


def as_view(answer: dict[str, Any], kind: type[View]) -> View:
    """Check an answer against the view that a command shows.

    Raises:
        AdminRequestError: A key is missing or has another type.
    """
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise AdminRequestError(0, f"not a broker's answer: {error}") from error
