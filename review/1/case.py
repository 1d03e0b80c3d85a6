"""Keyed calls while connections to hosts are reset and some come up late: one effect a call?"""

from __future__ import annotations

import pathlib
import random
import sys
import threading
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, ClientConnection, Directory, Gateway, Host, Record, Request, Timers, play

SEED = 59
GATEWAYS, HOSTS, HOSTS_A_RACK = 3, 12, 4
RATE_OF_GATEWAY = 10.0  # calls a second: a quiet hour
KEYED_SHARE = 0.24
WARM_UP_S = 4.0
PLAY_S, ROUND_S = 80.0, 2.8
CALLS_OF_SCRIPT = 6  # at once, so that several hosts load the round's script
WORK_S, LOAD_S = 0.175, 0.6
WINDOW_S, SLACK_S = 2.0, 0.05
LATE_S = 0.3  # a connection to the disturbed host that begins within this time comes up a second later
FUNCTIONS = {"consulta": 12, "orden": 6}
SETTINGS: dict[str, Any] = {
    "Areas": ["edificio-a", "edificio-b", "edificio-c"],
    "Kinds": ["host-grande"],
    "Instances": GATEWAYS,
    "Discovery": "automatic",
    "FamilyInfo": {
        "MemoryMbByKind": [16000.0], "IdleLifeS": 12.0, "SaysWarm": True, "NotesPeersInHand": True,
        "MissMode": "load", "MayLoad": False,
    },
    "LoadInfo": {"Via": "answers", "Fields": ["rif", "busy", "x0", "x1"]},
    "Permissions": {
        "MaxAttempts": 4, "Cancelling": True, "MayDuplicate": False, "RetryAfter": True, "MaxRetryAfterS": 2.0,
        "ConnectTimeoutS": 0.25, "IdleCloseS": 15.0, "StreamsPerConn": 32, "MaxOpen": 20000, "Probing": True,
    },
    "RequestClasses": [
        {"Name": "consulta", "Idempotency": "safe", "DeadlineS": 3.0, "PromiseS": 1.0, "Worth": 1.0},
        {
            "Name": "orden", "Idempotency": "keyed", "DedupScope": "cell", "WindowS": WINDOW_S,
            "DeadlineS": 3.0, "PromiseS": 0.75, "Worth": 2.0,
        },
    ],
    "Rules": {
        "AnswerSlackS": 0.008, "DrainGraceS": 0.25, "ColdShare": 0.15, "ColdS": 15.0, "TipMultiple": 2.5,
        "TipAfterS": 1.0,
    },
}  # fmt: skip


