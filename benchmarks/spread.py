"""Measure how evenly many gateways load their hosts, compared with simple policies.

    python benchmarks/spread.py                                     # 200 gateways, 36 hosts, no faults
    python benchmarks/spread.py --policy ours two truth --day calm --seeds 1 2 3 --chart spread.png
    python benchmarks/spread.py --gateways 40 --hosts 12 --rate 200 --seconds 10

Each gateway is a platform gateway process. Several processes run the hosts and several run the clients. The
load is observed at the hosts' sockets. Prints one JSON line for each run, with the commit and the seed, and a
readable line on standard error. If the machine did not sustain the rate (clients were late, or clients or
hosts read late), the line says that the figures are not valid.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from typing import Any

import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from baselines import POLICIES, SLOT_S, HostLoadFile

from saffronstack.audit.traffic import ClientRequest
from saffronstack.harness.fleet.clients import GatewayClients
from saffronstack.harness.fleet.cluster import ReadLag
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.harness.fleet.load_spread import (
    Arrival,
    Sample,
    evenness,
    expected_max_load,
    herds,
    idle_beside_queue,
    quantile,
)  # fmt: skip
from saffronstack.harness.fleet.plan import FleetPlan
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.model import Faults, Profile, Store
from saffronstack.standin.platform import HostEntry, StubDnsServer, StubHost

ROOT = pathlib.Path(__file__).parent.parent
LATENCY_OBJECTIVES_S = {"look": 0.5, "sell": 0.75}
WINDOW_S = 5.0
ROUND_TRIP_S = 0.025
SLOTS_PER_SAMPLE = 10  # time slots of the host load file
MAX_CLIENT_DELAY_S, MAX_READ_LAG_S = 0.25, 0.1  # limits for a valid run
WARM_UP_S = 5.0  # until the functions are loaded
START_TIMEOUT_S = 180.0
SCENARIOS = ("calm", "herd", "sick", "cold")


def create_plan(options: dict[str, Any]) -> FleetPlan:
    """Return the plan that all processes of a run share."""
    return FleetPlan(
        gateways=options["gateways"], hosts=options["hosts"], rate=options["rate"],
        functions=options["functions"], work_s=options["work_s"],
        cores=options["cores"], seed=options["seed"], lanes=1,
    )  # fmt: skip


# ---- host process


def hosts_main(options: dict[str, Any]) -> None:
    """Run some hosts until standard input closes, then write their events to a file."""
    plan = create_plan(options)
    lines: list[dict[str, Any]] = []
    profile = Profile(
        memory_mb=plan.host_mb, cores=plan.cores, work_s=plan.work_s, load_s=plan.load_s,
        keep_alive_s=plan.keep_alive_s, queue=64,
    )  # fmt: skip
    catalog = (plan.memory_mb, plan.lanes)
    names = [f"s-{index:04d}" for index in options["places"]]
    hosts = [StubHost(name, profile, Store(64), lambda function: catalog, lines.append) for name in names]
    print(json.dumps([host.address for host in hosts]), flush=True)
    host_loads = HostLoadFile(pathlib.Path(options["truth"]), options["names"])
    lag, ended = ReadLag(), threading.Event()

    def sample() -> None:
        slot = HostLoadFile.current_slot()
        while not ended.is_set():
            slot += 1
            time.sleep(max(0.0, slot * SLOT_S - time.monotonic()))
            for index, host in zip(options["places"], hosts, strict=True):
                in_flight, queued, busy, _ = host.model.load_report()
                host_loads.write(index, in_flight / plan.cores, slot)
                if slot % SLOTS_PER_SAMPLE == 0:
                    working = round(busy * plan.cores)
                    lines.append(
                        {"what": "sample", "t": slot * SLOT_S, "worker": host.name, "waiting": queued,
                         "working": working}
                    )  # fmt: skip

    sampler = start_thread("sampler", sample)
    for command_line in sys.stdin:
        command = json.loads(command_line)
        for host in hosts:
            if host.name in command["hosts"]:
                if command["do"] == "sick":
                    host.faults = Faults(slow=8.0) if host.name == command["hosts"][0] else Faults(errors=0.9)
                elif command["do"] == "cold":
                    host.stop()
                    host.start()
    ended.set()
    sampler.join()
    lag.close()
    pathlib.Path(options["out"]).write_bytes(msgspec.json.encode({"lines": lines, "lag_s": lag.max_s}))
    os._exit(0)


# ---- client process


class Address:
    """The attributes of a gateway that its clients use."""

    def __init__(self, number: int, address: tuple[str, int], plan: FleetPlan) -> None:
        self.number, self.address, self.plan = number, address, plan


def clients_main(options: dict[str, Any]) -> None:
    """Run the clients of some gateways: they send calls at random times without waiting for earlier ones."""
    plan, requests, lag = create_plan(options), list[ClientRequest](), ReadLag()
    client_groups = [
        GatewayClients(Address(number, (host, port), plan), requests)  # type: ignore[arg-type]
        for number, host, port in options["gateways_at"]
    ]
    rng = random.Random(plan.seed * 1000 + options["part"])
    function_weights = [1.0 / (index + 2) for index in range(plan.functions)]
    print("ready", flush=True)
    began_s = float(sys.stdin.readline())
    due_s, request, rate = 0.0, 0, plan.rate * options["share"]
    while due_s < options["seconds"]:
        due_s += rng.expovariate(rate)
        delay_s = began_s + due_s - time.monotonic()
        if delay_s > 0:
            time.sleep(delay_s)
        request += 1
        index = rng.choices(range(plan.functions), function_weights)[0]
        class_name = "sell" if index % 5 == 0 else "look"
        client_group = rng.choices(client_groups, options["shares"])[0]
        number = plan.seed << 40 | options["part"] << 32 | request
        client_group.call(number, class_name, f"{0x5AFF0000 + index:016x}", 3.0)
    late_s = time.monotonic() - began_s - due_s
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s and any(not request.outcome for request in requests):
        time.sleep(0.02)
    records = [
        (request.sent_s, request.outcome, request.ended_s - request.sent_s, request.function)
        for request in requests
    ]
    lag.close()
    result = {"tries": records, "lag_s": lag.max_s, "late_s": late_s}
    pathlib.Path(options["out"]).write_bytes(msgspec.json.encode(result))
    os._exit(0)


# ---- the run


class ChildProcess:
    """A host or client process of the benchmark."""

    def __init__(self, role: str, options: dict[str, Any]) -> None:
        self.out = pathlib.Path(options["out"])
        self._process = subprocess.Popen(
            [sys.executable, __file__, "--part", role, json.dumps(options)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip

    def read_line(self) -> str:
        """Return the next line that the process printed."""
        assert self._process.stdout is not None
        return self._process.stdout.readline()

    def send_line(self, line: str) -> None:
        """Write a line to the standard input of the process."""
        assert self._process.stdin is not None
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()

    def result(self, timeout_s: float) -> dict[str, Any]:
        """Close standard input, wait for the process to exit and return the result that it wrote."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(timeout_s)
        decoded: dict[str, Any] = msgspec.json.decode(self.out.read_bytes())
        return decoded

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()


