"""The directory stops for some seconds and goes on; later a host drains. Is the drain kept?"""

from __future__ import annotations

import pathlib
import random
import sys
import threading
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, CannotRun, ClientConnection, Directory, Gateway, Host, Record, Request, Timers, play

SEED = 59
GATEWAYS, HOSTS = 3, 11
RATE_OF_GATEWAY = 40.0  # calls a second
WARM_UP_S, PAUSE_S, SETTLE_S = 4.0, 6.5, 12.0  # the pages name outages of 8 s, and longer ones
DRAINS, DRAIN_EVERY_S = 3, 12.0
GRACE_S, SLACK_S = 2.0, 0.05
# A host that drains ends this long after the list changed: what was sent to it within the grace has ended then.
STOP_S = 3.2
WORK_S, LOAD_S = 0.07, 0.5
FUNCTIONS = 20
CLASSES = [("identify-copy", 0.45, 3.0), ("suggest-price", 0.38, 2.0), ("record-sale", 0.17, 2.5)]
SETTINGS: dict[str, Any] = {
    "Areas": ["north-wing", "east-wing", "south-wing"],
    "Kinds": ["two-core"],
    "Instances": GATEWAYS,
    "Discovery": "automatic",
    "FamilyInfo": {
        "MemoryMbByKind": [8960.0], "IdleLifeS": 8.7, "SaysWarm": True, "NotesPeersInHand": True,
        "MissMode": "load", "MayLoad": True, "OrderTimeoutS": 10.0,
    },
    "LoadInfo": {"Via": "answers", "Fields": ["q", "busy"]},
    "Permissions": {
        "MaxAttempts": 6, "Cancelling": True, "MayDuplicate": False, "RetryAfter": True, "MaxRetryAfterS": 0.5,
        "ConnectTimeoutS": 0.25, "IdleCloseS": 30.0, "StreamsPerConn": 32, "MaxOpen": 20000,
    },
    "RequestClasses": [
        {
            "Name": name, "Idempotency": "unsafe" if name == "record-sale" else "safe", "DeadlineS": deadline_s,
            "PromiseS": 0.5, "Worth": 3.0,
        }
        for name, _, deadline_s in CLASSES
    ],
    "Rules": {
        "AnswerSlackS": 0.008, "DrainGraceS": GRACE_S, "ColdShare": 0.23, "ColdS": 14.0, "TipMultiple": 3.0,
        "TipAfterS": 1.0,
    },
}  # fmt: skip


def send_calls(
    gateway: Gateway, seed: int, ended: threading.Event, record: Record, sent: list[Request], catalog: list[str]
) -> None:
    rng = random.Random(seed)
    connection, tag = ClientConnection(gateway, 1, record), 0
    while not ended.is_set():
        time.sleep(rng.expovariate(RATE_OF_GATEWAY))
        class_name, _, deadline_s = rng.choices(CLASSES, [share for _, share, _ in CLASSES])[0]
        request = Request(f"{rng.getrandbits(64):016x}", class_name, deadline_s, rng.randbytes(24))
        if connection.is_ended or connection.open_count >= 30:
            connection, tag = ClientConnection(gateway, 1, record), 0
        tag += 1
        function = catalog[min(int(rng.expovariate(0.2)), FUNCTIONS - 1)]
        if connection.send(tag, request, function, "", 500):
            sent.append(request)


