"""A gateway is killed and starts again; its clients number their requests on. Is each one answered?"""

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
GATEWAYS, HOSTS, CLIENTS_OF_GATEWAY = 3, 11, 1  # one gateway is killed; the site says up to half of them
RATE_OF_CLIENT = 55.0  # calls a second
BEFORE_S, AFTER_S = 5.0, 50.0  # play before and after the kill
DOWN_S = 4.0  # from the kill to the next start; the site says that it takes 3.2 to 7.5 s to be back
WORK_S, LOAD_S = 0.07, 0.5
CROSSING_S = 0.05  # a request that crosses the close of a connection with nothing open is sent once more
SLACK_S = 0.5  # an answer up to half a second late only earns nothing
FUNCTIONS = 12
CLASSES = [("identify-copy", 0.45, 3.0), ("suggest-price", 0.38, 2.0), ("record-sale", 0.17, 2.5)]
TENANTS = [("palio-rafi", 0.52), ("stoa-vivlion", 0.33), ("sokaki-books", 0.15)]
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
    "Tenants": [{"Name": name, "Share": share, "QuotaRps": 200.0 * share} for name, share in TENANTS],
    "Rules": {
        "AnswerSlackS": 0.008, "DrainGraceS": 2.0, "ColdShare": 0.23, "ColdS": 14.0, "TipMultiple": 3.0,
        "TipAfterS": 1.0,
    },
}  # fmt: skip


class Client:
    """A client with one connection at a time, and one counter for its tags as long as it lives."""

    def __init__(self, gateway: Gateway, number: int, record: Record, catalog: list[str]) -> None:
        self.sent: list[Request] = []
        self.is_gateway_down = False
        self.incarnation = 1
        self._gateway, self._record, self._catalog = gateway, record, catalog
        self._rng = random.Random(SEED + number)
        self._last_tag = 0
        self._connection: ClientConnection | None = None
        self._again: list[Request] = []
        self._crossed: set[str] = set()

    def run(self, until_s: float) -> None:
        rng = self._rng
        while time.time() < until_s:
            time.sleep(rng.expovariate(RATE_OF_CLIENT))
            if self.is_gateway_down:
                continue
            class_name, _, deadline_s = rng.choices(CLASSES, [share for _, share, _ in CLASSES])[0]
            self._send(Request(f"{rng.getrandbits(64):016x}", class_name, deadline_s, rng.randbytes(24)))
            self._send_crossed_again()

    def _send(self, request: Request) -> None:
        while self._connection is not None and self._connection.open_count >= 32:
            time.sleep(0.002)  # at most 32 requests may be open on one connection
        if self._connection is None or self._connection.is_ended:
            try:
                self._connection = ClientConnection(self._gateway, self.incarnation, self._record)
            except OSError:
                return  # it counts as sent only once a connection was accepted
        self._last_tag += 1
        function = self._catalog[min(int(self._rng.expovariate(0.4)), FUNCTIONS - 1)]
        tenant = self._rng.choices([name for name, _ in TENANTS], [share for _, share in TENANTS])[0]
        if self._connection.send(self._last_tag, request, function, tenant, 500):
            self.sent.append(request)

    def _send_crossed_again(self) -> None:
        """Send what crossed the close of a connection with nothing else open once more, as the page says."""
        for request in self.sent[-64:]:
            if has_crossed(request) and request.id not in self._crossed and request.incarnation == self.incarnation:
                self._crossed.add(request.id)
                again = Request(request.id, request.class_name, request.deadline_s, request.body)
                self._send(again)


def has_crossed(request: Request) -> bool:
    is_unanswered = not request.word and request.ended_s > 0
    return is_unanswered and not request.others_open and request.ended_s - request.sent_s <= CROSSING_S


def judge(clients: list[Client], killed_s: float | None, record: Record) -> list[str]:
    breaches, words, excused = [], {}, 0
    for number, client in enumerate(clients):
        for request in client.sent:
            words[request.word or "none"] = words.get(request.word or "none", 0) + 1
            if request.answers > 1:
                breaches.append(f"{request.id}: {request.answers} answers")
            if not request.is_body_right:
                breaches.append(f"{request.id}: another body than the host gave")
            if request.word:
                if request.ended_s > request.sent_s + request.deadline_s + SLACK_S:
                    breaches.append(f"{request.id}: answered {request.ended_s - request.sent_s:.3f} s after it was sent")
                continue
            is_of_killed = killed_s is not None and number < CLIENTS_OF_GATEWAY and request.incarnation == 1
            if is_of_killed and request.sent_s <= killed_s + 0.05:
                excused += 1  # the gateway was killed while it held the request
                continue
            if has_crossed(request):
                excused += 1
                continue
            how = f"connection ended after {request.ended_s - request.sent_s:.3f} s" if request.ended_s else "nothing came"
            breaches.append(
                f"client {number}, {request.class_name} {request.id} under tag {request.tag}: no answer ({how}, "
                f"{request.others_open} others open)"
            )  # fmt: skip
    summary = {"sent": sum(words.values()), "answers": words, "excused": excused, "breaches": len(breaches),
               "last-tags": [client._last_tag for client in clients]}  # fmt: skip
    record.add(time.time(), "summary", **summary)
    print(summary)
    return breaches


def run(folder: pathlib.Path, record: Record) -> list[str]:
    rng = random.Random(SEED)
    timers = Timers()
    areas = SETTINGS["Areas"]
    hosts = [
        Host(f"s-{number:08x}", timers, record, random.Random(SEED + number), WORK_S, LOAD_S,
             areas[number % len(areas)], "two-core", 0)
        for number in range(HOSTS)
    ]  # fmt: skip
    directory = Directory(folder, hosts)
    gateways = [Gateway(number, folder, SETTINGS, directory, record) for number in range(GATEWAYS)]
    catalog = [f"{rng.getrandbits(64):016x}" for _ in range(FUNCTIONS)]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            gateway.wait_ready()
        until_s = time.time() + BEFORE_S + DOWN_S + AFTER_S
        clients = [
            Client(gateways[number // CLIENTS_OF_GATEWAY], number, record, catalog)
            for number in range(GATEWAYS * CLIENTS_OF_GATEWAY)
        ]
        threads = [threading.Thread(target=client.run, args=(until_s,)) for client in clients]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S)
        killed_s = None
        if TROUBLE:
            killed_s = time.time()
            gateways[0].kill()
            for client in clients[:CLIENTS_OF_GATEWAY]:
                client.is_gateway_down = True
            time.sleep(DOWN_S)
            gateways[0].start()
            gateways[0].wait_ready()
            for client in clients[:CLIENTS_OF_GATEWAY]:
                client.incarnation, client.is_gateway_down = 2, False
        for thread in threads:
            thread.join()
        time.sleep(3.6)
        for gateway in gateways:
            assert gateway.process is not None
            if gateway.process.poll() is not None:
                raise CannotRun(f"{gateway.name} ended by itself")
        return judge(clients, killed_s, record)
    finally:
        for gateway in gateways:
            gateway.end()
        directory.end()


play(__file__, run)
