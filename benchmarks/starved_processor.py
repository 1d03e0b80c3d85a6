"""A gateway that keeps to one processor which others take up: its calls, and what the kernel counts.

    python benchmarks/starved_processor.py                        # all cases, some five minutes
    python benchmarks/starved_processor.py --cases steady --clients 1 --neighbours 8 40 --keep samples.jsonl

The gateway is `saffronstack serve` with its default processors, started until its choice is the one named by
``--processor``; neighbours are busy processes of ordinary priority that are kept to that one and end by
themselves. Clients, workers and the observer keep to the other processors.
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
MAX_NEIGHBOURS = 150
MAX_BUSY_S = 30.0  # a neighbour ends by then, whatever became of this program
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
LOOK_INTERVAL_S = 0.5
LOOK_READS = 20
LOOK_PARTS = ("reads_s", "process_time_s", "getrusage_s", "thread_clocks_s")


@dataclass(frozen=True, slots=True)
class Case:
    """What runs: clients in closed loops, and neighbours of the gateway."""

    name: str
    clients: int
    neighbours: int
    busy_s: float  # of neighbours in a row
    idle_s: float = 0.0  # between, for neighbours that come and go
    move_to: str = ""  # `all` or `idlest`, `MOVE_AFTER_S` after neighbours began


@dataclass(frozen=True, slots=True)
class ThreadCounts:
    """What the kernel counts of one thread, and whether it is ready to run."""

    run_ns: int = 0
    wait_ns: int = 0  # for the processor; booked when the wait ends
    is_runnable: bool = False
    voluntary: int = 0  # context switches
    involuntary: int = 0


@dataclass(slots=True)
class Sample:
    """What the kernel counts at one moment: threads by id, ticks by processor.

    Attributes:
        at_s: Monotonic seconds.
        threads: Of the gateway.
        idle_ticks: Of each processor.
        processors: On which most of the gateway's threads may run.
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


# ---- programs of their own: neighbours, clients, a gateway with a look from inside


def run_neighbours(processor: int, count: int, sessions: str) -> None:
    """Fork busy processes; a line ``start_s total_s busy_s idle_s`` on standard input starts them at once."""
    begin, children = os.pipe(), []
    for _ in range(min(count, MAX_NEIGHBOURS)):
        child = os.fork()
        if child == 0:
            os.close(begin[1])
            if sessions == "each":
                os.setsid()
            order = os.read(begin[0], 80)
            if order:
                _be_busy(processor, *(float(word) for word in order.split()))
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


def _be_busy(processor: int, start_s: float, total_s: float, busy_s: float, idle_s: float) -> None:
    os.sched_setaffinity(0, {processor})
    end_s = start_s + min(total_s, MAX_BUSY_S)
    time.sleep(max(0.0, start_s - time.monotonic()))
    while (now_s := time.monotonic()) < end_s:
        phase_s = (now_s - start_s) % (busy_s + idle_s)
        if phase_s >= busy_s:
            time.sleep(busy_s + idle_s - phase_s)


def run_clients(address: str, count: int, end_s: float) -> None:
    """Closed loops until a moment; prints all calls."""
    calls: list[list[Call]] = [[] for _ in range(count)]

    def loop(own: list[Call], function: str) -> None:
        client = Client(address, CLIENT_TIMEOUT_S, tenant="corner-books")
        while (began_s := time.monotonic()) < end_s:
            status = client.invoke(function, PAYLOAD).status
            ended_s = time.monotonic()
            own.append(Call(ended_s, ended_s - began_s, status))
        client.close()

    threads = [
        threading.Thread(target=loop, args=(own, FUNCTIONS[number % len(FUNCTIONS)]))
        for number, own in enumerate(calls)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps([asdict(call) for own in calls for call in own]))


def serve_with_look(path: str, arguments: list[str]) -> None:
    """`saffronstack` beside a thread on all processors that notes in a file what a look from inside takes."""
    from saffronstack.cli.main import main  # only this process needs it

    def look() -> None:
        with open(path, "w") as notes:
            while True:
                time.sleep(LOOK_INTERVAL_S)
                os.sched_setaffinity(0, range(os.cpu_count() or 1))
                notes.write(json.dumps(_time_look()) + "\n")
                notes.flush()

    threading.Thread(target=look, daemon=True).start()
    sys.argv = ["saffronstack", *arguments]
    main()


