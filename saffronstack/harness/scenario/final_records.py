"""Reads the final records of deferred calls from their gateways."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping

import msgspec

from saffronstack.audit.traffic import ClientRequest
from saffronstack.client import Client
from saffronstack.http1.messages import HttpError

POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 5.0


def read_final_records(
    tries: Iterable[ClientRequest], addresses: Mapping[int, str], timeout_s: float
) -> dict[str, list[str]]:
    """Wait for the final records of all accepted calls.

    Each record is read a second time at the end, so that a changed record shows as two conditions.

    Args:
        tries: The attempts of clients; only accepted ones count.
        addresses: Addresses of the gateways, by number.
        timeout_s: Time limit for all records.

    Returns:
        The distinct conditions of each call; none for a call without a final record in time.
    """
    clients = {number: Client(address, REQUEST_TIMEOUT_S) for number, address in addresses.items()}
    clients_by_request = {one.id: clients[one.gateway] for one in tries if one.outcome == "accepted"}
    finals: dict[str, list[str]] = {request_id: [] for request_id in clients_by_request}
    missing = set(finals)
    deadline_s = time.monotonic() + timeout_s
    while missing and time.monotonic() < deadline_s:
        for request_id in sorted(missing):
            condition = _read_condition(clients_by_request[request_id], request_id)
            if condition is not None:
                finals[request_id].append(condition)
                missing.discard(request_id)
        time.sleep(POLL_INTERVAL_S)
    for request_id, conditions in finals.items():
        second = _read_condition(clients_by_request[request_id], request_id)
        if second is not None and second not in conditions:
            conditions.append(second)
    for client in clients.values():
        client.close()
    return finals


def _read_condition(client: Client, request_id: str) -> str | None:
    try:
        answer = client.request("GET", f"/deferred/{request_id}")
        if answer.status != 200:
            return None
        condition: str = msgspec.json.decode(answer.body)["requestContext"]["condition"]
        return condition
    except (OSError, HttpError, ValueError, KeyError):
        return None
