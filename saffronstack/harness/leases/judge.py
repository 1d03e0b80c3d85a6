"""The resource that holders act on, and the judge: two never hold at once, and no older token after a newer.

It knows no keeper and no candidate, only what they say on its socket. Times are the machine's own, which all
processes of a rig share (CLOCK_BOOTTIME, seconds)."""

from __future__ import annotations

import json
import socket
import threading
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any

from saffronstack.runtime.threads import start_thread


@dataclass
class Belief:
    """From when until when one believed to hold under a token; what it said last."""

    name: str
    token: int
    since: float
    until: float


@dataclass
class Judgement:
    """What came of a run."""

    breaches: list[str] = field(default_factory=list)
    acts: int = 0
    refused: int = 0  # acts under an older token, turned away
    overran: int = 0  # acts that a pause carried past their lease
    gained: int = 0
    held_s: float = 0.0
    longest_free_s: float = 0.0


class LeaseJudge:
    """Listens for holders; answers whether an act is taken."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._listener.settimeout(0.2)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._lock = threading.Lock()
        self._ended = False
        self._beliefs: dict[int, Belief] = {}
        self._token = 0
        self._owner = ""
        self._taken: list[tuple[float, float, int, str]] = []
        self._told = Judgement()
        start_thread("resource", self._accept)

    def close(self) -> None:
        """Take no more."""
        self._ended = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._ended:
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            start_thread("holder", lambda sock=sock: self._serve(sock))  # type: ignore[misc]

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as lines:
            try:
                for line in lines:
                    sock.sendall(json.dumps(self.heard(json.loads(line))).encode() + b"\n")
            except (OSError, ValueError):
                return  # killed in the middle of a word

    def heard(self, said: dict[str, Any]) -> dict[str, Any]:
        """One word of a holder's, and the answer."""
        with self._lock:
            name, token = str(said["name"]), int(said["token"])
            if said["do"] == "gained":
                self._told.gained += 1
                other = self._beliefs.get(token)
                if other is not None:
                    self._breach(f"{name} and {other.name} both gained token {token}")
                self._beliefs[token] = Belief(name, token, float(said["at"]), float(said["until"]))
                return {}
            belief = self._beliefs.get(token)
            if belief is None or belief.name != name:
                self._breach(f"{name} acts under token {token}, which it did not gain")
                return {"taken": False}
            if said["do"] == "released":
                belief.until = min(belief.until, float(said["at"]))
                return {}
            belief.until = max(belief.until, float(said["until"]))
            if token < self._token:
                self._told.refused += 1
                return {"taken": False}
            self._token = token
            if said["do"] == "end":
                # Done in its lease's time by its own clock, or carried past it by a pause.
                if float(said["ended"]) <= belief.until:
                    self._told.acts += 1
                    self._taken.append((float(said["began"]), float(said["ended"]), token, name))
                else:
                    self._told.overran += 1
            return {"taken": True}

    def _breach(self, text: str) -> None:
        if len(self._told.breaches) < 20:
            self._told.breaches.append(text)

    def judge(self, since: float, until: float) -> Judgement:
        """All that was said, between two moments of the machine's time."""
        with self._lock:
            kept, told = self._told, replace(self._told, breaches=list(self._told.breaches))
            self._told = told  # what is found now is said in this judgement alone
            beliefs = sorted(self._beliefs.values(), key=lambda belief: belief.since)
            for number, one in enumerate(beliefs):
                for other in beliefs[number + 1 :]:
                    if other.since >= one.until:
                        continue
                    self._breach(
                        f"{one.name} (token {one.token}) holds until {one.until:.3f}, "
                        f"{other.name} (token {other.token}) from {other.since:.3f}"
                    )
                    break
                if number and one.token < max(belief.token for belief in beliefs[:number]):
                    self._breach(f"{one.name} gained token {one.token} after a greater one")
            acts = sorted(self._taken)
            for (_, ended, token, name), (began, _, next_token, next_name) in pairwise(acts):
                if began < ended and next_token != token:
                    self._breach(f"acts of {name} ({token}) and {next_name} ({next_token}) overlap")
            at = since
            for belief in beliefs:
                told.longest_free_s = max(told.longest_free_s, min(until, belief.since) - at)
                told.held_s += max(0.0, min(until, belief.until) - max(at, belief.since))
                at = max(at, min(until, belief.until))
            told.longest_free_s = max(told.longest_free_s, until - at)
            self._told = kept
            return told

    def held_between(self) -> list[tuple[float, float]]:
        """From when until when each holder believed to hold."""
        with self._lock:
            return [(belief.since, belief.until) for belief in self._beliefs.values()]
