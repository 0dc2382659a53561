"""What the platform tells a broker, where it is wrong: one line with the place, and what was before holds."""

from __future__ import annotations

import copy
from typing import Any

import orjson
import pytest

from stepknot.platform.config import MINIMUMS, parse_config
from stepknot.platform.errors import MalformedInputError
from tests.platform.world import profile

GOOD: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "8c",
    "known": None,
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": profile(),
}


def changed(path: str, value: Any) -> bytes:
    given = copy.deepcopy(GOOD)
    *parts, last = path.split(".")
    place: Any = given
    for part in parts:
        place = place[int(part) if part.isdigit() else part]
    place[int(last) if last.isdigit() else last] = value
    return orjson.dumps(given)


@pytest.mark.parametrize(("path", "least"), MINIMUMS)
@pytest.mark.parametrize("value", [-1, None, "many", True])
def test_value_below_its_minimum_is_named(path: str, least: float, value: Any) -> None:
    for bad in (value, least - 1):
        with pytest.raises(MalformedInputError, match=path):
            parse_config(changed(path, bad), "test")


@pytest.mark.parametrize(
    ("path", "value", "told"),
    [
        (
            "settings.lanes.0.idempotency",
            "odd",
            r"lanes\[0\].idempotency: expected one of idempotent",
        ),
        ("settings.lanes.1.name", "list", r"lanes\[1\].name: 'list' is there twice"),
        ("settings.lanes.0.slo-ns", 0, r"lanes\[0\].slo-ns: expected a time over 0"),
        ("settings.lanes.2.deadline-ns", "x", r"lanes\[2\].deadline-ns"),
        (
            "settings.family-info.class-floor",
            [1.0],
            "family-info.class-floor: expected one for each",
        ),
        ("settings.lanes", "x", "wrong kind"),
        ("settings", None, "wrong kind"),
    ],
)
def test_malformed_classes_are_named(path: str, value: Any, told: str) -> None:
    with pytest.raises(MalformedInputError, match=told):
        parse_config(changed(path, value), "test")


@pytest.mark.parametrize("known", [None, "", "garbage", [1, 2], 7, {"version": "x"}])
def test_malformed_cached_list_does_not_prevent_the_start(known: Any) -> None:
    assert parse_config(changed("known", known), "test").cached_list == known


def test_settings_without_classes_are_accepted() -> None:
    given = copy.deepcopy(GOOD)
    given["settings"]["lanes"] = []
    for key in ("class-floor", "class-need", "class-fetch", "partial-earns"):
        given["settings"]["family-info"][key] = []
    assert parse_config(orjson.dumps(given), "test").settings.classes == {}
