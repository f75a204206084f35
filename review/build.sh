#!/usr/bin/env bash
# The stand-ins are Python programs (3.11, standard library only) and need no
# build; this checks that they can be read and that the system's program is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/cardamomroute
python3 - review/lib/*.py review/*/run.py <<'CHECK'
import ast
import pathlib
import sys
import tomllib  # noqa: F401

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
CHECK
echo "stand-ins: nothing to build"