def _time_look() -> dict[str, float]:
    began_s = time.monotonic()
    for _ in range(LOOK_READS):
        pathlib.Path("/proc/self/schedstat").read_text()
    read_s = time.monotonic()
    for _ in range(LOOK_READS):
        run_s = time.process_time()
    clock_s = time.monotonic()
    for _ in range(LOOK_READS):
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


# ---- the observer


def read_sample(pid: int) -> Sample:
    """Read the counters of a process's threads and of all processors."""
    result = Sample(time.monotonic())
    allowed: Counter[tuple[int, ...]] = Counter()
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError, ValueError):  # it has ended
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


def move(pid: int, processors: set[int]) -> None:
    """Let all threads of a process run on some processors."""
    for task in os.listdir(f"/proc/{pid}/task"):
        with contextlib.suppress(OSError):
            os.sched_setaffinity(int(task), processors)


def idlest(before: Sample, after: Sample) -> int:
    """Return the processor that was idle for longest between two samples."""
    idle = [later - earlier for earlier, later in zip(before.idle_ticks, after.idle_ticks, strict=True)]
    return idle.index(max(idle))


@dataclass(frozen=True, slots=True)
class Span:
    """What the gateway got between two samples; times as shares of the time between."""

    run: float  # of all threads
    max_wait: float  # of the thread that waited longest
    sum_wait: float
    foreign: float  # at least so much did a thread wait while no other of the process ran
    taken: float  # the processor's busy time that is not the process's
    involuntary: float  # context switches
    voluntary: float
    is_starved: bool  # a thread was runnable at both samples and did not run between them


def compare(before: Sample, after: Sample, processor: int) -> Span:
    """Return what happened between two samples."""
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
    """What came of a case; moments in monotonic seconds."""

    case: Case
    began_s: float
    ended_s: float
    moved_s: float
    calls: list[Call]
    samples: list[Sample]
    looks: list[dict[str, float]]
    log: list[str]

    def calls_within(self, begin_s: float, end_s: float) -> list[float]:
        """Return the seconds of calls that ended in a time."""
        return sorted(call.seconds for call in self.calls if begin_s <= call.ended_s < end_s)

    def spans(self, begin_s: float, end_s: float, processor: int) -> list[Span]:
        """Return what happened in each span of a time."""
        inside = [one for one in self.samples if begin_s <= one.at_s <= end_s]
        pairs = zip(inside, inside[SAMPLES_IN_SPAN:], strict=False)
        return [compare(before, after, processor) for before, after in pairs]


@contextlib.contextmanager
def gateway(
    folder: pathlib.Path, workers: list[dict[str, object]], asked: argparse.Namespace
) -> Iterator[tuple[subprocess.Popen[bytes], str]]:
    """A gateway that keeps to the wanted processor: its choice goes by its process id."""
    path = folder / "gateway.json5"
    path.write_text(json.dumps(sample_config(workers, "127.0.0.1:0")))
    served = ["serve", "--config", str(path), "--log-level", "warning"]
    program = [sys.executable, "-m", "saffronstack.cli.main", *served]
    if asked.look:
        program = [sys.executable, str(HERE), "--program", "look", str(folder / "looks"), *served]
    count = len(os.sched_getaffinity(0))
    chosen = sorted(os.sched_getaffinity(0)).index(asked.processor)
    shell = f'[ $(($$ % {count})) -eq {chosen} ] && exec "$@"'
    for _ in range(START_ATTEMPTS):
        with open(folder / "log", "wb") as log:
            process = subprocess.Popen(
                ["sh", "-c", shell, "sh", *program], stdout=subprocess.PIPE, stderr=log,
                start_new_session=asked.sessions != "one",
            )  # fmt: skip
        assert process.stdout is not None
        line = process.stdout.readline().decode()
        if "takes calls" in line:
            break
        process.wait(CLIENT_TIMEOUT_S)
    else:
        raise SystemExit("no gateway got the processor")
    try:
        yield process, line.strip().rpartition("/")[2]
    finally:
        process.terminate()
        try:
            process.wait(CLIENT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _start(others: set[int], *arguments: str) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, str(HERE), "--program", *arguments],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    move(process.pid, others)
    return process


