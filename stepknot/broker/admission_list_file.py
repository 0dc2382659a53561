"""Banned and allowed networks on disk, kept over a restart."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from stepknot.admission.access_lists import AccessLists
from stepknot.admission.errors import SnapshotDamagedError
from stepknot.broker.durable_file import replace_file


class AdmissionListFile:
    """The snapshot of the lists.

    Args:
        path: The file; "" keeps nothing.
        log: Takes the event of a snapshot that cannot be read.
    """

    def __init__(self, path: str, log: Callable[..., None]) -> None:
        self.path, self.log = path, log

    def load(self) -> AccessLists:
        """The lists as last saved. A damaged snapshot is logged and moved aside, and the lists are empty."""
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
        """Replace the snapshot: a broker that dies meanwhile leaves the one before.

        Raises:
            OSError: The file cannot be written.
        """
        if not self.path:
            return
        replace_file(Path(self.path), Path(f"{self.path}.new"), lists.dump())
