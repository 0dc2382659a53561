"""Replaces a file atomically: after any failure it has either its previous or its new content."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, new_path: Path, data: bytes) -> None:
    """Write the data to `new_path`, and rename that file to `path` once it is on disk.

    Raises:
        OSError: The data cannot be written; the file at `path` is unchanged.
    """
    with new_path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)
