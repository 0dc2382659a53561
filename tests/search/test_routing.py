"""The public routing rule, against the hash's published values."""

import mmh3
import pytest

from stepknot.config.settings import default_routing_shards
from stepknot.search.routing import shard_of

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("hell", 0x5A0CB7C3),
        ("hello", 0xD7C31989),
        ("hello w", 0x22AB2984),
        ("hello wo", 0xDF0CA123),
        ("hello wor", 0xE7744D61),
        ("The quick brown fox jumps over the lazy dog", 0xE07DB09C),
        ("The quick brown fox jumps over the lazy cog", 0x4E63D2AD),
    ],
)
def test_the_hash_is_the_engines(text: str, value: int) -> None:
    assert mmh3.hash(text.encode("utf-16-le"), 0, signed=False) == value
    signed = value - (1 << 32) if value >> 31 else value
    assert shard_of(text, 5, 640) == signed % 640 // 128


@pytest.mark.parametrize(
    ("shards", "routing"),
    [(1, 1024), (2, 1024), (3, 768), (5, 640), (12, 768), (30, 960), (600, 1200), (1024, 2048)],
)
def test_routing_shards_as_the_engines_choose_them(shards: int, routing: int) -> None:
    assert default_routing_shards(shards) == routing


def test_odd_names_have_a_shard() -> None:
    for text in ("", "\ud800", "Ünïcode", "\U0001f600" * 100):
        assert 0 <= shard_of(text, 7, default_routing_shards(7)) < 7
