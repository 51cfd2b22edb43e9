#!/bin/sh
# The stand-ins use Python's standard library alone; nothing is compiled. This
# checks that they can be parsed and that the deploy file's build has run.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo 'target/deps is missing: build first'; exit 2; }
exec python3 - review/common/*.py review/[1-5]/*.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as opened:
        ast.parse(opened.read(), path)
print('the stand-ins are ready')
CHECK
