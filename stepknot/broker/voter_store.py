"""A voter's state on disk: one file, replaced atomically with each save.

Each save writes the complete state to a new file and renames it over the old one. If the process or the machine fails
at any moment, the file holds the state before or after the save. A file with a wrong checksum was damaged later, so
the voter's promises are unknown: the file is moved aside, and the voter recovers. An older state is never used, as it
may lack a promise.

Bounds: a state has at most `MAX_JOBS` records of `MAX_VALUE_BYTES`. One save is in progress at a time; of the saves
that wait, only the newest is written.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

import msgspec

from stepknot.broker.durable_file import replace_file
from stepknot.leases.errors import DamagedVoterStateError, VoterStateMismatchError
from stepknot.leases.messages import VoterState

MAGIC, FORMAT_VERSION = b"stepknot voter ", b"1\n"
DIGEST_BYTES = 16
MAX_FILE_BYTES = 1024 * 1024  # a longer file is not a voter's state
FIRST_INCARNATION = 1
WRITER_STOP_TIMEOUT = 5.0  # seconds
_decoder = msgspec.msgpack.Decoder(VoterState)
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class LoadedState:
    """The state that was read, or None and why the state is lost."""

    state: VoterState | None
    loss_reason: str = ""


def encode_state(state: VoterState) -> bytes:
    """The file's content: magic, format version, checksum, body."""
    body = _encoder.encode(state)
    return MAGIC + FORMAT_VERSION + checksum(FORMAT_VERSION, body) + body


def checksum(version: bytes, body: bytes) -> bytes:
    """The checksum of the format version and the body."""
    return blake2b(version + body, digest_size=DIGEST_BYTES).digest()


def decode_state(data: bytes) -> VoterState:
    """Decode a file's content.

    Raises:
        DamagedVoterStateError: The content is damaged.
        VoterStateMismatchError: The content has another format version.
    """
    head_bytes = len(MAGIC) + len(FORMAT_VERSION)
    if not data.startswith(MAGIC) or len(data) < head_bytes + DIGEST_BYTES:
        raise DamagedVoterStateError(f"{len(data)} bytes without the header of a voter state file")
    version, body = data[len(MAGIC) : head_bytes], data[head_bytes + DIGEST_BYTES :]
    if checksum(version, body) != data[head_bytes : head_bytes + DIGEST_BYTES]:
        raise DamagedVoterStateError("the checksum of the state file is wrong")
    if version != FORMAT_VERSION:
        raise VoterStateMismatchError(
            f"the state file has format version {version!r}; expected {FORMAT_VERSION!r}"
        )
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DamagedVoterStateError(str(error)) from error


class VoterStore:
    """The file of one voter, in a folder of its own."""

    def __init__(self, folder: Path, fleet: str, voter: str) -> None:
        """The store accepts only a file of this fleet and this voter."""
        self.folder = folder
        self.fleet = fleet
        self.voter = voter
        self.path = folder / "voter.state"
        self.damaged_path = self.path.with_suffix(".damaged")

    def load(self) -> LoadedState:
        """Read the state. A damaged file is moved aside.

        Raises:
            VoterStateMismatchError: The state belongs to another fleet or voter, or has another format version.
            OSError: The file cannot be read.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return LoadedState(None, "the state file does not exist")
        try:
            state = decode_state(data)
        except DamagedVoterStateError as error:
            self.path.replace(self.damaged_path)
            return LoadedState(None, str(error))
        if (state.fleet, state.voter) != (self.fleet, self.voter):
            raise VoterStateMismatchError(
                f"{self.path} is the state of voter {state.voter} in fleet {state.fleet}, not of "
                f"{self.voter} in {self.fleet}"
            )
        return LoadedState(state)

    def bootstrap(self) -> None:
        """Write the first state of a voter that has never voted.

        Raises:
            FileExistsError: There is a state or a damaged state, whose promises a new state would lose.
            OSError: The state cannot be written.
        """
        for path in (self.path, self.damaged_path):
            if path.exists():
                raise FileExistsError(f"{path} already exists")
        self.folder.mkdir(parents=True, exist_ok=True)
        self.save(encode_state(VoterState(self.fleet, self.voter, FIRST_INCARNATION, {}, [])))

    def save(self, data: bytes) -> None:
        """Replace the file; returns once the data is on disk.

        Raises:
            OSError: The data cannot be written; the previous file is unchanged.
        """
        replace_file(self.path, self.path.with_suffix(".new"), data)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class VoterStateWriter:
    """Saves the state on a separate thread, so that a slow disk delays no query."""

    def __init__(self, store: VoterStore, on_saved: Callable[[int, str], None]) -> None:
        """Start the thread, which calls `on_saved` with each save's number and error (empty if it succeeded)."""
        self._store = store
        self._on_saved = on_saved
        self._next_save: tuple[int, bytes] | None = None  # number and data of the save that waits
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="voter", daemon=True)
        self._thread.start()

    def save(self, number: int, data: bytes) -> None:
        """Queue a save; it replaces a save that still waits."""
        with self._changed:
            self._next_save = number, data
            self._changed.notify()

    def close(self) -> None:
        """Write the save that waits, if any, and end the thread."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        self._thread.join(WRITER_STOP_TIMEOUT)

    def _run(self) -> None:
        while True:
            with self._changed:
                while self._next_save is None and not self._is_stopping:
                    self._changed.wait()
                if self._next_save is None:
                    return
                number, data = self._next_save
                self._next_save = None
            problem = ""
            try:
                self._store.save(data)
            except OSError as error:
                problem = str(error)
            self._on_saved(number, problem)
