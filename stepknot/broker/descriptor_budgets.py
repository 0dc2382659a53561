"""Divides a broker's file descriptors among their uses, by the process's limit at its start."""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import asdict

from stepknot.admission.descriptors import DescriptorBudget, allocate_descriptors
from stepknot.admission.model import AdmissionSettings

MAX_DESCRIPTORS = 200_000  # higher limits count as this one: a broker cannot serve more connections


def find_budgets(
    settings: AdmissionSettings | None, log: Callable[..., None]
) -> DescriptorBudget | None:
    """The budget for the present descriptor limit; None without admission, or if the limit is too low (logged)."""
    if settings is None:
        return None
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    try:
        budgets = allocate_descriptors(
            min(limit, MAX_DESCRIPTORS), limit, settings.lane, settings.connections
        )
    except ValueError as error:
        log("admission_disabled", reason=str(error))
        return None
    log("descriptors_allocated", **asdict(budgets))
    return budgets
