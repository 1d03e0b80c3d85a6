"""How evenly many gateways load their hosts, seen from the hosts' sockets, beside plain policies.

    python benchmarks/spread.py                                     # 200 gateways, 36 hosts, a calm day
    python benchmarks/spread.py --policy ours two truth --day calm --seeds 1 2 3 --chart spread.png
    python benchmarks/spread.py --gateways 40 --hosts 12 --rate 200 --seconds 10

Gateways are processes of the platform's front; hosts and clients are processes of their own, of several each.
One JSON line a run with the commit and the seed, a line for a person on standard error. Where the machine did
not bear the rate (clients behind, clients or hosts that read late), the line says so: it is no measurement.
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
from baselines import POLICIES, SLOT_S, Truth

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
AIM_S = {"look": 0.5, "sell": 0.75}
SPAN_S = 5.0
ROUND_TRIP_S = 0.025
SAMPLE_EACH = 10  # moments of the truth
BEHIND_MOST_S, LAG_MOST_S = 0.25, 0.1  # of clients at the end, and of threads that read
WARM_UP_S = 5.0  # until copies stand
START_MOST_S = 180.0
DAYS = ("calm", "herd", "sick", "cold")


def plan_of(asked: dict[str, Any]) -> FleetPlan:
    """What all processes of a run agree on."""
    return FleetPlan(
        gateways=asked["gateways"], hosts=asked["hosts"], rate=asked["rate"], functions=asked["functions"],
        work_s=asked["work_s"], cores=asked["cores"], seed=asked["seed"], lanes=1,
    )  # fmt: skip


# ---- a process of hosts


def hosts_main(asked: dict[str, Any]) -> None:
    """Be some hosts until standard input ends; what they saw is left in a file."""
    plan = plan_of(asked)
    lines: list[dict[str, Any]] = []
    profile = Profile(
        memory_mb=plan.host_mb, cores=plan.cores, work_s=plan.work_s, load_s=plan.load_s,
        keep_alive_s=plan.keep_alive_s, queue=64,
    )  # fmt: skip
    catalog = (plan.memory_mb, plan.lanes)
    names = [f"s-{place:04d}" for place in asked["places"]]
    hosts = [StubHost(name, profile, Store(64), lambda function: catalog, lines.append) for name in names]
    print(json.dumps([host.address for host in hosts]), flush=True)
    truth = Truth(pathlib.Path(asked["truth"]), asked["names"])
    lag, ended = ReadLag(), threading.Event()

    def sample() -> None:
        moment = Truth.moment()
        while not ended.is_set():
            moment += 1
            time.sleep(max(0.0, moment * SLOT_S - time.monotonic()))
            for place, host in zip(asked["places"], hosts, strict=True):
                in_hand, waiting, busy, _ = host.model.load_report()
                truth.write(place, in_hand / plan.cores, moment)
                if moment % SAMPLE_EACH == 0:
                    working = round(busy * plan.cores)
                    lines.append(
                        {"what": "sample", "t": moment * SLOT_S, "worker": host.name, "waiting": waiting,
                         "working": working}
                    )  # fmt: skip

    sampler = start_thread("sampler", sample)
    for order in sys.stdin:
        told = json.loads(order)
        for host in hosts:
            if host.name in told["hosts"]:
                if told["do"] == "sick":
                    host.faults = Faults(slow=8.0) if host.name == told["hosts"][0] else Faults(errors=0.9)
                elif told["do"] == "cold":
                    host.stop()
                    host.start()
    ended.set()
    sampler.join()
    lag.close()
    pathlib.Path(asked["out"]).write_bytes(msgspec.json.encode({"lines": lines, "lag_s": lag.max_s}))
    os._exit(0)


# ---- a process of clients


class Address:
    """As much of a gateway as its clients need."""

    def __init__(self, number: int, address: tuple[str, int], plan: FleetPlan) -> None:
        self.number, self.address, self.plan = number, address, plan


def clients_main(asked: dict[str, Any]) -> None:
    """Be the clients of some gateways: calls come at random moments, whatever becomes of those before."""
    plan, tries, lag = plan_of(asked), list[ClientRequest](), ReadLag()
    callers = [
        GatewayClients(Address(number, (host, port), plan), tries)  # type: ignore[arg-type]
        for number, host, port in asked["gateways_at"]
    ]
    chance = random.Random(plan.seed * 1000 + asked["part"])
    popular = [1.0 / (place + 2) for place in range(plan.functions)]
    print("ready", flush=True)
    began_s = float(sys.stdin.readline())
    at, request, rate = 0.0, 0, plan.rate * asked["share"]
    while at < asked["seconds"]:
        at += chance.expovariate(rate)
        pause = began_s + at - time.monotonic()
        if pause > 0:
            time.sleep(pause)
        request += 1
        place = chance.choices(range(plan.functions), popular)[0]
        cls = "sell" if place % 5 == 0 else "look"
        caller = chance.choices(callers, asked["shares"])[0]
        number = plan.seed << 40 | asked["part"] << 32 | request
        caller.call(number, cls, f"{0x5AFF0000 + place:016x}", 3.0)
    late_s = time.monotonic() - began_s - at
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s and any(not t.outcome for t in tries):
        time.sleep(0.02)
    found = [(t.sent_s, t.outcome, t.ended_s - t.sent_s, t.function) for t in tries]
    lag.close()
    told = {"tries": found, "lag_s": lag.max_s, "late_s": late_s}
    pathlib.Path(asked["out"]).write_bytes(msgspec.json.encode(told))
    os._exit(0)


# ---- the run


class Part:
    """A process of the rig."""

    def __init__(self, role: str, asked: dict[str, Any]) -> None:
        self.out = pathlib.Path(asked["out"])
        self._process = subprocess.Popen(
            [sys.executable, __file__, "--part", role, json.dumps(asked)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip

    def hear(self) -> str:
        """Its next line."""
        assert self._process.stdout is not None
        return self._process.stdout.readline()

    def tell(self, line: str) -> None:
        """A line to it."""
        assert self._process.stdin is not None
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()

    def result(self, timeout_s: float) -> dict[str, Any]:
        """What it left, once it ended; standard input ends first."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(timeout_s)
        found: dict[str, Any] = msgspec.json.decode(self.out.read_bytes())
        return found

    def kill(self) -> None:
        """End it where it has not."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()


class Chooser(Gateway):
    """A gateway that chooses by a policy: the product's own, or a plain one."""

    policy = "ours"
    truth = ""

    def start(self) -> None:
        """Start it."""
        if self.policy == "ours":
            super().start()
            return
        self.start_count += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "benchmarks" / "baselines.py")], stderr=log,
                env={
                    **os.environ, "LB_CONFIG": str(self.path), "LB_NAME": f"n{self.number}",
                    "LB_POLICY": self.policy, "LB_TRUTH": self.truth,
                },
            )  # fmt: skip


