"""The platform's rules for the `run` line: one process with threads and plain sockets."""

from __future__ import annotations

import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import tomllib

from saffronstack.standin.platform import HostEntry, StubDnsServer
from saffronstack.standin.worker import reserve_port
from tests.support.platform import WAIT_S, Client, ScriptedHost, config_text

ROOT = pathlib.Path(__file__).parent.parent
# Modules that start processes, open Unix sockets or make system calls that the platform forbids.
FORBIDDEN_MODULES = {
    "subprocess", "multiprocessing", "concurrent.futures.process", "pty", "asyncio", "ssl", "ctypes", "mmap",
    "shutil", "tempfile", "structlog", "click", "watchfiles", "zstandard",
}  # fmt: skip
OTHER_PACKAGES = {
    "invoke", "deferred", "operations", "metering", "durable", "discovery.files", "daemon", "harness",
    "standin", "cli", "fleet",
}  # fmt: skip


def run_line() -> str:
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert isinstance(line, str)
    return line


def test_the_run_line_ends_with_exec_in_one_process() -> None:
    steps = [step.strip() for step in run_line().split("&&")]
    assert steps[-1].startswith("exec ")
    assert "exec" not in " ".join(steps[:-1])
    assert not re.search(r"[;|&`]|\$\(", "".join(steps)), "the line starts nothing else"


def test_a_gateway_under_load_is_one_process_with_threads_and_plain_sockets(tmp_path: pathlib.Path) -> None:
    """Starts the gateway by the run line, with the source package in place of the compiled copy."""
    (tmp_path / ".built").mkdir()
    (tmp_path / ".built" / "saffronstack").symlink_to(ROOT / "saffronstack")
    (tmp_path / ".venv").symlink_to(sys.prefix)
    # Reserves the port until the gateway listens.
    host, port_holder = ScriptedHost(), reserve_port("127.0.0.1")
    listen = f"127.0.0.1:{port_holder.getsockname()[1]}"
    directory = StubDnsServer(HostEntry("s-1", host.address))
    path = tmp_path / "config.json"
    path.write_bytes(config_text(directory.address, directory.entries, listen=listen))
    log_file = (tmp_path / "told").open("w+")
    environment = {**os.environ, "LB_CONFIG": str(path), "LB_NAME": "n1", "PYTHONPROFILEIMPORTTIME": "1"}
    program = subprocess.Popen(["/bin/sh", "-c", run_line()], cwd=tmp_path, env=environment, stderr=log_file)
    inspected = threading.Event()
    try:
        where, port = listen.rsplit(":", 1)
        client = _connect_when_ready(program, log_file.name, (where, int(port)))

        def send_requests() -> None:
            while not inspected.is_set():
                assert client.call_and_read(subject=len(served) % 7)[0] == "OK"
                served.append(1)

        served: list[int] = []
        load_thread = threading.Thread(target=send_requests)
        load_thread.start()
        directory.wait_for_queries()
        process = pathlib.Path(f"/proc/{program.pid}")
        children = [text.read_text() for text in process.glob("task/*/children")]
        command = (process / "cmdline").read_bytes().split(b"\0")
        descriptors = [os.readlink(entry) for entry in (process / "fd").iterdir() if entry.is_symlink()]
        unix = {line.split()[6] for line in (process / "net" / "unix").read_text().splitlines()[1:]}
        mapped = {line.split()[-1] for line in (process / "maps").read_text().splitlines()}
        inspected.set()
        load_thread.join(WAIT_S)
        assert served
        assert len(children) > 5
        assert not any(text.strip() for text in children)
        assert command[0].endswith(b"python")
        assert command[-2] == b"saffronstack.platform"
        assert any(re.search(r"/libc[.-]", name) for name in mapped)  # the C library is linked dynamically
        sockets = {match[1] for name in descriptors if (match := re.fullmatch(r"socket:\[(\d+)\]", name))}
        assert len(sockets) >= 4
        assert not sockets & unix
        plain = ("socket:", "/", "pipe:", "anon_inode:[event")
        assert not [name for name in descriptors if not name.startswith(plain)]
        program.send_signal(signal.SIGTERM)
        assert program.wait(WAIT_S) == 0
        log_file.seek(0)
        modules = {line.rsplit("|", 1)[1].strip() for line in log_file if line.startswith("import time:")}
        own_modules = [name.split(".") for name in modules if name.startswith("saffronstack.")]
        packages = {".".join(names[1:depth]) for names in own_modules for depth in (2, 3)}
        assert "platform" in packages
        assert not packages & OTHER_PACKAGES
        assert not modules & FORBIDDEN_MODULES, modules & FORBIDDEN_MODULES
    finally:
        inspected.set()
        program.kill()
        program.wait()
        log_file.close()
        directory.close()
        port_holder.close()


def _connect_when_ready(program: subprocess.Popen[bytes], log_path: str, address: tuple[str, int]) -> Client:
    """Return a client once the gateway has logged that it accepts calls."""
    pause = threading.Event()
    for _ in range(int(WAIT_S / 0.02)):
        if "takes calls" in pathlib.Path(log_path).read_text():
            return Client(address)
        assert program.poll() is None, pathlib.Path(log_path).read_text()
        pause.wait(0.02)
    raise AssertionError("the gateway did not start in time")
