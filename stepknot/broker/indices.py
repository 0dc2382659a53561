"""Which indices there are: those of the settings, and those that clients created at run time.

Created ones live at the boxes; a broker keeps what it learnt of them for LEASE seconds and asks again after that, so
that brokers need not talk to each other. Creating, mapping and deleting go to every live box (never to one that
drains); a box that was away learns of them from its peers. No choice of replica is made here: all or, for a question,
up to ASKED of them in random order.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from functools import partial
from typing import Any

import mmh3
import orjson

from stepknot.broker.core import Core
from stepknot.config.settings import FIELD_TYPES, Config, Index, default_routing_shards
from stepknot.interface import Outcome, ServerState
from stepknot.net.errors import HttpError
from stepknot.net.http import ClientParser
from stepknot.net.tasks import Future, Park
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from stepknot.search.errors import ParsingError, RequestError, unsupported

LEASE = (
    2.0  # seconds for which what was learnt of a created index, or that there is none, is believed
)
ASKED = 3  # boxes asked in turn for an index that is not known here
ASK_TIME = 0.5  # seconds for each of them
ADMIN_TIME = 5.0  # seconds for all boxes to take a change
MOST_LEARNT = 1000
MOST_FIELDS = 1000
MOST_SHARDS = 1024
Steps = Generator[Park, Any, Any]


class Indices:
    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core, self.pool = config, core, pool
        self.declared = config.indices
        self.created: dict[str, Index] = {}
        self.asked: dict[str, float] = {}  # when each name was last learnt, known or not

    def known(self) -> dict[str, Index]:
        return {**self.declared, **self.created}

    def get(self, name: str) -> Index:
        index = self.declared.get(name) or self.created.get(name)
        if index is None:
            raise RequestError(f"no such index [{name}]", "index_not_found_exception", 404)
        return index

    def select(self, names: str) -> list[Index]:
        """Comma-separated, with `*`; "" and `_all` are all that are known here."""
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

    # --- learning

    def learn(self, names: Iterable[str]) -> Steps:
        """Ask the boxes for names that are not known, or no longer; the waits are short and bounded."""
        for name in dict.fromkeys(names):
            old = self.core.loop.now - self.asked.get(name, -LEASE) >= LEASE
            if (
                name
                and name not in self.declared
                and "*" not in name
                and not name.startswith("_")
                and old
            ):
                yield from self.ask(name)

    def ask(self, name: str) -> Steps:
        if len(self.asked) >= MOST_LEARNT:
            self.asked.clear()
        boxes = self.live()
        self.core.loop.rng.shuffle(boxes)
        for box in boxes[:ASKED]:
            status, body = yield from self.call(box, "GET", f"/{name}", b"", ASK_TIME)
            if status == 200:
                try:
                    self.created[name] = index_of(
                        name, orjson.loads(body)[name], self.core.settings.cells
                    )
                except (KeyError, ValueError, TypeError):
                    continue
                self.asked[name] = self.core.loop.now
                return
            if status == 404:
                self.created.pop(name, None)
                self.asked[name] = self.core.loop.now
                return

    def live(self) -> list[str]:
        return [
            name for name, entry in self.core.servers.items() if entry.state is ServerState.LIVE
        ]

    def call(self, box: str, method: str, path: str, body: bytes, seconds: float) -> Steps:
        """One plain request to one box: (status, body), status 0 where no answer came."""
        done = Future()

        def end(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:
            timer.cancel()
            try:
                done.set((parser.status, parser.body()) if parser is not None else (0, b""))
            except HttpError:
                done.set((0, b""))

        def expire() -> None:
            exchange.cancel()
            done.set((0, b""))

        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {box}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        exchange = Exchange(head.encode() + body, end)
        timer = self.core.loop.call_later(seconds, expire)
        self.pool.start(box, exchange)
        return (yield from done.wait())

    # --- changing

    def create(self, name: str, body: Any) -> Steps:
        """Whether all live boxes took it."""
        if name in self.declared or name in self.created:
            raise RequestError(
                f"index [{name}] already exists", "resource_already_exists_exception"
            )
        if name != name.lower() or not name[:1].isalnum() or set(name) & set('\\/*?"<>| ,#:'):
            raise RequestError(f"Invalid index name [{name}]", "invalid_index_name_exception")
        definition = checked_definition(body)
        self.created[name] = index_of(name, definition, self.core.settings.cells)
        self.asked[name] = self.core.loop.now
        return (yield from self.broadcast("PUT", f"/{name}", orjson.dumps(definition), {200, 400}))

    def put_mapping(self, name: str, body: Any) -> Steps:
        index = self.get(name)
        if name in self.declared:
            raise RequestError(
                f"index [{name}] is declared in the broker's settings; its mapping is changed there",
                "security_exception",
                403,
            )
        fields = checked_fields(body)
        for field, kind in fields.items():
            if index.fields.get(field, kind) != kind:
                raise RequestError(
                    f"mapper [{field}] cannot be changed from type [{index.fields[field]}] to [{kind}]"
                )
        index.fields.update(fields)
        return (yield from self.broadcast("PUT", f"/{name}/_mapping", orjson.dumps(body), {200}))

    def delete(self, name: str) -> Steps:
        self.get(name)
        if name in self.declared:
            raise RequestError(
                f"index [{name}] is declared in the broker's settings and is removed there",
                "security_exception",
                403,
            )
        self.created.pop(name, None)
        self.asked[name] = self.core.loop.now
        return (yield from self.broadcast("DELETE", f"/{name}", b"", {200, 404}))

    def broadcast(self, method: str, path: str, body: bytes, good: set[int]) -> Steps:
        boxes, taken = self.live(), 0
        left, done = len(boxes), Future()

        def end(answer: tuple[int, bytes]) -> None:
            nonlocal left, taken
            left -= 1
            taken += answer[0] in good
            if not left:
                done.set()

        for box in boxes:
            self.core.loop.spawn(
                handed(partial(self.call, box, method, path, body, ADMIN_TIME), end), "admin"
            )
        if boxes:
            yield from done.wait()
        return bool(boxes) and taken == len(boxes)


def handed(work: Callable[[], Steps], end: Callable[[Any], None]) -> Steps:
    end((yield from work()))


def index_of(name: str, definition: Any, cells: int) -> Index:
    shards = int(definition["settings"]["index"]["number_of_shards"])
    fields = {
        field: str(each["type"])
        for field, each in definition["mappings"].get("properties", {}).items()
    }
    return Index(
        name, shards, default_routing_shards(shards), mmh3.hash(name, signed=False) % cells, fields
    )


def checked_definition(body: Any) -> dict[str, Any]:
    """The engines' create body, in the one form that boxes are sent."""
    if body is None:
        body = {}
    if not isinstance(body, dict):
        raise ParsingError("the request body must be an object")
    for key in body:
        if key not in ("settings", "mappings"):
            raise unsupported(key, "create index")
    settings: Any = body.get("settings") or {}
    if not isinstance(settings, dict):
        raise ParsingError("[settings] must be an object")
    settings = settings.get("index", settings)
    if not isinstance(settings, dict):
        raise ParsingError("[settings] must be an object")
    for key in settings:
        if key.removeprefix("index.") not in ("number_of_shards", "number_of_replicas"):
            raise unsupported(key, "create index.settings")
    given: Any = settings.get("number_of_shards", settings.get("index.number_of_shards", 1))
    if not str(given).isdigit() or not 1 <= int(given) <= MOST_SHARDS:
        raise RequestError(
            f"Failed to parse value [{given}] for setting [index.number_of_shards] must be 1 to "
            f"{MOST_SHARDS}"
        )
    fields = checked_fields(body.get("mappings") or {})
    return {
        "settings": {"index": {"number_of_shards": str(given)}},
        "mappings": {"properties": {name: {"type": kind} for name, kind in fields.items()}},
    }


def checked_fields(mappings: Any) -> dict[str, str]:
    if not isinstance(mappings, dict):
        raise ParsingError("[mappings] must be an object")
    for key in mappings:
        if key != "properties":
            raise unsupported(key, "mappings")
    properties = mappings.get("properties", {})
    if not isinstance(properties, dict) or len(properties) > MOST_FIELDS:
        raise ParsingError(
            f"[mappings.properties] must be an object of {MOST_FIELDS} fields at the most"
        )
    fields = {}
    for name, each in properties.items():
        kind = each.get("type") if isinstance(each, dict) else None
        if kind not in FIELD_TYPES:
            raise RequestError(
                f"No handler for type [{kind}] declared on field [{name}]",
                "mapper_parsing_exception",
            )
        if len(each) > 1:
            raise unsupported(
                next(key for key in each if key != "type"), f"mappings.properties.{name}"
            )
        fields[name] = kind
    return fields
