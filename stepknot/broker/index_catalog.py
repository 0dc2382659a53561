"""The indices that a broker knows: those of the settings, and those that clients created at run time.

The nodes keep the definitions of created indices. A broker caches a node's answer about an index for `CACHE_SECONDS`
and then asks again, so that brokers need not notify each other of changes. Requests that create, map or delete an
index go to every live node, but not to draining nodes; a node that was unavailable gets the change from the other
nodes. This module does not choose among replicas: it calls all nodes or, to look up an index, up to
`MAX_NODES_ASKED` nodes in random order.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

import orjson

from stepknot.broker.core import Core
from stepknot.broker.index_definitions import (
    check_definition,
    check_fields,
    make_index,
)
from stepknot.config.settings import Config, Index
from stepknot.interface import Outcome, ServerState
from stepknot.net.errors import HttpError
from stepknot.net.response_parser import ClientParser
from stepknot.net.tasks import Future, Park
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from stepknot.search.errors import RequestError

CACHE_SECONDS = 2.0  # how long a node's answer is cached, also if the index does not exist
MAX_NODES_ASKED = 3  # nodes that are asked one after the other for an index that is not cached
ASK_TIMEOUT = 0.5  # seconds for each of these nodes to answer
CHANGE_TIMEOUT = 5.0  # seconds for each node to confirm a change
MAX_CACHED_NAMES = 1000
Steps = Generator[Park, Any, Any]


class NodeReply(NamedTuple):
    """A node's reply to a plain HTTP request; status 0 means that no valid reply came."""

    status: int
    body: bytes


NO_REPLY = NodeReply(0, b"")


