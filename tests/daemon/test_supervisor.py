"""What the supervisor does with processes that do not start."""

from __future__ import annotations

import sys

import pytest

from saffronstack.daemon.errors import StartupError
from saffronstack.daemon.supervisor import Supervisor


def test_a_process_that_can_not_start_is_reported() -> None:
    supervisor = Supervisor([sys.executable, "-c", "raise SystemExit(3)"], 2, "127.0.0.1", 0)
    with pytest.raises(StartupError, match="process 0"):
        supervisor.start()
