"""Validation of daemons and their gateways in the fleet file."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from saffronstack.config.fleet import load_fleet_file
from saffronstack.config.load import ConfigError


def write_fleet_file(tmp_path: pathlib.Path, *daemons: dict[str, Any]) -> str:
    path = tmp_path / "fleet.json5"
    keepers = [{"name": f"k{n}", "address": f"127.0.0.1:{9101 + n}"} for n in range(3)]
    path.write_text(json.dumps({"fleet": "f", "keepers": keepers, "daemons": daemons}))
    return str(path)


def daemon_entry(
    name: str = "d1", address: str = "127.0.0.1:9201", gateway: str = "g1", listen: str = "127.0.0.1:9000"
) -> dict[str, Any]:
    gateways = [{"name": gateway, "listen": listen, "config": "x.json5"}]
    return {"name": name, "address": address, "releases": "r", "state_directory": "s", "gateways": gateways}


@pytest.mark.parametrize(
    ("daemons", "reason"),
    [
        ([daemon_entry(address="8.8.8.8:9201")], "8.8.8.8 is no private address"),
        ([daemon_entry(address="example.com:9201")], "no private address"),
        ([daemon_entry(address="127.0.0.1:9101")], "is that of a keeper too"),
        (
            [daemon_entry(), daemon_entry(name="d2", address="127.0.0.1:9202")],
            "gateway 'g1' is defined twice",
        ),
        ([daemon_entry(), daemon_entry(gateway="g2", address="127.0.0.1:9202")], "the name is used twice"),
        (
            [daemon_entry(), daemon_entry(name="d2", address="127.0.0.1:9202", gateway="g2")],
            "is that of d1.g1 too",
        ),
    ],
)  # fmt: skip
def test_a_fleet_file_with_conflicting_addresses_or_names_is_rejected(
    tmp_path: pathlib.Path, daemons: list[dict[str, Any]], reason: str
) -> None:
    with pytest.raises(ConfigError, match=reason):
        load_fleet_file(write_fleet_file(tmp_path, *daemons))


def test_a_fleet_file_maps_each_gateway_to_its_daemon(tmp_path: pathlib.Path) -> None:
    two = daemon_entry("d2", "10.0.0.2:9201", "g2", "10.0.0.2:9000")
    assert load_fleet_file(write_fleet_file(tmp_path, daemon_entry(), two)).daemons_by_gateway() == {
        "g1": "d1",
        "g2": "d2",
    }
