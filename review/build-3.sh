#!/bin/sh
# The stand-ins are Python and need only what the deploy file installs into
# target/deps. This checks that they can be imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import lab.platform_world'