class PolicyGateway(Gateway):
    """A gateway with the product's routing (policy `ours`) or a baseline policy."""

    policy = "ours"
    load_path = ""

    def start(self) -> None:
        """Start the gateway process."""
        if self.policy == "ours":
            super().start()
            return
        self.start_count += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "benchmarks" / "baselines.py")], stderr=log,
                env={
                    **os.environ, "LB_CONFIG": str(self.path), "LB_NAME": f"n{self.number}",
                    "LB_POLICY": self.policy, "LB_TRUTH": self.load_path,
                },
            )  # fmt: skip


def run(options: dict[str, Any], folder: pathlib.Path) -> dict[str, Any]:
    """Run one scenario; return its figures and the data for a chart."""
    plan = create_plan(options)
    names = [f"s-{index:04d}" for index in range(plan.hosts)]
    load_path = folder / "truth"
    HostLoadFile(load_path, names, create=True)
    pathlib.Path(f"{load_path}.json").write_text(json.dumps(names))
    parts: list[ChildProcess] = []
    gateways: list[PolicyGateway] = []
    directory: StubDnsServer | None = None
    try:
        hosts = [
            ChildProcess("hosts", options | {
                "places": list(range(part, plan.hosts, options["host_processes"])), "names": names,
                "truth": str(load_path), "out": str(folder / f"hosts-{part}"),
            })
            for part in range(options["host_processes"])
        ]  # fmt: skip
        parts += hosts
        entries: list[HostEntry] = []
        for part, process in enumerate(hosts):
            places = range(part, plan.hosts, options["host_processes"])
            zones = ("east", "west")
            entries += [
                HostEntry(names[index], address, zone=zones[index % 2])
                for index, address in zip(places, json.loads(process.read_line()), strict=True)
            ]
        directory = StubDnsServer(*entries)
        gateways = [PolicyGateway(number, folder, plan) for number in range(plan.gateways)]
        start(gateways, options, directory, str(load_path))
        rng = random.Random(plan.seed)
        shares = [rng.random() ** (plan.uneven - 1) + 0.1 for _ in gateways]
        clients = []
        for part in range(options["client_processes"]):
            client_gateways = gateways[part :: options["client_processes"]]
            gateway_shares = [shares[gateway.number] for gateway in client_gateways]
            clients.append(ChildProcess("clients", options | {
                "part": part,
                "gateways_at": [(gateway.number, *gateway.address) for gateway in client_gateways],
                "shares": gateway_shares,
                "share": sum(gateway_shares) / sum(shares), "out": str(folder / f"clients-{part}"),
            }))  # fmt: skip
        parts += clients
        for process in clients:
            process.read_line()
        began_s = time.monotonic() + 0.2
        for process in clients:
            process.send_line(str(began_s))
        inject_faults(options, began_s, gateways, hosts, names, directory, str(load_path))
        client_results = [process.result(options["seconds"] + 60.0) for process in clients]
        host_results = [process.result(30.0) for process in hosts]
        return summarize(options, plan, began_s, client_results, host_results, directory, gateways)
    finally:
        for process in parts:
            process.kill()
        for gateway in gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        if directory is not None:
            directory.close()


