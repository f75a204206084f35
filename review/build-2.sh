#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the build of the
# deploy file: stand-ins in Python, which need no build. Checks that they can run.
set -e
cd "$(dirname "$0")/.."
test -x target/bin/cardamomroute || { echo "target/bin/cardamomroute is missing: build the deploy file first" >&2; exit 1; }
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(pathlib.Path("review").glob("lib-2/*.py")) + sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
