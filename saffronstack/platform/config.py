"""The configuration that the platform hands a gateway."""

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

CONFIG_BYTES = 8 * 1024 * 1024
DIRECTORY_PORT = 5353


class ConfigError(ValueError):
    """The configuration can't be used; the text names the part."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the gateway may use."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """One reading of the configuration file; times in seconds."""

    name: str
    listen: tuple[str, int]
    seed: int
    limits: Limits
    nameserver: tuple[str, int]
    known: Mapping[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    streams: int  # requests that one connection to a host may carry
    idle_s: float  # idle connections to hosts are closed after this long
    max_open_calls: int

    def membership(self) -> tuple[EndpointList, WorkerChanges]:
        """The list of the start; ConfigError."""
        endpoint_list = EndpointList(self.zones, self.kinds)
        try:
            return endpoint_list, apply_startup_events(endpoint_list, self.known)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ConfigError(f"known: {error!r}") from error


# Parts that a running gateway keeps until it is restarted. `known` is the list of the start and `seed` is new
# with each start: neither concerns one that runs.
_KEPT = ("name", "listen", "limits", "settings", "zones", "kinds", "streams", "idle_s", "max_open_calls")


def needing_restart(in_force: PlatformConfig, fresh: PlatformConfig) -> list[str]:
    """Names of the parts that differ and that no signal applies."""
    return [name for name in _KEPT if getattr(in_force, name) != getattr(fresh, name)]


def read(path: str) -> PlatformConfig:
    """The file's configuration; ConfigError, also where it can't be read."""
    try:
        with open(path, "rb") as file:
            content = file.read(CONFIG_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    if len(content) > CONFIG_BYTES:
        raise ConfigError(f"{path}: over {CONFIG_BYTES} bytes")
    try:
        return parse(content)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse(content: bytes) -> PlatformConfig:
    """The configuration in these bytes; ConfigError."""
    try:
        raw = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError("not a JSON object")
    try:
        return _config(raw)
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"malformed: {error!r}") from error


def _config(raw: Mapping[str, Any]) -> PlatformConfig:
    told = raw["settings"]
    settings = parse_settings(msgspec.json.encode(told).decode()).settings
    validate_settings(settings)
    permit = told.get("Permissions") or {}
    limits = raw.get("limits") or {}
    return PlatformConfig(
        str(raw.get("name", "")),
        address(raw["listen"]),
        int(str(raw["seed"]), 16),
        Limits(
            float(limits.get("cores", 1.0)),
            float(limits.get("memory_mb", 192)),
            int(limits.get("sockets", 1024)),
        ),
        address(raw["nameserver"]),
        raw.get("known") or {},
        settings,
        tuple(str(name) for name in told.get("Areas") or ()),
        tuple(str(name) for name in told.get("Kinds") or ()),
        max(1, int(permit.get("StreamsPerConn", 1))),
        float(permit.get("IdleCloseS", 30)),
        max(1, int(permit.get("MaxOpen", 20000))),
    )


def address(text: object) -> tuple[str, int]:
    """IPv4 address and port, as in ``10.0.0.4:10080``; ValueError."""
    if not isinstance(text, str):
        raise ValueError(f"no address: {text!r}")
    host, found, port = text.rpartition(":")
    if not found:
        host, port = text, str(DIRECTORY_PORT)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise ValueError(f"no IPv4 address: {text!r}") from error
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        raise ValueError(f"no port: {text!r}")
    return host, int(port)
