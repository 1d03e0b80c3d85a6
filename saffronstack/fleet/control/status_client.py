"""How daemons say that their gateways stand, for whoever leads nothing."""

from __future__ import annotations

import time
from collections.abc import Mapping

import msgspec

from saffronstack.daemon.members import NoAnswerError, NotSentError, exchange
from saffronstack.fleet.control.messages import DaemonState, GatewayState
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

JOIN_S = 0.5  # over the exchange's own bound


def ask_status(addresses: Mapping[str, str], wait_s: float) -> dict[str, DaemonState | str]:
    """Every daemon's own page, or why there is none; all at once, bounded by ``wait_s`` and a little."""
    found: dict[str, DaemonState | str] = {}

    def ask(name: str, address: str) -> None:
        request = writer.request("GET", "/status", [("Host", address), ("Connection", "close")])
        try:
            _, body = exchange(address, request, time.monotonic() + wait_s, time.monotonic)
            found[name] = msgspec.json.decode(body, type=DaemonState)
        except (NotSentError, NoAnswerError, msgspec.MsgspecError) as error:
            found[name] = str(error) or type(error).__name__

    threads = [start_thread("ask", lambda n=name, a=addr: ask(n, a)) for name, addr in addresses.items()]  # type: ignore[misc]
    until_s = time.monotonic() + wait_s + JOIN_S
    for thread in threads:
        thread.join(max(0.0, until_s - time.monotonic()))
    told = dict(found)
    return {name: told.get(name, "no answer in time") for name in addresses}


def flat(answers: Mapping[str, DaemonState | str]) -> tuple[dict[str, GatewayState], dict[str, str]]:
    """Gateways by name, and daemons that gave no answer with the reason."""
    states: dict[str, GatewayState] = {}
    silent: dict[str, str] = {}
    for name, answer in answers.items():
        if isinstance(answer, str):
            silent[name] = answer
        else:
            states |= answer.gateways
    return states, silent
