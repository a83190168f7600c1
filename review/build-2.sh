#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python and use only what the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q saltcart review/common-2