def run(asked: dict[str, Any], folder: pathlib.Path) -> dict[str, Any]:
    """One day; its figures and what is needed for a chart."""
    plan = plan_of(asked)
    names = [f"s-{place:04d}" for place in range(plan.hosts)]
    truth = folder / "truth"
    Truth(truth, names, create=True)
    pathlib.Path(f"{truth}.json").write_text(json.dumps(names))
    parts: list[Part] = []
    gateways: list[Chooser] = []
    directory: StubDnsServer | None = None
    try:
        hosts = [
            Part("hosts", asked | {
                "places": list(range(part, plan.hosts, asked["host_processes"])), "names": names,
                "truth": str(truth), "out": str(folder / f"hosts-{part}"),
            })
            for part in range(asked["host_processes"])
        ]  # fmt: skip
        parts += hosts
        entries: list[HostEntry] = []
        for part, process in enumerate(hosts):
            places = range(part, plan.hosts, asked["host_processes"])
            zones = ("east", "west")
            entries += [
                HostEntry(names[place], address, zone=zones[place % 2])
                for place, address in zip(places, json.loads(process.hear()), strict=True)
            ]
        directory = StubDnsServer(*entries)
        gateways = [Chooser(number, folder, plan) for number in range(plan.gateways)]
        start(gateways, asked, directory, str(truth))
        chance = random.Random(plan.seed)
        shares = [chance.random() ** (plan.uneven - 1) + 0.1 for _ in gateways]
        clients = []
        for part in range(asked["client_processes"]):
            mine = gateways[part :: asked["client_processes"]]
            own = [shares[gateway.number] for gateway in mine]
            clients.append(Part("clients", asked | {
                "part": part, "gateways_at": [(gw.number, *gw.address) for gw in mine], "shares": own,
                "share": sum(own) / sum(shares), "out": str(folder / f"clients-{part}"),
            }))  # fmt: skip
        parts += clients
        for process in clients:
            process.hear()
        began_s = time.monotonic() + 0.2
        for process in clients:
            process.tell(str(began_s))
        trouble(asked, began_s, gateways, hosts, names, directory, str(truth))
        made = [process.result(asked["seconds"] + 60.0) for process in clients]
        seen = [process.result(30.0) for process in hosts]
        return figures(asked, plan, began_s, made, seen, directory, gateways)
    finally:
        for process in parts:
            process.kill()
        for gateway in gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        if directory is not None:
            directory.close()


