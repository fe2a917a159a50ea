#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python of the standard library alone, compiled with the deployed environment.
# Runs after the build of deploy/balancer.toml, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