def start(
    to_start: list[PolicyGateway], options: dict[str, Any], directory: StubDnsServer, load_path: str
) -> None:
    """Start gateways and wait until they are ready."""
    for gateway in to_start:
        gateway.policy, gateway.load_path = options["policy"], load_path
        gateway.write(directory.address, directory.entries, directory.serial)
        gateway.start()
    end_s = time.monotonic() + START_TIMEOUT_S
    for gateway in to_start:
        while not gateway.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"gateway {gateway.number} did not start in time")
            time.sleep(0.05)


def inject_faults(
    options: dict[str, Any], began_s: float, gateways: list[PolicyGateway], hosts: list[ChildProcess],
    names: list[str], directory: StubDnsServer, load_path: str,
) -> None:  # fmt: skip
    """Inject the faults of the scenario after 40 % of its duration."""
    if options["day"] == "calm":
        return
    time.sleep(max(0.0, began_s + 0.4 * options["seconds"] - time.monotonic()))
    if options["day"] == "herd":
        killed = gateways[: len(gateways) * 7 // 10]
        for gateway in killed:
            if gateway.process is not None:
                gateway.process.kill()
        for gateway in killed:
            if gateway.process is not None:
                gateway.process.wait()
        start(killed, options, directory, load_path)
        return
    affected = names[: 2 if options["day"] == "sick" else max(1, len(names) // 4)]
    for process in hosts:
        process.send_line(json.dumps({"do": options["day"], "hosts": affected}))


def summarize(
    options: dict[str, Any], plan: FleetPlan, began_s: float, client_results: list[dict[str, Any]],
    host_results: list[dict[str, Any]], directory: StubDnsServer, gateways: list[PolicyGateway],
) -> dict[str, Any]:  # fmt: skip
    """Return the figures of a run as one row."""
    until_s = began_s + options["seconds"]
    since_s = began_s + WARM_UP_S
    lines = [line for item in host_results for line in item["lines"]]
    arrivals = [
        Arrival(event["t"] - event["late"], event["worker"], plan.work_s)
        for event in lines
        if event["what"] == "arrive"
    ]
    shares = {f"s-{index:04d}": 1 / plan.hosts for index in range(plan.hosts)}
    windows = evenness(arrivals, shares, since_s, until_s, WINDOW_S)
    samples = [
        Sample(event["t"], event["worker"], event["waiting"], event["working"], plan.cores)
        for event in lines if event["what"] == "sample" and since_s <= event["t"] <= until_s
    ]  # fmt: skip
    idle = idle_beside_queue(samples)
    measured_arrivals = [arrival for arrival in arrivals if since_s <= arrival.t < until_s]
    responses = [event for event in lines if event["what"] == "answer" and since_s <= event["t"] < until_s]
    cache_statuses = Counter(str(event.get("found", "none")) for event in responses)
    requests = [item for part in client_results for item in part["tries"]]
    measured_requests = [item for item in requests if item[0] >= since_s]
    outcome_counts = Counter(item[1] for item in measured_requests)
    times = [item[2] for item in measured_requests if item[1] == "served"]
    objectives_s = {
        f"{0x5AFF0000 + index:016x}": LATENCY_OBJECTIVES_S["sell" if index % 5 == 0 else "look"]
        for index in range(plan.functions)
    }  # fmt: skip
    within_objective_count = sum(
        item[1] == "served" and item[2] <= objectives_s[item[3]] for item in measured_requests
    )
    connects = sum(event["what"] == "connect" and since_s <= event["t"] < until_s for event in lines)
    span_s = until_s - since_s
    dns_query_count = sum(since_s <= at < until_s for at, _ in directory.queries)
    lag_s = max(item["lag_s"] for item in [*client_results, *host_results])
    kept_rate = (
        max(item["late_s"] for item in client_results) <= MAX_CLIENT_DELAY_S and lag_s <= MAX_READ_LAG_S
    )
    worker_counts = Counter[str]()
    for function, _ in {(event["function"], event["worker"]) for event in lines if event["what"] == "arrive"}:
        worker_counts[function] += 1
    calls_per_window = max(1, round(len(measured_arrivals) / max(1, len(windows))))
    return {
        "policy": options["policy"], "day": options["day"], "seed": plan.seed, "gateways": plan.gateways,
        "hosts": plan.hosts, "rate": plan.rate, "calls": len(requests), "kept_the_rate": kept_rate,
        "max_over_mean": quantile([item.max_over_mean for item in windows], 0.5),
        "max_over_mean_worst": max((item.max_over_mean for item in windows), default=0.0),
        "p99_over_mean": quantile([item.p99_over_mean for item in windows], 0.5),
        "deviation": quantile([item.deviation for item in windows], 0.5),
        "by_chance_random": expected_max_load(calls_per_window, plan.hosts, 1, 20),
        "by_chance_two": expected_max_load(calls_per_window, plan.hosts, 2, 20),
        "idle_beside_queue": idle.share, "idle_longest_s": idle.longest_s,
        "herds_a_second": len(herds(measured_arrivals, shares, ROUND_TRIP_S)) / span_s,
        "warm": cache_statuses["warm"] / max(1, len(responses)),
        "loads_a_call": cache_statuses["began-load"] / max(1, len(responses)),
        "hosts_a_function": sum(worker_counts.values()) / max(1, len(worker_counts)),
        "links_a_second": connects / span_s, "asks_a_second": dns_query_count / span_s,
        "served": outcome_counts["served"] / max(1, len(measured_requests)),
        "in_aim": within_objective_count / max(1, len(measured_requests)),
        "p50_ms": 1000 * quantile(times, 0.5), "p99_ms": 1000 * quantile(times, 0.99), "lag_s": lag_s,
        "gateway_mb": max(gateway.memory_mb() for gateway in gateways[:8]),
        "descriptors": max(gateway.descriptor_count() for gateway in gateways[:8]),
        "by_host": [
            [round(item.since_s - began_s, 1), item.calls, round(item.max_over_mean, 3)] for item in windows
        ],
    }  # fmt: skip


def format_row(row: dict[str, Any]) -> str:
    """Return a row as readable text."""
    note = "" if row["kept_the_rate"] else "  RATE NOT SUSTAINED: figures are not valid"
    return (
        f"{row['policy']:>7} {row['day']} seed {row['seed']}: busiest host {row['max_over_mean']:.2f} of its "
        f"share (worst {row['max_over_mean_worst']:.2f}, deviation {row['deviation']:.2f}), "
        f"hosts idle while others queue {row['idle_beside_queue']:.3f} "
        f"(longest {row['idle_longest_s']:.1f} s), "
        f"herds {row['herds_a_second']:.2f}/s, warm {row['warm']:.3f}, "
        f"hosts per function {row['hosts_a_function']:.1f}, connections {row['links_a_second']:.1f}/s, "
        f"DNS queries {row['asks_a_second']:.0f}/s, within objective {row['in_aim']:.3f}, "
        f"p50 {row['p50_ms']:.0f} ms, "
        f"p99 {row['p99_ms']:.0f} ms, read lag {row['lag_s']:.2f} s{note}"
    )


def write_chart(rows: list[dict[str, Any]], path: str) -> None:
    """Draw the load of the busiest host over time, one line for each run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    for row in rows:
        label = f"{row['policy']}, seed {row['seed']}"
        axes.plot([w[0] for w in row["by_host"]], [w[2] for w in row["by_host"]], marker="o", label=label)
    axes.axhline(1.25, color="grey", linestyle=":")
    axes.set(
        xlabel="seconds since the start", ylabel=f"busiest host, multiple of its share over {WINDOW_S:g} s"
    )
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=110, bbox_inches="tight")


def main() -> int:
    """Run all policies and seeds; return 0 if every run sustained its rate, else 1."""
    if sys.argv[1:2] == ["--part"]:
        {"hosts": hosts_main, "clients": clients_main}[sys.argv[2]](json.loads(sys.argv[3]))
        return 0
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--policy", nargs="*", default=["ours"], choices=["ours", *POLICIES])
    parser.add_argument("--day", default="calm", choices=SCENARIOS)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--hosts", type=int, default=36)
    parser.add_argument("--rate", type=float, default=500.0, help="calls a second over the fleet")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--functions", type=int, default=60)
    parser.add_argument("--work-s", type=float, default=0.05)
    parser.add_argument("--cores", type=int, default=2)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    parser.add_argument("--host-processes", type=int, default=4)
    parser.add_argument("--client-processes", type=int, default=2)
    parser.add_argument("--chart", default="")
    options = vars(parser.parse_args())
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=False, capture_output=True, text=True
    )
    rows, code = [], 0
    for seed in options["seeds"]:
        for policy in options["policy"]:
            with tempfile.TemporaryDirectory(prefix="saffronstack-spread-") as folder:
                row = run(options | {"policy": policy, "seed": seed}, pathlib.Path(folder))
            rows.append(row | {"commit": commit.stdout.strip()})
            print(json.dumps(rows[-1]), flush=True)
            print(format_row(row), file=sys.stderr, flush=True)
            code = code or int(not row["kept_the_rate"])
    if options["chart"]:
        write_chart(rows, options["chart"])
    return code


if __name__ == "__main__":
    sys.exit(main())
