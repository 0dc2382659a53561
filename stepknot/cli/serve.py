"""Puts together what `stepknot serve` runs: a service with its frontends."""

from __future__ import annotations

import sys
from collections.abc import Callable

import orjson

from stepknot.broker.service import Service
from stepknot.config.settings import Config
from stepknot.frontends.search.app import SearchFront
from stepknot.leases.errors import VoterStateMismatchError

Log = Callable[..., None]


def make(config: Config, log: Log, load_again: Callable[[], Config] | None = None) -> Service:
    """Make a service with the search frontend and, where the settings have it, the GraphQL one.

    Args:
        config: The settings.
        log: Takes an event's name and its fields.
        load_again: Reads the settings anew at SIGHUP; none: SIGHUP does nothing.

    Raises:
        OSError: An address cannot be listened on.
        VoterStateMismatchError: The voter's state belongs to another voter or version.
    """
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
        make_graphql=make_graph,
        load_again=load_again,
    )


def run(config: Config, log: Log, load_again: Callable[[], Config] | None = None) -> int:
    """Serve until SIGTERM or SIGINT, after one JSON line of addresses on standard output.

    Returns:
        The exit code: 0, or 2 where an address is taken or the voter's state cannot be used.
    """
    try:
        service = make(config, log, load_again)
    except VoterStateMismatchError as error:
        print(f"error: ownership.state: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # an address that is taken, or none of this machine's
        print(f"error: cannot listen: {error}", file=sys.stderr)
        return 2
    ready = {"broker": f"http://{config.listen[0]}:{service.server.port}"}
    if config.graphql is not None and service.graphql_server is not None:
        ready["graphql"] = (
            f"http://{config.graphql.listen[0]}:{service.graphql_server.port}/graphql"
        )
    if service.membership is not None:
        ready["peers"] = "{}:{}".format(*service.membership.socket.address[:2])
    print(orjson.dumps(ready).decode(), flush=True)
    return service.run()
