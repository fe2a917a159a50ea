#!/bin/sh
# Builds what the scripts 6 to 10 start besides the proxy: an environment with the discovery server's libraries, as
# `pyproject.toml` names them in its extra `discovery-server`. The stand-ins themselves need no build.
set -e
cd "$(dirname "$0")/.."
environment=.venv-review-2
test -x $environment/bin/python || python3 -m venv $environment
$environment/bin/python -c 'import click, httptools, msgspec, orjson, structlog' 2>/dev/null && exit 0
extra='import tomllib; print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["discovery-server"])'
# No version contains a blank, so that the words of the list are the requirements.
# shellcheck disable=SC2046
$environment/bin/pip install -q -r requirements.txt $($environment/bin/python -c "$extra")
