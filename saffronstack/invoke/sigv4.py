"""Verifies AWS Signature Version 4 by the published algorithm; also signs, for the client. No I/O."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import lru_cache
from urllib.parse import parse_qsl, quote, urlsplit

from saffronstack.http1.messages import Headers
from saffronstack.invoke.errors import InvokeError

ALGORITHM = "AWS4-HMAC-SHA256"
_AUTHORIZATION = re.compile(
    r"AWS4-HMAC-SHA256 +Credential=(?P<key>[A-Za-z0-9_-]{4,128})/(?P<date>\d{8})/(?P<region>[a-z0-9-]+)/"
    r"(?P<service>[a-z0-9-]+)/aws4_request *, *SignedHeaders=(?P<headers>[a-z0-9;_.-]+) *, *"
    r"Signature=(?P<signature>[0-9a-f]{64})"
)
_SPACES = re.compile(r"[ \t]+")


@dataclass(frozen=True, slots=True)
class Credential:
    """Parsed Authorization header of a signed request."""

    access_key_id: str
    date: str
    region: str
    service: str
    signed_headers: tuple[str, ...]
    signature: str


def _denied(error_type: str, message: str) -> InvokeError:
    return InvokeError(403, error_type, message)


def parse_credential(headers: Headers) -> Credential | None:
    """Parse the Authorization header; return None if the request has none.

    Raises:
        InvokeError: The header is malformed or occurs more than once.
    """
    fields = headers.all("authorization")
    if not fields:
        return None
    match = _AUTHORIZATION.fullmatch(fields[0]) if len(fields) == 1 else None
    if match is None:
        raise _denied(
            "IncompleteSignatureException", "The Authorization header is not a valid AWS4-HMAC-SHA256 one."
        )
    return Credential(
        match["key"],
        match["date"],
        match["region"],
        match["service"],
        tuple(match["headers"].split(";")),
        match["signature"],
    )


def canonical_request(
    method: str, target: str, headers: Headers, signed_headers: tuple[str, ...], body_hash: str
) -> str:
    """Return the canonical request.

    The path is normalized and encoded a second time, which all services except S3 require; query parameters
    are sorted.
    """
    parts = urlsplit(target)
    pairs = parse_qsl(parts.query, keep_blank_values=True)
    query = "&".join(
        f"{name}={value}"
        for name, value in sorted(
            (quote(name, safe="-_.~"), quote(value, safe="-_.~")) for name, value in pairs
        )
    )
    lines = [
        f"{name}:{','.join(_SPACES.sub(' ', value.strip()) for value in headers.all(name))}\n"
        for name in signed_headers
    ]
    path = quote(_normalized_path(parts.path), safe="/~")
    return "\n".join((method, path, query, "".join(lines), ";".join(signed_headers), body_hash))


def _normalized_path(path: str) -> str:
    """Return a path without empty and dot segments; a trailing slash stays."""
    segments: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del segments[-1:]
        elif part not in ("", "."):
            segments.append(part)
    trailing_slash = "/" if path.endswith("/") and segments else ""
    return "/" + "/".join(segments) + trailing_slash


@lru_cache(maxsize=1024)
def signing_key(secret: str, date: str, region: str, service: str) -> bytes:
    """Return the signing key derived from a secret for a day, a region and a service."""
    key = f"AWS4{secret}".encode()
    for part in (date, region, service, "aws4_request"):
        key = hmac.new(key, part.encode(), hashlib.sha256).digest()
    return key


def sign(secret: str, credential: Credential, timestamp: str, canonical: str) -> str:
    """Return the signature of a canonical request in hexadecimal."""
    scope = f"{credential.date}/{credential.region}/{credential.service}/aws4_request"
    digest = hashlib.sha256(canonical.encode("utf-8", "surrogateescape")).hexdigest()
    text = f"{ALGORITHM}\n{timestamp}\n{scope}\n{digest}"
    return hmac.new(
        signing_key(secret, credential.date, credential.region, credential.service),
        text.encode(),
        hashlib.sha256,
    ).hexdigest()


def verify(
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    secrets: Mapping[str, str],
    now: float,
    skew_s: float,
) -> str:
    """Verify the signature of a request and return its access key id.

    Args:
        method: Method of the request.
        target: Request target: path and query.
        headers: Header fields of the request.
        body: Body of the request.
        secrets: Secrets by access key id.
        now: Unix time in seconds.
        skew_s: Maximum difference between ``now`` and the request's timestamp.

    Raises:
        InvokeError: The signature is missing, malformed, expired or wrong.
    """
    credential = parse_credential(headers)
    if credential is None:
        raise _denied("MissingAuthenticationTokenException", "Missing Authentication Token")
    secret = secrets.get(credential.access_key_id)
    if secret is None:
        raise _denied("UnrecognizedClientException", "The security token included in the request is invalid.")
    if "host" not in credential.signed_headers or credential.service != "lambda":
        raise _denied(
            "InvalidSignatureException", "Host must be signed, and the credential be scoped to 'lambda'."
        )
    timestamp = headers.get("x-amz-date")
    try:
        signed_at = datetime.strptime(timestamp, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError as error:
        raise _denied(
            "IncompleteSignatureException", "X-Amz-Date must be a time like 20150331T000000Z."
        ) from error
    if "x-amz-date" not in credential.signed_headers or not timestamp.startswith(credential.date):
        raise _denied("InvalidSignatureException", "X-Amz-Date must be signed, and of the credential's day.")
    if abs(now - signed_at) > skew_s:
        raise _denied(
            "InvalidSignatureException",
            f"Signature expired or not yet current: {timestamp} is more than {skew_s:g} s from this clock.",
        )
    body_hash = hashlib.sha256(body).hexdigest()
    canonical = canonical_request(method, target, headers, credential.signed_headers, body_hash)
    if not hmac.compare_digest(sign(secret, credential, timestamp, canonical), credential.signature):
        raise _denied(
            "InvalidSignatureException",
            "The request signature we calculated does not match the signature "
            "you provided. Check your AWS Secret Access Key and signing method.",
        )
    return credential.access_key_id
