"""Samples the threads of a process until it ends. A separate program, so that a busy harness can't delay it.

    python -m saffronstack.harness.soak.thread_sampler PID

Prints the samples of the last `RETENTION_S` seconds as JSON once the process ends, or after `MAX_S`.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from saffronstack.harness.soak.thread_samples import ProcessSample, ThreadSample

INTERVAL_S = 0.004
RETENTION_S = 11.0  # longer than the 10 s that a killed process may take to end
MAX_S = 60.0
END_TIMEOUT_S = 10.0
NANOSECONDS = 1e9
READ_BYTES = 1024


def read_threads(pid: int) -> dict[int, ThreadSample]:
    """Return the counters of each thread of a process; none if it has ended."""
    threads: dict[int, ThreadSample] = {}
    with contextlib.suppress(OSError):
        for name in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(OSError, ValueError, IndexError):  # the thread has ended
                found = _read_thread(f"/proc/{pid}/task/{name}")
                if found is not None:
                    threads[int(name)] = found
    return threads


def _read_thread(path: str) -> ThreadSample | None:
    identity, _, rest = _read(f"{path}/stat").rpartition(b") ")
    state = rest[:1]
    if state in (b"Z", b"X"):
        return None
    ran, waited, times_scheduled = _read(f"{path}/schedstat").split()
    name = identity.partition(b" (")[2].decode(errors="replace")
    return ThreadSample(
        state == b"R", int(ran) / NANOSECONDS, int(waited) / NANOSECONDS, int(times_scheduled), name
    )


def _read(path: str) -> bytes:
    file = os.open(path, os.O_RDONLY)
    try:
        return os.read(file, READ_BYTES)
    finally:
        os.close(file)


def sample_until_end(
    read: Callable[[], Mapping[int, ThreadSample]],
    clock: Callable[[], float] = time.monotonic,
    pause: Callable[[float], object] = time.sleep,
) -> list[ProcessSample]:
    """Sample until no thread is left; return the samples of the last `RETENTION_S` seconds."""
    samples: deque[ProcessSample] = deque()
    until_s = clock() + MAX_S
    while (now := clock()) < until_s:
        threads = read()
        if not threads:
            break
        samples.append(ProcessSample(now, threads))
        while now - samples[0].at_s > RETENTION_S:
            samples.popleft()
        pause(INTERVAL_S)
    return list(samples)


class ThreadSampler:
    """Runs the sampler in a child process."""

    def __init__(self, pid: int) -> None:
        """Start to sample the process ``pid``."""
        command = [sys.executable, "-m", "saffronstack.harness.soak.thread_sampler", str(pid)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def samples(self) -> tuple[ProcessSample, ...]:
        """Return the samples once the sampled process has ended; none if the sampler failed."""
        try:
            printed, _ = self._process.communicate(timeout=END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.communicate()
            return ()
        return decode(printed) if self._process.returncode == 0 else ()


def encode(samples: Sequence[ProcessSample]) -> str:
    """Return samples as JSON."""
    return json.dumps(
        [
            [
                sample.at_s,
                {
                    thread: [
                        found.is_runnable,
                        found.ran_s,
                        found.waited_s,
                        found.times_scheduled,
                        found.name,
                    ]
                    for thread, found in sample.threads.items()
                },
            ]
            for sample in samples
        ]
    )


def decode(printed: str) -> tuple[ProcessSample, ...]:
    """Return the samples that `encode` printed."""
    return tuple(
        ProcessSample(at_s, {int(thread): ThreadSample(*found) for thread, found in threads.items()})
        for at_s, threads in json.loads(printed)
    )


if __name__ == "__main__":
    print(encode(sample_until_end(partial(read_threads, int(sys.argv[1])))))
