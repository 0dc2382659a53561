"""What operators and clients ask of the cluster: health, nodes, shards. From the broker's own view only."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from stepknot import __version__
from stepknot.broker.core import Core
from stepknot.broker.query_runner import QueryRunner
from stepknot.config.settings import Config
from stepknot.frontends.search.replies import reply
from stepknot.interface import ServerEntry, ServerState
from stepknot.net.http import Request, Response
from stepknot.net.tasks import Park
from stepknot.search.errors import RequestError

COMPATIBLE = "2.17.0"  # the REST specification's version that is spoken
Row = dict[str, str]


class Admin:
    def __init__(self, config: Config, core: Core, queries: QueryRunner) -> None:
        self.config, self.core, self.queries = config, core, queries

    def root(self) -> Response:
        return reply(
            200,
            {
                "name": self.core.name,
                "cluster_name": self.config.name,
                "cluster_uuid": self.config.name,
                "version": {
                    "distribution": "opensearch",
                    "number": COMPATIBLE,
                    "build_type": "stepknot",
                    "build_hash": __version__,
                    "build_snapshot": False,
                    "lucene_version": "9.11.1",
                    "minimum_wire_compatibility_version": "7.10.0",
                    "minimum_index_compatibility_version": "7.0.0",
                },
                "tagline": "The OpenSearch Project: https://opensearch.org/",
            },
        )

    def route(self, request: Request, parts: list[str]) -> Generator[Park, Any, Response]:
        yield from ()
        if request.method not in ("GET", "HEAD"):
            raise RequestError(
                f"no handler found for uri [{request.path}] and method [{request.method}]"
            )
        match parts:
            case ["_cluster", "health"] | ["_cluster", "health", _]:
                return reply(200, self.health(parts[2] if len(parts) > 2 else ""))
            case ["_cat"]:
                return Response(
                    200,
                    b"=^.^=\n/_cat/indices\n/_cat/nodes\n/_cat/shards\n",
                    content_type="text/plain",
                )
            case ["_cat", "nodes"]:
                return table(request, self.nodes())
            case ["_cat", "shards"] | ["_cat", "shards", _]:
                return table(request, self.shards(parts[2] if len(parts) > 2 else ""))
            case ["_cat", "indices"] | ["_cat", "indices", _]:
                return table(request, self.indices(parts[2] if len(parts) > 2 else ""))
            case ["_nodes", "stats"] | ["_nodes", "stats", _]:
                return reply(200, self.stats())
        raise RequestError(
            f"no handler found for uri [{request.path}] and method [{request.method}]"
        )

    def holders(self, place: int) -> list[ServerEntry]:
        settings = self.core.settings
        cells = {(place + step) % settings.cells for step in range(settings.reach)}
        return [each for each in self.core.servers.values() if each.cell in cells]

    def copies(self, names: str) -> list[tuple[str, int, list[ServerEntry]]]:
        return [
            (target.index, target.shard, self.holders(target.place))
            for target in self.queries.targets(self.queries.indices.select(names))
        ]

    def health(self, names: str) -> dict[str, Any]:
        """Green: each shard has all its listed boxes live; yellow: one at the least; red: a shard has none."""
        copies = self.copies(names)
        live = [
            [each for each in holders if each.state is ServerState.LIVE] for _, _, holders in copies
        ]
        most = max((len(holders) for _, _, holders in copies), default=0)
        whole = sum(1 for each in live if each)
        status = (
            "red"
            if whole < len(copies)
            else "green"
            if all(len(each) == most for each in live)
            else "yellow"
        )
        missing = sum(most - len(each) for each in live)
        return {
            "cluster_name": self.config.name,
            "status": status,
            "timed_out": False,
            "number_of_nodes": len(self.core.servers) + 1,
            "number_of_data_nodes": len(self.core.servers),
            "discovered_master": True,
            "discovered_cluster_manager": True,
            "active_primary_shards": whole,
            "active_shards": sum(map(len, live)),
            "relocating_shards": 0,
            "initializing_shards": 0,
            "unassigned_shards": missing,
            "delayed_unassigned_shards": 0,
            "number_of_pending_tasks": 0,
            "number_of_in_flight_fetch": len(self.core.attempts),
            "task_max_waiting_in_queue_millis": 0,
            "active_shards_percent_as_number": 100.0
            * sum(map(len, live))
            / max(most * len(copies), 1),
        }

    def nodes(self) -> list[Row]:
        rows = [
            {
                "name": self.core.name,
                "ip": self.config.listen[0],
                "node.role": "-",
                "zone": self.config.zone,
                "cell": "-",
                "state": "broker",
                "mean_ms": "-",
                "out": "-",
            }
        ]
        for name, entry in self.core.servers.items():
            capsule = self.core.aggregator.capsules.get(name)
            rows.append(
                {
                    "name": name,
                    "ip": name.rpartition(":")[0],
                    "node.role": "d",
                    "zone": entry.zone,
                    "cell": str(entry.cell),
                    "state": entry.state.value,
                    "mean_ms": f"{capsule.mean_time * 1000:.1f}"
                    if capsule and capsule.responses
                    else "-",
                    "out": str(len(capsule.calls)) if capsule else "0",
                }
            )
        return rows

    def shards(self, names: str) -> list[Row]:
        rows = []
        for index, shard, holders in self.copies(names):
            for place, entry in enumerate(holders):
                state = "STARTED" if entry.state is ServerState.LIVE else "RELOCATING"
                rows.append(
                    {
                        "index": index,
                        "shard": str(shard),
                        "prirep": "r" if place else "p",
                        "state": state,
                        "ip": entry.server.rpartition(":")[0],
                        "node": entry.server,
                    }
                )
            if not holders:
                rows.append(
                    {
                        "index": index,
                        "shard": str(shard),
                        "prirep": "p",
                        "state": "UNASSIGNED",
                        "ip": "",
                        "node": "",
                    }
                )
        return rows

    def indices(self, names: str) -> list[Row]:
        rows = []
        for index in self.queries.indices.select(names):
            health = self.health(index.name)
            replicas = (
                max((len(holders) for _, _, holders in self.copies(index.name)), default=1) - 1
            )
            rows.append(
                {
                    "health": health["status"],
                    "status": "open",
                    "index": index.name,
                    "uuid": index.name,
                    "pri": str(index.shards),
                    "rep": str(max(replicas, 0)),
                }
            )
        return rows

    def stats(self) -> dict[str, Any]:
        loop, pool = self.core.loop, self.queries.indices.pool
        return {
            "_nodes": {"total": 1, "successful": 1, "failed": 0},
            "cluster_name": self.config.name,
            "nodes": {
                self.core.name: {
                    "name": self.core.name,
                    "host": self.config.listen[0],
                    "roles": [],
                    "indices": {
                        "search": {
                            "query_total": self.core.counts["queries"],
                            "query_current": len(self.core.queries),
                        }
                    },
                    "http": {"total_opened": pool.opened},
                    "stepknot": {
                        "counts": dict(self.core.counts),
                        "turns": loop.turns,
                        "lag_most_ms": loop.lag_most * 1000,
                        "lag_mean_ms": 1000 * loop.lag_sum / max(loop.turns, 1),
                        "connections_opened": pool.opened,
                        "connections_reused": pool.reused,
                        "connections_capped": pool.rejected_at_limit,
                        "boxes": {row["name"]: row for row in self.nodes()[1:]},
                    },
                }
            },
        }


def table(request: Request, rows: list[Row]) -> Response:
    """A `_cat` answer: columns of text, or JSON where it is asked for."""
    for key in request.query:
        if key not in (
            "v",
            "h",
            "s",
            "format",
            "pretty",
            "help",
            "bytes",
            "time",
            "local",
            "human",
            "error_trace",
        ):
            raise RequestError(f"request [{request.path}] contains unrecognized parameter: [{key}]")
    columns = list(rows[0]) if rows else []
    if "h" in request.query:
        columns = [each for each in request.query["h"].split(",") if each in columns]
    if "s" in request.query:
        for key in reversed(request.query["s"].split(",")):
            name, _, order = key.partition(":")
            rows = sorted(rows, key=lambda row: row.get(name, ""), reverse=order == "desc")
    if request.query.get("format") == "json":
        return reply(200, [{key: row[key] for key in columns} for row in rows])
    shown = [[row[key] for key in columns] for row in rows]
    if request.query.get("v", "false") != "false":
        shown.insert(0, columns)
    widths = [max((len(row[place]) for row in shown), default=0) for place in range(len(columns))]
    lines = [
        " ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in shown
    ]
    return Response(
        200,
        "".join(f"{line}\n" for line in lines).encode(),
        content_type="text/plain; charset=UTF-8",
    )
