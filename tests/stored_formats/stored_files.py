"""Helpers shared by the tests of stored files and the scripts that wrote the files.

The capture scripts run with the code of an old commit, so this module imports nothing from the package.
"""

from __future__ import annotations

import json
import pathlib
import re
import socket
import struct
import threading
import time
from typing import Any

import msgspec
import xxhash
import zstandard

DATA = pathlib.Path(__file__).parent / "data"
WAIT_S = 10.0
BUSY_MACHINE_TIMEOUT_S = 25.0  # long, so that a busy machine or disk does not fail a test
_HEADER = struct.Struct("<4sQIQ")
_LENGTH = struct.Struct("<I")
_PLAIN, _COMPRESSED = b"SfL1", b"SfZ1"


def segment_blocks(content: bytes) -> list[tuple[int, list[bytes]]]:
    """Return the number and the encoded records of each block; check both copies of the block."""
    blocks = []
    offset = 0
    while offset < len(content):
        magic, number, length, checksum = _HEADER.unpack_from(content, offset)
        end = offset + _HEADER.size + length
        body = content[offset + _HEADER.size : end]
        assert magic in (_PLAIN, _COMPRESSED)
        assert checksum == xxhash.xxh64_intdigest(struct.pack("<QI", number, length) + body)
        assert content[end : end + (end - offset)] == content[offset:end]
        blocks.append((number, _records(zstandard.decompress(body) if magic == _COMPRESSED else body)))
        offset = end + (end - offset)
    return blocks


def _records(content: bytes) -> list[bytes]:
    records, offset = [], 0
    while offset < len(content):
        (length,) = _LENGTH.unpack_from(content, offset)
        offset += _LENGTH.size
        records.append(content[offset : offset + length])
        assert len(records[-1]) == length
        offset += length
    return records


def segment_records(path: pathlib.Path) -> list[bytes]:
    """Return the encoded records of a segment file."""
    return [record for _, records in segment_blocks(path.read_bytes()) for record in records]


def record_values(path: pathlib.Path) -> list[bytes]:
    """Return the MessagePack values of a decision record."""
    with path.open("rb") as file:
        return _records(zstandard.ZstdDecompressor().stream_reader(file).read())


class SingleResponseServer:
    """Server on the loopback interface that receives one HTTP request and sends a fixed response."""

    def __init__(self, response: bytes) -> None:
        """Start to listen; `address` is the address."""
        self._response = response
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(WAIT_S)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._request = b""
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        with self._listener:
            peer, _ = self._listener.accept()
            with peer:
                peer.settimeout(WAIT_S)
                while not self._is_complete():
                    self._request += peer.recv(65536)
                peer.sendall(self._response)

    def _is_complete(self) -> bool:
        head, found, body = self._request.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        return bool(found) and length is not None and len(body) >= int(length[1])

    def request(self) -> bytes:
        """Wait for the request and its response; return the bytes of the request."""
        self._thread.join(WAIT_S)
        return self._request


def json_shape(value: Any) -> Any:
    """Return a JSON value with each leaf replaced by its type and each list cut to its first item."""
    if isinstance(value, dict):
        return {key: json_shape(part) for key, part in value.items()}
    if isinstance(value, list):
        return [json_shape(part) for part in value[:1]]
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    return "text" if isinstance(value, str) else "number"


def metrics_without_values(text: str) -> list[str]:
    """Return the lines of a Prometheus exposition without sample values and help texts."""
    lines = [line for line in text.splitlines() if not line.startswith("# HELP ")]
    return [line if line.startswith("#") else line.rpartition(" ")[0] for line in lines]


def complete_configuration(
    content: dict[str, Any], folder: pathlib.Path, workers: list[dict[str, Any]]
) -> dict[str, Any]:
    """Add all parts that have state or metrics to a sample configuration; state is kept in `folder`."""
    (folder / "roster.json5").write_text(json.dumps({"generation": 3, "workers": workers}))
    budget = {"window_s": 3600.0, "soft_mb_s": 1e6, "hard_mb_s": 2e6}
    content["tenants"][0]["budget"] = budget
    content["metering"] = {"directory": str(folder / "usage")}
    content["operations"] = {
        "directory": str(folder / "operations"),
        "commit_timeout_s": BUSY_MACHINE_TIMEOUT_S,
    }
    content["roster"] = {
        "path": str(folder / "roster.json5"),
        "state_directory": str(folder / "roster"),
        "removed_share": 1.0,
    }
    for request_class in content["classes"]:
        request_class["deadline_s"] = BUSY_MACHINE_TIMEOUT_S
        if request_class["effect"] != "safe":
            request_class["note_operations"] = True
    return content


