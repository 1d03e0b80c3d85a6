"""A roster file's text, checked: its workers, or why it can't be used, with file, line and reason. No I/O."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from saffronstack.config.load import ConfigError, convert
from saffronstack.config.schema import Struct, Worker
from saffronstack.discovery.files.line_numbers import line_of
from saffronstack.engine.identifiers import worker_number

SIZE_LEAST, SIZE_MOST = 0.01, 100.0
_PLACE = re.compile(r"^(?P<place>[A-Za-z_][\w.\[\]]*)(?: \([^)]*\))?: ")
_JSON_LINE = re.compile(r"<string>:(\d+)")


class RosterFile(Struct, frozen=True, kw_only=True):
    """One file. ``generation`` rises with each version; 0 where nobody counts."""

    generation: Annotated[int, msgspec.Meta(ge=0)] = 0
    workers: tuple[Worker, ...]


class Manifest(Struct, frozen=True, kw_only=True):
    """What a directory's version is made of: file names and the xxh3-128 of their bytes, in hexadecimal."""

    generation: Annotated[int, msgspec.Meta(ge=1)]
    files: dict[str, Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]]


class RosterError(ValueError):
    """A version that can't be used; the text names file, line and reason."""


@dataclass(frozen=True, slots=True)
class Version:
    """A whole list, checked."""

    generation: int
    digest: str
    workers: tuple[Worker, ...]

    def by_name(self) -> dict[str, Worker]:
        """Workers by their names."""
        return {worker.id: worker for worker in self.workers}


def manifest(text: str, name: str) -> Manifest:
    """A directory's manifest; RosterError."""
    try:
        found = convert(text, Manifest, name)
    except ConfigError as error:
        raise RosterError(_with_line(str(error), text, name)) from error
    for file in found.files:
        if "/" in file or file.startswith("."):
            raise RosterError(f"{name}: files: {file!r} is no plain file name")
    return found


def version(
    texts: Iterable[tuple[str, str]], digest: str, kinds: Collection[str], generation: int = 0
) -> Version:
    """The version that some files (name and text) make together; ``generation`` is the manifest's. ``kinds``:
    those the gateway knows. RosterError with every problem found, a line each."""
    workers: list[Worker] = []
    problems: list[str] = []
    places: dict[str, str] = {}  # what was seen, and where first
    for name, text in texts:
        try:
            found = convert(text, RosterFile, name)
        except ConfigError as error:
            problems += [_with_line(line, text, name) for line in str(error).splitlines()]
            continue
        if generation and found.generation not in (0, generation):
            problems.append(
                f"{name}:{line_of(text, 'generation')}: generation {found.generation}, "
                f"the manifest's is {generation}"
            )
        for number, worker in enumerate(found.workers):
            place = f"workers[{number}]"
            for field, why in _wrong(worker, kinds):
                problems.append(
                    f"{name}:{line_of(text, f'{place}.{field}')}: {place} ({worker.id}).{field}: {why}"
                )
            here = f"{name}:{line_of(text, place)}"
            for what, mark in (
                (f"worker {worker.id!r}", f"id {worker.id}"),
                (f"address {worker.address}", f"at {worker.address}"),
                (f"the number of {worker.id!r}", f"number {worker_number(worker.id)}"),
            ):
                if mark in places and not (mark.startswith("number") and f"id {worker.id}" in places):
                    problems.append(f"{here}: {place}: {what} stands at {places[mark]} already")
                places.setdefault(mark, here)
            workers.append(worker)
        generation = generation or found.generation
    if problems:
        raise RosterError("\n".join(problems))
    return Version(generation, digest, tuple(workers))


def _wrong(worker: Worker, kinds: Collection[str]) -> list[tuple[str, str]]:
    found = []
    host, _, port = worker.address.rpartition(":")
    if not 0 < int(port) < 65536:
        found.append(("address", f"no port {port}"))
    if re.fullmatch(r"[0-9.]+", host):
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            found.append(("address", f"{host} is no IP address"))
        else:
            if address.is_unspecified or address.is_multicast:
                found.append(("address", f"no worker can be at {host}"))
    if not SIZE_LEAST <= worker.size <= SIZE_MOST:
        found.append(("size", f"{worker.size:g} is not between {SIZE_LEAST:g} and {SIZE_MOST:g}"))
    if worker.kind not in kinds:
        found.append(("kind", f"no kind is named {worker.kind!r}; a new one needs a restart"))
    return found


def _with_line(problem: str, text: str, name: str) -> str:
    """A complaint of the schema's, with its line."""
    rest = problem.removeprefix(f"{name}: ")
    if match := _JSON_LINE.search(rest):
        return f"{name}:{match[1]}: {rest}"
    match = _PLACE.match(rest)
    return f"{name}:{line_of(text, match['place']) if match else 1}: {rest}"
