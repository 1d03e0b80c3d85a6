"""Communication between a gateway process and the supervisor or daemon that started it."""

from __future__ import annotations

import os
import queue
import signal
import socket
import sys
import threading

import click
import structlog

from saffronstack.daemon.heartbeat_monitor import HEARTBEAT_INTERVAL_S
from saffronstack.daemon.listener_handover import MARK_VARIABLE, ListenerHandover
from saffronstack.daemon.standby import wait_until_allowed
from saffronstack.gateway import Gateway
from saffronstack.runtime.threads import start_thread

log = structlog.get_logger("saffronstack.serve")
ACCEPT_TIMEOUT_S = 2.0  # the accepting thread wakes up every 0.5 s even without connections
ENGINE_RESPONSE_POLL_S = 0.2


def announce(line: str) -> None:
    """Write a line to the parent process. If that has exited, the gateway continues without it."""
    try:
        click.echo(line)
        sys.stdout.flush()
    except BrokenPipeError:
        with open(os.devnull, "wb") as null_device:  # buffered output would fail again at exit
            os.dup2(null_device.fileno(), sys.stdout.fileno())


def wait_in_standby() -> bool:
    """Report that all is loaded and nothing opened, and wait; return whether this process may serve."""
    announce("saffronstack is prepared")
    return wait_until_allowed(sys.stdin.fileno())


def offer_listener(listener: socket.socket | None) -> ListenerHandover | None:
    """Offer the listening socket to later daemons, as the daemon that created it may be replaced."""
    mark = os.environ.get(MARK_VARIABLE, "")
    if listener is None or not mark:
        return None
    try:
        return ListenerHandover(mark, listener)
    except OSError as error:
        log.warning("listening socket can't be passed to a restarted daemon", error=str(error))
        return None


def terminate_with_parent(signals: queue.SimpleQueue[int]) -> None:
    """Queue a SIGTERM once the supervisor has exited: standard input is a pipe that closes then."""

    def watch() -> None:
        while os.read(0, 1024):
            continue
        signals.put(signal.SIGTERM)

    start_thread("parent", watch)


def send_heartbeats(gateway: Gateway, stopping: threading.Event) -> None:
    """Send heartbeats to the supervisor, as lines on standard output, until the supervisor exits.

    A heartbeat requires that the accepting thread and the engine's thread make progress. While the gateway
    shuts down, which has a time limit of its own, heartbeats are sent regardless.
    """
    pause = threading.Event()
    while True:
        responded = threading.Event()
        gateway.engine.inspect(lambda now, router, responded=responded: responded.set())  # type: ignore[misc]
        while not responded.wait(ENGINE_RESPONSE_POLL_S) and not stopping.is_set():
            continue
        if gateway.server.is_accepting(ACCEPT_TIMEOUT_S) or stopping.is_set():
            try:
                os.write(1, b"alive\n")
            except OSError:
                return
        pause.wait(HEARTBEAT_INTERVAL_S)
