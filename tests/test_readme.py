"""The README's example runs and prints what the README says."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_prints_what_the_readme_says() -> None:
    text = (ROOT / "README.md").read_text()
    code, shown = (
        re.findall(rf"```{kind}\n(.*?)```", text, re.DOTALL)[0] for kind in ("python", "text")
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert done.stdout == shown
