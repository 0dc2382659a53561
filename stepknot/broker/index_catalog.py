"""The indices that a broker knows: those of the settings, and those that clients created at run time.

Created ones live at the nodes. A broker caches what it learnt of them for `CACHE_SECONDS` and asks again after that,
so that brokers need not talk to each other. Creating, mapping and deleting go to every live node (never to one that
drains); a node that was away learns of them from its peers. No choice of replica is made here: all nodes or, to learn
of an index, up to `MAX_NODES_ASKED` of them in random order.
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
from stepknot.net.http import ClientParser
from stepknot.net.tasks import Future, Park
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from stepknot.search.errors import RequestError

CACHE_SECONDS = 2.0  # for which what was learnt of a created index, or that there is none, is used
MAX_NODES_ASKED = 3  # one after the other, for an index that is not known here
ASK_TIMEOUT = 0.5  # seconds for each of them
CHANGE_TIMEOUT = 5.0  # seconds for all nodes to take a change
MAX_LEARNT = 1000  # names cached
Steps = Generator[Park, Any, Any]


class NodeReply(NamedTuple):
    """A node's reply to a plain request; status 0 where none came."""

    status: int
    body: bytes


NO_REPLY = NodeReply(0, b"")


class IndexCatalog:
    """Declared and created indices by name.

    Args:
        config: Has the declared indices.
        core: Has the endpoint list and the loop.
        pool: Connections to the nodes.
    """

    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core, self.pool = config, core, pool
        self.declared = config.indices
        self.created: dict[str, Index] = {}
        self.learnt_at: dict[str, float] = {}  # by the loop's clock, by name, known or not

    def known(self) -> dict[str, Index]:
        """All that are known here."""
        return {**self.declared, **self.created}

    def get(self, name: str) -> Index:
        """The index of this name.

        Raises:
            RequestError: It is not known here.
        """
        index = self.declared.get(name) or self.created.get(name)
        if index is None:
            raise RequestError(f"no such index [{name}]", "index_not_found_exception", 404)
        return index

    def select(self, names: str) -> list[Index]:
        """Indices by comma-separated names, with `*`; "" and `_all` are all that are known here.

        Raises:
            RequestError: A name without `*` is not known.
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

    # --- learning of indices that others created

    def learn(self, names: Iterable[str]) -> Steps:
        """Ask the nodes for names that are not known, or no longer; the waits are short and bounded."""
        for name in dict.fromkeys(names):
            if self._may_be_created(name) and not self._is_cached(name):
                yield from self._ask_nodes(name)

    def _may_be_created(self, name: str) -> bool:
        return bool(
            name and name not in self.declared and "*" not in name and not name.startswith("_")
        )

    def _is_cached(self, name: str) -> bool:
        return self.core.loop.now - self.learnt_at.get(name, -CACHE_SECONDS) < CACHE_SECONDS

    def _ask_nodes(self, name: str) -> Steps:
        if len(self.learnt_at) >= MAX_LEARNT:
            self.learnt_at.clear()
        nodes = self._live_nodes()
        self.core.loop.rng.shuffle(nodes)
        for node in nodes[:MAX_NODES_ASKED]:
            reply: NodeReply = yield from self._call(node, "GET", f"/{name}", b"", ASK_TIMEOUT)
            if reply.status == HTTPStatus.OK:
                try:
                    definition = orjson.loads(reply.body)[name]
                    index = make_index(name, definition, self.core.settings.cells)
                except (KeyError, ValueError, TypeError):
                    continue  # malformed: the next node may know better
                self.created[name] = index
                self.learnt_at[name] = self.core.loop.now
                return
            if reply.status == HTTPStatus.NOT_FOUND:
                self.created.pop(name, None)
                self.learnt_at[name] = self.core.loop.now
                return

    def _live_nodes(self) -> list[str]:
        return [
            name for name, entry in self.core.servers.items() if entry.state is ServerState.LIVE
        ]

    def _call(self, node: str, method: str, path: str, body: bytes, timeout: float) -> Steps:
        """One plain request to one node; ends in a `NodeReply`."""
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
        """Create an index at all live nodes; ends in whether all of them took it.

        Raises:
            RequestError: It exists, or its name or definition is not valid.
        """
        if name in self.declared or name in self.created:
            raise RequestError(
                f"index [{name}] already exists", "resource_already_exists_exception"
            )
        if name != name.lower() or not name[:1].isalnum() or set(name) & set('\\/*?"<>| ,#:'):
            raise RequestError(f"Invalid index name [{name}]", "invalid_index_name_exception")
        definition = check_definition(body)
        self.created[name] = make_index(name, definition, self.core.settings.cells)
        self.learnt_at[name] = self.core.loop.now
        # A node that has it already answers 400.
        accepted = {HTTPStatus.OK, HTTPStatus.BAD_REQUEST}
        return (yield from self._broadcast("PUT", f"/{name}", orjson.dumps(definition), accepted))

    def put_mapping(self, name: str, body: Any) -> Steps:
        """Add fields to a created index; ends in whether all live nodes took them.

        Raises:
            RequestError: The index is not known or declared, or a field's type would change.
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
        """Delete a created index at all live nodes; ends in whether all of them took it.

        Raises:
            RequestError: The index is not known or declared.
        """
        self.get(name)
        if name in self.declared:
            raise RequestError(
                f"index [{name}] is declared in the broker's settings and is removed there",
                "security_exception",
                403,
            )
        self.created.pop(name, None)
        self.learnt_at[name] = self.core.loop.now
        accepted = {HTTPStatus.OK, HTTPStatus.NOT_FOUND}
        return (yield from self._broadcast("DELETE", f"/{name}", b"", accepted))

    def _broadcast(self, method: str, path: str, body: bytes, accepted: set[HTTPStatus]) -> Steps:
        """Send to all live nodes at once; ends in whether there are some and all replied with such a status."""
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
