"""Configuration files, command lines and platform settings keep the names and meaning of commit 0684301."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

import msgspec
import pytest

from saffronstack import Settings
from saffronstack import config as configs
from saffronstack.cli.main import main
from saffronstack.config import fleet as fleet_files
from saffronstack.config import schema
from saffronstack.config.build import build_configured_workers, build_settings
from saffronstack.discovery.files import parsing
from saffronstack.engine.decision_record_format import event_from_tagged
from saffronstack.engine.decision_recorder import DecisionRecorder
from saffronstack.harness.scenario import plan as day_files
from saffronstack.platform import config as platform
from saffronstack.settings_parser import parse_load_report, parse_settings
from tests.stored_formats import settings_samples
from tests.stored_formats.stored_files import DATA, command_lines, plain_schema, record_values

CONFIGURATION = DATA / "configuration"
KINDS = {
    "gateway": schema.Config,
    "fleet": fleet_files.FleetFile,
    "roster": parsing.WorkerFile,
    "manifest": parsing.Manifest,
    "day": day_files.Plan,
}


def stored(name: str) -> Any:
    return json.loads((CONFIGURATION / name).read_text())


def head_of(settings: Settings, path: pathlib.Path) -> Any:
    """Return settings as stored in the head of a decision record."""
    recorder = DecisionRecorder(str(path), settings, 1)
    assert recorder.close()
    return msgspec.msgpack.decode(record_values(path)[0])


def test_every_stored_schema_is_compared() -> None:
    assert set(KINDS) == set(stored("schemas.json"))


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_a_configuration_file_has_the_same_keys_and_defaults(kind: str) -> None:
    assert json.loads(json.dumps(plain_schema(KINDS[kind]))) == stored("schemas.json")[kind]


def test_commands_have_the_same_names_and_options() -> None:
    assert command_lines(main, "saffronstack") == stored("commands.json")


def test_a_gateways_configuration_means_the_same_settings(tmp_path: pathlib.Path) -> None:
    config = configs.parse(json.dumps(settings_samples.GATEWAY))
    expected = msgspec.msgpack.decode(record_values(CONFIGURATION / "gateway.record")[0])
    assert head_of(build_settings(config), tmp_path / "gateway.record") == expected


def test_a_gateways_configuration_means_the_same_workers() -> None:
    config = configs.parse(json.dumps(settings_samples.GATEWAY))
    specs = [list(dataclasses.astuple(spec)) for spec in build_configured_workers(config)]
    assert specs == stored("workers.json")


def test_a_platforms_file_means_the_same_settings(tmp_path: pathlib.Path) -> None:
    found = platform.parse_config(msgspec.json.encode(settings_samples.PLATFORM_FILE))
    expected = msgspec.msgpack.decode(record_values(CONFIGURATION / "platform.record")[0])
    assert head_of(found.settings, tmp_path / "platform.record") == expected
    figures = [
        found.name,
        list(found.listen),
        found.seed,
        list(dataclasses.astuple(found.limits)),
        list(found.nameserver),
        list(found.zones),
        list(found.kinds),
        found.streams,
        found.idle_s,
        found.max_open_calls,
    ]
    assert figures == stored("platform.json")


def test_simulator_settings_are_parsed_the_same(tmp_path: pathlib.Path) -> None:
    parsed = parse_settings(json.dumps(settings_samples.PLATFORM))
    expected = msgspec.msgpack.decode(record_values(CONFIGURATION / "platform.record")[0])
    assert head_of(parsed.settings, tmp_path / "bench.record") == expected
    assert list(parsed.load_report_fields) == settings_samples.PLATFORM["LoadInfo"]["Fields"]


def test_values_of_a_load_report_keep_their_names_and_units() -> None:
    names = settings_samples.PLATFORM["LoadInfo"]["Fields"]
    parsed_report = parse_load_report([(name, 1.5 + index) for index, name in enumerate([*names, "unknown"])])
    _, event, _ = msgspec.msgpack.decode(record_values(CONFIGURATION / "load_report.record")[1])
    expected = event_from_tagged(event)
    assert parsed_report in [getattr(expected, field.name) for field in dataclasses.fields(expected)]
    assert None not in dataclasses.astuple(parsed_report)
