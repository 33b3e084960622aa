#!/bin/sh
# The stand-ins use only Python's standard library; this checks that they
# compile.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
