"""The search front's requests: which path means what, and what its answer looks like.

A codec and a mapping: the query runner makes queries, `search/` merges. What is not supported is a 400 that names it.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

import orjson

from stepknot.broker.client_query import MAX_NAME, NAME_HEADER, ClientInfo, QueryOutcome
from stepknot.broker.core import Core
from stepknot.broker.query_runner import QueryRunner
from stepknot.config.settings import FIELD_TYPES, Config, Index
from stepknot.frontends.jsonbody import read_json, read_lines
from stepknot.frontends.search import replies
from stepknot.frontends.search.admin import Admin
from stepknot.frontends.search.replies import reply
from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import Request, Response, retry_headers
from stepknot.net.tasks import Park
from stepknot.search.errors import RequestError, unsupported
from stepknot.search.merge import Target
from stepknot.search.request import parse_search, parse_source, seconds_of, source_body
from stepknot.search.writes import Write

Reply = Generator[Park, Any, Response | None]
Route = Callable[[Any, Request, Connection, str, str], Any]
# For admission, before a request is read: what an action of a path is, about.
OPERATION_OF = {
    "_search": "search",
    "_msearch": "search",
    "_count": "count",
    "_mget": "mget",
    "_bulk": "bulk",
    "_create": "create",
    "_update": "update",
}
# Parameters that shape the answer's form or are mere hints; any other is a 400.
COMMON = {"pretty", "human", "error_trace", "filter_path"}
HINTS = {
    "request_cache",
    "batched_reduce_size",
    "max_concurrent_shard_requests",
    "pre_filter_shard_size",
    "ccs_minimize_roundtrips",
    "typed_keys",
    "ignore_unavailable",
    "allow_no_indices",
    "expand_wildcards",
    "phase_took",
    "search_type",
    "max_concurrent_searches",
}
SEARCH = {
    "from",
    "size",
    "sort",
    "timeout",
    "cancel_after_time_interval",
    "track_total_hits",
    "track_scores",
    "_source",
    "_source_includes",
    "_source_excludes",
    "allow_partial_search_results",
    "routing",
    "preference",
    "rest_total_hits_as_int",
} | HINTS
DOCUMENT = {
    "routing",
    "_source",
    "_source_includes",
    "_source_excludes",
    "refresh",
    "timeout",
    "realtime",
    "preference",
    "require_alias",
    "op_type",
    "wait_for_active_shards",
    "stored_fields",
}


class SearchFront:
    def __init__(
        self, config: Config, core: Core, queries: QueryRunner, metrics: Callable[[], bytes]
    ) -> None:
        self.config, self.core, self.queries, self.metrics = config, core, queries, metrics
        self.admin = Admin(config, core, queries)
        self.requests = 0

    # --- the way in and out

    def handle(self, request: Request, connection: Connection) -> Reply:
        self.requests += 1
        try:
            response = yield from self.route(request, connection)
        except RequestError as error:
            response = replies.request_error(error)
        if response is not None and "filter_path" in request.query and response.status == 200:
            response = filtered(response, request.query["filter_path"])
        if (
            response is not None
            and "pretty" in request.query
            and request.query["pretty"] != "false"
        ):
            response = pretty(response)
        if response is not None and NAME_HEADER in request.headers:
            response.headers.append(("X-Opaque-Id", request.headers[NAME_HEADER][:MAX_NAME]))
        return response

    def http_error(self, error: HttpError) -> Response:
        is_too_long = error.status == 413
        type_ = "content_too_long_exception" if is_too_long else "illegal_argument_exception"
        return replies.error_reply(error.status, type_, error.reason)

    def refuse(self, reason: str, retry_after: float) -> Response:
        """What admission turns down: a final answer, nothing of it has run."""
        return replies.error_reply(
            429,
            "rejected_execution_exception",
            f"not admitted ({reason}); nothing of it has taken effect, trying again is harmless",
            retry_headers(retry_after),
        )

    def level(self, request: Request) -> tuple[int, str]:
        """How many classes are worth more than this request's, and its tenant."""
        actions = [each for each in request.path.split("/")[1:3] if each.startswith("_")]
        operation = OPERATION_OF.get(actions[0] if actions else "", "get")
        return self.queries.priority_of(operation, request.headers)

    def route(self, request: Request, connection: Connection) -> Reply:
        parts = request.parts()
        method = "GET" if request.method == "HEAD" else request.method
        first = parts[0] if parts else ""
        if not parts:
            return self.only(method, "GET", lambda: self.admin.root())
        if first == "metrics" and len(parts) == 1:
            return Response(
                200, self.metrics(), content_type="text/plain; version=0.0.4; charset=utf-8"
            )
        if first in ("_cluster", "_cat", "_nodes"):
            return (yield from self.admin.route(request, parts))
        if first.startswith("_") and first not in ("_all",):
            index, rest = "", parts
        else:
            index, rest = parts[0], parts[1:]
        action = rest[0] if rest else ""
        yield from self.queries.indices.learn(index.split(","))
        if not rest:
            return (yield from self.index_request(request, method, index))
        if (
            len(rest) > 2
            or len(rest) == 2
            and action not in ("_doc", "_create", "_update", "_source", "_mapping")
        ):
            raise no_handler(request)
        identity = rest[1] if len(rest) == 2 else ""
        verbs = ROUTES.get(action, {})
        handler = verbs.get(method)
        if handler is None:
            if verbs:
                return replies.error_reply(
                    405,
                    "method_not_allowed_exception",
                    f"Incorrect HTTP method for uri [{request.path}] and method "
                    f"[{request.method}], allowed: {sorted(verbs)}",
                    [("allow", ", ".join(sorted(verbs)))],
                )
            raise no_handler(request)
        answer = handler(self, request, connection, index, identity)
        return answer if isinstance(answer, Response) else (yield from answer)

    def only(self, method: str, allowed: str, handler: Callable[[], Response]) -> Response:
        if method != allowed:
            return replies.error_reply(
                405, "method_not_allowed_exception", f"allowed: [{allowed}]", [("allow", allowed)]
            )
        return handler()

    def client(self, request: Request, seconds: float | None) -> ClientInfo:
        return self.queries.client_info(request.headers, seconds, request.arrived)

    def time_of(self, request: Request, body: Any) -> float | None:
        """The client's time: the shorter of `timeout` and `cancel_after_time_interval`."""
        given = [
            request.query.get("timeout"),
            request.query.get("cancel_after_time_interval"),
            body.get("timeout") if isinstance(body, dict) else None,
        ]
        times = [
            seconds
            for each in given
            if each is not None and (seconds := seconds_of(each, "timeout")) is not None
        ]
        if 0.0 in times:
            raise RequestError("[timeout] must be over 0: no answer could come in time")
        return min(times, default=None)

    def body(self, request: Request) -> Any:
        return read_json(request.body, self.config.depth)

    # --- searching

    def search(self, request: Request, connection: Connection, names: str, _: str) -> Reply:
        check_params(request, SEARCH)
        body = self.body(request)
        status, answer, headers = yield from self.one_search(
            names,
            body,
            request.query,
            self.client(request, self.time_of(request, body)),
            connection.on_disconnect,
        )
        return reply(status, answer, headers) if answer is not None else None

    def one_search(
        self, names: str, body: Any, params: dict[str, str], client: ClientInfo, on_disconnect: Any
    ) -> Generator[Park, Any, tuple[int, Any, list[tuple[str, str]]]]:
        search = parse_search(body, params, self.config.window)
        if params.get("search_type", "query_then_fetch") != "query_then_fetch":
            raise unsupported(f"search_type: {params['search_type']}", "search")
        targets = self.queries.targets(
            self.queries.indices.select(names),
            params.get("routing", ""),
            preferred(params.get("preference", "")),
        )
        outcome: QueryOutcome = yield from self.queries.search(
            search, targets, "search", client, params.get("routing", ""), on_disconnect
        )
        if outcome.result is None or not outcome.in_time:
            return 0, None, []
        if not outcome.result.is_answered:
            ended = replies.ending_body(
                outcome.result, outcome.parts, outcome.targets, "the search"
            )
            return ended["status"], ended, retry_headers(outcome.result.retry_after)
        shards = replies.shards_body(outcome.parts, outcome.targets)
        if params.get("allow_partial_search_results") == "false" and (
            shards["failed"] or outcome.lost
        ):
            return (
                503,
                replies.error_body(
                    503,
                    "search_phase_execution_exception",
                    "Partial shards failure",
                    phase="query",
                    grouped=True,
                    failed_shards=shards.get("failures", []),
                ),
                [],
            )
        assert outcome.merged is not None
        answer = replies.search_body(
            search,
            outcome.merged,
            outcome.took,
            shards,
            outcome.result.complete,
            outcome.documents if search.source is not False else None,
            outcome.lost,
        )
        if params.get("rest_total_hits_as_int") == "true" and "total" in answer["hits"]:
            answer["hits"]["total"] = answer["hits"]["total"]["value"]
        return 200, answer, []

    def msearch(self, request: Request, connection: Connection, names: str, _: str) -> Reply:
        check_params(request, SEARCH)
        lines = read_lines(request.body, self.config.depth, 2 * self.config.searches)
        if len(lines) % 2:
            raise RequestError("a search's header has no body line after it")
        yield from self.queries.indices.learn(
            each for header in lines[::2] for each in names_of((header or {}).get("index", ""))
        )
        begun = self.core.loop.now
        party = self.queries.make_group(connection.on_disconnect)
        for place in range(0, len(lines), 2):
            header, body = lines[place] or {}, lines[place + 1] or {}
            params = {
                key: str(value).lower() if isinstance(value, bool) else str(value)
                for key, value in header.items()
                if key != "index"
            }
            index = header.get("index", names)
            index = ",".join(index) if isinstance(index, list) else str(index)
            client = self.client(request, self.time_of(request, body))
            party.start(
                self.guarded(index, body, {**request.query, **params}, client, party.subscribe)
            )
        responses = []
        for status, answer, _ in (yield from party.wait()):
            if answer is None:
                return None
            responses.append({**answer, "status": status})
        return reply(
            200, {"took": int((self.core.loop.now - begun) * 1000), "responses": responses}
        )

    def guarded(
        self, names: str, body: Any, params: dict[str, str], client: ClientInfo, on_disconnect: Any
    ) -> Any:
        """One of several searches: its error is its own."""
        try:
            for key in params:
                if key not in SEARCH | COMMON:
                    raise unsupported(key, "msearch header")
            return (yield from self.one_search(names, body, params, client, on_disconnect))
        except RequestError as error:
            return error.status, replies.error_body(error.status, error.type, error.reason), []

    def count(self, request: Request, connection: Connection, names: str, _: str) -> Reply:
        check_params(
            request,
            {
                "routing",
                "preference",
                "timeout",
                "allow_no_indices",
                "ignore_unavailable",
                "expand_wildcards",
            },
        )
        body = self.body(request) or {}
        for key in body:
            if key != "query":
                raise unsupported(key, "count")
        search = parse_search({**body, "size": 0, "track_total_hits": True}, {}, self.config.window)
        targets = self.queries.targets(
            self.queries.indices.select(names),
            request.query.get("routing", ""),
            preferred(request.query.get("preference", "")),
        )
        outcome: QueryOutcome = yield from self.queries.search(
            search,
            targets,
            "count",
            self.client(request, self.time_of(request, None)),
            request.query.get("routing", ""),
            connection.on_disconnect,
        )
        if outcome.result is None or not outcome.in_time:
            return None
        if not outcome.result.is_answered:
            return replies.ending_reply(outcome.result, outcome.parts, outcome.targets, "the count")
        assert outcome.merged is not None
        return reply(
            200,
            {
                "count": outcome.merged.total,
                "_shards": replies.shards_body(outcome.parts, outcome.targets),
            },
        )

    # --- documents

    def get_source(
        self, request: Request, connection: Connection, name: str, identity: str
    ) -> Reply:
        response = yield from self.get(request, connection, name, identity)
        if response is None or response.status not in (200, 404):
            return response
        if response.status == 404:
            return replies.error_reply(
                404, "resource_not_found_exception", f"Document not found [{name}]/[{identity}]"
            )
        return reply(200, orjson.loads(response.body).get("_source", {}))

    def get(self, request: Request, connection: Connection, name: str, identity: str) -> Reply:
        check_params(request, DOCUMENT)
        if not identity:
            raise no_handler(request)
        target = self.queries.shard(
            self.queries.indices.get(name), request.query.get("routing") or identity
        )
        outcome: QueryOutcome = yield from self.queries.documents(
            [(target, identity)],
            source_body(parse_source({}, request.query)),
            "get",
            self.client(request, self.time_of(request, None)),
            connection.on_disconnect,
        )
        if outcome.result is None or not outcome.in_time:
            return None
        if not outcome.result.is_answered:
            return replies.ending_reply(outcome.result, outcome.parts, outcome.targets, "the get")
        body = document_body(target, identity, outcome)
        return reply(200 if body["found"] else 404, body)

    def mget(self, request: Request, connection: Connection, name: str, _: str) -> Reply:
        check_params(request, DOCUMENT)
        body = self.body(request) or {}
        for key in body:
            if key not in ("docs", "ids"):
                raise unsupported(key, "mget")
        docs = body.get("docs", [{"_id": each} for each in body.get("ids", [])])
        if (
            not isinstance(docs, list)
            or not docs
            or not all(isinstance(each, dict) for each in docs)
        ):
            raise RequestError(
                "Validation Failed: 1: no documents to get;", "action_request_validation_exception"
            )
        if len(docs) > self.config.window:
            raise RequestError(f"{len(docs)} documents, at most {self.config.window} are taken")
        yield from self.queries.indices.learn(str(each.get("_index", "")) for each in docs)
        wanted = []
        for each in docs:
            for key in each:
                if key not in ("_index", "_id", "routing"):
                    raise unsupported(key, "mget.docs")
            if "_id" not in each or not (each.get("_index") or name):
                raise RequestError(
                    "Validation Failed: 1: id or index is missing;",
                    "action_request_validation_exception",
                )
            routing = str(each.get("routing") or request.query.get("routing") or each["_id"])
            wanted.append(
                (
                    self.queries.shard(
                        self.queries.indices.get(each.get("_index") or name), routing
                    ),
                    str(each["_id"]),
                )
            )
        outcome: QueryOutcome = yield from self.queries.documents(
            wanted,
            source_body(parse_source({}, request.query)),
            "mget",
            self.client(request, self.time_of(request, None)),
            connection.on_disconnect,
        )
        if outcome.result is None or not outcome.in_time:
            return None
        if not outcome.result.is_answered:
            return replies.ending_reply(outcome.result, outcome.parts, outcome.targets, "the mget")
        return reply(
            200, {"docs": [document_body(target, identity, outcome) for target, identity in wanted]}
        )

    def write(
        self, request: Request, connection: Connection, name: str, identity: str, action: str
    ) -> Reply:
        check_params(request, DOCUMENT)
        if not identity and action == "index" and request.method == "POST":
            action = "create"
        if not identity and action != "create":
            raise no_handler(request)
        if request.query.get("op_type") == "create" and action == "index":
            action = "create"
        index = self.queries.indices.get(name)
        body = self.body(request)
        generated = not identity
        if generated:
            identity = self.queries.new_id()
        routing = request.query.get("routing", "")
        target = self.queries.shard(index, routing or identity)
        outcome, _ = yield from self.queries.write(
            [Write(action, target, identity, routing, body)],
            action,
            self.client(request, self.time_of(request, None)),
            refresh_of(request),
            connection.on_disconnect,
        )
        if outcome.result is None or not outcome.in_time:
            return None
        if not outcome.result.is_answered:
            return replies.ending_reply(
                outcome.result, outcome.parts, outcome.targets, f"the {action}"
            )
        item = next(iter(outcome.parts[0].answer[0].values()))
        if "error" in item:
            return replies.error_reply(
                item["status"], item["error"]["type"], item["error"]["reason"]
            )
        return reply(item["status"], {key: value for key, value in item.items() if key != "status"})

    def bulk(self, request: Request, connection: Connection, name: str, _: str) -> Reply:
        check_params(request, DOCUMENT)
        lines = read_lines(request.body, self.config.depth, 2 * self.config.bulk + 2)
        writes, actions, place = [], [], 0
        yield from self.queries.indices.learn(
            str(meta.get("_index", ""))
            for line in lines
            if line and len(line) == 1
            for meta in line.values()
            if isinstance(meta, dict)
        )
        while place < len(lines):
            head = lines[place]
            place += 1
            if head is None:
                continue
            if len(head) != 1:
                raise RequestError(f"Malformed action/metadata line [{place}]")
            ((action, meta),) = head.items()
            if action not in ("index", "create", "update", "delete") or not isinstance(meta, dict):
                raise RequestError(
                    f"Malformed action/metadata line [{place}]: unknown action [{action}]"
                )
            for key in meta:
                if key not in ("_index", "_id", "routing"):
                    raise unsupported(key, f"bulk.{action}")
            body = None
            if action != "delete":
                if place >= len(lines) or lines[place] is None:
                    raise RequestError(
                        f"action/metadata line [{place}] has no source line after it"
                    )
                body = lines[place]
                place += 1
            if "_id" not in meta and action in ("update", "delete"):
                raise RequestError(
                    "Validation Failed: 1: id is missing;", "action_request_validation_exception"
                )
            identity = str(meta.get("_id") or self.queries.new_id())
            routing = str(meta.get("routing") or request.query.get("routing") or "")
            target = self.queries.shard(
                self.queries.indices.get(str(meta.get("_index") or name)), routing or identity
            )
            writes.append(Write(action, target, identity, routing, body))
            actions.append((action, identity))
        if not writes:
            raise RequestError(
                "Validation Failed: 1: no requests added;", "action_request_validation_exception"
            )
        outcome, places = yield from self.queries.write(
            writes,
            "bulk",
            self.client(request, self.time_of(request, None)),
            refresh_of(request),
            connection.on_disconnect,
        )
        if outcome.result is None or not outcome.in_time:
            return None
        if not outcome.result.is_answered:
            return replies.ending_reply(outcome.result, outcome.parts, outcome.targets, "the bulk")
        by_target = dict(zip(outcome.targets, outcome.parts, strict=True))
        items = []
        for (target, at), (action, identity) in zip(places, actions, strict=True):
            part = by_target[target]
            items.append(
                part.answer[at]
                if part.served
                else {
                    action: {
                        "_index": target.index,
                        "_id": identity,
                        "status": 503,
                        "error": {
                            "type": "unavailable_shards_exception",
                            "reason": f"it may or may not have taken effect: {part.reason}",
                        },
                    }
                }
            )
        errors = any("error" in next(iter(item.values())) for item in items)
        return reply(200, {"took": int(outcome.took * 1000), "errors": errors, "items": items})

    # --- indices

    def index_request(self, request: Request, method: str, names: str) -> Reply:
        indices = self.queries.indices
        if method == "PUT":
            taken = yield from indices.create(names, self.body(request))
            return reply(200, {"acknowledged": taken, "shards_acknowledged": taken, "index": names})
        if method == "DELETE":
            return reply(200, {"acknowledged": (yield from indices.delete(names))})
        if method != "GET":
            raise no_handler(request)
        return reply(
            200,
            {
                each.name: {
                    "aliases": {},
                    "mappings": mapping_body(each),
                    "settings": settings_body(each),
                }
                for each in indices.select(names)
            },
        )

    def put_mapping(self, request: Request, connection: Connection, name: str, _: str) -> Reply:
        return reply(
            200,
            {
                "acknowledged": (
                    yield from self.queries.indices.put_mapping(name, self.body(request))
                )
            },
        )

    def mapping(self, request: Request, connection: Connection, names: str, _: str) -> Response:
        return reply(
            200,
            {
                each.name: {"mappings": mapping_body(each)}
                for each in self.queries.indices.select(names)
            },
        )

    def settings(self, request: Request, connection: Connection, names: str, _: str) -> Response:
        return reply(
            200,
            {
                each.name: {"settings": settings_body(each)}
                for each in self.queries.indices.select(names)
            },
        )

    def refresh(self, request: Request, connection: Connection, names: str, _: str) -> Response:
        """Boxes show a write once they have answered it (`refresh=true` goes along): nothing is left to do."""
        shards = sum(each.shards for each in self.queries.indices.select(names))
        return reply(200, {"_shards": {"total": shards, "successful": shards, "failed": 0}})


