"""Reads the configuration file that the platform gives to a gateway."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from saffronstack.discovery.dns.endpoint_list import EndpointList, WorkerChanges
from saffronstack.discovery.dns.startup_events import apply_startup_events
from saffronstack.routing.settings import Settings
from saffronstack.routing.validation import validate_settings
from saffronstack.settings_parser import SettingsError, parse_settings

MAX_CONFIG_BYTES = 8 * 1024 * 1024
DEFAULT_PORT = 5353  # port of an address that names none


class ConfigError(ValueError):
    """The configuration can't be used; the message names the invalid part."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that the platform grants to the gateway."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The content of the configuration file; times in seconds."""

    name: str
    listen: tuple[str, int]
    seed: int
    limits: Limits
    nameserver: tuple[str, int]
    known: Mapping[str, Any]  # endpoint snapshot and updates that the gateway starts with
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    streams: int  # maximum of concurrent requests on one connection to a worker
    idle_s: float  # idle timeout of connections to workers
    max_open_calls: int

    def initial_endpoint_list(self) -> tuple[EndpointList, WorkerChanges]:
        """Return the initial endpoint list and its worker changes; ConfigError if `known` is malformed."""
        endpoint_list = EndpointList(self.zones, self.kinds)
        try:
            return endpoint_list, apply_startup_events(endpoint_list, self.known)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ConfigError(f"known: {error!r}") from error


# Fields that take effect only when the gateway restarts. `known` and `seed` are left out: they are used
# only at startup, so a running gateway can ignore new values.
_NEEDS_RESTART = (
    "name",
    "listen",
    "limits",
    "settings",
    "zones",
    "kinds",
    "streams",
    "idle_s",
    "max_open_calls",
)


def parts_needing_restart(current: PlatformConfig, new: PlatformConfig) -> list[str]:
    """Return the names of the fields that differ and that a reload doesn't apply."""
    return [name for name in _NEEDS_RESTART if getattr(current, name) != getattr(new, name)]


def read_config(path: str) -> PlatformConfig:
    """Return the configuration in a file; ConfigError if the file can't be read or is invalid."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    if len(content) > MAX_CONFIG_BYTES:
        raise ConfigError(f"{path}: larger than {MAX_CONFIG_BYTES} bytes")
    try:
        return parse_config(content)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_config(content: bytes) -> PlatformConfig:
    """Return the configuration in JSON; ConfigError if it is invalid."""
    try:
        raw = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError("not a JSON object")
    try:
        return _build_config(raw)
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"malformed: {error!r}") from error


def _build_config(raw: Mapping[str, Any]) -> PlatformConfig:
    settings_fields = raw["settings"]
    settings = parse_settings(msgspec.json.encode(settings_fields).decode()).settings
    validate_settings(settings)
    permissions = settings_fields.get("Permissions") or {}
    limits = raw.get("limits") or {}
    return PlatformConfig(
        str(raw.get("name", "")),
        parse_address(raw["listen"]),
        int(str(raw["seed"]), 16),
        Limits(
            float(limits.get("cores", 1.0)),
            float(limits.get("memory_mb", 192)),
            int(limits.get("sockets", 1024)),
        ),
        parse_address(raw["nameserver"]),
        raw.get("known") or {},
        settings,
        tuple(str(name) for name in settings_fields.get("Areas") or ()),
        tuple(str(name) for name in settings_fields.get("Kinds") or ()),
        max(1, int(permissions.get("StreamsPerConn", 1))),
        float(permissions.get("IdleCloseS", 30)),
        max(1, int(permissions.get("MaxOpen", 20000))),
    )


def parse_address(text: object) -> tuple[str, int]:
    """Return host and port of an address like ``10.0.0.4:10080``; ValueError if it is not one.

    Only IPv4 is accepted. An address without a port gets `DEFAULT_PORT`.
    """
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, found, port = text.rpartition(":")
    if not found:
        host, port = text, str(DEFAULT_PORT)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise ValueError(f"not an IPv4 address: {text!r}") from error
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        raise ValueError(f"not a port: {text!r}")
    return host, int(port)
