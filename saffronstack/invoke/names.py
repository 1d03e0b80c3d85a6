"""Parses request targets and function names: a name, a partial ARN or a full ARN, with a qualifier."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

from saffronstack.engine.identifiers import LATEST
from saffronstack.invoke.errors import InvokeError, bad_parameter

INVOKE_PATH = re.compile(r"/2015-03-31/functions/([^/]+)/invocations/?")
DEFERRED_PATH = re.compile(r"/deferred/([^/]+)")
OPERATION_PATH = re.compile(r"/operations/([^/]+)")
USAGE_PATH = re.compile(r"/usage/([^/]+)")
_FUNCTION_NAME = re.compile(
    r"(?:arn:(?P<partition>aws[a-zA-Z-]*):lambda:(?P<region>[a-z]{2}(?:-[a-z]+)+-\d):)?"
    r"(?:(?P<account>\d{12}):)?(?:function:)?"
    r"(?P<name>[a-zA-Z0-9_.-]+)(?::(?P<qualifier>\$LATEST|[a-zA-Z0-9_-]+))?"
)
_QUALIFIER = re.compile(r"\$LATEST|[a-zA-Z0-9_-]{1,128}")


@dataclass(frozen=True, slots=True)
class QualifiedFunction:
    """A function and its qualifier: a version or an alias."""

    name: str
    qualifier: str


def parse_request_target(text: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its path and its query parameters.

    Raises:
        InvokeError: The target is malformed.
    """
    if not text.startswith("/"):
        raise bad_parameter("The request target must be a path.")
    try:
        parts = urlsplit(text)
        pairs = parse_qsl(
            parts.query, keep_blank_values=True, strict_parsing=bool(parts.query), max_num_fields=16
        )
    except ValueError as error:
        raise bad_parameter(f"The query string is malformed: {error}.") from error
    return parts.path, dict(pairs)


def parse_function(part: str, query: dict[str, str], account: str, region: str) -> QualifiedFunction:
    """Return the function that a percent-encoded path segment and the query parameters name.

    Raises:
        InvokeError: The name or the qualifier is malformed, or the account or region is another one.
    """
    text = unquote(part)
    match = _FUNCTION_NAME.fullmatch(text)
    if match is None or len(text) > 170:
        raise bad_parameter(
            f"Value '{text[:200]}' at 'functionName' failed to satisfy the function name pattern."
        )
    if (match["account"] or account) != account or (match["region"] or region) != region:
        raise InvokeError(404, "ResourceNotFoundException", f"Function not found: {text}")
    qualifier = query.get("Qualifier", "")
    if qualifier and not _QUALIFIER.fullmatch(qualifier):
        raise bad_parameter(
            f"Value '{qualifier[:200]}' at 'qualifier' failed to satisfy the qualifier pattern."
        )
    if qualifier and match["qualifier"] and qualifier != match["qualifier"]:
        raise bad_parameter(
            "The derived qualifier from the function name does not match the specified qualifier."
        )
    return QualifiedFunction(match["name"], qualifier or match["qualifier"] or LATEST)


def arn(region: str, account: str, name: str, qualifier: str = "") -> str:
    """Return the ARN of a function."""
    return f"arn:aws:lambda:{region}:{account}:function:{name}" + (f":{qualifier}" if qualifier else "")