def write_as(action: str) -> Route:
    return lambda front, request, connection, index, identity: front.write(
        request, connection, index, identity, action
    )


# What a path's action means by method; each is handed the index's and the document's name from the path.
ROUTES: dict[str, dict[str, Route]] = {
    "_search": dict.fromkeys(("GET", "POST"), SearchFront.search),
    "_msearch": dict.fromkeys(("GET", "POST"), SearchFront.msearch),
    "_count": dict.fromkeys(("GET", "POST"), SearchFront.count),
    "_mget": dict.fromkeys(("GET", "POST"), SearchFront.mget),
    "_bulk": dict.fromkeys(("POST", "PUT"), SearchFront.bulk),
    "_doc": {
        "GET": SearchFront.get,
        "PUT": write_as("index"),
        "POST": write_as("index"),
        "DELETE": write_as("delete"),
    },
    "_source": {"GET": SearchFront.get_source},
    "_create": dict.fromkeys(("PUT", "POST"), write_as("create")),
    "_update": {"POST": write_as("update")},
    "_refresh": dict.fromkeys(("GET", "POST"), SearchFront.refresh),
    "_mapping": {
        "GET": SearchFront.mapping,
        "PUT": SearchFront.put_mapping,
        "POST": SearchFront.put_mapping,
    },
    "_settings": {"GET": SearchFront.settings},
}


