"""A voter's memory on disk: one file, always whole.

The state is small, so each save writes all of it beside the old one and renames it over: whatever moment the process or
the machine dies at, the file is the state before or the state after, never a piece. So a file whose checksum is wrong
was damaged later, and what it promised is unknown: it is put aside, and the voter counts as one that lost its memory.
The state before it is never used: a promise may be missing there.

Bounds: `MOST_JOBS` records of `MOST_VALUE` bytes; one save is under way at a time, and the newest that waits is written
next, those between are skipped.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

import msgspec

from stepknot.leases.model import Saved

MAGIC, VERSION = b"stepknot voter ", b"1\n"
DIGEST = 16
MOST = 1024 * 1024  # bytes read: a longer file is none of ours
decoder, encoder = msgspec.msgpack.Decoder(Saved), msgspec.msgpack.Encoder()


class Unfit(Exception):
    """A state that must be neither used nor put aside: another fleet's, another voter's, a newer version's."""


class Damaged(Exception):
    """What stands there is not what was written."""


def pack(saved: Saved) -> bytes:
    body = encoder.encode(saved)
    return MAGIC + VERSION + digest(VERSION, body) + body


def digest(version: bytes, body: bytes) -> bytes:
    return blake2b(version + body, digest_size=DIGEST).digest()


def unpack(data: bytes) -> Saved:
    """Raises Damaged, Unfit."""
    head = len(MAGIC) + len(VERSION)
    if not data.startswith(MAGIC) or len(data) < head + DIGEST:
        raise Damaged(f"{len(data)} bytes that do not begin as a voter's state does")
    version, body = data[len(MAGIC) : head], data[head + DIGEST :]
    if digest(version, body) != data[head : head + DIGEST]:
        raise Damaged("its checksum is wrong")
    if version != VERSION:
        raise Unfit(f"written by another version, {version!r}; this one reads {VERSION!r}")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise Damaged(str(error)) from None


class VoterStore:
    def __init__(self, folder: Path, fleet: str, voter: str) -> None:
        self.folder, self.fleet, self.voter = folder, fleet, voter
        self.path = folder / "voter.state"

    def load(self) -> tuple[Saved | None, str]:
        """The state, or none and why: the memory is lost. Raises Unfit; OSError where it cannot be read."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(MOST + 1)
        except FileNotFoundError:
            return None, "there is no state"
        try:
            saved = unpack(data)
        except Damaged as error:
            os.replace(self.path, self.path.with_suffix(".damaged"))
            return None, str(error)
        if (saved.fleet, saved.voter) != (self.fleet, self.voter):
            raise Unfit(
                f"{self.path} is the state of voter {saved.voter} in fleet {saved.fleet}, not of "
                f"{self.voter} in {self.fleet}"
            )
        return saved, ""

    def found(self) -> None:
        """The first state of a voter that never was. Raises FileExistsError: a state that is there, or was damaged, is
        not to be started anew, as that would forget what it promised."""
        for path in (self.path, self.path.with_suffix(".damaged")):
            if path.exists():
                raise FileExistsError(f"{path} is there")
        self.folder.mkdir(parents=True, exist_ok=True)
        self.save(pack(Saved(self.fleet, self.voter, 1, {}, [])))

    def save(self, data: bytes) -> None:
        """Blocks until the disk has it. Raises OSError."""
        new = self.path.with_suffix(".new")
        with open(new, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Writer:
    """Saves on a thread of its own: a disk that takes long holds up no query. `done(number, error)` is called there."""

    def __init__(self, store: VoterStore, done: Callable[[int, str], None]) -> None:
        self.store, self.done = store, done
        self.wanted: tuple[int, bytes] | None = None
        self.more = threading.Condition()
        self.ended = False
        self.thread = threading.Thread(target=self.work, name="voter", daemon=True)
        self.thread.start()

    def save(self, number: int, data: bytes) -> None:
        with self.more:
            self.wanted = number, data
            self.more.notify()

    def work(self) -> None:
        while True:
            with self.more:
                while self.wanted is None and not self.ended:
                    self.more.wait()
                if self.wanted is None:
                    return
                (number, data), self.wanted = self.wanted, None
            error = ""
            try:
                self.store.save(data)
            except OSError as trouble:
                error = str(trouble)
            self.done(number, error)

    def end(self) -> None:
        """What waits is still written."""
        with self.more:
            self.ended = True
            self.more.notify()
        self.thread.join(5)
