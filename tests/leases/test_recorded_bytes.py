"""Bytes that an earlier version sent and stored: each is read, and written again just as it was."""

from __future__ import annotations

from pathlib import Path

import pytest

from stepknot.broker.voter_store import VoterStore, pack, unpack
from stepknot.leases import drains
from stepknot.leases import model as m

LIVES = {"A": 3, "B": 1}
HELD = m.Held(6, 2, b"\x00xyz")
RECORD = m.JobRecord("drains", 7, "b1", 2**61, HELD)
SENDER = ("b1", 2**61)
HEAD = "9501a8737465706b6e6f74a26231cf2000000000000000"  # of a datagram, up to its message

MESSAGES = [
    (m.Claim("drains", 7, 6), "9401a6647261696e730706"),
    (
        m.Granted("drains", 7, 3, LIVES, HELD),
        "9602a6647261696e73070382a14103a14201930602c4040078797a",
    ),
    (
        m.Refused("drains", 7, 9, 1900, "a later epoch is promised"),
        "9603a6647261696e730709cd076cb961206c617465722065706f63682069732070726f6d69736564",
    ),
    (m.Renew("drains", 7, 40, 2), "9504a6647261696e73072802"),
    (m.Renewed("drains", 7, 40, 3, LIVES), "9605a6647261696e7307280382a14103a14201"),
    (m.Write("drains", 3, HELD), "9406a6647261696e7303930602c4040078797a"),
    (m.Written("drains", 6, 2, 3, LIVES), "9607a6647261696e7306020382a14103a14201"),
    (m.Yield("drains", 7), "9308a6647261696e7307"),
    (m.Offer("drains", 7), "9309a6647261696e7307"),
    (m.Told("drains", 6, 2, b"\x00xyz"), "950aa6647261696e730602c4040078797a"),
    (m.Told("drains", 6, 2, None), "950aa6647261696e730602c0"),
    (m.Ask("drains"), "920ba6647261696e73"),
    (
        m.Holds("drains", 3, LIVES, HELD, 2),
        "960ca6647261696e730382a14103a14201930602c4040078797a02",
    ),
    (m.AskLife(), "910d"),
    (m.TellLife(3), "920e03"),
    (m.Recall(4, "drains"), "930f04a6647261696e73"),
    (
        m.Recalled(4, "", RECORD),
        "941004a095a6647261696e7307a26231cf2000000000000000930602c4040078797a",
    ),
    (m.Recalled(4, "drains", None), "941004a6647261696e73c0"),
    (
        m.Order("drains", "00ff", b'{"stop":true}'),
        "9411a6647261696e73a430306666c40d7b2273746f70223a747275657d",
    ),
    (
        m.Answered("drains", "00ff", "no drain runs: done"),
        "9412a6647261696e73a430306666b36e6f20647261696e2072756e733a20646f6e65",
    ),
]

VOTER_STATES = [
    (
        m.Saved("stepknot", "A", 1, {}, []),
        "737465706b6e6f7420766f74657220310a01f4850a92d0e1a6deccb054461a304a95a8737465706b6e6f74a141018090",
    ),
    (
        m.Saved(
            "stepknot",
            "A",
            3,
            {"A": 3, "B": 1, "C": 2},
            [RECORD, m.JobRecord("other", 0, "-", 0, m.Held())],
        ),
        "737465706b6e6f7420766f74657220310ae1708f193061956958e312241b129daf95a8737465706b6e6f74a1410383a14103a14201a143029295a6647261696e7307a26231cf2000000000000000930602c4040078797a95a56f7468657200a12d00930000c400",
    ),
]
DRAINS = [
    (drains.State(), "97c0a46e6f6e65a09000a090"),
    (
        drains.State(
            drains.Drain("a", 2, 30.0, 0.02, True),
            "halted",
            "10.0.0.3:1",
            ["10.0.0.2:1", "10.0.0.3:1"],
            7,
            "5.0% of queries fail, over 2.0%",
            ["n1", "n2"],
        ),
        "9785a47a6f6e65a161a761745f6d6f737402a56576657279cb403e000000000000a76661696c696e67cb3f947ae147ae147ba5666f726365c3a668616c746564aa31302e302e302e333a3192aa31302e302e302e323a31aa31302e302e302e333a3107bf352e3025206f662071756572696573206661696c2c206f76657220322e302592a26e31a26e32",
    ),
]


def test_recorded_datagrams_cover_every_kind_of_message() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(m.Message.__args__)


@pytest.mark.parametrize(("message", "recorded"), MESSAGES)
def test_a_recorded_datagram_is_read_and_written_the_same(
    message: m.Message, recorded: str
) -> None:
    data = bytes.fromhex(HEAD + recorded)
    envelope = m.decode(data, "stepknot")
    assert (envelope.sender, envelope.birth, envelope.message) == (*SENDER, message)
    assert m.encode("stepknot", SENDER, message) == data


@pytest.mark.parametrize(("state", "recorded"), VOTER_STATES)
def test_a_recorded_voter_state_is_read_and_written_the_same(
    tmp_path: Path, state: m.Saved, recorded: str
) -> None:
    data = bytes.fromhex(recorded)
    store = VoterStore(tmp_path, "stepknot", "A")
    store.path.write_bytes(data)
    assert store.load() == (state, "")
    assert unpack(data) == state and pack(state) == data
    store.save(pack(state))
    assert store.path.read_bytes() == data


def test_a_new_voters_first_state_has_the_recorded_bytes(tmp_path: Path) -> None:
    store = VoterStore(tmp_path / "new", "stepknot", "A")
    store.found()
    assert store.path.read_bytes() == bytes.fromhex(VOTER_STATES[0][1])


@pytest.mark.parametrize(("state", "recorded"), DRAINS)
def test_a_recorded_drains_record_is_read_and_written_the_same(
    state: drains.State, recorded: str
) -> None:
    data = bytes.fromhex(recorded)
    assert drains.read(data) == state
    assert drains.pack(state) == data