class IndexCatalog:
    """Declared and created indices by name.

    Args:
        config: The broker's settings, which declare indices.
        core: The broker's core, for the endpoint list and the loop.
        pool: Connections to the nodes.
    """

    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core, self.pool = config, core, pool
        self.declared = config.indices
        self.created: dict[str, Index] = {}
        # When nodes last answered about each name, by the loop's clock; also names that do not exist.
        self.looked_up_at: dict[str, float] = {}

    def known(self) -> dict[str, Index]:
        """All declared and all cached created indices, by name."""
        return {**self.declared, **self.created}

    def get(self, name: str) -> Index:
        """The index of this name.

        Raises:
            RequestError: This broker knows no such index.
        """
        index = self.declared.get(name) or self.created.get(name)
        if index is None:
            raise RequestError(f"no such index [{name}]", "index_not_found_exception", 404)
        return index

    def select(self, names: str) -> list[Index]:
        """The indices that match comma-separated names, which may contain `*`; "", "_all" and "*" select all.

        Raises:
            RequestError: This broker knows no index with one of the names without `*`.
        """
        if names in ("", "_all", "*"):
            return list(self.known().values())
        found: dict[str, Index] = {}
        for name in names.split(","):
            if "*" in name:
                head, _, tail = name.partition("*")
                found |= {
                    each: index
                    for each, index in self.known().items()
                    if each.startswith(head) and each.endswith(tail)
                }
            else:
                found[name] = self.get(name)
        return list(found.values())

    # --- indices that clients created by way of other brokers

    def learn(self, names: Iterable[str]) -> Steps:
        """Ask the nodes about names that are not cached, or whose cache entries expired; the waits are short."""
        for name in dict.fromkeys(names):
            if self._may_be_created(name) and not self._is_cached(name):
                yield from self._ask_nodes(name)

    def _may_be_created(self, name: str) -> bool:
        """Whether a client may have created an index of this name."""
        return bool(
            name and name not in self.declared and "*" not in name and not name.startswith("_")
        )

    def _is_cached(self, name: str) -> bool:
        return self.core.loop.now - self.looked_up_at.get(name, -CACHE_SECONDS) < CACHE_SECONDS

    def _ask_nodes(self, name: str) -> Steps:
        if len(self.looked_up_at) >= MAX_CACHED_NAMES:
            self.looked_up_at.clear()
        nodes = self._live_nodes()
        self.core.loop.rng.shuffle(nodes)
        for node in nodes[:MAX_NODES_ASKED]:
            reply: NodeReply = yield from self._call(node, "GET", f"/{name}", b"", ASK_TIMEOUT)
            if reply.status == HTTPStatus.OK:
                try:
                    definition = orjson.loads(reply.body)[name]
                    index = make_index(name, definition, self.core.settings.cells)
                except (KeyError, ValueError, TypeError):
                    continue  # the reply is malformed: ask the next node
                self.created[name] = index
                self.looked_up_at[name] = self.core.loop.now
                return
            if reply.status == HTTPStatus.NOT_FOUND:
                self.created.pop(name, None)
                self.looked_up_at[name] = self.core.loop.now
                return

    def _live_nodes(self) -> list[str]:
        return [
            name for name, entry in self.core.servers.items() if entry.state is ServerState.LIVE
        ]

    def _call(self, node: str, method: str, path: str, body: bytes, timeout: float) -> Steps:
        """Send one plain HTTP request to one node; returns a `NodeReply`."""
        done = Future()

        def on_end(parser: ClientParser | None, _outcome: Outcome, _reason: str) -> None:
            timer.cancel()
            try:
                done.set(
                    NodeReply(parser.status, parser.body()) if parser is not None else NO_REPLY
                )
            except HttpError:
                done.set(NO_REPLY)

        def on_timeout() -> None:
            exchange.cancel()
            done.set(NO_REPLY)

        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {node}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        exchange = Exchange(head.encode() + body, on_end)
        timer = self.core.loop.call_later(timeout, on_timeout)
        self.pool.start(node, exchange)
        return (yield from done.wait())

    # --- changes

    def create(self, name: str, body: Any) -> Steps:
        """Create an index at all live nodes; returns whether all of them accepted it.

        Raises:
            RequestError: The index exists, or its name or definition is not valid.
        """
        if name in self.declared or name in self.created:
            raise RequestError(
                f"index [{name}] already exists", "resource_already_exists_exception"
            )
        if name != name.lower() or not name[:1].isalnum() or set(name) & set('\\/*?"<>| ,#:'):
            raise RequestError(f"Invalid index name [{name}]", "invalid_index_name_exception")
        definition = check_definition(body)
        self.created[name] = make_index(name, definition, self.core.settings.cells)
        self.looked_up_at[name] = self.core.loop.now
        # A node that already has the index answers 400.
        accepted = {HTTPStatus.OK, HTTPStatus.BAD_REQUEST}
        return (yield from self._broadcast("PUT", f"/{name}", orjson.dumps(definition), accepted))

    def put_mapping(self, name: str, body: Any) -> Steps:
        """Add fields to a created index; returns whether all live nodes accepted them.

        Raises:
            RequestError: The index is unknown, the settings declare it, or a field's type would change.
        """
        index = self.get(name)
        if name in self.declared:
            raise RequestError(
                f"index [{name}] is declared in the broker's settings; its mapping is changed there",
                "security_exception",
                403,
            )
        fields = check_fields(body)
        for field, kind in fields.items():
            if index.fields.get(field, kind) != kind:
                raise RequestError(
                    f"mapper [{field}] cannot be changed from type [{index.fields[field]}] to [{kind}]"
                )
        index.fields.update(fields)
        path = f"/{name}/_mapping"
        return (yield from self._broadcast("PUT", path, orjson.dumps(body), {HTTPStatus.OK}))

    def delete(self, name: str) -> Steps:
        """Delete a created index at all live nodes; returns whether all of them accepted that.

        Raises:
            RequestError: The index is unknown, or the settings declare it.
        """
        self.get(name)
        if name in self.declared:
            raise RequestError(
                f"index [{name}] is declared in the broker's settings and is removed there",
                "security_exception",
                403,
            )
        self.created.pop(name, None)
        self.looked_up_at[name] = self.core.loop.now
        accepted = {HTTPStatus.OK, HTTPStatus.NOT_FOUND}
        return (yield from self._broadcast("DELETE", f"/{name}", b"", accepted))

    def _broadcast(self, method: str, path: str, body: bytes, accepted: set[HTTPStatus]) -> Steps:
        """Send a request to all live nodes concurrently.

        Returns:
            Whether there is a live node, and all live nodes replied with an accepted status.
        """
        nodes = self._live_nodes()
        replies: list[NodeReply] = []
        done = Future()

        def call(node: str) -> Steps:
            replies.append((yield from self._call(node, method, path, body, CHANGE_TIMEOUT)))
            if len(replies) == len(nodes):
                done.set()

        for node in nodes:
            self.core.loop.spawn(call(node), "admin")
        if nodes:
            yield from done.wait()
        return bool(nodes) and all(reply.status in accepted for reply in replies)