# --- helpers


def names_of(given: Any) -> list[str]:
    return list(map(str, given)) if isinstance(given, list) else str(given).split(",")


def no_handler(request: Request) -> RequestError:
    return RequestError(f"no handler found for uri [{request.path}] and method [{request.method}]")


def check_params(request: Request, known: set[str]) -> None:
    for key in request.query:
        if key not in known and key not in COMMON:
            raise RequestError(f"request [{request.path}] contains unrecognized parameter: [{key}]")


def preferred(preference: str) -> frozenset[int] | None:
    """`_shards:1,2` narrows the shards; other preferences are hints that the choice of replica does without."""
    if not preference.startswith("_shards:"):
        return None
    numbers = preference.removeprefix("_shards:").partition("|")[0].split(",")
    if not all(each.isdigit() for each in numbers):
        raise RequestError(f"malformed preference [{preference}]")
    return frozenset(map(int, numbers))


def refresh_of(request: Request) -> bool:
    value = request.query.get("refresh", "false")
    if value not in ("", "true", "false", "wait_for"):
        raise RequestError(f"Unknown value for refresh: [{value}]")
    return value != "false"


def document_body(target: Target, identity: str, outcome: QueryOutcome) -> dict[str, Any]:
    assert outcome.documents is not None
    row = outcome.documents.get((target, identity))
    if row is None:
        served = any(
            part.served
            for part, each in zip(outcome.parts, outcome.targets, strict=True)
            if each == target
        )
        missing: dict[str, Any] = {"_index": target.index, "_id": identity, "found": False}
        if not served:
            missing["error"] = {
                "type": "no_shard_available_action_exception",
                "reason": "its shard did not answer",
            }
            del missing["found"]
        return missing
    kept = ("_index", "_id", "_version", "_seq_no", "_primary_term")
    body = {key: row[key] for key in kept if key in row} | {"found": True}
    return body | ({"_source": row["_source"]} if "_source" in row else {})


