"""Reloads the settings on SIGHUP. Only the GraphQL schema and its limits can change at run time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepknot.broker.errors import ReloadError
from stepknot.config.settings import Config


def reload_settings(
    load_settings: Callable[[], Config],
    current: Config,
    graphql: Any,
    log: Callable[..., None],
) -> None:
    """Reload the settings and pass them to the GraphQL frontend, which uses them for operations that start later.

    Changes of other settings need a restart. Settings with an error change nothing.

    Args:
        load_settings: Reads the settings.
        current: The settings in use.
        graphql: The GraphQL frontend, None if there is none.
        log: Writes the log event of the reload or of its rejection.
    """
    try:
        config = load_settings()
        if graphql is None or config.graphql is None:
            raise ReloadError(
                "only the graphql block can be reloaded, and it must be present before and after"
            )
        if config.indices != current.indices:
            raise ReloadError("the indices have changed, which needs a restart of the broker")
        graphql.reload(config)
    except Exception as error:  # noqa: BLE001 - after any error, the current settings stay in use
        log("reload_rejected", reason=f"{type(error).__name__}: {error}")
    else:
        log(
            "config_reloaded",
            types=len(config.graphql.types),
            entities=len(config.graphql.entities),
        )
