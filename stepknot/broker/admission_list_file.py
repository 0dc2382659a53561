"""Keeps the banned and allowed networks on disk, so that they survive a restart."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from stepknot.admission.access_lists import AccessLists
from stepknot.admission.errors import SnapshotDamagedError
from stepknot.broker.durable_file import replace_file


class AdmissionListFile:
    """The file with the snapshot of the lists.

    Args:
        path: The path of the file; "" for no file: the lists are then lost at a restart.
        log: Writes the log event of a snapshot that cannot be read.
    """

    def __init__(self, path: str, log: Callable[..., None]) -> None:
        self.path, self.log = path, log

    def load(self) -> AccessLists:
        """Load the lists. If the snapshot is damaged, it is logged and moved aside, and the lists are empty."""
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