class Rack:
    """What the hosts of each rack remember: a repeat within the window has no second effect there."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[tuple[int, str], float] = {}
        self.effects: dict[str, list[tuple[float, str, int]]] = {}

    def run(self, host: Host, tag: str, class_name: str, now: float) -> None:
        if class_name != "orden":
            return
        with self._lock:
            key = host.cell, tag
            if now - self._seen.get(key, -10.0) < WINDOW_S:
                return
            self._seen[key] = now
            self.effects.setdefault(tag, []).append((now, host.name, host.cell))


def functions(rng: random.Random, class_name: str) -> tuple[list[str], list[float]]:
    names = [f"{rng.getrandbits(64):016x}" for _ in range(FUNCTIONS[class_name])]
    return names, [1 / (rank + 6) for rank in range(len(names))]


class Client:
    """A client of one gateway: calls at random times, over connections with at most 30 calls open."""

    def __init__(self, gateway: Gateway, seed: int, record: Record, sent: list[Request]) -> None:
        self.rng = random.Random(seed)
        self._gateway, self._record, self._sent = gateway, record, sent
        self._lock = threading.Lock()
        self._connections: list[tuple[ClientConnection, list[int]]] = []

    def send(self, class_name: str, function: str) -> Request:
        request = Request(f"{self.rng.getrandbits(64):016x}", class_name, 3.0, self.rng.randbytes(24))
        with self._lock:
            self._connections = [entry for entry in self._connections if not entry[0].is_ended]
            usable = [entry for entry in self._connections if entry[0].open_count < 30]
            if not usable:
                usable = [(ClientConnection(self._gateway, 1, self._record), [0])]
                self._connections += usable
            connection, tags = usable[0]
            tags[0] += 1
            if connection.send(tags[0], request, function, "", 500):
                self._sent.append(request)
        return request

    def run(self, ended: threading.Event, catalog: Any) -> None:
        while not ended.wait(self.rng.expovariate(RATE_OF_GATEWAY)):
            class_name = "orden" if self.rng.random() < KEYED_SHARE else "consulta"
            names, weights = catalog[class_name]
            self.send(class_name, self.rng.choices(names, weights)[0])


def wait_answered(requests: list[Request], timeout_s: float) -> None:
    until_s = time.time() + timeout_s
    while time.time() < until_s and not all(request.ended_s for request in requests):
        time.sleep(0.005)


def play_round(client: Client, hosts: list[Host], record: Record, rng: random.Random) -> None:
    """Let several hosts load a script, then call it while the host that held it last is disturbed.

    That host's resting connections are reset, and new ones come up late. The connection of the next host that
    gets the call is reset once it has run it.
    """
    function = f"{rng.getrandbits(64):016x}"
    calls = [client.send("orden", function) for _ in range(CALLS_OF_SCRIPT)]
    wait_answered(calls, 3.5)
    time.sleep(0.1)
    last = max(calls, key=lambda request: request.ended_s if request.word == "OK" else 0.0)
    holder = next(
        (host for host in hosts for arrival in reversed(host.arrivals) if arrival["tag"] == last.id), None
    )
    if holder is None:
        return
    if TROUBLE:
        record.add(time.time(), "connections-late", host=holder.name, seconds=LATE_S)
        holder.reset_connections(only_idle=True)
        threading.Thread(target=holder.delay_new_connections, args=(LATE_S,)).start()
        time.sleep(0.03)
    moved: list[Host] = []

    def reset_first_other(host: Host, tag: str) -> None:
        if TROUBLE and tag == expected and host is not holder and not moved:
            moved.append(host)
            host.resets_after_run.add(tag)

    for host in hosts:
        host.on_arrival = reset_first_other
    seen = client.rng.getstate()
    expected = f"{client.rng.getrandbits(64):016x}"  # the id that the next call of this client gets
    client.rng.setstate(seen)
    wait_answered([client.send("orden", function)], 3.5)


def judge(hosts: list[Host], sent: list[Request], record: Record, rack: Rack) -> list[str]:
    """Return one text for each keyed call that went to another rack, or too late, after it may have run."""
    arrivals: dict[str, list[tuple[float, Host]]] = {}
    for host in hosts:
        for arrival in host.arrivals:
            if arrival.get("class") == "orden":
                arrivals.setdefault(arrival["tag"], []).append((arrival["t"], host))
    breaches = []
    for tag, attempts in arrivals.items():
        attempts.sort(key=lambda attempt: attempt[0])
        first_s, first = attempts[0]  # no host of this case answers that it did not run a call
        for at_s, host in attempts[1:]:
            if host.cell != first.cell:
                breaches.append(
                    f"orden {tag}: may have run at {first.name} (rack {first.cell}), sent again "
                    f"{at_s - first_s:.3f} s later to {host.name} (rack {host.cell})"
                )
            elif at_s > first_s + WINDOW_S + SLACK_S:
                breaches.append(f"orden {tag}: sent again {at_s - first_s:.3f} s after it may have run")
    twice = {tag: made for tag, made in rack.effects.items() if len(made) > 1}
    for tag, made in twice.items():
        record.add(made[-1][0], "EFFECT-TWICE", id=tag, at=[(name, cell) for _, name, cell in made])
    words: dict[str, int] = {}
    for request in sent:
        words[request.word or "none"] = words.get(request.word or "none", 0) + 1
    more = sum(len(attempts) > 1 for attempts in arrivals.values())
    summary = {"sent": len(sent), "answers": words, "keyed": len(arrivals), "keyed-twice-at-hosts": more,
               "effects-twice": len(twice), "breaches": len(breaches)}  # fmt: skip
    record.add(time.time(), "summary", **summary)
    print(summary)
    return breaches


def run(folder: pathlib.Path, record: Record) -> list[str]:
    rng = random.Random(SEED)
    timers, rack = Timers(), Rack()
    areas = SETTINGS["Areas"]
    hosts = [
        Host(f"s-{number:08x}", timers, record, random.Random(SEED + number), WORK_S, LOAD_S,
             areas[number % len(areas)], "host-grande", number // HOSTS_A_RACK)
        for number in range(HOSTS)
    ]  # fmt: skip
    for host in hosts:
        host.on_run = rack.run
        host.report = lambda busy: f"inflight:{busy};util:{min(1.0, busy / 16):.2f};x0:0.2;x1:0"
    directory = Directory(folder, hosts)
    gateways = [Gateway(number, folder, SETTINGS, directory, record) for number in range(GATEWAYS)]
    catalog = {class_name: functions(rng, class_name) for class_name in FUNCTIONS}
    sent: list[Request] = []
    ended = threading.Event()
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            gateway.wait_ready()
        usual = [Client(gateway, SEED + number, record, sent) for number, gateway in enumerate(gateways)]
        threads = [threading.Thread(target=client.run, args=(ended, catalog)) for client in usual]
        for thread in threads:
            thread.start()
        time.sleep(WARM_UP_S)
        clients = [Client(gateway, SEED + 10 + number, record, sent) for number, gateway in enumerate(gateways)]
        until_s, rounds = time.time() + PLAY_S, 0
        while time.time() < until_s:
            next_s = time.time() + ROUND_S
            play_round(clients[rounds % GATEWAYS], hosts, record, rng)
            time.sleep(max(0.0, next_s - time.time()))
            rounds += 1
        record.add(time.time(), "rounds", played=rounds)
        ended.set()
        for thread in threads:
            thread.join()
        time.sleep(3.6)
        return judge(hosts, sent, record, rack)
    finally:
        ended.set()
        for gateway in gateways:
            gateway.end()
        directory.end()


play(__file__, run)
