"""Ledgers that no process opens, since fewer processes are started than before."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

from saffronstack.daemon.state_directories import find_stranded_ledgers, process_directory
from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.stack import configuration


def test_ledgers_that_no_process_serves_stop_the_start(
    tmp_path: pathlib.Path, one_worker: StubWorkerFleet
) -> None:
    directory = tmp_path / "ledger"
    stranded = pathlib.Path(process_directory(str(directory), 5))
    stranded.mkdir(parents=True)
    (stranded / "ledger-0000000001.seg").write_bytes(b"")
    assert find_stranded_ledgers(str(directory), 6) == []
    assert find_stranded_ledgers(str(directory), 5) == [str(stranded)]
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(configuration(one_worker, directory)))
    completed = subprocess.run(
        [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path), "--processes", "2"],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert completed.returncode == 2
    assert "process-5" in completed.stderr
