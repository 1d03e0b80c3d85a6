"""A small client of the gateway for the command line and for days: one request, one connection."""

from __future__ import annotations

import os
import pathlib
import socket
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from urllib.parse import quote

import click
import msgspec

from saffronstack.http1 import writer
from saffronstack.http1.messages import Headers, HttpError, Limits
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import Stream, read_until
from saffronstack.invoke import sigv4

SECRET = "SAFFRONSTACK_SECRET"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a gateway answered."""

    status: int
    headers: Headers
    body: bytes


class Client:
    """A connection that is kept between requests and made anew when it was lost."""

    def __init__(
        self,
        address: str,
        timeout_s: float,
        key: str = "",
        secret: str = "",
        region: str = "us-east-1",
        tenant: str = "",
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self._key, self._secret, self._region, self._tenant = key, secret, region, tenant
        self._stream: Stream | None = None
        self._reader = MessageReader(Limits(body=64 * 1024 * 1024))

    def request(
        self, method: str, target: str, body: bytes = b"", extra: tuple[tuple[str, str], ...] = ()
    ) -> Answer:
        """One exchange; OSError (TimeoutError, ConnectionError) or HttpError where no whole answer came."""
        deadline_s = time.monotonic() + self.timeout_s
        if self._stream is not None and not self._stream.silent():
            self.close()  # the gateway ended it while it was idle
        if self._stream is None:
            host, _, port = self.address.rpartition(":")
            self._stream = Stream(socket.create_connection((host, int(port)), timeout=self.timeout_s))
            self._reader = MessageReader(Limits(body=64 * 1024 * 1024))
        stream = self._stream
        try:
            headers = [("Host", self.address), *extra, *self._signature(method, target, body)]
            if not stream.send(writer.request(method, target, headers, body), deadline_s, time.monotonic):
                raise ConnectionResetError("the gateway took no byte")
            head = read_until(stream, self._reader, self._reader.response, deadline_s, time.monotonic)
            content = read_until(stream, self._reader, self._reader.body, deadline_s, time.monotonic)
        except (OSError, HttpError):
            self.close()
            raise
        if not head.keep_alive:
            self.close()
        return Answer(head.status, head.headers, content)

    def invoke(
        self,
        function: str,
        payload: bytes,
        kind: str = "RequestResponse",
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Call a function."""
        target = f"/2015-03-31/functions/{quote(function, safe='')}/invocations"
        return self.request("POST", target, payload, (("X-Amz-Invocation-Type", kind), *extra))

    def _signature(self, method: str, target: str, body: bytes) -> tuple[tuple[str, str], ...]:
        if not self._key:
            if not self._tenant:
                return ()
            claim = (
                f"{sigv4.ALGORITHM} Credential={self._tenant}/20150331/{self._region}/lambda/aws4_request, "
                f"SignedHeaders=host, Signature={'0' * 64}"
            )
            return (("Authorization", claim),)
        import hashlib

        stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        cred = sigv4.Credential(self._key, stamp[:8], self._region, "lambda", ("host", "x-amz-date"), "")
        signed = Headers([("host", self.address), ("x-amz-date", stamp)])
        canonical = sigv4.canonical_request(
            method, target, signed, cred.signed, hashlib.sha256(body).hexdigest()
        )
        signature = sigv4.sign(self._secret, cred, stamp, canonical)
        return (
            ("X-Amz-Date", stamp),
            (
                "Authorization",
                (
                    f"{sigv4.ALGORITHM} "
                    f"Credential={self._key}/{stamp[:8]}/{self._region}/lambda/aws4_request, "
                    f"SignedHeaders=host;x-amz-date, Signature={signature}"
                ),
            ),
        )

    def unasked(self) -> int:
        """Bytes that came after the last answer without having been asked for."""
        return self._reader.pending

    def close(self) -> None:
        """End the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None


def invoke(
    function: str,
    payload: str,
    address: str,
    deferred: bool,
    wait: bool,
    tenant: str,
    key: str,
    timeout_s: float,
) -> int:
    """Call a function and print its answer; 0 served or taken, 1 function error, 2 refused or unreachable."""
    try:
        body = pathlib.Path(payload[1:]).read_bytes() if payload.startswith("@") else payload.encode()
    except OSError as error:
        click.echo(f"--payload: {error}", err=True)
        return 2
    client = Client(address, timeout_s, key, os.environ.get(SECRET, ""), tenant=tenant)
    try:
        answer = client.invoke(function, body, "Event" if deferred else "RequestResponse")
        if deferred and answer.status == 202:
            request_id = answer.headers.get("x-amzn-requestid")
            if not wait:
                click.echo(request_id)
                return 0
            return _await_record(client, request_id, timeout_s)
    except (OSError, HttpError) as error:
        click.echo(f"{address}: {error}", err=True)
        return 2
    finally:
        client.close()
    sys.stdout.write(answer.body.decode("utf-8", "replace") + "\n")
    if answer.status != 200:
        return 2
    return 1 if "x-amz-function-error" in answer.headers else 0


def _await_record(client: Client, request_id: str, timeout_s: float) -> int:
    end_s = time.monotonic() + timeout_s
    while True:
        answer = client.request("GET", f"/deferred/{request_id}")
        if answer.status == 200:
            click.echo(answer.body.decode())
            condition = msgspec.json.decode(answer.body)["requestContext"]["condition"]
            return 0 if condition == "Success" else 1
        if answer.status != 202 or time.monotonic() >= end_s:
            click.echo(f"{request_id}: {answer.status} {answer.body.decode('utf-8', 'replace')}", err=True)
            return 2
        time.sleep(0.05)


def status(addresses: tuple[str, ...], timeout_s: float, as_json: bool) -> int:
    """Print each gateway's state; 0 if all answer."""
    worst = 0
    for address in addresses:
        client = Client(address, timeout_s)
        try:
            answer = client.request("GET", "/status")
            state = msgspec.json.decode(answer.body)
        except (OSError, HttpError, ValueError, msgspec.MsgspecError) as error:
            worst = 1
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
    return worst
