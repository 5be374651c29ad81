#!/bin/sh
# Compiles the stand-ins and the scripts of the second review; they need no packages.
set -eu
cd "$(dirname "$0")"
for path in 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -f "$path" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$path"
    echo "compiled $path"
done