def play(case: Case, asked: argparse.Namespace, workers: list[dict[str, object]]) -> Outcome:
    """Run one case."""
    allowed = os.sched_getaffinity(0)
    others = allowed - {asked.processor}
    with tempfile.TemporaryDirectory(prefix="starved-") as name:
        folder = pathlib.Path(name)
        with gateway(folder, workers, asked) as (process, address):
            os.sched_setaffinity(0, others)
            neighbours = _start(
                others, "neighbours", str(asked.processor), str(case.neighbours), asked.sessions
            )
            assert neighbours.stdout is not None
            neighbours.stdout.readline()
            began_s = time.monotonic() + WARM_UP_S + BEFORE_S
            ended_s = began_s + asked.seconds
            firsts = range(0, case.clients, CLIENTS_PER_PROCESS)
            parts = [min(CLIENTS_PER_PROCESS, case.clients - first) for first in firsts]
            clients = [
                _start(others, "clients", address, str(part), str(ended_s + AFTER_S)) for part in parts
            ]
            total_s = case.busy_s if not case.idle_s else asked.seconds
            neighbours.stdin.write(f"{began_s} {total_s} {case.busy_s} {case.idle_s}\n")  # type: ignore[union-attr]
            neighbours.stdin.flush()  # type: ignore[union-attr]
            samples, moved_s = _observe(process.pid, case, began_s, ended_s + AFTER_S, allowed)
            calls = [
                Call(**one)
                for client in clients
                for one in json.loads(client.communicate(timeout=3 * CLIENT_TIMEOUT_S)[0])
            ]
            neighbours.communicate(timeout=MAX_BUSY_S + CLIENT_TIMEOUT_S)
        looks = folder / "looks"
        seen = [json.loads(one) for one in looks.read_text().splitlines()] if looks.exists() else []
        log = (folder / "log").read_text().splitlines()
    return Outcome(case, began_s, ended_s, moved_s, calls, samples, seen, log)


def _observe(
    pid: int, case: Case, began_s: float, end_s: float, allowed: set[int]
) -> tuple[list[Sample], float]:
    samples, moved_s = [], 0.0
    while time.monotonic() < end_s:
        samples.append(read_sample(pid))
        if case.move_to and not moved_s and samples[-1].at_s >= began_s + MOVE_AFTER_S:
            target = {idlest(samples[-1 - SAMPLES_IN_SPAN], samples[-1])}
            move(pid, allowed if case.move_to == "all" else target)
            moved_s = time.monotonic()
        time.sleep(max(0.0, SAMPLE_INTERVAL_S - (time.monotonic() - samples[-1].at_s)))
    return samples, moved_s


# ---- tables


def _line(outcome: Outcome, what: str, begin_s: float, end_s: float, processor: int) -> str:
    seconds = outcome.calls_within(begin_s, end_s) or [0.0]
    spans = outcome.spans(begin_s, end_s, processor)
    head = (
        f"{outcome.case.name:10} {outcome.case.clients:3} {outcome.case.neighbours:4} {what:7} "
        f"{len(seconds) / (end_s - begin_s):7.1f} {1000 * statistics.median(seconds):7.1f} "
        f"{1000 * seconds[len(seconds) * 99 // 100]:7.1f} {1000 * seconds[-1]:7.1f} |"
    )
    if not spans:
        return head
    for name in ("run", "max_wait", "sum_wait", "foreign", "taken"):
        values = sorted(getattr(one, name) for one in spans)
        head += f" {values[0]:5.2f} {values[len(values) // 2]:5.2f} {values[-1]:5.2f} |"
    for name in ("involuntary", "voluntary"):
        head += f" {statistics.median(getattr(one, name) for one in spans):5.0f}"
    return head + f" | {sum(one.is_starved for one in spans)}/{len(spans)}"


HEADER = (
    "case       cl neighb when   calls/s  median     p99 longest | run min med max | max_wait | sum_wait | "
    "foreign | taken | involuntary, voluntary a second | spans starved as of two looks"
)


def _middle_and_longest(seconds: list[float]) -> str:
    longest = max(seconds, default=0.0)
    middle = statistics.median(seconds or [0.0])
    return f"median {1000 * middle:.2f} ms, longest {1000 * longest:.2f} ms of {len(seconds)}"


