#!/bin/sh
# Builds what the scripts of review/4 to review/8 start: they are Python, so it compiles
# them, the project's own stand-ins too, and checks that the build of the deploy file has
# put their libraries into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps:$PWD/review:$PWD" python3 -c '
import stage, client
import standins.behaviour, standins.store, standins.worker
' || exit 1
for file in review/stage.py review/client.py review/[4-8]/run.py standins/*.py; do
    [ -f "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
