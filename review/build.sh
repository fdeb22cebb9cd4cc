#!/bin/sh
# The stand-ins are Python programs without dependencies; this checks that the
# interpreter of the deploy file's build can compile them.
cd "$(dirname "$0")/.." || exit 2
exec target/bin/python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
END