def judge(
    hosts: list[Host], drains: list[tuple[Host, int, float]], directory: Directory, sent: list[Request],
    record: Record,
) -> list[str]:  # fmt: skip
    """Return one text for each call or order that a host got too long after its drain was told.

    Told counts from the last of the gateways' first answers that held the drain: no gateway is judged earlier
    than it was told itself.
    """
    answers = directory.answers()
    ports = {port for _, _, port in answers}
    gateway_of = {request.id: request.gateway for request in sent}
    breaches = []
    for host, rev, at_s in drains:
        # A gateway may change its socket, so that its port is not known to be its own: the last first answer
        # of the ports that were in use then.
        first = [min(t for t, told, port in answers if port == one and told >= rev)
                 for one in ports if any(port == one and told >= rev and t < at_s + 1.5 for t, told, port in answers)]  # fmt: skip
        if len(first) < GATEWAYS:
            raise CannotRun(f"only {len(first)} gateways were told of the drain of {host.name} in 1.5 s")
        told_s = max(first)
        record.add(told_s, "drain-told", host=host.name, after_s=f"{told_s - at_s:.3f}", gateways=len(first))
        late = [arrival for arrival in host.arrivals if arrival["t"] > told_s + GRACE_S + SLACK_S
                and (not arrival["order"] or arrival["units"])]  # fmt: skip
        after = [arrival for arrival in host.arrivals if told_s < arrival["t"]]
        record.add(told_s, "drain", host=host.name, calls_after=len(after), calls_too_late=len(late))
        for arrival in late:
            what = "an order" if arrival["order"] else f"{arrival['class']} {arrival['tag']}"
            breaches.append(
                f"{host.name} got {what} of {gateway_of.get(arrival['tag'], '?')} {arrival['t'] - told_s:.3f} s after "
                "all gateways were told that it drains"
            )
    words: dict[str, int] = {}
    for request in sent:
        word = f"{request.class_name}:{request.word or 'none'}"
        words[word] = words.get(word, 0) + 1
    summary = {"sent": len(sent), "answers": words, "drains": len(drains), "breaches": len(breaches)}
    record.add(time.time(), "summary", **summary)
    print(summary)
    return breaches


def run(folder: pathlib.Path, record: Record) -> list[str]:
    rng = random.Random(SEED)
    timers = Timers()
    areas = SETTINGS["Areas"]
    hosts = [
        Host(f"s-{number:08x}", timers, record, random.Random(SEED + number), WORK_S, LOAD_S,
             areas[number % len(areas)], "two-core", number // 4)
        for number in range(HOSTS)
    ]  # fmt: skip
    directory = Directory(folder, hosts)
    gateways = [Gateway(number, folder, SETTINGS, directory, record) for number in range(GATEWAYS)]
    catalog = [f"{rng.getrandbits(64):016x}" for _ in range(FUNCTIONS)]
    sent: list[Request] = []
    ended = threading.Event()
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            gateway.wait_ready()
        clients = [
            threading.Thread(target=send_calls, args=(gateway, SEED + number, ended, record, sent, catalog))
            for number, gateway in enumerate(gateways)
        ]
        for client in clients:
            client.start()
        time.sleep(WARM_UP_S)
        if TROUBLE:
            record.add(time.time(), "directory-stops")
            directory.pause()
        time.sleep(PAUSE_S)
        if TROUBLE:
            directory.resume()
            record.add(time.time(), "directory-goes-on")
        time.sleep(SETTLE_S)
        drains: list[tuple[Host, int, float]] = []
        gone: list[Host] = []
        for _ in range(DRAINS):
            since_s = time.time() - 2.0
            left = [host for host in hosts if not host.is_draining]
            busiest = max(left, key=lambda host: sum(arrival["t"] > since_s for arrival in host.arrivals))
            busiest.is_draining = True
            at_s = time.time()
            directory.tell(tuple(gone))
            drains.append((busiest, directory.rev, at_s))
            record.add(at_s, "drain-begins", host=busiest.name, rev=directory.rev)
            time.sleep(STOP_S)
            busiest.end()
            gone.append(busiest)
            directory.tell(tuple(gone))
            record.add(time.time(), "host-gone", host=busiest.name, rev=directory.rev)
            time.sleep(DRAIN_EVERY_S - STOP_S)
        ended.set()
        for client in clients:
            client.join()
        time.sleep(3.6)
        return judge(hosts, drains, directory, sent, record)
    finally:
        ended.set()
        for gateway in gateways:
            gateway.end()
        directory.end()


play(__file__, run)
