#!/bin/sh
# Builds what the cases start besides the broker: the stand-ins are Python files of the standard library alone, so this
# only checks that they compile. Run it after the build of the deploy file; it needs no network.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
'
