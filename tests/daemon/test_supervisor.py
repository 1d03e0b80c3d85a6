"""How the supervisor handles processes that are not ready."""

from __future__ import annotations

import pathlib
import queue
import signal
import sys

import pytest

from saffronstack.daemon.errors import StartupError
from saffronstack.daemon.supervisor import Supervisor
from saffronstack.runtime.threads import start_thread
from tests.support.stack import eventually


def test_a_process_that_can_not_start_is_reported() -> None:
    supervisor = Supervisor([sys.executable, "-c", "raise SystemExit(3)"], 2, "127.0.0.1", 0)
    with pytest.raises(StartupError, match="process 0"):
        supervisor.start()


# The first incarnation exits once a file exists; the second is not ready until another file exists.
PROCESS_SCRIPT = """
import pathlib, signal, sys, time
folder = pathlib.Path(sys.argv[1])
def wait_for(name):
    while not (folder / name).exists():
        time.sleep(0.01)
is_first = not (folder / "began").exists()
(folder / "began").touch()
if is_first:
    print("takes calls", flush=True)
    wait_for("first may end")
    sys.exit(3)
with (folder / "later starts").open("a") as starts:
    starts.write("start\\n")
wait_for("second may begin")
signal.signal(signal.SIGHUP, lambda *_: (folder / "reloaded").touch())
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
print("takes calls", flush=True)
time.sleep(3600)
"""


class RestartingProcess:
    """Runs a supervisor of one process that is being restarted and is not ready yet."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.signals: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.supervisor = Supervisor([sys.executable, "-c", PROCESS_SCRIPT, str(folder)], 1, "127.0.0.1", 0)
        self.supervisor.start()
        self._thread = start_thread("run", lambda: self.supervisor.run_until_signal(self.signals))
        (folder / "first may end").touch()
        eventually(lambda: self.starts() == 1)

    def starts(self) -> int:
        """Return the number of restarts of the process."""
        path = self.folder / "later starts"
        return len(path.read_text().splitlines()) if path.exists() else 0

    def signal(self, number: int) -> None:
        """Signal the supervisor, and wait until it has handled the signal."""
        for _ in range(2):  # it takes the second signal after it has handled the first
            self.signals.put(number)
        eventually(self.signals.empty)

    def stop(self) -> int:
        """Stop the supervisor; return the greatest exit status of its processes."""
        self.signals.put(signal.SIGTERM)
        self._thread.join(10.0)
        return self.supervisor.stop(10.0)


def test_a_process_that_is_not_ready_yet_is_told_to_reload_once_it_is(tmp_path: pathlib.Path) -> None:
    """SIGHUP would end a process that is not ready, and it may already have read the old configuration."""
    restarting = RestartingProcess(tmp_path)
    restarting.signal(signal.SIGHUP)
    (tmp_path / "second may begin").touch()
    eventually((tmp_path / "reloaded").exists)
    assert restarting.starts() == 1
    assert restarting.stop() == 0


def test_a_process_that_is_terminated_before_it_is_ready_does_not_make_the_end_unclean(
    tmp_path: pathlib.Path,
) -> None:
    assert RestartingProcess(tmp_path).stop() == 0