def page_answers(client: Any, tenant: str) -> dict[str, Any]:
    """Make calls to a gateway; return the structure of its JSON responses and its metrics, by path."""
    call = {"op": "o1"}
    named = (("Idempotency-Key", "page-1"),)
    payload = json.dumps(call).encode()
    for function in ("record-sale", "identify-copy"):
        assert client.invoke(function, payload, extra=named).status == 200
        assert client.invoke(function, payload, extra=named).status == 200
    request_id = client.invoke("identify-copy", b'{"op": "d1"}', "Event").headers.get("x-amzn-requestid")
    pages = {
        "/deferred/ID": f"/deferred/{request_id}",
        "/deferred/UNKNOWN": "/deferred/0f8fad5b-d9cb-469f-a165-707288770000",
        "/usage/TENANT": f"/usage/{tenant}",
        "/operations/KEYED": "/operations/page-1?function=record-sale",
        "/operations/SAFE": "/operations/page-1?function=identify-copy",
        "/status": "/status",
    }
    until_s = time.monotonic() + 2 * BUSY_MACHINE_TIMEOUT_S
    while client.request("GET", pages["/deferred/ID"]).status == 202 and time.monotonic() < until_s:
        time.sleep(0.01)
    while not _is_charged(client, pages["/usage/TENANT"]) and time.monotonic() < until_s:
        time.sleep(0.01)
    answers = {}
    for name, target in pages.items():
        answer = client.request("GET", target)
        answers[name] = {"status": answer.status, "body": json_shape(json.loads(answer.body))}
    answers["/healthz"] = {"status": 200, "body": client.request("GET", "/healthz").body.decode()}
    metrics = client.request("GET", "/metrics").body.decode()
    answers["/metrics"] = {"status": 200, "body": metrics_without_values(metrics)}
    return answers


def _is_charged(client: Any, target: str) -> bool:
    """Return whether the usage of both called functions is charged."""
    return len(json.loads(client.request("GET", target).body)["functions"]) == 2


def plain_schema(kind: Any) -> Any:
    """Return the JSON schema of a msgspec type without type names and docstrings."""
    schema = msgspec.json.schema(kind)
    return _inlined(schema, schema.get("$defs", {}))


def _inlined(node: Any, definitions: dict[str, Any]) -> Any:
    if isinstance(node, list):
        return [_inlined(part, definitions) for part in node]
    if not isinstance(node, dict):
        return node
    if "$ref" in node:
        return _inlined(definitions[node["$ref"].rpartition("/")[2]], definitions)
    if "properties" in node:
        plain = {key: part for key, part in node.items() if key not in ("title", "description", "properties")}
        parts = {key: _inlined(part, definitions) for key, part in node["properties"].items()}
        return {**plain, "properties": parts}
    return {
        key: _inlined(part, definitions)
        for key, part in node.items()
        if key not in ("$defs", "title", "description")
    }


def command_lines(command: Any, name: str) -> dict[str, Any]:
    """Return the parameters of a click command and its subcommands, by command line."""
    found: dict[str, Any] = {name: [_parameter(one) for one in command.params]}
    for word, below in sorted(getattr(command, "commands", {}).items()):
        found |= command_lines(below, f"{name} {word}")
    return found


def _parameter(parameter: Any) -> dict[str, Any]:
    parameter_info = parameter.to_info_dict()
    is_argument = parameter_info["param_type_name"] == "argument"
    default = (
        parameter_info["default"]
        if isinstance(parameter_info["default"], (str, int, float, list, tuple))
        else None
    )
    return {
        "names": "argument" if is_argument else parameter_info["opts"] + parameter_info["secondary_opts"],
        "type": parameter_info["type"]["param_type"],
        "choices": list(parameter_info["type"].get("choices", ())),
        "required": parameter_info["required"],
        "count": parameter_info["nargs"],
        "repeated": parameter_info["multiple"],
        "default": default,
        "flag": parameter_info.get("is_flag", False),
    }
