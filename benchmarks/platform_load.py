"""Load on one gateway of the platform among stand-in hosts: CPU per call, memory over time, in two modes.

    python benchmarks/platform_load.py --calls 20000 --open 16
    python benchmarks/platform_load.py --calls 20000 --per-connection 1     # each connection asks once
    python benchmarks/platform_load.py --calls 20000 --trace 12             # where kept memory came from

The hosts answer at once and share the machine with the gateway: figures are for comparing, on one machine.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import Client, ScriptedHost, config_text

TRACED = """
import gc, os, signal, sys, threading, time, tracemalloc
tracemalloc.start(8)
def report():
    time.sleep(float(os.environ["TRACE_AFTER"])); gc.collect(); early = tracemalloc.take_snapshot()
    signal.sigwait({signal.SIGUSR1}); gc.collect()
    for stat in tracemalloc.take_snapshot().compare_to(early, "lineno")[:int(os.environ["TRACE"])]:
        print(stat, file=sys.stderr)
    print("threads", threading.active_count(), "objects", len(gc.get_objects()), file=sys.stderr, flush=True)
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGUSR1})
threading.Thread(target=report, daemon=True).start()
from saffronstack.platform.__main__ main
"""


def usage(pid: int) -> tuple[float, float]:
    """CPU seconds and resident MB of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def drive(address: tuple[str, int], calls: int, per_connection: int, functions: int, window: int) -> None:
    """One client thread: ``calls`` calls, ``window`` open at once."""
    made = 0
    while made < calls:
        client = Client(address)
        here = min(per_connection or calls, calls - made)
        sent = read = 0
        while read < here:
            while sent < here and sent - read < window:
                client.call(subject=1 + (made + sent) % functions)
                sent += 1
            client.read()
            read += 1
        client.sock.close()
        made += here


def main() -> int:
    """Run the load; prints a line for each tenth of it."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--calls", type=int, default=20000)
    parser.add_argument("--open", type=int, default=16, help="calls open at once, over four connections")
    parser.add_argument("--per-connection", type=int, default=0, help="0: connections stay")
    parser.add_argument("--functions", type=int, default=40)
    parser.add_argument("--trace", type=int, default=0)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--before", default="", help="Python that the gateway runs before anything else")
    asked = parser.parse_args()
    hosts = [ScriptedHost() for _ in range(6)]
    for host in hosts:
        host.messages.put = lambda *_: None  # type: ignore[method-assign]
    entries = [HostEntry(f"s-{place}", host.address) for place, host in enumerate(hosts)]
    directory = StubDnsServer(*entries)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "config.json"
        path.write_bytes(config_text(directory.address, entries, listen="127.0.0.1:18080"))
        environment = {**os.environ, "LB_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"}
        start = "import sys\nfrom saffronstack.platform.__main__ import main\nsys.exit(main())"
        code = f"{asked.before}\n{start}"
        command = [asked.python, "-c", code]
        if asked.trace:
            environment |= {"TRACE": str(asked.trace), "TRACE_AFTER": "4"}
            code = TRACED.replace("__main__ main", "__main__ import main\nsys.exit(main())")
            command = [asked.python, "-c", code]
        program = subprocess.Popen(command, env=environment)
        try:
            time.sleep(1.5)
            address = ("127.0.0.1", 18080)
            tenth = asked.calls // 10
            for place in range(10):
                begun_s, (cpu_s, _) = time.monotonic(), usage(program.pid)
                window = max(1, asked.open // 4)
                threads = [
                    threading.Thread(
                        target=drive,
                        args=(address, tenth // 4, asked.per_connection, asked.functions, window),
                    )
                    for _ in range(4)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                took_s, (after_s, memory_mb) = time.monotonic() - begun_s, usage(program.pid)
                made = tenth // 4 * 4
                cpu_us = (after_s - cpu_s) / made * 1e6
                rate = made / took_s
                figures = f"{rate:7.0f} calls/s  {cpu_us:6.0f} us CPU a call  {memory_mb:6.1f} MB"
                print(f"{place + 1:3d}0%  {figures}")
            if asked.trace:
                program.send_signal(signal.SIGUSR1)
                time.sleep(3)
        finally:
            program.send_signal(signal.SIGTERM)
            program.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
