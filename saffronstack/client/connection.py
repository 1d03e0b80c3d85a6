"""A persistent client connection to a gateway; requests are signed if an access key is given."""

from __future__ import annotations

import hashlib
import socket
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from urllib.parse import quote

from saffronstack.http1 import writer
from saffronstack.http1.messages import Headers, HttpError, MessageLimits
from saffronstack.http1.reader import MessageReader
from saffronstack.http1.sockets import Stream, read_until
from saffronstack.invoke import sigv4


@dataclass(frozen=True, slots=True)
class Response:
    """Response of a gateway."""

    status: int
    headers: Headers
    body: bytes


class Client:
    """Sends one request at a time on a persistent connection, and reconnects after a connection loss."""

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
        self._reader = MessageReader(MessageLimits(body_bytes=64 * 1024 * 1024))

    def request(
        self, method: str, target: str, body: bytes = b"", extra: tuple[tuple[str, str], ...] = ()
    ) -> Response:
        """Send a request and return its response.

        Raises:
            OSError: No complete response was received (TimeoutError, ConnectionError).
            HttpError: The response is malformed or exceeds a limit.
        """
        deadline_s = time.monotonic() + self.timeout_s
        headers = [("Host", self.address), *extra, *self._signature(method, target, body)]
        request = writer.request(method, target, headers, body)
        stream = self._ensure_connected()
        try:
            if not stream.send(request, deadline_s, time.monotonic):
                raise ConnectionResetError("no byte of the request could be sent to the gateway")
            head = read_until(stream, self._reader, self._reader.response, deadline_s, time.monotonic)
            content = read_until(stream, self._reader, self._reader.body, deadline_s, time.monotonic)
        except (OSError, HttpError):
            self.close()
            raise
        if not head.keep_alive:
            self.close()
        return Response(head.status, head.headers, content)

    def _ensure_connected(self) -> Stream:
        """Return the idle connection, or a new one if the gateway has closed the idle one.

        Raises:
            OSError: A new connection can't be established.
        """
        if self._stream is not None and not self._stream.is_idle():
            self.close()
        if self._stream is None:
            host, _, port = self.address.rpartition(":")
            self._stream = Stream(socket.create_connection((host, int(port)), timeout=self.timeout_s))
            self._reader = MessageReader(MessageLimits(body_bytes=64 * 1024 * 1024))
        return self._stream

    def invoke(
        self,
        function: str,
        payload: bytes,
        invocation_type: str = "RequestResponse",
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Response:
        """Invoke a function."""
        target = f"/2015-03-31/functions/{quote(function, safe='')}/invocations"
        return self.request("POST", target, payload, (("X-Amz-Invocation-Type", invocation_type), *extra))

    def _signature(self, method: str, target: str, body: bytes) -> tuple[tuple[str, str], ...]:
        if not self._key:
            if not self._tenant:
                return ()
            authorization = (
                f"{sigv4.ALGORITHM} Credential={self._tenant}/20150331/{self._region}/lambda/aws4_request, "
                f"SignedHeaders=host, Signature={'0' * 64}"
            )
            return (("Authorization", authorization),)
        timestamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        credential = sigv4.Credential(
            self._key, timestamp[:8], self._region, "lambda", ("host", "x-amz-date"), ""
        )
        signed = Headers([("host", self.address), ("x-amz-date", timestamp)])
        canonical = sigv4.canonical_request(
            method, target, signed, credential.signed_headers, hashlib.sha256(body).hexdigest()
        )
        signature = sigv4.sign(self._secret, credential, timestamp, canonical)
        return (
            ("X-Amz-Date", timestamp),
            (
                "Authorization",
                (
                    f"{sigv4.ALGORITHM} "
                    f"Credential={self._key}/{timestamp[:8]}/{self._region}/lambda/aws4_request, "
                    f"SignedHeaders=host;x-amz-date, Signature={signature}"
                ),
            ),
        )

    def unsolicited_byte_count(self) -> int:
        """Return the number of bytes received after the end of the last response."""
        return self._reader.pending

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
