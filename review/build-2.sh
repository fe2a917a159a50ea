#!/bin/sh
# Builds what the scripts 6 to 10 start besides the proxy. Runs after the build of deploy/balancer.toml.
# The stand-ins are Python of the standard library alone. The discovery server (script 10) needs the libraries that
# pyproject.toml names in its extra `discovery-server`; where they can't be had, that script exits with 2.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review || exit 2
for environment in .venv-review-2 .venv-dev; do
    $environment/bin/python -c 'import click, httptools, msgspec, orjson, structlog' 2>/dev/null && exit 0
done
extra='import tomllib; print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["discovery-server"])'
rm -rf .venv-review-2
python3 -m venv .venv-review-2 || exit 2
# No version contains a blank, so that the words of the list are the requirements.
# shellcheck disable=SC2046
.venv-review-2/bin/pip install -q -r requirements.txt $(.venv/bin/python -c "$extra") ||
    echo "no libraries for the discovery server: script 10 can't run" >&2
