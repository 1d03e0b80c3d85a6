"""Starve a gateway of CPU time: busy processes occupy its CPU while calls and kernel counters are recorded.

    python benchmarks/starved_processor.py                        # all cases, some five minutes
    python benchmarks/starved_processor.py --cases steady --clients 1 --neighbours 8 40 --keep samples.jsonl

The gateway is `saffronstack serve` with its default CPU affinity. It is restarted until it has chosen the CPU
named by ``--processor``. Neighbours are busy processes with normal priority on that CPU; they exit by
themselves. Clients, workers and this program run on the other CPUs.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import json
import os
import pathlib
import resource
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, field

from saffronstack.client import Client
from saffronstack.harness.scenario.processes import StubWorkersProcess
from saffronstack.standin.fleet import sample_config

HERE = pathlib.Path(__file__)
FUNCTIONS, PAYLOAD, CLIENT_TIMEOUT_S = ("suggest-price", "identify-copy"), b"{}", 20.0
SERVED = 200
MAX_BUSY_PROCESSES = 150
MAX_BUSY_S = 30.0  # a neighbour exits after this time even if this program was killed
START_ATTEMPTS = 400
SAMPLE_INTERVAL_S = 0.1
SAMPLES_IN_SPAN = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLIENTS_PER_PROCESS = 12
WARM_UP_S, BEFORE_S, AFTER_S = 1.0, 2.0, 2.0
ALTERNATION_S = 2.0
BURST_S = 1.0
MOVE_AFTER_S = 4.0
NANOSECONDS_PER_S = 1e9
SELF_MEASUREMENT_INTERVAL_S = 0.5
READS_PER_MEASUREMENT = 20
MEASURED_READS = ("reads_s", "process_time_s", "getrusage_s", "thread_clocks_s")


@dataclass(frozen=True, slots=True)
class Case:
    """One case: clients in closed loops, and busy processes on the gateway's CPU."""

    name: str
    clients: int
    neighbours: int
    busy_s: float  # time for which neighbours are busy without a pause
    idle_s: float = 0.0  # pause after it, for neighbours that are busy at intervals
    move_to: str = ""  # `all` or `idlest`, where the gateway moves `MOVE_AFTER_S` after the neighbours start


@dataclass(frozen=True, slots=True)
class ThreadCounts:
    """Kernel counters of one thread, and whether it is runnable."""

    run_ns: int = 0
    wait_ns: int = 0  # for the CPU; counted when the wait ends
    is_runnable: bool = False
    voluntary: int = 0  # context switches
    involuntary: int = 0


