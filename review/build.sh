#!/bin/sh
# The stand-ins need no build: review/standins.py uses only the standard library, and
# the nodes come from the build of the deploy file. Checks that both are there.
set -eu
cd "$(dirname "$0")/.."
test -e target/deps/installed || {
    echo "run the build of deploy/system.toml first" >&2
    exit 2
}
python3 -B -c 'import sys; sys.path.insert(0, "review"); import standins'
