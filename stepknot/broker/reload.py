"""Reading the settings again on SIGHUP. What can change is the GraphQL schema and its limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepknot.broker.errors import ReloadError
from stepknot.config.settings import Config


def reload_settings(
    load_again: Callable[[], Config],
    running: Config,
    graphql: Any,
    log: Callable[..., None],
) -> None:
    """Read the settings again and hand them to the GraphQL frontend, for operations that begin from now on.

    All else needs a restart. Settings that are wrong change nothing.

    Args:
        load_again: Reads the settings.
        running: The settings in force.
        graphql: The GraphQL frontend, None where there is none.
        log: Takes the event of the reload or of its rejection.
    """
    try:
        config = load_again()
        if graphql is None or config.graphql is None:
            raise ReloadError(
                "only the graphql block is read again, and it is not there before and after"
            )
        if config.indices != running.indices:
            raise ReloadError("the indices differ: that needs a restart")
        graphql.reload(config)
    except Exception as error:  # noqa: BLE001 - whatever is wrong with it, the old settings stay
        log("reload_rejected", reason=f"{type(error).__name__}: {error}")
    else:
        log(
            "config_reloaded",
            types=len(config.graphql.types),
            entities=len(config.graphql.entities),
        )