@dataclass(slots=True)
class Sample:
    """Kernel counters at one time.

    Attributes:
        at_s: Monotonic time in seconds.
        threads: Counters of the gateway's threads, by thread id.
        idle_ticks: Idle time of each CPU in ticks.
        processors: The CPU affinity that most of the gateway's threads have.
    """

    at_s: float
    threads: dict[int, ThreadCounts] = field(default_factory=dict)
    idle_ticks: list[int] = field(default_factory=list)
    processors: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a client."""

    ended_s: float
    seconds: float
    status: int


# ---- programs that run as processes: neighbours, clients, a gateway that measures itself


def run_busy_processes(processor: int, count: int, sessions: str) -> None:
    """Fork busy processes; a line ``start_s total_s busy_s idle_s`` on standard input starts them at once."""
    begin, children = os.pipe(), []
    for _ in range(min(count, MAX_BUSY_PROCESSES)):
        child = os.fork()
        if child == 0:
            os.close(begin[1])
            if sessions == "each":
                os.setsid()
            command = os.read(begin[0], 80)
            if command:
                _use_cpu(processor, *(float(word) for word in command.split()))
            os._exit(0)
        children.append(child)
    os.close(begin[0])
    print("ready", flush=True)
    line = sys.stdin.readline().encode()
    for _ in children if line else ():
        os.write(begin[1], line.strip().ljust(80))
    os.close(begin[1])
    for child in children:
        os.waitpid(child, 0)


def _use_cpu(processor: int, start_s: float, total_s: float, busy_s: float, idle_s: float) -> None:
    os.sched_setaffinity(0, {processor})
    end_s = start_s + min(total_s, MAX_BUSY_S)
    time.sleep(max(0.0, start_s - time.monotonic()))
    while (now_s := time.monotonic()) < end_s:
        phase_s = (now_s - start_s) % (busy_s + idle_s)
        if phase_s >= busy_s:
            time.sleep(busy_s + idle_s - phase_s)


def run_clients(address: str, count: int, end_s: float) -> None:
    """Run clients in closed loops until a monotonic time; print all calls."""
    calls: list[list[Call]] = [[] for _ in range(count)]

    def loop(client_calls: list[Call], function: str) -> None:
        client = Client(address, CLIENT_TIMEOUT_S, tenant="corner-books")
        while (began_s := time.monotonic()) < end_s:
            status = client.invoke(function, PAYLOAD).status
            ended_s = time.monotonic()
            client_calls.append(Call(ended_s, ended_s - began_s, status))
        client.close()

    threads = [
        threading.Thread(target=loop, args=(client_calls, FUNCTIONS[number % len(FUNCTIONS)]))
        for number, client_calls in enumerate(calls)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps([asdict(call) for client_calls in calls for call in client_calls]))


def serve_with_self_measurement(path: str, arguments: list[str]) -> None:
    """Run `saffronstack` with a thread that records how long reads of its own CPU counters take.

    The thread may run on all CPUs.
    """
    from saffronstack.cli.main import main  # only this process needs it

    def measure_repeatedly() -> None:
        with open(path, "w") as notes:
            while True:
                time.sleep(SELF_MEASUREMENT_INTERVAL_S)
                os.sched_setaffinity(0, range(os.cpu_count() or 1))
                notes.write(json.dumps(_measure_own_reads()) + "\n")
                notes.flush()

    threading.Thread(target=measure_repeatedly, daemon=True).start()
    sys.argv = ["saffronstack", *arguments]
    main()


def _measure_own_reads() -> dict[str, float]:
    began_s = time.monotonic()
    for _ in range(READS_PER_MEASUREMENT):
        pathlib.Path("/proc/self/schedstat").read_text()
    read_s = time.monotonic()
    for _ in range(READS_PER_MEASUREMENT):
        run_s = time.process_time()
    clock_s = time.monotonic()
    for _ in range(READS_PER_MEASUREMENT):
        usage = resource.getrusage(resource.RUSAGE_SELF)
    usage_s = time.monotonic()
    threads = {}
    for thread in threading.enumerate():
        with contextlib.suppress(OSError, TypeError):
            threads[thread.native_id] = time.clock_gettime(time.pthread_getcpuclockid(thread.ident or 0))
    return {
        "at_s": began_s, "reads_s": read_s - began_s, "process_time_s": clock_s - read_s,
        "getrusage_s": usage_s - clock_s, "thread_clocks_s": time.monotonic() - usage_s,
        "run_s": run_s, "involuntary": usage.ru_nivcsw, "voluntary": usage.ru_nvcsw,
    }  # fmt: skip


# ---- kernel counters


def read_sample(pid: int) -> Sample:
    """Read the counters of a process's threads and of all CPUs."""
    result = Sample(time.monotonic())
    allowed: Counter[tuple[int, ...]] = Counter()
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError, ValueError):  # the thread has ended
            result.threads[int(task.name)] = _read_thread(task)
            allowed[tuple(sorted(os.sched_getaffinity(int(task.name))))] += 1
    for line in pathlib.Path("/proc/stat").read_text().splitlines()[1:]:
        if not line.startswith("cpu"):
            break
        result.idle_ticks.append(int(line.split()[4]))
    result.processors = allowed.most_common(1)[0][0] if allowed else ()
    return result


def _read_thread(task: pathlib.Path) -> ThreadCounts:
    run_ns, wait_ns, _ = (int(word) for word in (task / "schedstat").read_text().split())
    lines = dict(line.split(":", 1) for line in (task / "status").read_text().splitlines())
    return ThreadCounts(
        run_ns,
        wait_ns,
        lines["State"].strip().startswith("R"),
        int(lines["voluntary_ctxt_switches"]),
        int(lines["nonvoluntary_ctxt_switches"]),
    )


def set_affinity(pid: int, processors: set[int]) -> None:
    """Set the CPU affinity of all threads of a process."""
    for task in os.listdir(f"/proc/{pid}/task"):
        with contextlib.suppress(OSError):
            os.sched_setaffinity(int(task), processors)


def idlest(before: Sample, after: Sample) -> int:
    """Return the CPU that was idle for longest between two samples."""
    idle = [later - earlier for earlier, later in zip(before.idle_ticks, after.idle_ticks, strict=True)]
    return idle.index(max(idle))


