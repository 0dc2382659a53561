"""Keeps the banned and allowed networks on disk, so that they survive a restart."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from stepknot.admission.access_lists import AccessLists
from stepknot.admission.errors import SnapshotDamagedError
from stepknot.broker.durable_file import replace_file


class AdmissionListFile:
    """Saves the lists of banned and allowed networks to a snapshot file, and loads them from it.

    Args:
        path: The path of the file; "" for no file, in which case the lists are lost at a restart.
        log: Writes a log event, given its name and fields; called if the snapshot cannot be read.
    """

    def __init__(self, path: str, log: Callable[..., None]) -> None:
        self.path, self.log = path, log

    def load(self) -> AccessLists:
        """Load the lists; they are empty if the snapshot cannot be read, which is then logged and moved aside."""
        if not self.path:
            return AccessLists()
        try:
            return AccessLists.load(Path(self.path).read_bytes())
        except FileNotFoundError:
            return AccessLists()
        except (OSError, SnapshotDamagedError) as error:
            self.log("access_lists_load_failed", file=self.path, error=str(error))
            with suppress(OSError):
                Path(self.path).replace(f"{self.path}.damaged")
            return AccessLists()

    def save(self, lists: AccessLists) -> None:
        """Replace the snapshot atomically: if the broker dies while it saves, the previous snapshot remains.

        Raises:
            OSError: The file cannot be written.
        """
        if not self.path:
            return
        replace_file(Path(self.path), Path(f"{self.path}.new"), lists.dump())
