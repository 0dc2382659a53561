"""The file of a voter's state: checksum, atomic saves, damaged states, and states of other voters, fleets, versions."""

from __future__ import annotations

import resource
import subprocess
import sys
import textwrap
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepknot.broker.voter_store import (
    MAGIC,
    LoadedState,
    VoterStore,
    checksum,
    decode_state,
    encode_state,
)
from stepknot.leases import messages
from stepknot.leases.errors import (
    DamagedVoterStateError,
    VoterStateMismatchError,
)

SAVED = messages.VoterState(
    "stepknot",
    "A",
    3,
    {"A": 3, "B": 1, "C": 2},
    [messages.VoterJobState("drains", 7, "b1", 5, messages.LedgerRecord(6, 2, b"xyz"))],
)


def test_a_state_truncated_or_flipped_at_any_byte_is_lost_and_moved_aside(
    tmp_path: Path,
) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    full = encode_state(SAVED)
    for at in range(len(full)):
        for data in (full[:at], full[:at] + bytes([full[at] ^ 0x20]) + full[at + 1 :]):
            store.path.write_bytes(data)
            loaded = store.load()
            assert loaded.state is None and loaded.loss_reason and not store.path.exists()
            assert store.path.with_suffix(".damaged").read_bytes() == data
    store.save(full)
    assert store.load() == LoadedState(SAVED)


def test_an_interrupted_save_leaves_the_state_before(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    store.save(encode_state(SAVED))
    store.path.with_suffix(".new").write_bytes(
        encode_state(SAVED)[:20]
    )  # a process that was killed during a save leaves such a file
    assert store.load() == LoadedState(SAVED)


@pytest.mark.parametrize(("fleet", "voter"), [("other", "A"), ("stepknot", "B")])
def test_a_state_of_another_voter_or_fleet_is_neither_used_nor_moved(
    tmp_path: Path, fleet: str, voter: str
) -> None:
    VoterStore(tmp_path, "stepknot", "A").save(encode_state(SAVED))
    store = VoterStore(tmp_path, fleet, voter)
    with pytest.raises(VoterStateMismatchError, match="voter A in fleet stepknot"):
        store.load()
    assert store.path.exists()


def test_a_state_of_a_newer_version_is_neither_used_nor_moved(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    body = encode_state(SAVED)[len(MAGIC) + 2 + 16 :]
    store.path.write_bytes(MAGIC + b"2\n" + checksum(b"2\n", body) + body)
    with pytest.raises(VoterStateMismatchError, match="another version"):
        store.load()
    assert store.path.exists()


def test_a_voter_is_bootstrapped_once(tmp_path: Path) -> None:
    store = VoterStore(tmp_path / "new", "stepknot", "A")
    store.bootstrap()
    with pytest.raises(FileExistsError):
        store.bootstrap()
    store.path.write_bytes(b"damaged")
    store.load()
    # Its promises are unknown, so it must not vote with an empty state.
    with pytest.raises(FileExistsError):
        store.bootstrap()


def test_a_save_on_a_full_disk_raises_and_keeps_the_state_before(tmp_path: Path) -> None:
    store = VoterStore(tmp_path, "stepknot", "A")
    store.save(encode_state(SAVED))
    code = f"""
        import resource, signal
        from pathlib import Path
        from stepknot.broker.voter_store import VoterStore
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (50, 50))
        try:
            VoterStore(Path({str(tmp_path)!r}), "stepknot", "A").save(b"x" * 100)
        except OSError as error:
            raise SystemExit(7)
    """
    assert subprocess.run([sys.executable, "-c", textwrap.dedent(code)], timeout=30).returncode == 7
    assert store.load() == LoadedState(SAVED) and resource.getrlimit(resource.RLIMIT_FSIZE)[0] != 50


@given(st.binary(max_size=200))
def test_arbitrary_bytes_on_disk_raise_a_voter_state_error(data: bytes) -> None:
    with pytest.raises(Exception) as caught:
        decode_state(data)
    assert type(caught.value) in (DamagedVoterStateError, VoterStateMismatchError)


def test_the_largest_state_fits_what_is_read() -> None:
    jobs = [
        messages.VoterJobState(
            "j" * 62 + f"{number:02}",
            messages.MAX_EPOCH - 1,
            "h" * 64,
            2**62,
            messages.LedgerRecord(messages.MAX_EPOCH - 1, 2**49, bytes(messages.MAX_VALUE_BYTES)),
        )
        for number in range(messages.MAX_JOBS)
    ]
    saved = messages.VoterState(
        "f" * 64, "A", 2**30, {"n" * 63 + f"{number}": 2**30 for number in range(7)}, jobs
    )
    assert len(encode_state(saved)) < 100_000 and decode_state(encode_state(saved)) == saved