@dataclass(frozen=True, slots=True)
class Span:
    """CPU use of the gateway between two samples; times are shares of the elapsed time."""

    run: float  # of all threads
    max_wait: float  # of the thread that waited longest
    sum_wait: float
    foreign: float  # lower bound of the time that a thread waited while no other thread of the process ran
    taken: float  # the CPU's busy time that other processes used
    involuntary: float  # context switches
    voluntary: float
    is_starved: bool  # a thread was runnable at both samples and did not run between them


def compare(before: Sample, after: Sample, processor: int) -> Span:
    """Return the CPU use between two samples."""
    span_ns = (after.at_s - before.at_s) * NANOSECONDS_PER_S
    pairs = [(before.threads.get(thread, ThreadCounts()), now) for thread, now in after.threads.items()]
    runs = [now.run_ns - then.run_ns for then, now in pairs]
    waits = [now.wait_ns - then.wait_ns for then, now in pairs]
    idle_ns = (after.idle_ticks[processor] - before.idle_ticks[processor]) / TICKS_PER_S * NANOSECONDS_PER_S
    return Span(
        run=sum(runs) / span_ns,
        max_wait=max(waits) / span_ns,
        sum_wait=sum(waits) / span_ns,
        foreign=max(wait - (sum(runs) - run) for run, wait in zip(runs, waits, strict=True)) / span_ns,
        taken=1.0 - (idle_ns + sum(runs)) / span_ns,
        involuntary=sum(now.involuntary - then.involuntary for then, now in pairs),
        voluntary=sum(now.voluntary - then.voluntary for then, now in pairs),
        is_starved=any(
            then.is_runnable and now.is_runnable and then.run_ns == now.run_ns for then, now in pairs
        ),
    )


# ---- a case


@dataclass(slots=True)
class Outcome:
    """The result of a case; times are monotonic seconds."""

    case: Case
    began_s: float
    ended_s: float
    moved_s: float
    calls: list[Call]
    samples: list[Sample]
    looks: list[dict[str, float]]
    log: list[str]

    def calls_within(self, begin_s: float, end_s: float) -> list[float]:
        """Return the sorted latencies of the calls that ended in a period."""
        return sorted(call.seconds for call in self.calls if begin_s <= call.ended_s < end_s)

    def spans(self, begin_s: float, end_s: float, processor: int) -> list[Span]:
        """Return the CPU use in each span of a period."""
        inside = [item for item in self.samples if begin_s <= item.at_s <= end_s]
        pairs = zip(inside, inside[SAMPLES_IN_SPAN:], strict=False)
        return [compare(before, after, processor) for before, after in pairs]


@contextlib.contextmanager
def start_gateway(
    folder: pathlib.Path, workers: list[dict[str, object]], options: argparse.Namespace
) -> Iterator[tuple[subprocess.Popen[bytes], str]]:
    """Start a gateway that runs on the chosen CPU.

    A gateway chooses its CPU by its process id, so the shell starts it only if the id fits.
    """
    path = folder / "gateway.json5"
    path.write_text(json.dumps(sample_config(workers, "127.0.0.1:0")))
    serve_arguments = ["serve", "--config", str(path), "--log-level", "warning"]
    program = [sys.executable, "-m", "saffronstack.cli.main", *serve_arguments]
    if options.look:
        program = [sys.executable, str(HERE), "--program", "look", str(folder / "looks"), *serve_arguments]
    count = len(os.sched_getaffinity(0))
    processor_index = sorted(os.sched_getaffinity(0)).index(options.processor)
    shell = f'[ $(($$ % {count})) -eq {processor_index} ] && exec "$@"'
    for _ in range(START_ATTEMPTS):
        with open(folder / "log", "wb") as log:
            process = subprocess.Popen(
                ["sh", "-c", shell, "sh", *program], stdout=subprocess.PIPE, stderr=log,
                start_new_session=options.sessions != "one",
            )  # fmt: skip
        assert process.stdout is not None
        line = process.stdout.readline().decode()
        if "takes calls" in line:
            break
        process.wait(CLIENT_TIMEOUT_S)
    else:
        raise SystemExit("no gateway chose the requested CPU")
    try:
        yield process, line.strip().rpartition("/")[2]
    finally:
        process.terminate()
        try:
            process.wait(CLIENT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _start(other_processors: set[int], *arguments: str) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, str(HERE), "--program", *arguments],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    set_affinity(process.pid, other_processors)
    return process


