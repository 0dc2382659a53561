"""How much memory this process has resident."""

from __future__ import annotations

import os
from pathlib import Path

STATUS_FILE = Path("/proc/self/statm")
RESIDENT_PAGES_FIELD = 1


def read_resident_bytes() -> int:
    """Bytes of this process that are resident; 0 where the system does not say."""
    try:
        fields = STATUS_FILE.read_text(encoding="ascii").split()
    except OSError:
        return 0
    return int(fields[RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE")