def report(outcome: Outcome, processor: int) -> None:
    """Print the lines of a case."""
    begin_s, end_s = outcome.began_s, outcome.ended_s
    print(_line(outcome, "before", begin_s - BEFORE_S, begin_s, processor))
    if outcome.moved_s:
        print(_line(outcome, "beside", begin_s, outcome.moved_s, processor))
        print(_line(outcome, "moved", outcome.moved_s, end_s, processor))
    else:
        print(_line(outcome, "beside", begin_s, end_s, processor))
    print(_line(outcome, "after", end_s, end_s + AFTER_S, processor))
    for name in LOOK_PARTS if outcome.looks else ():
        beside = [one[name] for one in outcome.looks if begin_s <= one["at_s"] < end_s]
        others = [one[name] for one in outcome.looks if not begin_s <= one["at_s"] < end_s]
        print(f"  look, {name}: {_middle_and_longest(others)}, beside {_middle_and_longest(beside)}")
    statuses = Counter(call.status for call in outcome.calls)
    if set(statuses) != {SERVED}:
        print("  statuses:", dict(statuses))
    for before, after in itertools.pairwise(outcome.samples):
        if before.processors != after.processors:
            print(f"  {after.at_s - begin_s:.1f} s after the start of neighbours: on {after.processors}")
    for line in outcome.log:
        print("  log:", line)


def cases(asked: argparse.Namespace) -> list[Case]:
    """The cases that were asked for."""
    chosen = []
    for clients in asked.clients:
        if "own" in asked.cases:
            chosen.append(Case("own", clients, 0, 0.0))
        for neighbours in asked.neighbours:
            every = {
                "steady": Case("steady", clients, neighbours, asked.seconds),
                "burst": Case("burst", clients, neighbours, BURST_S),
                "alternate": Case("alternate", clients, neighbours, ALTERNATION_S, ALTERNATION_S),
                "to-all": Case("to-all", clients, neighbours, asked.seconds, move_to="all"),
                "to-idlest": Case("to-idlest", clients, neighbours, asked.seconds, move_to="idlest"),
            }
            chosen += [every[name] for name in asked.cases if name in every]
    return chosen


def main() -> int:
    """Run the cases one after the other."""
    if sys.argv[1:2] == ["--program"]:
        return run_program(sys.argv[2], sys.argv[3:])
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--processor", type=int, default=max(os.sched_getaffinity(0)))
    parser.add_argument("--cases", nargs="+", default=["own", "steady", "burst", "alternate"])
    parser.add_argument("--clients", nargs="+", type=int, default=[1, 12])
    parser.add_argument("--neighbours", nargs="+", type=int, default=[1, 8, 40, 150])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--work", type=float, default=0.01, help="seconds of a call at its worker")
    parser.add_argument(
        "--sessions", choices=("one", "gateway", "each"), default="one",
        help="whether the gateway has a session of its own, as below a daemon, and each neighbour too: "
        "the scheduler may share the processor between sessions first",
    )  # fmt: skip
    parser.add_argument("--look", action="store_true", help="time a look from inside the gateway")
    parser.add_argument("--keep", help="file for all samples, a JSON line for each case")
    asked = parser.parse_args()
    allowed = os.sched_getaffinity(0)
    os.sched_setaffinity(0, allowed - {asked.processor})
    profile = {"work_s": asked.work, "load_s": 0.05, "cores": 64, "queue": 256}
    host = StubWorkersProcess({"count": 4, "log": os.devnull, "seed": 1, "profiles": [profile]})
    os.sched_setaffinity(0, allowed)
    print(HEADER, flush=True)
    for case in cases(asked):
        outcome = play(case, asked, host.workers)
        os.sched_setaffinity(0, allowed)
        report(outcome, asked.processor)
        sys.stdout.flush()
        if asked.keep:
            with open(asked.keep, "a") as kept:
                kept.write(json.dumps(asdict(outcome)) + "\n")
    host.end()
    return 0


def run_program(name: str, arguments: Sequence[str]) -> int:
    """One of the programs that this file is too."""
    if name == "neighbours":
        run_neighbours(int(arguments[0]), int(arguments[1]), arguments[2])
    elif name == "clients":
        run_clients(arguments[0], int(arguments[1]), float(arguments[2]))
    else:
        serve_with_look(arguments[0], list(arguments[1:]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
