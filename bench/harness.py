"""What the measurements share: a broker with canned boxes as processes, and what the system says of a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

FOLDER = Path(__file__).parent


@contextmanager
def processes(
    words: list[str],
    ports: list[int],
    delay_ms: float = 0.0,
    preexec: Callable[[], None] | None = None,
) -> Iterator[int]:
    """Canned boxes on these ports, then the broker that `words` run; its process id, once it is ready."""
    boxes = [
        subprocess.Popen(
            [sys.executable, str(FOLDER / "canned.py"), str(each), str(delay_ms)],
            stdout=subprocess.PIPE,
        )
        for each in ports
    ]
    for each in boxes:
        assert each.stdout is not None
        each.stdout.readline()
    broker = subprocess.Popen(words, stdout=subprocess.PIPE, preexec_fn=preexec)
    assert broker.stdout is not None
    broker.stdout.readline()
    try:
        yield broker.pid
    finally:
        broker.send_signal(signal.SIGTERM)
        broker.wait(30)
        for each in boxes:
            each.terminate()
            each.wait()


def cpu_of(pid: int) -> float:
    """Seconds of processor time so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_of(pid: int) -> int:
    """Resident bytes."""
    line = next(
        each
        for each in Path(f"/proc/{pid}/status").read_text().splitlines()
        if each.startswith("VmRSS")
    )
    return int(line.split()[1]) * 1024
