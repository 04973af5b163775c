#!/bin/sh
# The scripts need python3 and the packages that the deploy file's build puts into
# target/deps; the stand-ins are Python and need no build. This checks that they import.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:.:review python3 -c "import harness"
