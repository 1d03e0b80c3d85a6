"""Builds in .built/ the package that `run` starts, its hot path compiled by mypyc: 20 % less CPU per call.

The new copy replaces the old one only when it is complete. It is rebuilt when a source file has changed. If
it can't be compiled, for example without a C compiler, the copy stays plain Python: slower, with the same
decisions.
"""

from __future__ import annotations

import hashlib
import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILT = ROOT / ".built"
# The modules that a call passes through, except those that msgspec and signal handlers need as plain Python.
NAMES = """
routing/actions routing/components routing/concurrency_limit routing/cpu_utilization routing/dispatcher
routing/eligibility routing/errors routing/events routing/idle_sweep routing/load_commands
routing/load_control routing/load_shedding routing/membership routing/memory_account
routing/outcome_feedback routing/outlier_detection routing/placement routing/rate_estimator
routing/request_queue routing/retry_policy routing/router routing/settings routing/shared_instances
routing/slow_start routing/state routing/validation routing/warm_pool
engine/action_executor engine/call_finisher engine/calls engine/decision_loop engine/dispatch engine/engine
engine/engine_state engine/messages engine/open_calls engine/recent_functions engine/timers
engine/worker_registry resp/reader resp/frames
platform/calls platform/client_admission platform/client_listener platform/connection
platform/eviction platform/front platform/identifiers platform/idle_order platform/read_pacing
platform/used_tags
upstream/deadlines upstream/events upstream/pool_registry upstream/multiplexed/exchange
upstream/multiplexed/in_flight upstream/multiplexed/line_reader upstream/multiplexed/connection
upstream/multiplexed/connection_budget upstream/multiplexed/connection_pool upstream/multiplexed/dispatcher
net/write_buffer net/read_loop
"""
MODULES = [f"saffronstack/{name}.py" for name in NAMES.split()]
MYPY = "mypy>=1.8,<3"
TIMEOUT_S = 600


def source_digest() -> str:
    """Return the digest of the sources, this file and the Python version."""
    digest = hashlib.sha256(sys.version.encode() + pathlib.Path(__file__).read_bytes())
    for path in sorted((ROOT / "saffronstack").rglob("*.py")):
        digest.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def run(*command: str, cwd: pathlib.Path = ROOT) -> None:
    """Run a command; raise OSError or SubprocessError if it fails."""
    environment = {**os.environ, "MYPY_CACHE_DIR": str(cwd / ".mypy_cache")}
    discarded = subprocess.DEVNULL
    subprocess.run(command, cwd=cwd, env=environment, check=True, timeout=TIMEOUT_S, stdout=discarded)


def compile_copy(folder: pathlib.Path) -> bool:
    """Compile the hot path in this copy; return whether that succeeded and the package can be imported."""
    try:
        if importlib.util.find_spec("mypyc") is None:
            run(sys.executable, "-m", "pip", "-q", "install", MYPY)
        run(sys.executable, "-m", "mypyc", "--strict", *MODULES, cwd=folder)
        run(sys.executable, "-B", "-c", "import saffronstack.platform.__main__", cwd=folder)
    except (OSError, subprocess.SubprocessError) as error:
        print(f"the hot path is not compiled: {error}", file=sys.stderr)
        return False
    return True


def main() -> int:
    """Build the copy if a source has changed; return 0 even if it could not be compiled."""
    stamp_file = BUILT / "stamp"
    expected_digest = source_digest()
    if stamp_file.is_file() and stamp_file.read_text() == expected_digest:
        return 0
    new_copy = ROOT / ".built.new"
    shutil.rmtree(new_copy, ignore_errors=True)
    source = ROOT / "saffronstack"
    shutil.copytree(source, new_copy / "saffronstack", ignore=shutil.ignore_patterns("__pycache__"))
    if not compile_copy(new_copy):
        for path in [*new_copy.glob("*.so"), *(new_copy / "saffronstack").rglob("*.so")]:
            path.unlink()
    for name in ("build", ".mypy_cache"):
        shutil.rmtree(new_copy / name, ignore_errors=True)
    (new_copy / "stamp").write_text(expected_digest)
    shutil.rmtree(BUILT, ignore_errors=True)
    new_copy.rename(BUILT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
