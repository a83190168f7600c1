#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file; they need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
