"""How a day's clients ask, by either front, and what they note of an answer: the same facts whichever front it was.

The audit goes by these notes. A GraphQL answer's errors are noted as the status that says the same over HTTP: 429
refused and harmless to repeat, 503 given up, 404, 409.
"""

from __future__ import annotations

import random
from typing import Any

import orjson

from stepknot.net.errors import HttpError
from stepknot.net.response_parser import ClientParser
from stepknot.simulation import corpus

JSON = "content-type: application/json\r\naccept-encoding: identity\r\n"
STATUS = {
    "REQUEST_RATE_LIMITED": 429,
    "BUDGET_EXCEEDED": 429,
    "NOT_FOUND": 404,
    "CONFLICT": 409,
    "BAD_USER_INPUT": 400,
}  # any other code: 503
CLUBS = {"exists": {"field": "club"}}
WRITES = {"index": "indexReport", "create": "createReport"}
Fields = dict[str, Any]


def ask(
    front: str, kind: str, number: int, name: str, seconds: float, documents: int, hot: str
) -> tuple[bytes, Fields]:
    """A request's bytes, and what is noted of it. `number` draws its contents: the same number asks the same."""
    rng = random.Random(number)
    fields: Fields = {"query": name, "kind": kind, "seconds": seconds, "front": front}
    if kind in ("index", "create"):
        fields |= {"parts": 1, "id": f"w{number:012x}"}
    elif kind == "get":
        fields["id"] = hot or corpus.name_of(rng.randrange(documents))
    else:
        fields["game"] = rng.choice(corpus.GAMES)
    if front == "graphql":
        return graphql(kind, number, name, seconds, documents, fields, rng)
    body, path, method = b"", "", "POST"
    timeout = f"timeout={int(seconds * 1000)}ms"
    match kind:
        case "search":
            body = orjson.dumps(
                {
                    "query": {"bool": {"filter": [{"term": {"game": fields["game"]}}, CLUBS]}},
                    "size": 5,
                    "sort": [{"rating": "desc"}, {"_id": "asc"}],
                    "track_total_hits": True,
                    "aggs": {"clubs": {"terms": {"field": "club", "size": 5}}},
                }
            )
            path = f"/{corpus.INDEX}/_search?{timeout}"
        case "get":
            method, path = "GET", f"/{corpus.INDEX}/_doc/{fields['id']}?{timeout}"
        case _:
            method = "PUT"
            path = f"/{corpus.INDEX}/{'_doc' if kind == 'index' else '_create'}/{fields['id']}?{timeout}"
            body = orjson.dumps({"title": "a day's write", "moves": number % 100})
    return http(method, path, name, "", body), fields


def http(method: str, path: str, name: str, more: str, body: bytes) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nhost: broker\r\n{JSON}{more}x-opaque-id: {name}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


def graphql(
    kind: str,
    number: int,
    name: str,
    seconds: float,
    documents: int,
    fields: Fields,
    rng: random.Random,
) -> tuple[bytes, Fields]:
    """A search goes with a batch of entities beside it, in one operation."""
    variables: Fields = {}
    match kind:
        case "search":
            keys = [corpus.name_of(rng.randrange(documents)) for _ in range(8)]
            fields["keys"] = keys
            variables = {
                "game": fields["game"],
                "keys": [{"__typename": "Report", "id": key} for key in keys],
            }
            query = """query($game: String, $keys: [_Any!]!) {
                reports(first: 5, where: {game: {eq: $game}, club: {exists: true}}, sort: [{by: rating, order: DESC}]) {
                totalCount totalIsExact nodes { id rating } aggregate { terms(field: club, first: 5) {
                buckets { key count } } } } _entities(representations: $keys) { ... on Report { id title } } }"""
        case "get":
            query, variables = (
                "query($id: ID!) { report(id: $id) { id title } }",
                {"id": fields["id"]},
            )
        case _:
            query = f"""mutation($id: ID!, $moves: Int) {{ {WRITES[kind]}(id: $id,
                document: {{title: "a day's write", moves: $moves}}) {{ id result }} }}"""
            variables = {"id": fields["id"], "moves": number % 100}
    body = orjson.dumps({"query": query, "variables": variables})
    return http("POST", "/graphql", name, f"x-timeout: {int(seconds * 1000)}ms\r\n", body), fields


