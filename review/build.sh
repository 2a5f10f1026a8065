#!/bin/sh
# The stand-ins are Python programs without dependencies: checks that they can run.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for file in pathlib.Path(".").rglob("*.py"):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
PYTHON
