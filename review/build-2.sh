#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start, after the build of the deploy file: `saffronstack serve`, `keeper`
# and `tasks` import packages that the build does not install. They are the ones that pyproject.toml declares, and they
# are installed in the way of the build's own line. The stand-ins are plain Python and need no step of their own.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'PYTHON' > .venv/review-requirements.txt
import tomllib

with open("pyproject.toml", "rb") as file:
    print("\n".join(tomllib.load(file)["project"]["dependencies"]))
PYTHON
.venv/bin/pip -q install -r .venv/review-requirements.txt
.venv/bin/python -B -c 'import saffronstack.cli.main, saffronstack.cli.serve, saffronstack.standin.worker'