def run_case(case: Case, options: argparse.Namespace, workers: list[dict[str, object]]) -> Outcome:
    """Run one case."""
    allowed = os.sched_getaffinity(0)
    other_processors = allowed - {options.processor}
    with tempfile.TemporaryDirectory(prefix="starved-") as name:
        folder = pathlib.Path(name)
        with start_gateway(folder, workers, options) as (process, address):
            os.sched_setaffinity(0, other_processors)
            busy_processes = _start(
                other_processors, "neighbours", str(options.processor), str(case.neighbours), options.sessions
            )
            assert busy_processes.stdout is not None
            busy_processes.stdout.readline()
            began_s = time.monotonic() + WARM_UP_S + BEFORE_S
            ended_s = began_s + options.seconds
            first_clients = range(0, case.clients, CLIENTS_PER_PROCESS)
            parts = [min(CLIENTS_PER_PROCESS, case.clients - first) for first in first_clients]
            clients = [
                _start(other_processors, "clients", address, str(part), str(ended_s + AFTER_S))
                for part in parts
            ]
            total_s = case.busy_s if not case.idle_s else options.seconds
            busy_processes.stdin.write(f"{began_s} {total_s} {case.busy_s} {case.idle_s}\n")  # type: ignore[union-attr]
            busy_processes.stdin.flush()  # type: ignore[union-attr]
            samples, moved_s = _observe(process.pid, case, began_s, ended_s + AFTER_S, allowed)
            calls = [
                Call(**item)
                for client in clients
                for item in json.loads(client.communicate(timeout=3 * CLIENT_TIMEOUT_S)[0])
            ]
            busy_processes.communicate(timeout=MAX_BUSY_S + CLIENT_TIMEOUT_S)
        looks = folder / "looks"
        measurements = [json.loads(item) for item in looks.read_text().splitlines()] if looks.exists() else []
        log = (folder / "log").read_text().splitlines()
    return Outcome(case, began_s, ended_s, moved_s, calls, samples, measurements, log)


def _observe(
    pid: int, case: Case, began_s: float, end_s: float, allowed: set[int]
) -> tuple[list[Sample], float]:
    samples, moved_s = [], 0.0
    while time.monotonic() < end_s:
        samples.append(read_sample(pid))
        if case.move_to and not moved_s and samples[-1].at_s >= began_s + MOVE_AFTER_S:
            target_processors = {idlest(samples[-1 - SAMPLES_IN_SPAN], samples[-1])}
            set_affinity(pid, allowed if case.move_to == "all" else target_processors)
            moved_s = time.monotonic()
        time.sleep(max(0.0, SAMPLE_INTERVAL_S - (time.monotonic() - samples[-1].at_s)))
    return samples, moved_s


# ---- tables


def _format_line(outcome: Outcome, period: str, begin_s: float, end_s: float, processor: int) -> str:
    seconds = outcome.calls_within(begin_s, end_s) or [0.0]
    spans = outcome.spans(begin_s, end_s, processor)
    head = (
        f"{outcome.case.name:10} {outcome.case.clients:3} {outcome.case.neighbours:4} {period:7} "
        f"{len(seconds) / (end_s - begin_s):7.1f} {1000 * statistics.median(seconds):7.1f} "
        f"{1000 * seconds[len(seconds) * 99 // 100]:7.1f} {1000 * seconds[-1]:7.1f} |"
    )
    if not spans:
        return head
    for name in ("run", "max_wait", "sum_wait", "foreign", "taken"):
        values = sorted(getattr(item, name) for item in spans)
        head += f" {values[0]:5.2f} {values[len(values) // 2]:5.2f} {values[-1]:5.2f} |"
    for name in ("involuntary", "voluntary"):
        head += f" {statistics.median(getattr(item, name) for item in spans):5.0f}"
    return head + f" | {sum(item.is_starved for item in spans)}/{len(spans)}"


HEADER = (
    "case       cl neighb when   calls/s  median     p99 longest | run min med max | max_wait | sum_wait | "
    "foreign | taken | involuntary, voluntary a second | spans starved as of two samples"
)


def _median_and_longest(seconds: list[float]) -> str:
    longest_s = max(seconds, default=0.0)
    median_s = statistics.median(seconds or [0.0])
    return f"median {1000 * median_s:.2f} ms, longest {1000 * longest_s:.2f} ms of {len(seconds)}"


