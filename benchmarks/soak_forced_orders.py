"""Run seed 9 of the soak with forced orders of events: threads are starved just before the kill deadline.

    python benchmarks/soak_forced_orders.py                                  # all cases, three runs each
    python benchmarks/soak_forced_orders.py --cases reader-starved --plays 10

Prints a line for each run. Exits with 1 if a case had an unexpected result. Busy processes with normal
priority occupy one CPU, and a thread of the gateway is moved to it. The busy processes exit by themselves.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass

from saffronstack.harness.soak.platform_play import PlatformRun
from saffronstack.harness.soak.schedule import draw

SEED = 9
BUSY_PROCESSES = 40
MAX_BUSY_S = 120.0  # a busy process exits after this time even if this program was killed
WARM_UP_S = 2.0  # until all busy processes run
MAX_BREACHES_SHOWN = 1
_BUSY = """
import os, sys, time
os.sched_setaffinity(0, {int(sys.argv[1])})
until_s = time.monotonic() + float(sys.argv[2])
while time.monotonic() < until_s:
    pass
"""
_PRELUDE = """
import ctypes, os, sys, threading, time
from saffronstack.platform import front, service
PROCESSOR, KILL_S = {processor}, {kill_s}
def wait_until_before_kill(self, before_s):
    time.sleep(max(0.0, self._shutdown_asked_s + KILL_S - before_s - time.monotonic()))
def keep_decisions_busy(self):
    def work(now, router):
        until_s = time.thread_time() + 0.25
        while time.thread_time() < until_s:
            pass
    self._services.engine.inspect(work)
def move_to_busy_processor(name):
    for thread in os.listdir("/proc/self/task"):
        if open(f"/proc/self/task/{{thread}}/comm").read().strip() == name:
            os.sched_setaffinity(int(thread), {{PROCESSOR}})
def at_shutdown(act):
    begin, begun = front.Frontend.begin_shutdown, []
    def begin_and_act(self, limits):
        begin(self, limits)
        if not begun:
            begun.append(True)
            threading.Thread(target=act, args=(self,), daemon=True).start()
    front.Frontend.begin_shutdown = begin_and_act
"""
_READER_STARVED = """
def act(self):
    wait_until_before_kill(self, 0.9)
    keep_decisions_busy(self)
    wait_until_before_kill(self, 0.12)
    move_to_busy_processor(front.CLIENTS_THREAD)
at_shutdown(act)
"""
_READER_ASLEEP = """
on_event, asleep = front.Frontend._on_event, []
def sleep_once_told(self, descriptor):
    if asleep:
        time.sleep(1.0)
    on_event(self, descriptor)
front.Frontend._on_event = sleep_once_told
def act(self):
    wait_until_before_kill(self, 0.9)
    keep_decisions_busy(self)
    wait_until_before_kill(self, 0.13)
    move_to_busy_processor("decisions")
    keep_decisions_busy(self)
    asleep.append(True)
at_shutdown(act)
"""
_LOCK_HOLDER_STARVED = """
def act(self):
    wait_until_before_kill(self, 0.12)
    os.sched_setaffinity(0, {PROCESSOR})
    until_s = time.thread_time() + 0.25
    while time.thread_time() < until_s:
        pass
at_shutdown(act)
"""
_ENDING_THREAD_DELAYED = """
class DelayedEnd(threading.Event):
    def wait(self, timeout=None):
        is_set = super().wait(timeout)
        if is_set:
            ctypes.PyDLL(None).usleep(120_000)  # holds the interpreter lock, as a starved thread
        return is_set
start = service.Service.start
def start_with_delayed_end(self):
    self._stopping = DelayedEnd()
    start(self)
service.Service.start = start_with_delayed_end
"""
_MAIN = "from saffronstack.platform.__main__ import main\nsys.exit(main())\n"


@dataclass(frozen=True, slots=True)
class Case:
    """One forced order of events.

    Attributes:
        program: Python code that the gateway runs to force the order.
        must_break: Whether the checker must find a breach.
        is_open: Whether the gateway is known to break a rule in this case; reported, not counted.
    """

    program: str
    must_break: bool = False
    is_open: bool = False


CASES = {
    "reader-starved": Case(_READER_STARVED),
    "reader-asleep": Case(_READER_ASLEEP, must_break=True),
    "ending-thread-delayed": Case(_ENDING_THREAD_DELAYED),
    "lock-holder-starved": Case(_LOCK_HOLDER_STARVED, is_open=True),
}


@contextlib.contextmanager
def busy_processor(processor: int) -> Iterator[None]:
    """Keep a CPU busy with processes that each have their own session."""
    command = [sys.executable, "-c", _BUSY, str(processor), str(MAX_BUSY_S)]
    processes = [subprocess.Popen(command, start_new_session=True) for _ in range(BUSY_PROCESSES)]
    try:
        time.sleep(WARM_UP_S)
        yield
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()


def run_case(name: str, processor: int) -> bool:
    """Run a case once and print its line; return whether its result is expected or a known fault."""
    case, schedule = CASES[name], draw(SEED)
    program = _PRELUDE.format(processor=processor, kill_s=schedule.kill_s) + case.program + _MAIN
    with tempfile.TemporaryDirectory() as folder:
        breaches = PlatformRun(schedule, pathlib.Path(folder), program).run().report.breaches
    is_expected = bool(breaches) is case.must_break
    outcome = "as expected" if is_expected else ("known fault" if case.is_open else "UNEXPECTED")
    shown = "".join(f"\n      {breach}" for breach in breaches[:MAX_BREACHES_SHOWN])
    print(f"{name:<22} {len(breaches):>4} breaches  {outcome}{shown}", flush=True)
    return is_expected or case.is_open


def main() -> int:
    """Run the cases; return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--cases", nargs="+", choices=sorted(CASES), default=list(CASES))
    parser.add_argument("--plays", type=int, default=3)
    options = parser.parse_args()
    processor = max(os.sched_getaffinity(0))
    all_expected = True
    for name in options.cases:
        with busy_processor(processor):
            for _ in range(options.plays):
                all_expected &= run_case(name, processor)
    return 0 if all_expected else 1


if __name__ == "__main__":
    sys.exit(main())
