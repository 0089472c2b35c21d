#!/bin/sh
# The stand-ins are Python 3 scripts and use its standard library alone: this only compiles them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import glob, sys
for path in glob.glob("review/**/*.py", recursive=True) + glob.glob("tests/soak/*.py"):
    with open(path) as file:
        compile(file.read(), path, "exec")
'
