"""Release directories for tests, with or without one known fault."""

from __future__ import annotations

import json
import pathlib
from typing import Any

SERVE_COMMAND = ["{python}", "-m", "saffronstack.cli.main", "serve", "--log", "json"]
# By fault: code that patches the program before its main function runs.
FAULTS = {
    "does not start": "raise SystemExit('a release that does not start')",
    "dies when it begins": (
        "from saffronstack.gateway import Gateway\n"
        "def start(self):\n    raise OSError('nothing can be opened')\n"
        "Gateway.start = start"
    ),
    "loads slowly": "import time\ntime.sleep(3.0)",
    "dies": "import os, threading\nthreading.Timer(2.5, lambda: os._exit(9)).start()",
    "fails one class": (
        "import random\n"
        "from saffronstack.invoke import errors\n"
        "from saffronstack.invoke.invocation_executor import InvocationExecutor\n"
        "original = InvocationExecutor.call\n"
        "def call(self, invocation, is_connected):\n"
        "    if invocation.function.config.call_class == 'sale' and random.random() < 0.3:\n"
        "        raise errors.service_error('a fault of this release')\n"
        "    return original(self, invocation, is_connected)\n"
        "InvocationExecutor.call = call"
    ),
    "refuses": (
        "import random\n"
        "from saffronstack.invoke import errors\n"
        "from saffronstack.invoke.invocation_executor import InvocationExecutor\n"
        "original = InvocationExecutor.call\n"
        "def call(self, invocation, is_connected):\n"
        "    if random.random() < 0.25:\n"
        "        raise errors.too_many_requests('a fault of this release', 1.0)\n"
        "    return original(self, invocation, is_connected)\n"
        "InvocationExecutor.call = call"
    ),
    "slower": (
        "import time\n"
        "from saffronstack.invoke.invocation_executor import InvocationExecutor\n"
        "original = InvocationExecutor.call\n"
        "def call(self, invocation, is_connected):\n"
        "    response = original(self, invocation, is_connected)\n"
        "    time.sleep(0.05)\n"
        "    return response\n"
        "InvocationExecutor.call = call"
    ),
    "leaks": (
        "from saffronstack.invoke.invocation_executor import InvocationExecutor\n"
        "original, leaked = InvocationExecutor.call, []\n"
        "def call(self, invocation, is_connected):\n"
        "    leaked.append(bytes(1) * 200_000)\n"
        "    return original(self, invocation, is_connected)\n"
        "InvocationExecutor.call = call"
    ),
    "hangs on SIGTERM": (
        "import time\n"
        "from saffronstack.gateway import Gateway\n"
        "def stop(self):\n    time.sleep(3600)\n"
        "Gateway.stop = stop"
    ),
}


def write_release(
    root: pathlib.Path, version: str, fault: str = "", formats: tuple[dict[str, Any], ...] = ()
) -> str:
    """Write a release directory under ``root``, optionally with a fault of `FAULTS`; return its path."""
    path = root / version
    path.mkdir(parents=True)
    command = list(SERVE_COMMAND)
    if fault:
        program = f"{FAULTS[fault]}\nfrom saffronstack.cli.main import main\nmain()\n"
        (path / "gateway.py").write_text(program)
        command[1:3] = ["{release}/gateway.py"]
    manifest = {"version": version, "command": command, "formats": list(formats)}
    (path / "release.json").write_text(json.dumps(manifest))
    return str(path)
