"""A gateway's pages keep the names of commit 0684301: JSON keys, metrics, their types and labels."""

from __future__ import annotations

import json
import pathlib
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from saffronstack import config as configs
from saffronstack.client import Client
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.stored_formats.stored_files import (
    BUSY_MACHINE_TIMEOUT_S,
    DATA,
    complete_configuration,
    page_answers,
)
from tests.support.stack import configuration

pytestmark = pytest.mark.xdist_group("gateway_pages")  # one gateway for all of them
TENANT = "corner-books"
STORED: dict[str, Any] = json.loads((DATA / "gateway_pages" / "pages.json").read_text())


@pytest.fixture(scope="module")
def gateway(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Gateway]:
    """Run the first of two processes; the second never starts, so this one holds all slots."""
    folder = tmp_path_factory.mktemp("gateway")
    fleet = StubWorkerFleet(2, lambda number: Profile(load_s=0.01, work_s=0.005))
    content = complete_configuration(configuration(fleet, folder / "ledger"), folder, fleet.entries())
    members = ProcessGroup(0, 2, str(folder), time.monotonic)
    running = Gateway(configs.parse(json.dumps(content)), process_group=members)
    running.start()
    yield running
    running.stop()
    fleet.stop()


@pytest.fixture(scope="module")
def answers(gateway: Gateway) -> dict[str, Any]:
    host, port = gateway.server.address
    client = Client(f"{host}:{port}", 30.0, tenant=TENANT)
    found = page_answers(client, TENANT)
    client.close()
    return found


@pytest.mark.parametrize("page", sorted(STORED))
def test_a_page_has_the_same_names(page: str, answers: dict[str, Any]) -> None:
    assert answers[page] == STORED[page]


def test_the_same_pages_are_compared(answers: dict[str, Any]) -> None:
    assert set(answers) == set(STORED)


def test_keys_of_json_answers_keep_their_order(answers: dict[str, Any]) -> None:
    assert json.dumps({page: answers[page] for page in STORED}) == json.dumps(STORED)


def response_to(gateway: Gateway, request: bytes) -> bytes:
    """Send a request to the port for other processes; return the start of the response."""
    assert gateway.peer_server is not None
    with socket.create_connection(gateway.peer_server.address, timeout=BUSY_MACHINE_TIMEOUT_S) as sock:
        sock.sendall(request)
        return sock.recv(65536)


def test_a_forwarded_operation_of_an_earlier_process_is_run(gateway: Gateway) -> None:
    response = response_to(gateway, (DATA / "address_processes" / "forward.http").read_bytes())
    assert response.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b'"input":{"op": 1}' in response


def test_a_request_of_an_earlier_process_is_answered_here_and_not_passed_on(gateway: Gateway) -> None:
    request = (DATA / "address_processes" / "ask.http").read_bytes().replace(b"Authorization: text\r\n", b"")
    response = response_to(gateway, request)
    assert response.startswith(b"HTTP/1.1 404 ")
    assert b"ResourceNotFoundException" in response


def test_the_stored_pages_are_complete() -> None:
    assert len([line for line in STORED["/metrics"]["body"] if line.startswith("# TYPE ")]) >= 40


def test_peers_find_the_published_address(gateway: Gateway) -> None:
    assert gateway.peer_server is not None
    directory = pathlib.Path(gateway.process_group.directory)
    host, port = gateway.peer_server.address
    assert (directory / "peer").read_text() == f"{host}:{port}"
