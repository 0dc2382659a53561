"""What `stepknot serve` puts together: a service with its fronts."""

from __future__ import annotations

import sys
from collections.abc import Callable

import orjson

from stepknot.broker.service import Service
from stepknot.broker.voter_store import Unfit
from stepknot.config.settings import Config
from stepknot.frontends.search.app import SearchFront

Log = Callable[..., None]


def make(config: Config, log: Log, load_again: Callable[[], Config] | None = None) -> Service:
    make_graph: Callable[[Service], GraphFront] | None = None
    if config.graphql is not None:
        # Imported here: where no graph is served, the module is not loaded.
        from stepknot.frontends.graphql.app import GraphFront

        def make_graph(service: Service) -> GraphFront:
            return GraphFront(service.config, service.core, service.queries)

    return Service(
        config,
        log,
        lambda service: SearchFront(service.config, service.core, service.queries, service.metrics),
        make_graph=make_graph,
        load_again=load_again,
    )


def run(config: Config, log: Log, load_again: Callable[[], Config] | None = None) -> int:
    try:
        service = make(config, log, load_again)
    except Unfit as error:
        print(f"error: ownership.state: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # an address that is taken, or none of this machine's
        print(f"error: cannot listen: {error}", file=sys.stderr)
        return 2
    ready = {"broker": f"http://{config.listen[0]}:{service.server.port}"}
    if config.graphql is not None and service.graph_server is not None:
        ready["graphql"] = f"http://{config.graphql.listen[0]}:{service.graph_server.port}/graphql"
    if service.peering is not None:
        ready["peers"] = "{}:{}".format(*service.peering.socket.address[:2])
    print(orjson.dumps(ready).decode(), flush=True)
    return service.run()
