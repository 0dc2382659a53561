"""Messages of the leases' model checker: their bytes, and their fields under other names."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

import msgspec

from stepknot.leases import messages

encoder, decoder = (
    msgspec.msgpack.Encoder(order="deterministic"),
    msgspec.msgpack.Decoder(messages.Message),
)


@lru_cache(100_000)
def decode(data: bytes) -> Any:
    return decoder.decode(data)


def encode(message: Any) -> bytes:
    return encoder.encode(message)


def held(record: messages.LedgerRecord) -> tuple[Any, ...]:
    return record.epoch, record.step, record.value


def fields(message: Any, names: dict[str, str]) -> tuple[Any, ...]:
    """A message's number and fields, under other names."""
    found: list[Any] = [message.__struct_config__.tag]
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if name in ("job", "reason"):
            continue
        if isinstance(value, dict):
            value = sorted((names[voter], life) for voter, life in value.items())
        elif isinstance(value, messages.LedgerRecord):
            value = held(value)
        elif isinstance(value, messages.VoterJobState):
            value = value.promised_epoch, names.get(value.holder, ""), held(value.record)
        found.append(value)
    return tuple(found)