def report(outcome: Outcome, processor: int) -> None:
    """Print the lines of a case."""
    begin_s, end_s = outcome.began_s, outcome.ended_s
    print(_format_line(outcome, "before", begin_s - BEFORE_S, begin_s, processor))
    if outcome.moved_s:
        print(_format_line(outcome, "during", begin_s, outcome.moved_s, processor))
        print(_format_line(outcome, "moved", outcome.moved_s, end_s, processor))
    else:
        print(_format_line(outcome, "during", begin_s, end_s, processor))
    print(_format_line(outcome, "after", end_s, end_s + AFTER_S, processor))
    for name in MEASURED_READS if outcome.looks else ():
        during = [item[name] for item in outcome.looks if begin_s <= item["at_s"] < end_s]
        otherwise = [item[name] for item in outcome.looks if not begin_s <= item["at_s"] < end_s]
        print(f"  read of {name}: {_median_and_longest(otherwise)}; during {_median_and_longest(during)}")
    statuses = Counter(call.status for call in outcome.calls)
    if set(statuses) != {SERVED}:
        print("  statuses:", dict(statuses))
    for before, after in itertools.pairwise(outcome.samples):
        if before.processors != after.processors:
            print(f"  {after.at_s - begin_s:.1f} s after the neighbours started: on CPUs {after.processors}")
    for line in outcome.log:
        print("  log:", line)


def selected_cases(options: argparse.Namespace) -> list[Case]:
    """Return the cases that the options select."""
    chosen = []
    for clients in options.clients:
        if "own" in options.cases:
            chosen.append(Case("own", clients, 0, 0.0))
        for neighbours in options.neighbours:
            every = {
                "steady": Case("steady", clients, neighbours, options.seconds),
                "burst": Case("burst", clients, neighbours, BURST_S),
                "alternate": Case("alternate", clients, neighbours, ALTERNATION_S, ALTERNATION_S),
                "to-all": Case("to-all", clients, neighbours, options.seconds, move_to="all"),
                "to-idlest": Case("to-idlest", clients, neighbours, options.seconds, move_to="idlest"),
            }
            chosen += [every[name] for name in options.cases if name in every]
    return chosen


def main() -> int:
    """Run the cases one after another; return the exit status."""
    if sys.argv[1:2] == ["--program"]:
        return run_program(sys.argv[2], sys.argv[3:])
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--processor", type=int, default=max(os.sched_getaffinity(0)))
    parser.add_argument("--cases", nargs="+", default=["own", "steady", "burst", "alternate"])
    parser.add_argument("--clients", nargs="+", type=int, default=[1, 12])
    parser.add_argument("--neighbours", nargs="+", type=int, default=[1, 8, 40, 150])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--work", type=float, default=0.01, help="seconds of a call at its worker")
    parser.add_argument(
        "--sessions", choices=("one", "gateway", "each"), default="one",
        help="whether the gateway has its own session, as under a daemon, and each neighbour too: "
        "the scheduler may share the CPU between sessions first",
    )  # fmt: skip
    parser.add_argument("--look", action="store_true", help="time reads of CPU counters inside the gateway")
    parser.add_argument("--keep", help="file for all samples, a JSON line for each case")
    options = parser.parse_args()
    allowed = os.sched_getaffinity(0)
    os.sched_setaffinity(0, allowed - {options.processor})
    profile = {"work_s": options.work, "load_s": 0.05, "cores": 64, "queue": 256}
    host = StubWorkersProcess({"count": 4, "log": os.devnull, "seed": 1, "profiles": [profile]})
    os.sched_setaffinity(0, allowed)
    print(HEADER, flush=True)
    for case in selected_cases(options):
        outcome = run_case(case, options, host.workers)
        os.sched_setaffinity(0, allowed)
        report(outcome, options.processor)
        sys.stdout.flush()
        if options.keep:
            with open(options.keep, "a") as samples_file:
                samples_file.write(json.dumps(asdict(outcome)) + "\n")
    host.end()
    return 0


def run_program(name: str, arguments: Sequence[str]) -> int:
    """Run this file as one of the programs that the cases start."""
    if name == "neighbours":
        run_busy_processes(int(arguments[0]), int(arguments[1]), arguments[2])
    elif name == "clients":
        run_clients(arguments[0], int(arguments[1]), float(arguments[2]))
    else:
        serve_with_self_measurement(arguments[0], list(arguments[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
