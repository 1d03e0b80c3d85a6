"""Load one platform gateway that uses stub hosts; print its CPU time per call and its memory over time.

    python benchmarks/platform_load.py --calls 20000 --open 16
    python benchmarks/platform_load.py --calls 20000 --per-connection 1     # one call per connection
    python benchmarks/platform_load.py --calls 20000 --trace 12             # the 12 largest allocations

The hosts respond immediately and share the machine with the gateway, so figures are only comparable with
others of the same machine.
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

TRACED_PROGRAM = """
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


def read_usage(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and the resident MB of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def send_calls(
    address: tuple[str, int], calls: int, per_connection: int, functions: int, max_in_flight: int
) -> None:
    """Send `calls` calls from one client thread, with up to `max_in_flight` of them in flight."""
    sent_count = 0
    while sent_count < calls:
        client = Client(address)
        connection_calls = min(per_connection or calls, calls - sent_count)
        request_count = read_count = 0
        while read_count < connection_calls:
            while request_count < connection_calls and request_count - read_count < max_in_flight:
                client.call(subject=1 + (sent_count + request_count) % functions)
                request_count += 1
            client.read()
            read_count += 1
        client.sock.close()
        sent_count += connection_calls


def main() -> int:
    """Run the load and print a line for each tenth of it; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--calls", type=int, default=20000)
    parser.add_argument("--open", type=int, default=16, help="calls in flight, over four connections")
    parser.add_argument("--per-connection", type=int, default=0, help="0: connections stay open")
    parser.add_argument("--functions", type=int, default=40)
    parser.add_argument("--trace", type=int, default=0)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--before", default="", help="Python code that the gateway runs first")
    options = parser.parse_args()
    hosts = [ScriptedHost() for _ in range(6)]
    for host in hosts:
        host.messages.put = lambda *_: None  # type: ignore[method-assign]
    entries = [HostEntry(f"s-{index}", host.address) for index, host in enumerate(hosts)]
    directory = StubDnsServer(*entries)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "config.json"
        path.write_bytes(config_text(directory.address, entries, listen="127.0.0.1:18080"))
        environment = {**os.environ, "LB_CONFIG": str(path), "MALLOC_ARENA_MAX": "1"}
        start = "import sys\nfrom saffronstack.platform.__main__ import main\nsys.exit(main())"
        code = f"{options.before}\n{start}"
        command = [options.python, "-c", code]
        if options.trace:
            environment |= {"TRACE": str(options.trace), "TRACE_AFTER": "4"}
            code = TRACED_PROGRAM.replace("__main__ main", "__main__ import main\nsys.exit(main())")
            command = [options.python, "-c", code]
        gateway = subprocess.Popen(command, env=environment)
        try:
            time.sleep(1.5)
            address = ("127.0.0.1", 18080)
            calls_per_step = options.calls // 10
            for index in range(10):
                began_s, (cpu_s, _) = time.monotonic(), read_usage(gateway.pid)
                max_in_flight = max(1, options.open // 4)
                threads = [
                    threading.Thread(
                        target=send_calls,
                        args=(
                            address,
                            calls_per_step // 4,
                            options.per_connection,
                            options.functions,
                            max_in_flight,
                        ),
                    )
                    for _ in range(4)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                took_s, (cpu_after_s, memory_mb) = time.monotonic() - began_s, read_usage(gateway.pid)
                sent_count = calls_per_step // 4 * 4
                cpu_us = (cpu_after_s - cpu_s) / sent_count * 1e6
                rate = sent_count / took_s
                figures = f"{rate:7.0f} calls/s  {cpu_us:6.0f} us CPU a call  {memory_mb:6.1f} MB"
                print(f"{index + 1:3d}0%  {figures}")
            if options.trace:
                gateway.send_signal(signal.SIGUSR1)
                time.sleep(3)
        finally:
            gateway.send_signal(signal.SIGTERM)
            gateway.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
