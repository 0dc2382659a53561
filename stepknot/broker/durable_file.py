"""Replacing a file so that whatever fails, it is as before or as after."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, new_path: Path, data: bytes) -> None:
    """Write the data to a new file beside `path`, and rename it over it once it is on disk.

    Raises:
        OSError: It cannot be written; the file at `path` is the one before.
    """
    with new_path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)
