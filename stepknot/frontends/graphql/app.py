"""GraphQL over HTTP: requests in, the one final answer out.

Bodies, media types and status codes are those of the GraphQL over HTTP specification. Everything that can be turned
down is turned down before the first part is sent.
"""

from __future__ import annotations

import math
from collections.abc import Generator
from dataclasses import dataclass, replace
from typing import Any

import orjson
from graphql import GraphQLError, GraphQLSchema, OperationDefinitionNode, OperationType
from graphql.execution.values import VariableValues, get_variable_values

from stepknot.broker.client_query import MAX_NAME, NAME_HEADER, ClientInfo
from stepknot.broker.core import Core
from stepknot.broker.query_runner import QueryRunner
from stepknot.config.graphql import GraphSettings
from stepknot.config.settings import Config
from stepknot.frontends.graphql.budget import Budgets
from stepknot.frontends.graphql.documents import MOST_ERRORS, Documents, Invalid, Prepared
from stepknot.frontends.graphql.limits import TooMuch
from stepknot.frontends.graphql.plan import Plan, Planner
from stepknot.frontends.graphql.run import REFUSED, ClientGone, Runner, Said
from stepknot.frontends.graphql.shape import make_schema, shape
from stepknot.frontends.jsonbody import read_json
from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import Request, Response, retry_headers
from stepknot.net.tasks import Park
from stepknot.search.errors import RequestError
from stepknot.search.request import seconds_of

Reply = Generator[Park, Any, Response | None]
NEW, OLD = "application/graphql-response+json", "application/json"
TIME_HEADER = "x-timeout"
PARAMS = ("query", "operationName", "variables", "extensions")
LARGEST_RESERVE = 0.25  # of the client's time, kept for making the answer
FADE = 0.9  # of what making answers took, kept from one to the next that took less


@dataclass(frozen=True, slots=True)
class Graph:
    """What of the settings is in force for an operation, from its beginning to its end."""

    settings: GraphSettings
    schema: GraphQLSchema
    documents: Documents

    @classmethod
    def of(cls, settings: GraphSettings) -> Graph:
        """Raises GraphQLError, TypeError where the settings make no valid schema."""
        schema = make_schema(settings)
        return cls(settings, schema, Documents(schema, settings))


@dataclass(frozen=True, slots=True)
class Asked:
    """A request's parameters."""

    query: str | None
    name: str | None
    variables: dict[str, Any]
    digest: str | None


class Turned(Exception):
    """A request that is answered without running anything."""

    def __init__(
        self,
        status: int,
        errors: list[GraphQLError],
        headers: list[tuple[str, str]] | None = None,
        graphql: bool = True,
    ) -> None:
        super().__init__(errors[0].message)
        self.status, self.errors, self.headers = status, errors, headers or []
        self.graphql = graphql  # the request was well-formed, and a GraphQL answer says why not


