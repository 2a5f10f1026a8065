#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs without further packages; nothing is compiled.
cd "$(dirname "$0")" && exec python3 - <<'CHECK'
import ast, glob
for name in sorted(glob.glob("standins-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    ast.parse(open(name).read(), name)
CHECK
