"""`saffronstack invoke`, `status` and `operation`: requests to running gateways."""

from __future__ import annotations

import os
import pathlib
import sys
import time
from urllib.parse import quote, urlencode

import click
import msgspec

from saffronstack.client import Client
from saffronstack.http1.messages import HttpError

SECRET_VARIABLE = "SAFFRONSTACK_SECRET"
TIMEOUT_S = 5.0
TITLE_FIELDS = ("function", "invocationType", "requestId", "state")  # in the title line of a record


def invoke_function(
    function: str,
    payload: str,
    address: str,
    deferred: bool,
    wait: bool,
    tenant: str,
    key: str,
    timeout_s: float,
) -> int:
    """Invoke a function and print its response.

    Returns:
        The exit status: 0 if the function succeeded or a deferred call was accepted, 1 if the function
        failed, 2 if the request was rejected, timed out or could not be sent.
    """
    try:
        body = pathlib.Path(payload[1:]).read_bytes() if payload.startswith("@") else payload.encode()
    except OSError as error:
        click.echo(f"--payload: {error}", err=True)
        return 2
    client = Client(address, timeout_s, key, os.environ.get(SECRET_VARIABLE, ""), tenant=tenant)
    try:
        response = client.invoke(function, body, "Event" if deferred else "RequestResponse")
        if deferred and response.status == 202:
            request_id = response.headers.get("x-amzn-requestid")
            if not wait:
                click.echo(request_id)
                return 0
            return _wait_for_record(client, request_id, timeout_s)
    except (OSError, HttpError) as error:
        click.echo(f"{address}: {error}", err=True)
        return 2
    finally:
        client.close()
    sys.stdout.write(response.body.decode("utf-8", "replace") + "\n")
    if response.status != 200:
        return 2
    return 1 if "x-amz-function-error" in response.headers else 0


def _wait_for_record(client: Client, request_id: str, timeout_s: float) -> int:
    deadline_s = time.monotonic() + timeout_s
    while True:
        response = client.request("GET", f"/deferred/{request_id}")
        if response.status == 200:
            click.echo(response.body.decode())
            condition = msgspec.json.decode(response.body)["requestContext"]["condition"]
            return 0 if condition == "Success" else 1
        if response.status != 202 or time.monotonic() >= deadline_s:
            click.echo(
                f"{request_id}: {response.status} {response.body.decode('utf-8', 'replace')}", err=True
            )
            return 2
        time.sleep(0.05)


def show_gateways(addresses: tuple[str, ...], timeout_s: float, as_json: bool) -> int:
    """Print the state of each gateway; return the exit status, 0 if all gateways respond and 1 if not."""
    exit_status = 0
    for address in addresses:
        client = Client(address, timeout_s)
        try:
            response = client.request("GET", "/status")
            state = msgspec.json.decode(response.body)
        except (OSError, HttpError, ValueError, msgspec.MsgspecError) as error:
            exit_status = 1
            state = {"error": str(error) or type(error).__name__}
        finally:
            client.close()
        if as_json:
            click.echo(msgspec.json.encode({"address": address, **state}).decode())
        elif "error" in state:
            click.echo(f"{address}: no answer: {state['error']}")
        else:
            click.echo(
                f"{address}: pid {state['pid']}, {'draining, ' if state['draining'] else ''}"
                f"{state['calls']} calls, {state['open_calls']} open, endings {state['endings']}"
                + (f", deferred {state['deferred']['open']} open" if "deferred" in state else "")
            )
    return exit_status


def show_operation(
    token: str, address: str, function: str, qualifier: str, tenant: str, key: str, as_json: bool
) -> int:
    """Print a gateway's records of an operation.

    Returns:
        The exit status: 0, 1 if the gateway returns no records, 2 if it does not respond.
    """
    parameters = {"function": function, "qualifier": qualifier}
    query = urlencode({name: value for name, value in parameters.items() if value})
    target = f"/operations/{quote(token, safe='')}" + (f"?{query}" if query else "")
    client = Client(address, TIMEOUT_S, key, os.environ.get(SECRET_VARIABLE, ""), tenant=tenant)
    try:
        response = client.request("GET", target)
        content = msgspec.json.decode(response.body)
    except (OSError, HttpError, msgspec.MsgspecError) as error:
        click.echo(f"{address}: {error}", err=True)
        return 2
    finally:
        client.close()
    if response.status != 200:
        click.echo(f"{address}: {content.get('message', response.status)}", err=True)
        return 1
    for record in content:
        click.echo(msgspec.json.encode(record).decode() if as_json else _describe_operation(record))
    return 0


def _describe_operation(record: dict[str, object]) -> str:
    """Return the record as text for people: a title line and a line for each other field."""
    title = (
        f"{record['function']} {record['invocationType']}, request {record['requestId']}: {record['state']}"
    )
    details = [f"  {name}: {value}" for name, value in record.items() if name not in TITLE_FIELDS]
    return "\n".join([title, *details])
