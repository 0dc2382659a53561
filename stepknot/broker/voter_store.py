"""A voter's state on disk: one file, replaced atomically with each save.

Each save writes the complete state to a new file and renames it over the old one. Whenever the process or the machine
fails, the file is the state before or after the save. A file with a wrong checksum was damaged later, and what the
voter promised is unknown: it is moved aside, and the voter recovers. An older state is never used, since a promise may
be missing there.

Bounds: `MAX_JOBS` records of `MAX_VALUE_BYTES`. One save is in progress at a time; of those that wait, only the newest
is written.
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
MAX_FILE_BYTES = 1024 * 1024  # that are read; a longer file is not a voter's state
FIRST_INCARNATION = 1
WRITER_STOP_TIMEOUT = 5.0  # seconds
_decoder = msgspec.msgpack.Decoder(VoterState)
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class LoadedState:
    """What was read: the state, or none and why it is lost."""

    state: VoterState | None
    loss_reason: str = ""


def encode_state(state: VoterState) -> bytes:
    """The file's content: magic, format version, checksum, body."""
    body = _encoder.encode(state)
    return MAGIC + FORMAT_VERSION + checksum(FORMAT_VERSION, body) + body


def checksum(version: bytes, body: bytes) -> bytes:
    """Over the format version and the body."""
    return blake2b(version + body, digest_size=DIGEST_BYTES).digest()


def decode_state(data: bytes) -> VoterState:
    """Decode a file's content.

    Raises:
        DamagedVoterStateError: It is not what was written.
        VoterStateMismatchError: Another format version wrote it.
    """
    head_bytes = len(MAGIC) + len(FORMAT_VERSION)
    if not data.startswith(MAGIC) or len(data) < head_bytes + DIGEST_BYTES:
        raise DamagedVoterStateError(f"{len(data)} bytes that do not begin as a voter's state does")
    version, body = data[len(MAGIC) : head_bytes], data[head_bytes + DIGEST_BYTES :]
    if checksum(version, body) != data[head_bytes : head_bytes + DIGEST_BYTES]:
        raise DamagedVoterStateError("its checksum is wrong")
    if version != FORMAT_VERSION:
        raise VoterStateMismatchError(
            f"written by another version, {version!r}; this one reads {FORMAT_VERSION!r}"
        )
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DamagedVoterStateError(str(error)) from error


class VoterStore:
    """The file of one voter, in a folder of its own."""

    def __init__(self, folder: Path, fleet: str, voter: str) -> None:
        """The file has to be of this fleet and this voter."""
        self.folder = folder
        self.fleet = fleet
        self.voter = voter
        self.path = folder / "voter.state"
        self.damaged_path = self.path.with_suffix(".damaged")

    def load(self) -> LoadedState:
        """Read the state. A damaged file is moved aside.

        Raises:
            VoterStateMismatchError: The state is another fleet's, another voter's or another version's.
            OSError: The file cannot be read.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return LoadedState(None, "there is no state")
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
            FileExistsError: There is a state, or a damaged one: a new state would forget what it promised.
            OSError: The state cannot be written.
        """
        for path in (self.path, self.damaged_path):
            if path.exists():
                raise FileExistsError(f"{path} is there")
        self.folder.mkdir(parents=True, exist_ok=True)
        self.save(encode_state(VoterState(self.fleet, self.voter, FIRST_INCARNATION, {}, [])))

    def save(self, data: bytes) -> None:
        """Replace the file; returns once the data is on disk.

        Raises:
            OSError: It cannot be written; the file is the one before.
        """
        replace_file(self.path, self.path.with_suffix(".new"), data)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class VoterStateWriter:
    """Saves on a thread of its own, so that a slow disk delays no query."""

    def __init__(self, store: VoterStore, on_saved: Callable[[int, str], None]) -> None:
        """`on_saved` gets the save's number and the error, empty if there was none, on the writer's thread."""
        self._store = store
        self._on_saved = on_saved
        self._next_save: tuple[int, bytes] | None = None  # number, data
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="voter", daemon=True)
        self._thread.start()

    def save(self, number: int, data: bytes) -> None:
        """Write this next; it replaces a save that still waits."""
        with self._changed:
            self._next_save = number, data
            self._changed.notify()

    def close(self) -> None:
        """Write what waits, and end the thread."""
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
