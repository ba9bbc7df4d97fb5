#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs of the standard library: nothing is built, only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for name in sorted(glob.glob("stand-ins-2/*.py") + glob.glob("[0-9]*/case.py")):
    ast.parse(open(name).read(), name)
CHECK
