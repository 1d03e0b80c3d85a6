"""Parses and checks the text of worker files. Reports file, line and reason of each error. No I/O."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec

from saffronstack.config.load import ConfigError, convert
from saffronstack.config.schema import Struct, Worker
from saffronstack.discovery.errors import DiscoveryError
from saffronstack.discovery.files.line_numbers import find_line
from saffronstack.engine.identifiers import worker_number

MIN_CAPACITY, MAX_CAPACITY = 0.01, 100.0  # relative to other workers
MAX_PORT = 65535
_SCHEMA_ERROR_PATH = re.compile(r"^(?P<path>[A-Za-z_][\w.\[\]]*)(?: \([^)]*\))?: ")
_JSON5_ERROR_LINE = re.compile(r"<string>:(\d+)")
_DIGITS_AND_DOTS = re.compile(r"[0-9.]+")


class WorkerFile(Struct, frozen=True, kw_only=True):
    """Content of one worker file. ``generation`` increases with each version; 0 means that it is not set."""

    generation: Annotated[int, msgspec.Meta(ge=0)] = 0
    workers: tuple[Worker, ...]


class Manifest(Struct, frozen=True, kw_only=True):
    """The manifest of a directory. ``files`` maps each file name to its xxh3-128 digest in hexadecimal."""

    generation: Annotated[int, msgspec.Meta(ge=1)]
    files: dict[str, Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]]


class InvalidWorkerFileError(DiscoveryError, ValueError):
    """A version can't be used. The message has one line for each error, with file, line number and reason."""


@dataclass(frozen=True, slots=True)
class SourceFile:
    """Name and text of one file of a version."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class WorkerListVersion:
    """A complete and valid list of workers.

    Attributes:
        generation: Generation number that the writer of the file set; 0 if there is none.
        digest: xxh3-128 of the file or the manifest, in hexadecimal.
        workers: The listed workers.
    """

    generation: int
    digest: str
    workers: tuple[Worker, ...]

    def by_name(self) -> dict[str, Worker]:
        """Return the workers keyed by name."""
        return {worker.id: worker for worker in self.workers}


@dataclass(frozen=True, slots=True)
class _FieldError:
    """An invalid field of a worker, and the reason."""

    field: str
    reason: str


def parse_manifest(file: SourceFile) -> Manifest:
    """Parse the manifest of a directory.

    Raises:
        InvalidWorkerFileError: The text is not a manifest, or it names files in other directories.
    """
    try:
        manifest = convert(file.text, Manifest, file.name)
    except ConfigError as error:
        raise InvalidWorkerFileError(_add_location(str(error), file)) from error
    for name in manifest.files:
        if "/" in name or name.startswith("."):
            raise InvalidWorkerFileError(f"{file.name}: files: {name!r} is not a plain file name")
    return manifest


def parse_version(
    files: Iterable[SourceFile], digest: str, kinds: Collection[str] | None, generation: int = 0
) -> WorkerListVersion:
    """Parse the files of a version.

    Args:
        files: All files of the version.
        digest: Digest that identifies the version.
        kinds: Names of the worker kinds in the configuration; None allows any kind.
        generation: Generation of the manifest. If it is 0, the first generation in a file is used.

    Raises:
        InvalidWorkerFileError: The version can't be used. The message has all errors that were found.
    """
    parser = _VersionParser(kinds, generation)
    for file in files:
        parser.parse(file)
    if parser.errors:
        raise InvalidWorkerFileError("\n".join(parser.errors))
    return WorkerListVersion(parser.generation, digest, tuple(parser.workers))


class _VersionParser:
    """Collects the workers and the errors of several files."""

    def __init__(self, kinds: Collection[str] | None, generation: int) -> None:
        self.generation = generation
        self.workers: list[Worker] = []
        self.errors: list[str] = []
        self._kinds = kinds
        self._first_locations: dict[str, str] = {}  # file and line, by value that has to be unique
        self._names_by_number: dict[int, str] = {}  # names of workers, by the number derived from the name

    def parse(self, file: SourceFile) -> None:
        """Add the workers and the errors of one file."""
        try:
            content = convert(file.text, WorkerFile, file.name)
        except ConfigError as error:
            self.errors += [_add_location(line, file) for line in str(error).splitlines()]
            return
        if self.generation and content.generation not in (0, self.generation):
            self.errors.append(
                f"{_location_of(file, 'generation')}: generation {content.generation}, "
                f"the manifest's is {self.generation}"
            )
        for index, worker in enumerate(content.workers):
            self._add_worker(file, f"workers[{index}]", worker)
        self.generation = self.generation or content.generation

    def _add_worker(self, file: SourceFile, path: str, worker: Worker) -> None:
        for error in _check_worker(worker, self._kinds):
            line = _location_of(file, f"{path}.{error.field}")
            self.errors.append(f"{line}: {path} ({worker.id}).{error.field}: {error.reason}")
        line = _location_of(file, path)
        for value in (f"worker {worker.id!r}", f"address {worker.address}"):
            self._require_unique(value, line, path)
        other = self._names_by_number.setdefault(worker_number(worker.id), worker.id)
        if other != worker.id:
            self.errors.append(
                f"{line}: {path} ({worker.id}): the hash of its name is that of {other!r}; rename one of them"
            )
        self.workers.append(worker)

    def _require_unique(self, value: str, line: str, path: str) -> None:
        if value in self._first_locations:
            self.errors.append(f"{line}: {path}: {value} is already listed at {self._first_locations[value]}")
        self._first_locations.setdefault(value, line)


def _check_worker(worker: Worker, kinds: Collection[str] | None) -> Iterator[_FieldError]:
    host, _, port = worker.address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        yield _FieldError("address", f"port {port} is out of range")
    if reason := _check_host(host):
        yield _FieldError("address", reason)
    if not MIN_CAPACITY <= worker.size <= MAX_CAPACITY:
        yield _FieldError("size", f"{worker.size:g} is not between {MIN_CAPACITY:g} and {MAX_CAPACITY:g}")
    if kinds is not None and worker.kind not in kinds:
        yield _FieldError("kind", f"no kind is named {worker.kind!r}; a new kind requires a restart")


def _check_host(host: str) -> str:
    """Return why a host can't be used; empty if it can. Host names are checked by the resolver."""
    if not _DIGITS_AND_DOTS.fullmatch(host):
        return ""
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return f"{host} is not an IP address"
    if address.is_unspecified or address.is_multicast:
        return f"a worker can't have the address {host}"
    return ""


def _location_of(file: SourceFile, path: str) -> str:
    return f"{file.name}:{find_line(file.text, path)}"


def _add_location(error: str, file: SourceFile) -> str:
    """Prepend file and line to an error of the schema check."""
    detail = error.removeprefix(f"{file.name}: ")
    if match := _JSON5_ERROR_LINE.search(detail):
        return f"{file.name}:{match[1]}: {detail}"
    match = _SCHEMA_ERROR_PATH.match(detail)
    line = find_line(file.text, match["path"]) if match else 1
    return f"{file.name}:{line}: {detail}"