class GraphFront:
    def __init__(self, config: Config, core: Core, queries: QueryRunner) -> None:
        self.core, self.queries = core, queries
        self.reload(config)
        self.pace = 0.0  # seconds that making an answer took, for each of its plan's rows
        self.counts = {"operations": 0, "turned_down": 0, "over_budget": 0, "with_errors": 0}

    def reload(self, config: Config) -> None:
        """Take other settings for what begins from now on; operations that run keep theirs. Raises as `Graph.of`."""
        assert config.graphql is not None
        graph = Graph.of(config.graphql)
        limits = config.graphql.limits
        self.budgets = Budgets(
            limits.rate, limits.burst, limits.tenant_rate, config.tenants, limits.clients
        )
        self.config, self.graph = config, graph

    # --- the way in and out

    def handle(self, request: Request, connection: Connection) -> Reply:
        media = accepted(request.headers.get("accept", ""))
        try:
            if media is None:
                raise Turned(406, [said(f"{NEW} and {OLD} are what is answered")], graphql=False)
            response = yield from self.operate(request, connection, media)
        except Turned as turned:
            self.counts["turned_down"] += 1
            is_old = turned.graphql and media == OLD and turned.status == 400
            status = 200 if is_old else turned.status
            response = answer(
                status,
                media or OLD,
                {"errors": [each.formatted for each in turned.errors]},
                turned.headers,
            )
        if response is not None and NAME_HEADER in request.headers:
            response.headers.append(("X-Opaque-Id", request.headers[NAME_HEADER][:MAX_NAME]))
        return response

    def http_error(self, error: HttpError) -> Response:
        return answer(error.status, OLD, {"errors": [said(error.reason, "BAD_REQUEST").formatted]})

    def refuse(self, reason: str, retry_after: float) -> Response:
        """What admission turns down: a final answer, nothing of it has run."""
        error = said(
            f"not admitted ({reason}): nothing of it has taken effect, trying again is harmless",
            REFUSED,
            repeatable=True,
            retryAfterMs=math.ceil(retry_after * 1000),
        )
        return answer(429, NEW, {"errors": [error.formatted]}, retry_headers(retry_after))

    def level(self, request: Request) -> tuple[int, str]:
        """How many classes are worth more than a search, and its tenant: what it is in truth is not read yet."""
        return self.queries.priority_of("search", request.headers)

    def operate(self, request: Request, connection: Connection, media: str) -> Reply:
        graph = self.graph  # in force until this operation ends, whatever is reloaded meanwhile
        asked = self.read(request, graph.settings)
        prepared, operation = self.prepare(graph, asked)
        if request.method == "GET" and operation.operation is not OperationType.QUERY:
            raise Turned(
                405, [said("GET runs queries only; send this by POST")], [("allow", "POST")], False
            )
        variables = get_variable_values(
            graph.schema, operation.variable_definitions or (), asked.variables, MOST_ERRORS
        )
        if isinstance(variables, list):
            for error in variables:
                error.extensions = {"code": "BAD_USER_INPUT"}
            raise Turned(400, variables)
        planner = self.planner(graph, operation, prepared, variables)
        plan = self.plan(planner)
        client = self.client(request, plan)
        self.pay(request.client or str(connection.peer[0]), client, plan)
        self.counts["operations"] += 1
        seconds = client.seconds or 0.0
        deadline = request.arrived + seconds
        weight = weight_of(plan)
        reserve = min(self.pace * weight, seconds * LARGEST_RESERVE)
        own = replace(client, seconds=seconds - reserve)
        runner = Runner(self.queries, planner, own, connection.on_disconnect, deadline - reserve)
        try:
            values = yield from runner.run(plan)
        except ClientGone:
            return None
        return self.finish(graph, prepared, asked, plan, runner, values, deadline, weight, media)

    def finish(
        self,
        graph: Graph,
        prepared: Prepared,
        asked: Asked,
        plan: Plan,
        runner: Runner,
        values: dict[str, Any],
        deadline: float,
        weight: int,
        media: str,
    ) -> Response | None:
        """None where the client's time is over: nothing may be sent any more."""
        clock = self.core.loop.clock
        begun = clock()
        if begun >= deadline and plan.roots:
            return None
        result = shape(graph.schema, prepared, asked.name, asked.variables, values)
        body: dict[str, Any] = {"data": result.data}
        if result.errors:
            self.counts["with_errors"] += 1
            body["errors"] = [self.coded(each).formatted for each in result.errors]
        if plan.roots:
            body["extensions"] = {
                "cost": plan.parts,
                "coverage": [covered(each) for each in runner.said],
            }
        response = answer(
            200, media, body, retry_headers(runner.retry_after) if result.errors else []
        )
        ended = clock()
        self.pace = max((ended - begun) / weight, self.pace * FADE)
        return None if ended >= deadline and plan.roots else response

    def coded(self, error: GraphQLError) -> GraphQLError:
        """Every error has a code. One without is a value that the schema does not know, or a mistake of our own."""
        if not error.extensions:
            ours = error.original_error is not None and not isinstance(
                error.original_error, (GraphQLError, TypeError)
            )
            error.extensions = {"code": "INTERNAL_SERVER_ERROR" if ours else "VALUE_NOT_VALID"}
            if ours:
                self.queries.core.counts["internal_errors"] += 1
                self.queries.core.log(
                    "task_failed", task="graphql", error=str(error.original_error)[:500]
                )
        return error

    # --- reading

    def read(self, request: Request, settings: GraphSettings) -> Asked:
        """Raises Turned."""
        if request.path.rstrip("/") not in ("/graphql", ""):
            raise Turned(
                404,
                [said(f"nothing at {request.path[:200]}; operations go to /graphql")],
                graphql=False,
            )
        if request.method not in ("GET", "POST"):
            raise Turned(
                405, [said("GET and POST are what is taken")], [("allow", "GET, POST")], False
            )
        try:
            given = (
                self.read_query(request)
                if request.method == "GET"
                else self.read_body(request, settings)
            )
        except RequestError as error:
            raise Turned(400, [said(error.reason, "BAD_REQUEST")], graphql=False) from None
        for name, kinds, what in (
            ("query", str, "a string"),
            ("operationName", str, "a string"),
            ("variables", dict, "an object"),
            ("extensions", dict, "an object"),
        ):
            if given.get(name) is not None and not isinstance(given[name], kinds):
                raise Turned(400, [said(f"{name} must be {what}", "BAD_REQUEST")], graphql=False)
        persisted = (given.get("extensions") or {}).get("persistedQuery")
        digest = None
        if persisted is not None:
            digest = persisted.get("sha256Hash") if isinstance(persisted, dict) else None
            if not isinstance(digest, str) or len(digest) != 64 or persisted.get("version") != 1:
                raise Turned(
                    400,
                    [
                        said(
                            "extensions.persistedQuery must have version 1 and a sha256Hash of 64 "
                            "hexadecimal digits",
                            "BAD_REQUEST",
                        )
                    ],
                    graphql=False,
                )
        return Asked(
            given.get("query"),
            given.get("operationName") or None,
            given.get("variables") or {},
            digest,
        )

    def read_query(self, request: Request) -> dict[str, Any]:
        given: dict[str, Any] = {
            name: request.query[name] for name in PARAMS if name in request.query
        }
        for name in ("variables", "extensions"):
            if name in given:
                given[name] = read_json(given[name].encode(), self.config.depth)
        return given

    def read_body(self, request: Request, settings: GraphSettings) -> dict[str, Any]:
        kind, _, rest = request.headers.get("content-type", "").partition(";")
        charset = rest.partition("charset=")[2].strip().strip('"').lower()
        if kind.strip().lower() != OLD or charset not in ("", "utf-8", "utf8"):
            raise Turned(
                415, [said("a request's body is application/json in UTF-8")], graphql=False
            )
        if len(request.body) > settings.limits.body:
            raise Turned(
                413, [said(f"request body is over {settings.limits.body} bytes")], graphql=False
            )
        given = read_json(request.body, self.config.depth)
        if isinstance(given, list):
            raise RequestError("batches are not taken: send each operation by itself")
        if not isinstance(given, dict):
            raise RequestError("the request body must be an object")
        return given

    # --- before anything is sent

    def prepare(self, graph: Graph, asked: Asked) -> tuple[Prepared, OperationDefinitionNode]:
        try:
            text = graph.documents.text_of(asked.query, asked.digest)
            prepared = graph.documents.prepare(text)
            graph.documents.keep(text, asked.digest)
            return prepared, prepared.operation(asked.name)
        except Invalid as error:
            raise Turned(
                200 if error.code.startswith("PERSISTED_QUERY_NOT") else 400, error.errors
            ) from None
        except TooMuch as error:
            raise Turned(400, [said(error.reason, error.code)]) from None
        except GraphQLError as error:
            raise Turned(400, [error]) from None

    def planner(
        self,
        graph: Graph,
        operation: OperationDefinitionNode,
        prepared: Prepared,
        variables: VariableValues,
    ) -> Planner:
        classes, operations = self.core.settings.classes, self.config.operations
        return Planner(
            graph.settings,
            graph.schema,
            operation,
            prepared.fragments,
            variables,
            self.queries.indices.known(),
            self.queries.targets,
            self.queries.shard,
            lambda name: 1 + classes[operations[name]].second_step_parts,
            self.config.window,
            self.queries.new_id,
            prepared.selections,
        )

    def plan(self, planner: Planner) -> Plan:
        try:
            return planner.plan()
        except TooMuch as error:
            raise Turned(400, [said(error.reason, error.code)]) from None
        except GraphQLError as error:
            raise Turned(400, [error]) from None
        except RequestError as error:
            raise Turned(400, [said(error.reason, "BAD_USER_INPUT")]) from None

    def client(self, request: Request, plan: Plan) -> ClientInfo:
        """Who asks; its time is the one it states, within the longest of its fields' classes."""
        try:
            given = request.headers.get(TIME_HEADER) or request.query.get("timeout")
            seconds = seconds_of(given, "timeout") if given is not None else None
            if seconds == 0.0:
                raise RequestError("[timeout] must be over 0: no answer could come in time")
            client = self.queries.client_info(request.headers, seconds, request.arrived)
            longest = max(
                (
                    self.queries.timeout_of(self.queries.class_of(root.operation, client), client)
                    for root in plan.roots
                ),
                default=1.0,
            )
        except RequestError as error:
            raise Turned(400, [said(error.reason, "BAD_USER_INPUT")]) from None
        return ClientInfo(longest, client.tenant, client.name, client.class_name, client.arrived)

    def pay(self, who: str, client: ClientInfo, plan: Plan) -> None:
        wait = self.budgets.take(self.core.loop.now, who, client.tenant, plan.parts)
        if wait:
            self.counts["over_budget"] += 1
            raise Turned(
                429,
                [
                    said(
                        f"The operation costs {plan.parts} parts, more than its client may spend now.",
                        "BUDGET_EXCEEDED",
                        retryAfterMs=math.ceil(wait * 1000),
                        cost=plan.parts,
                    )
                ],
                retry_headers(wait),
            )


