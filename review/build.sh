#!/bin/sh
# Builds what the cases start besides the gateway: stand-ins in Python, of the standard library alone. They need
# no build step but a check that they can be read; the gateway comes from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B - <<'END'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
echo "review: the stand-ins can be started"
