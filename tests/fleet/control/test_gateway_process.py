"""A handle on one process of a gateway."""

from __future__ import annotations

import os
import subprocess
import sys

from saffronstack.fleet.control.gateway_process import GatewayProcess


def test_a_command_to_a_process_whose_end_was_awaited_meanwhile_is_without_effect() -> None:
    """The daemon's thread acts before it has handled that end; an error would drop its further actions."""
    child = subprocess.Popen([sys.executable, "-c", ""], stdin=subprocess.PIPE)
    process = GatewayProcess(child.pid, "r", os.pidfd_open(child.pid), child)
    assert process.wait() == "status 0"
    process.allow_serving()
    process.serve_after(process)
    assert process.has_ended()
