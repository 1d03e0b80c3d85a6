"""Reads configuration files; error messages give the file, the key's path and the nearest known key."""

from __future__ import annotations

import difflib
import json
import pathlib
import re
import types
import typing
from typing import Any

import json5
import msgspec

from saffronstack.config.schema import Config
from saffronstack.config.validation import validation_errors

T = typing.TypeVar("T", bound=msgspec.Struct)
_LOCATION = re.compile(r" - at `\$\.?(.*)`$")


class ConfigError(ValueError):
    """The file can't be used; the message gives file, key path and reason."""


def load(path: str) -> Config:
    """Read and validate a configuration file.

    Raises:
        ConfigError: The file can't be read or is invalid.
    """
    return parse(read_text(path), path)


def read_text(path: str) -> str:
    """Return the text of a file.

    Raises:
        ConfigError: The file can't be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: byte {error.start}: not UTF-8") from error


def parse(text: str, name: str = "configuration") -> Config:
    """Parse and validate a configuration; error messages start with ``name``.

    Raises:
        ConfigError: The configuration is invalid.
    """
    config = convert(text, Config, name)
    problems = validation_errors(config)
    if not config.workers and config.roster is None and "workers" not in _load_json5(text):
        problems.append("workers: missing, and no roster is configured")
    if problems:
        raise ConfigError("\n".join(f"{name}: {problem}" for problem in problems))
    return config


def convert(text: str, kind: type[T], name: str) -> T:
    """Parse JSON5 into a struct of the schema.

    Raises:
        ConfigError: The text is not JSON5 or does not match the schema.
    """
    try:
        raw = _load_json5(text)
    except ValueError as error:
        raise ConfigError(f"{name}: not JSON5: {error}") from error
    except RecursionError as error:
        raise ConfigError(f"{name}: nested too deeply") from error
    unknown = _unknown_keys(raw, kind, "")
    if unknown:
        raise ConfigError("\n".join(f"{name}: {line}" for line in unknown))
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        match = _LOCATION.search(text)
        location = match[1] if match else ""
        reason = text[: match.start()] if match else text
        raise ConfigError(f"{name}: {location or 'top level'}: {reason}") from error


def _load_json5(text: str) -> Any:
    """Parse JSON5; plain JSON, which scripts write, takes a parser that is a thousand times as fast.

    Raises:
        ValueError: The text is not JSON5, or an object has a duplicate key.
    """
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except DuplicateKeyError as error:
        raise ValueError(str(error)) from error
    except ValueError:
        return json5.loads(text, allow_duplicate_keys=False)


class DuplicateKeyError(Exception):
    """An object has a duplicate key."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        keys = [key for key, _ in pairs]
        twice = next(key for key in keys if keys.count(key) > 1)
        raise DuplicateKeyError(f'Duplicate key "{twice}" found in object')
    return found


def _unknown_keys(raw: object, kind: Any, location: str) -> list[str]:
    """Return an error message for each unknown key, with the nearest known key."""
    kind = _without_annotations(kind)
    lines: list[str] = []
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(raw, dict):
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        for key, value in raw.items():
            key_location = f"{location}.{key}" if location else str(key)
            if key in fields:
                lines.extend(_unknown_keys(value, fields[key].type, key_location))
                continue
            near = difflib.get_close_matches(str(key), list(fields), n=1, cutoff=0.5)
            hint = f"; did you mean {near[0]!r}?" if near else f"; known are {', '.join(sorted(fields))}"
            lines.append(f"{key_location}: unknown key{hint}")
    elif typing.get_origin(kind) is tuple and isinstance(raw, list):
        inner = typing.get_args(kind)[0]
        for number, value in enumerate(raw):
            lines.extend(_unknown_keys(value, inner, f"{location}[{number}]"))
    return lines


def _without_annotations(kind: Any) -> Any:
    """Return the type without annotations and without None."""
    while typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        members = [member for member in typing.get_args(kind) if member is not type(None)]
        return _without_annotations(members[0]) if len(members) == 1 else kind
    return kind
