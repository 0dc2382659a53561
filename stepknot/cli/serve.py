"""What `stepknot serve` puts together: a service with its front."""

from __future__ import annotations

from collections.abc import Callable

from stepknot.broker.service import Service
from stepknot.config.settings import Config
from stepknot.fronts.search.app import SearchFront


def make(config: Config, log: Callable[..., None]) -> Service:
    return Service(config, log, lambda service: SearchFront(
        service.config, service.core, service.queries, service.metrics))


def run(config: Config, log: Callable[..., None]) -> int:
    service = make(config, log)
    print(f'{{"broker": "http://{config.listen[0]}:{service.server.port}"}}', flush=True)  # ready
    return service.run()