def mapping_body(index: Index) -> dict[str, Any]:
    return {
        "properties": {
            name: {"type": kind} for name, kind in index.fields.items() if kind in FIELD_TYPES
        }
    }


def settings_body(index: Index) -> dict[str, Any]:
    return {
        "index": {
            "number_of_shards": str(index.shards),
            "number_of_routing_shards": str(index.routing_shards),
            "provided_name": index.name,
        }
    }


def pretty(response: Response) -> Response:
    if response.content_type.startswith("application/json") and response.body:
        response.body = (
            orjson.dumps(orjson.loads(response.body), option=orjson.OPT_INDENT_2) + b"\n"
        )
    return response


def filtered(response: Response, paths: str) -> Response:
    """`filter_path`: keep what matches; dotted names with `*` for any one and `**` for any depth."""
    patterns = [each.split(".") for each in paths.split(",") if each]
    if any(pattern[0].startswith("-") for pattern in patterns):
        raise unsupported("an excluding filter_path", "request")
    response.body = orjson.dumps(keep(orjson.loads(response.body), patterns) or {})
    return response


def keep(value: Any, patterns: list[list[str]]) -> Any:
    if any(not pattern for pattern in patterns):
        return value
    if isinstance(value, list):
        return [inner for each in value if (inner := keep(each, patterns)) is not None] or None
    if not isinstance(value, dict):
        return None
    kept = {}
    for key, each in value.items():
        rest = [pattern[1:] for pattern in patterns if pattern[0] in ("*", key)]
        rest += [pattern for pattern in patterns if pattern[0] == "**"]
        rest += [
            pattern[2:]
            for pattern in patterns
            if pattern[0] == "**" and pattern[1:2] in (["*"], [key])
        ]
        inner = keep(each, rest) if rest else None
        if inner is not None:
            kept[key] = inner
    return kept or None