def covered(said: Said) -> dict[str, Any]:
    """How much of the shards a query's answer is from, and which are missing."""
    found = said.coverage
    body: dict[str, Any] = {
        "path": list(said.path),
        "asked": found.requested,
        "answered": found.answered,
        "whole": found.complete,
    }
    return body | (
        {"missing": [{"index": each.index, "shard": each.shard} for each in found.missing]}
        if found.missing
        else {}
    )


def weight_of(plan: Plan) -> int:
    """About how many objects the answer has."""
    return 10 + plan.parts + plan.rows


def said(text: str, code: str = "BAD_REQUEST", **more: Any) -> GraphQLError:
    return GraphQLError(text, extensions={"code": code, **more})


def answer(
    status: int, media: str, body: dict[str, Any], headers: list[tuple[str, str]] | None = None
) -> Response:
    return Response(status, orjson.dumps(body), list(headers or []), f"{media}; charset=utf-8")


def accepted(header: str) -> str | None:
    """Which media type the client prefers of the two; none where it takes neither."""
    best: tuple[float, str] | None = None
    for item in header.split(",") if header.strip() else ["*/*"]:
        kind, *options = (each.strip().lower() for each in item.split(";"))
        quality = 1.0
        for option in options:
            name, _, value = option.partition("=")
            if name.strip() == "q":
                try:
                    quality = float(value)
                except ValueError:
                    quality = 0.0
        media = {NEW: NEW, OLD: OLD, "*/*": NEW, "application/*": NEW}.get(kind)
        if media is not None and quality > 0 and (best is None or quality > best[0]):
            best = quality, media
    return best[1] if best is not None else None