def start(some: list[Chooser], asked: dict[str, Any], directory: StubDnsServer, truth: str) -> None:
    """Start gateways and wait until they take calls."""
    for gateway in some:
        gateway.policy, gateway.truth = asked["policy"], truth
        gateway.write(directory.address, directory.entries, directory.serial)
        gateway.start()
    end_s = time.monotonic() + START_MOST_S
    for gateway in some:
        while not gateway.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"gateway {gateway.number} did not start in time")
            time.sleep(0.05)


def trouble(
    asked: dict[str, Any], began_s: float, gateways: list[Chooser], hosts: list[Part], names: list[str],
    directory: StubDnsServer, truth: str,
) -> None:  # fmt: skip
    """What goes wrong on the day, at two fifths of it."""
    if asked["day"] == "calm":
        return
    time.sleep(max(0.0, began_s + 0.4 * asked["seconds"] - time.monotonic()))
    if asked["day"] == "herd":
        victims = gateways[: len(gateways) * 7 // 10]
        for gateway in victims:
            if gateway.process is not None:
                gateway.process.kill()
        for gateway in victims:
            if gateway.process is not None:
                gateway.process.wait()
        start(victims, asked, directory, truth)
        return
    few = names[: 2 if asked["day"] == "sick" else max(1, len(names) // 4)]
    for process in hosts:
        process.tell(json.dumps({"do": asked["day"], "hosts": few}))


def figures(
    asked: dict[str, Any], plan: FleetPlan, began_s: float, made: list[dict[str, Any]],
    seen: list[dict[str, Any]], directory: StubDnsServer, gateways: list[Chooser],
) -> dict[str, Any]:  # fmt: skip
    """All of a run in one row."""
    until_s = began_s + asked["seconds"]
    since_s = began_s + WARM_UP_S
    lines = [line for one in seen for line in one["lines"]]
    arrivals = [Arrival(e["t"] - e["late"], e["worker"], plan.work_s) for e in lines if e["what"] == "arrive"]
    shares = {f"s-{place:04d}": 1 / plan.hosts for place in range(plan.hosts)}
    windows = evenness(arrivals, shares, since_s, until_s, SPAN_S)
    samples = [
        Sample(e["t"], e["worker"], e["waiting"], e["working"], plan.cores)
        for e in lines if e["what"] == "sample" and since_s <= e["t"] <= until_s
    ]  # fmt: skip
    idle = idle_beside_queue(samples)
    inside = [arrival for arrival in arrivals if since_s <= arrival.t < until_s]
    answers = [e for e in lines if e["what"] == "answer" and since_s <= e["t"] < until_s]
    found = Counter(str(e.get("found", "none")) for e in answers)
    tries = [one for part in made for one in part["tries"]]
    judged = [one for one in tries if one[0] >= since_s]
    ends = Counter(one[1] for one in judged)
    times = [one[2] for one in judged if one[1] == "served"]
    aims = {f"{0x5AFF0000 + place:016x}": AIM_S["sell" if place % 5 == 0 else "look"] for place in
            range(plan.functions)}  # fmt: skip
    in_aim = sum(one[1] == "served" and one[2] <= aims[one[3]] for one in judged)
    connects = sum(e["what"] == "connect" and since_s <= e["t"] < until_s for e in lines)
    span_s = until_s - since_s
    asks = sum(since_s <= at < until_s for at, _ in directory.queries)
    lag_s = max(one["lag_s"] for one in [*made, *seen])
    kept = max(one["late_s"] for one in made) <= BEHIND_MOST_S and lag_s <= LAG_MOST_S
    homes = Counter[str]()
    for function, _ in {(e["function"], e["worker"]) for e in lines if e["what"] == "arrive"}:
        homes[function] += 1
    balls = max(1, round(len(inside) / max(1, len(windows))))
    return {
        "policy": asked["policy"], "day": asked["day"], "seed": plan.seed, "gateways": plan.gateways,
        "hosts": plan.hosts, "rate": plan.rate, "calls": len(tries), "kept_the_rate": kept,
        "max_over_mean": quantile([one.max_over_mean for one in windows], 0.5),
        "max_over_mean_worst": max((one.max_over_mean for one in windows), default=0.0),
        "p99_over_mean": quantile([one.p99_over_mean for one in windows], 0.5),
        "deviation": quantile([one.deviation for one in windows], 0.5),
        "by_chance_random": expected_max_load(balls, plan.hosts, 1, 20),
        "by_chance_two": expected_max_load(balls, plan.hosts, 2, 20),
        "idle_beside_queue": idle.share, "idle_longest_s": idle.longest_s,
        "herds_a_second": len(herds(inside, shares, ROUND_TRIP_S)) / span_s,
        "warm": found["warm"] / max(1, len(answers)),
        "loads_a_call": found["began-load"] / max(1, len(answers)),
        "hosts_a_function": sum(homes.values()) / max(1, len(homes)),
        "links_a_second": connects / span_s, "asks_a_second": asks / span_s,
        "served": ends["served"] / max(1, len(judged)), "in_aim": in_aim / max(1, len(judged)),
        "p50_ms": 1000 * quantile(times, 0.5), "p99_ms": 1000 * quantile(times, 0.99), "lag_s": lag_s,
        "gateway_mb": max(gateway.memory_mb() for gateway in gateways[:8]),
        "descriptors": max(gateway.descriptor_count() for gateway in gateways[:8]),
        "by_host": [
            [round(one.since_s - began_s, 1), one.calls, round(one.max_over_mean, 3)] for one in windows
        ],
    }  # fmt: skip


def line(row: dict[str, Any]) -> str:
    """A row for a person."""
    said = "" if row["kept_the_rate"] else "  NOT KEPT UP: no measurement"
    return (
        f"{row['policy']:>7} {row['day']} seed {row['seed']}: busiest host {row['max_over_mean']:.2f} of its "
        f"share (worst {row['max_over_mean_worst']:.2f}, deviation {row['deviation']:.2f}), "
        f"idle beside a queue {row['idle_beside_queue']:.3f} (longest {row['idle_longest_s']:.1f} s), "
        f"herds {row['herds_a_second']:.2f}/s, warm {row['warm']:.3f}, "
        f"hosts a function {row['hosts_a_function']:.1f}, links {row['links_a_second']:.1f}/s, "
        f"asks {row['asks_a_second']:.0f}/s, in aim {row['in_aim']:.3f}, p50 {row['p50_ms']:.0f} ms, "
        f"p99 {row['p99_ms']:.0f} ms, lag {row['lag_s']:.2f} s{said}"
    )


def chart(rows: list[dict[str, Any]], path: str) -> None:
    """The busiest host over time, a line a run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    for row in rows:
        label = f"{row['policy']}, seed {row['seed']}"
        axes.plot([w[0] for w in row["by_host"]], [w[2] for w in row["by_host"]], marker="o", label=label)
    axes.axhline(1.25, color="grey", linestyle=":")
    axes.set(xlabel="second of the day", ylabel=f"busiest host, multiple of its share over {SPAN_S:g} s")
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=110, bbox_inches="tight")


def main() -> int:
    """0 where every run kept its rate."""
    if sys.argv[1:2] == ["--part"]:
        {"hosts": hosts_main, "clients": clients_main}[sys.argv[2]](json.loads(sys.argv[3]))
        return 0
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--policy", nargs="*", default=["ours"], choices=["ours", *POLICIES])
    parser.add_argument("--day", default="calm", choices=DAYS)
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
    asked = vars(parser.parse_args())
    told = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=False, capture_output=True, text=True
    )
    rows, code = [], 0
    for seed in asked["seeds"]:
        for policy in asked["policy"]:
            with tempfile.TemporaryDirectory(prefix="saffronstack-spread-") as folder:
                row = run(asked | {"policy": policy, "seed": seed}, pathlib.Path(folder))
            rows.append(row | {"commit": told.stdout.strip()})
            print(json.dumps(rows[-1]), flush=True)
            print(line(row), file=sys.stderr, flush=True)
            code = code or int(not row["kept_the_rate"])
    if asked["chart"]:
        chart(rows, asked["chart"])
    return code


if __name__ == "__main__":
    sys.exit(main())