def read(fields: Fields, parser: ClientParser) -> tuple[Fields, float | None]:
    """What is noted of an answer, and after how many seconds its client asks again; None: it does not."""
    noted: Fields = {"query": fields["query"], "status": parser.status}
    advice = parser.headers.get("retry-after-ms", "")
    try:
        body = orjson.loads(parser.body())
    except (ValueError, HttpError):
        body = {}
        noted["malformed"] = True
    kind = fields["kind"]
    if fields["front"] == "graphql":
        noted |= read_graphql(fields, parser.status, body)
    elif parser.status == 200 and kind == "search" and "hits" in body:
        shards = body["_shards"]
        noted |= {
            "total": body["hits"]["total"],
            "shards": {key: shards[key] for key in ("total", "successful", "failed")},
            "timed_out": body["timed_out"],
            "failed_shards": [each["shard"] for each in shards.get("failures", [])],
        }
    elif parser.status in (200, 404) and kind == "get":
        noted |= {"found": body.get("found"), "id": body.get("_id")}
    if noted["status"] == 429 or noted["status"] == 503 and kind in ("search", "get", "index"):
        return noted, int(advice) / 1000 if advice.isdigit() else 0.5
    return noted, None


def read_graphql(fields: Fields, status: int, body: Any) -> Fields:
    if status != 200 or not isinstance(body, dict) or not isinstance(body.get("data"), dict):
        errors = body.get("errors", []) if isinstance(body, dict) else []
        return (
            {"status": STATUS.get(errors[0]["extensions"]["code"], 503)}
            if errors and status == 200
            else {}
        )
    data, errors = body["data"], body.get("errors", [])
    if fields["kind"] == "search":
        return read_search(fields, data, errors, body["extensions"]["coverage"])
    ((name, value),) = data.items()
    if value is None and errors:
        return {
            "status": STATUS.get(errors[0]["extensions"]["code"], 503),
            "code": errors[0]["extensions"]["code"],
        }
    if name == "report":
        return {
            "status": 200 if value else 404,
            "found": value is not None,
            "id": value and value["id"],
        }
    return {"status": 201 if value["result"] == "created" else 200}


def read_search(fields: Fields, data: Any, errors: list[Any], coverage: list[Any]) -> Fields:
    """The search's own facts, and how many of the entities beside it were told wrongly: all of them exist."""
    excused = {tuple(each["path"]) for each in errors}
    wrong = 0
    for place, (key, entity) in enumerate(zip(fields["keys"], data["_entities"], strict=True)):
        truth = {"id": key, "title": corpus.document(int(key[1:]))["title"]}
        wrong += entity != truth if entity is not None else ("_entities", place) not in excused
    noted: Fields = {
        "entities_wrong": wrong,
        "entities_lost": sum(each is None for each in data["_entities"]),
    }
    page = data["reports"]
    if page is None:
        code = next(each["extensions"]["code"] for each in errors if each["path"] == ["reports"])
        return noted | {"status": STATUS.get(code, 503), "code": code}
    said = next(each for each in coverage if each["path"] == ["reports"])
    return noted | {
        "total": {"value": page["totalCount"], "relation": "eq" if page["totalIsExact"] else "gte"},
        "shards": {
            "total": said["asked"],
            "successful": said["answered"],
            "failed": said["asked"] - said["answered"],
        },
        "timed_out": not said["whole"],
        "failed_shards": [each["shard"] for each in said.get("missing", [])],
    }
