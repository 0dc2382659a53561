"""Datagrams, voter states and drain records of an earlier version are decoded, and encoded to the same bytes."""

from __future__ import annotations

from pathlib import Path

import pytest

from stepknot.broker.voter_store import LoadedState, VoterStore, decode_state, encode_state
from stepknot.leases import messages, rolling_drains
from stepknot.leases.settings import ProcessId

INCARNATIONS = {"A": 3, "B": 1}
RECORD = messages.LedgerRecord(6, 2, b"\x00xyz")
JOB_STATE = messages.VoterJobState("drains", 7, "b1", 2**61, RECORD)
SENDER = ProcessId("b1", 2**61)
HEAD = "9501a8737465706b6e6f74a26231cf2000000000000000"  # a datagram's bytes before its message

MESSAGES = [
    (messages.PrepareRequest("drains", 7, 6), "9401a6647261696e730706"),
    (
        messages.Promise("drains", 7, 3, INCARNATIONS, RECORD),
        "9602a6647261696e73070382a14103a14201930602c4040078797a",
    ),
    (
        messages.Rejection("drains", 7, 9, 1900, "a later epoch is promised"),
        "9603a6647261696e730709cd076cb961206c617465722065706f63682069732070726f6d69736564",
    ),
    (messages.RenewRequest("drains", 7, 40, 2), "9504a6647261696e73072802"),
    (
        messages.RenewReply("drains", 7, 40, 3, INCARNATIONS),
        "9605a6647261696e7307280382a14103a14201",
    ),
    (messages.AcceptRequest("drains", 3, RECORD), "9406a6647261696e7303930602c4040078797a"),
    (messages.Accepted("drains", 6, 2, 3, INCARNATIONS), "9607a6647261696e7306020382a14103a14201"),
    (messages.ReleaseNotice("drains", 7), "9308a6647261696e7307"),
    (messages.HandoverOffer("drains", 7), "9309a6647261696e7307"),
    (messages.CommitNotice("drains", 6, 2, b"\x00xyz"), "950aa6647261696e730602c4040078797a"),
    (messages.CommitNotice("drains", 6, 2, None), "950aa6647261696e730602c0"),
    (messages.RecordQuery("drains"), "920ba6647261696e73"),
    (
        messages.RecordReport("drains", 3, INCARNATIONS, RECORD, 2),
        "960ca6647261696e730382a14103a14201930602c4040078797a02",
    ),
    (messages.IncarnationQuery(), "910d"),
    (messages.IncarnationReply(3), "920e03"),
    (messages.RecoveryRequest(4, "drains"), "930f04a6647261696e73"),
    (
        messages.RecoveryReply(4, "", JOB_STATE),
        "941004a095a6647261696e7307a26231cf2000000000000000930602c4040078797a",
    ),
    (messages.RecoveryReply(4, "drains", None), "941004a6647261696e73c0"),
    (
        messages.CommandRequest("drains", "00ff", b'{"stop":true}'),
        "9411a6647261696e73a430306666c40d7b2273746f70223a747275657d",
    ),
    (
        messages.CommandReply("drains", "00ff", "no drain runs: done"),
        "9412a6647261696e73a430306666b36e6f20647261696e2072756e733a20646f6e65",
    ),
]

VOTER_STATES = [
    (
        messages.VoterState("stepknot", "A", 1, {}, []),
        "737465706b6e6f7420766f74657220310a01f4850a92d0e1a6deccb054461a304a95a8737465706b6e6f74a141018090",
    ),
    (
        messages.VoterState(
            "stepknot",
            "A",
            3,
            {"A": 3, "B": 1, "C": 2},
            [JOB_STATE, messages.VoterJobState("other", 0, "-", 0, messages.LedgerRecord())],
        ),
        "737465706b6e6f7420766f74657220310ae1708f193061956958e312241b129daf95a8737465706b6e6f74a1410383a14103a14201a143029295a6647261696e7307a26231cf2000000000000000930602c4040078797a95a56f7468657200a12d00930000c400",
    ),
]
DRAINS = [
    (rolling_drains.DrainState(), "97c0a46e6f6e65a09000a090"),
    (
        rolling_drains.DrainState(
            rolling_drains.DrainPlan("a", 2, 30.0, 0.02, True),
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
    assert {type(message) for message, _ in MESSAGES} == set(messages.Message.__args__)


@pytest.mark.parametrize(("message", "recorded"), MESSAGES)
def test_a_recorded_datagram_is_read_and_written_the_same(
    message: messages.Message, recorded: str
) -> None:
    data = bytes.fromhex(HEAD + recorded)
    envelope = messages.decode(data, "stepknot")
    assert (envelope.sender, envelope.birth, envelope.message) == (*SENDER, message)
    assert messages.encode("stepknot", SENDER, message) == data


@pytest.mark.parametrize(("state", "recorded"), VOTER_STATES)
def test_a_recorded_voter_state_is_read_and_written_the_same(
    tmp_path: Path, state: messages.VoterState, recorded: str
) -> None:
    data = bytes.fromhex(recorded)
    store = VoterStore(tmp_path, "stepknot", "A")
    store.path.write_bytes(data)
    assert store.load() == LoadedState(state)
    assert decode_state(data) == state and encode_state(state) == data
    store.save(encode_state(state))
    assert store.path.read_bytes() == data


def test_a_new_voters_first_state_has_the_recorded_bytes(tmp_path: Path) -> None:
    store = VoterStore(tmp_path / "new", "stepknot", "A")
    store.bootstrap()
    assert store.path.read_bytes() == bytes.fromhex(VOTER_STATES[0][1])


@pytest.mark.parametrize(("state", "recorded"), DRAINS)
def test_a_recorded_drains_record_is_read_and_written_the_same(
    state: rolling_drains.DrainState, recorded: str
) -> None:
    data = bytes.fromhex(recorded)
    assert rolling_drains.decode_state(data) == state
    assert rolling_drains.encode_state(state) == data
