#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need Python 3.11 or later
# and its standard library only: it compiles them, to see that they can run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path('review').glob('*/*.py')):
    ast.parse(path.read_text(), str(path))
CHECK
