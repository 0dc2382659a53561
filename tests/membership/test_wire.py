"""Tests that malformed, corrupted, arbitrary and large datagrams leave the protocol in a valid state."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    MAX_EPOCH,
    MAX_INCARNATION,
    Record,
    State,
)
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def packed(sender: list[Any]) -> bytes:
    return msgspec.msgpack.encode([wire.VERSION, "stepknot", sender, [1, 0, 0]])


def test_malformed_datagrams_are_counted_by_reason_and_change_nothing() -> None:
    protocol, rng = new_protocol(), random.Random(1)
    valid = heartbeat(record())
    invalid = {
        "too long": [bytes(65_507), valid + bytes(1200)],
        "malformed": [
            b"",
            b"\xc1",
            valid[:-1],
            valid[:5],
            rng.randbytes(100),
            b"\x91" * 1000,
            packed(["x", "h", 0, 1, 1, 0, 1]),
            packed(["x", "h", 1, MAX_EPOCH, 1, 0, 1]),
            packed(["x", "h", 1, 1, 1, MAX_INCARNATION, 1]),
            packed(["x" * 65, "h", 1, 1, 1, 0, 1]),
            packed(["x", "h", 1, 1, 1, 0, 9]),
        ],
        "another version": [
            valid.replace(bytes([0x94, wire.VERSION]), bytes([0x94, wire.VERSION - 1]), 1)
        ],
        "another fleet": [datagram(record(), wire.Heartbeat(-1, 0), fleet="other")],
    }
    for reason, datagrams in invalid.items():
        for data in datagrams:
            protocol.receive(0.1, data)
        assert protocol.counters[f"dropped: {reason}"] == len(datagrams), reason
    assert list(protocol.table.records) == ["me"] and not protocol.take()[0]
    protocol.receive(0.1, valid)
    assert set(protocol.table.records) == {"me", "x"}


def test_truncated_and_corrupted_datagrams_do_no_harm() -> None:
    valid = datagram(record(), wire.Gossip([record("y"), record("z", state=State.SUSPECT)]))
    protocol = new_protocol()
    for at in range(len(valid)):
        protocol.receive(0.1, valid[:at])
        protocol.receive(0.1, valid[:at] + bytes([valid[at] ^ 0x55]) + valid[at + 1 :])
    assert len(protocol.table.records) < 500


def test_arbitrary_well_formed_messages_keep_the_table_consistent() -> None:
    """Messages of any kind come from any member in any state, some under the own name. No exception may be raised, and
    the table's counts, identities and fingerprints must match its records.
    """
    for seed in range(30):
        rng, protocol, now = (
            random.Random(seed),
            new_protocol(max_records=12, tombstone=60.0),
            0.0,
        )

        def any_record(rng: random.Random = rng) -> Record:
            return record(
                rng.choice(["me", *"abcdefghijklmnop"]),
                rng.randrange(12),
                rng.randrange(3),
                rng.randrange(3),
                State(rng.randrange(5)),
                rng.randrange(1, 9),
            )

        for _ in range(400):
            now += rng.choice([0.0, 0.05, 0.3, 4.0])
            name = any_record().name
            message = rng.choice(
                [
                    wire.Heartbeat(
                        rng.randrange(-1, 5000),
                        rng.randrange(2**62),
                        rng.randrange(-1, 3),
                        rng.random() < 0.5,
                        rng.random() < 0.5,
                    ),
                    wire.IndirectProbeRequest([any_record().name for _ in range(rng.randrange(5))]),
                    wire.JoinRequest(),
                    wire.IndirectProbeAnswer(
                        [
                            wire.Observation(
                                name,
                                rng.randrange(12),
                                rng.randrange(3),
                                rng.randrange(-1, 9000),
                            )
                        ]
                    ),
                    wire.Gossip(
                        [any_record() for _ in range(rng.randrange(9))],
                        [
                            wire.ShortUpdate(
                                rng.choice([*protocol.table.identities, 7]),
                                rng.randrange(3),
                                State(rng.randrange(5)),
                            )
                            for _ in range(rng.randrange(4))
                        ],
                    ),
                    wire.RecordRequest(
                        [rng.choice([*protocol.table.identities, 7])],
                        rng.randbytes(rng.randrange(60)),
                    ),
                    wire.AntiEntropyRequest(
                        rng.randrange(64),
                        rng.randrange(64),
                        rng.randbytes(rng.randrange(60)),
                    ),
                ]
            )
            protocol.receive(now, datagram(any_record(), message))
            protocol.tick(now)
            count = protocol.count(now)
            assert 1 <= count.lower_bound <= count.upper_bound and len(protocol.table.records) <= 12
            assert (
                sum(protocol.table.counts)
                == len(protocol.table.records)
                == len(protocol.table.fingerprints)
            )
            assert {name: each.identity for name, each in protocol.table.known.items()} == {
                name: each for each, name in protocol.table.identities.items()
            }
            assert set(protocol.table.known) == set(protocol.table.records)
            assert all(len(data) <= wire.MAX_DATAGRAM_BYTES for _, data in protocol.take()[0])


def test_every_datagram_fits_with_the_longest_names() -> None:
    protocol = new_protocol()
    for number in range(60):
        name = f"{number:03}" + "n" * 61
        protocol.receive(
            0.1,
            datagram(
                Record(
                    name,
                    "1" * 45,
                    65535,
                    MAX_EPOCH - 1,
                    2**32 - 1,
                    MAX_INCARNATION - 1,
                    State.ALIVE,
                ),
                wire.JoinRequest(),
            ),
        )
    for step in range(1, 200):
        protocol.tick(step / 10)
    sent = protocol.take()[0]
    assert sent and max(len(data) for _, data in sent) <= wire.MAX_DATAGRAM_BYTES
    assert any(isinstance(wire.decode(data, "stepknot").message, wire.Gossip) for _, data in sent)


def test_names_of_four_byte_characters_are_disseminated() -> None:
    """Sixteen records with such names do not fit in one datagram. Fewer records must be sent at once, and all of them
    must be sent.
    """
    names = {f"{number:02}" + chr(0x1F004) * 62 for number in range(20)}
    sender = new_protocol()
    for name in names:
        sender.receive(0.1, heartbeat(record(name)))
    sender.take()
    sender.dissemination.send_full_records(
        6.0, ("127.0.0.1", 77), [sender.table.records[name] for name in names]
    )
    sent = [data for _, data in sender.take()[0]]
    assert max(map(len, sent)) <= wire.MAX_DATAGRAM_BYTES and not sender.counters["kept back"]
    assert names == {
        each.name for data in sent for each in wire.decode(data, "stepknot").message.records
    }
