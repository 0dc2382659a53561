"""Compatibility of the datagrams of version 2: the recorded bytes in `datagrams/` are decoded and encoded unchanged."""

from __future__ import annotations

from pathlib import Path

import pytest

from stepknot.membership import wire
from stepknot.membership.model import MAX_EPOCH, MAX_INCARNATION, Record, State

pytestmark = pytest.mark.cpu_only

FOLDER = Path(__file__).parent / "datagrams"
SENDER = Record("b0", "10.0.0.4", 9600, 1_790_000_000_000, 3_141_592_653, 2, State.ALIVE)
LONGEST = Record(
    "\U0001f004" * 64,
    "1" * 45,
    65_535,
    MAX_EPOCH - 1,
    2**32 - 1,
    MAX_INCARNATION - 1,
    State.SUSPECT,
)
DATAGRAMS: dict[str, wire.Message] = {
    "heartbeat_never_received": wire.Heartbeat(-1, 0),
    "heartbeat": wire.Heartbeat(431, 2**62 - 1),
    "heartbeat_to_a_suspect": wire.Heartbeat(5_000, 77, 3, True, True),
    "indirect_probe_request": wire.IndirectProbeRequest(["b1", "b2", "\U0001f004"]),
    "indirect_probe_request_empty": wire.IndirectProbeRequest([]),
    "indirect_probe_answer": wire.IndirectProbeAnswer(
        [wire.Observation("b1", 1_790_000_000_001, 12, 0), wire.Observation("b2", 9, 8, -1)]
    ),
    "gossip_of_full_records": wire.Gossip([SENDER, LONGEST]),
    "gossip_of_short_updates": wire.Gossip(
        [], [wire.ShortUpdate(2**62 - 1, 0, State.DEAD), wire.ShortUpdate(7, 4, State.ALIVE)]
    ),
    "gossip_of_both": wire.Gossip(
        [Record("b3", "::1", 1, 0, 0, 0, State.JOINING)], [wire.ShortUpdate(0, 1, State.LEFT)]
    ),
    "join_request": wire.JoinRequest(),
    "anti_entropy_request": wire.AntiEntropyRequest(0, 63, bytes(range(16))),
    "record_request_by_identity": wire.RecordRequest([1, 2**61]),
    "record_request_by_fingerprint": wire.RecordRequest(fingerprints=b"abcdefgh"),
}


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_recorded_datagram_is_read_and_written_again_with_the_same_bytes(name: str) -> None:
    recorded = (FOLDER / f"{name}.bin").read_bytes()
    envelope = wire.decode(recorded, "reports")
    assert envelope == wire.Envelope(2, "reports", SENDER, DATAGRAMS[name])
    assert wire.encode("reports", SENDER, DATAGRAMS[name]) == recorded


def test_each_recorded_datagram_is_checked() -> None:
    assert {path.stem for path in FOLDER.iterdir()} == set(DATAGRAMS)
