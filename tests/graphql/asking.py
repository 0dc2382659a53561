"""Operations over raw sockets: what is asserted is what the socket gave."""

from __future__ import annotations

import socket
from typing import Any

import orjson

from stepknot.simulation.fleet import Broker
from tests.broker.scripted import WAIT, Answer, Client, Running

JSON = "content-type: application/json\r\n"


class Graph:
    """A GraphQL client on one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.client = Client(sock)

    @classmethod
    def of(cls, broker: Broker) -> Graph:
        return cls(socket.create_connection(("127.0.0.1", broker.graph), timeout=WAIT))

    @classmethod
    def at(cls, run: Running) -> Graph:
        return cls(run.connect_graph())

    def send(self, query: str, variables: Any = None, headers: str = "", **more: Any) -> None:
        body = {
            "query": query,
            **({"variables": variables} if variables is not None else {}),
            **more,
        }
        self.client.ask("POST", "/graphql", body, JSON + headers)

    def read(self) -> Answer:
        return self.client.read()

    def __call__(self, query: str, variables: Any = None, headers: str = "", **more: Any) -> Answer:
        self.send(query, variables, headers, **more)
        return self.read()

    def data(self, query: str, variables: Any = None) -> Any:
        """Of an operation that has no errors."""
        answer = self(query, variables)
        assert answer.status == 200 and "errors" not in answer.body, answer.body
        return answer.body["data"]


def codes(answer: Answer) -> list[tuple[tuple[str | int, ...], str]]:
    """Where each error stands, and its code."""
    return [
        (tuple(each.get("path", ())), each["extensions"]["code"])
        for each in answer.body.get("errors", [])
    ]


def coverage(answer: Answer) -> dict[tuple[str | int, ...], tuple[int, int, bool]]:
    return {
        tuple(each["path"]): (each["asked"], each["answered"], each["whole"])
        for each in answer.body["extensions"]["coverage"]
    }


def get_body(**params: Any) -> str:
    from urllib.parse import urlencode

    return "/graphql?" + urlencode(
        {
            name: value if isinstance(value, str) else orjson.dumps(value).decode()
            for name, value in params.items()
        }
    )
