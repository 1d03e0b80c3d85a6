"""Write the names of configuration files and command lines with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_configuration.py

`data/configuration` receives the schemas of all configuration files, the commands with their options, and the
router settings that result from a gateway's and a platform's configuration, as the head of a decision record.
The script imports modules by the names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
from typing import Any

import msgspec

samples = importlib.import_module("settings_samples")
stored_files = importlib.import_module("stored_files")

DESTINATION = pathlib.Path(__file__).parent / "data" / "configuration"


def write_schemas() -> None:
    """Write the schema of each kind of configuration file."""
    schema = importlib.import_module("saffronstack.config.schema")
    fleet = importlib.import_module("saffronstack.config.fleet")
    parsing = importlib.import_module("saffronstack.roster.parsing")
    day = importlib.import_module("saffronstack.harness.scenario.plan")
    kinds = {
        "gateway": schema.Config,
        "fleet": fleet.FleetFile,
        "roster": parsing.RosterFile,
        "manifest": parsing.Manifest,
        "day": day.Plan,
    }
    schemas = {name: stored_files.plain_schema(kind) for name, kind in kinds.items()}
    (DESTINATION / "schemas.json").write_text(json.dumps(schemas, indent=1, sort_keys=True))


def write_commands() -> None:
    """Write every command with its options and arguments."""
    cli = importlib.import_module("saffronstack.cli.main")
    commands = stored_files.command_lines(cli.main, "saffronstack")
    (DESTINATION / "commands.json").write_text(json.dumps(commands, indent=1))


def write_head(name: str, settings: Any) -> None:
    """Write the settings as the head of a decision record."""
    record = importlib.import_module("saffronstack.core.record")
    recorder = record.Recorder(str(DESTINATION / f"{name}.record"), settings, 1)
    assert recorder.close()


def write_platform_figures(found: Any) -> None:
    """Write the other values of a platform's configuration."""
    figures = [
        found.name,
        found.listen,
        found.seed,
        [found.limits.cores, found.limits.memory_mb, found.limits.sockets],
        found.nameserver,
        found.zones,
        found.kinds,
        found.streams,
        found.idle_s,
        found.max_open_calls,
    ]
    (DESTINATION / "platform.json").write_text(json.dumps(figures, indent=1))


def main() -> None:
    """Write all files."""
    configs = importlib.import_module("saffronstack.config")
    build = importlib.import_module("saffronstack.config.build")
    platform = importlib.import_module("saffronstack.platform.config")
    report = importlib.import_module("saffronstack.settings").report
    interface = importlib.import_module("saffronstack.interface")
    record = importlib.import_module("saffronstack.core.record")
    DESTINATION.mkdir(parents=True, exist_ok=True)
    write_schemas()
    write_commands()
    config = configs.parse(json.dumps(samples.GATEWAY))
    write_head("gateway", build.settings_of(config))
    specs = [
        [spec.number, spec.name, spec.host, spec.port, spec.draining, spec.size, spec.kind, spec.zone,
         spec.cell, spec.started_at]
        for spec in build.workers_of(config)
    ]  # fmt: skip
    (DESTINATION / "workers.json").write_text(json.dumps(specs, indent=1))
    found = platform.parse(msgspec.json.encode(samples.PLATFORM_FILE))
    write_head("platform", found.settings)
    write_platform_figures(found)
    names = samples.PLATFORM["LoadInfo"]["Fields"]
    told = report([(name, 1.5 + place) for place, name in enumerate([*names, "unknown"])])
    recorder = record.Recorder(str(DESTINATION / "load_report.record"), found.settings, 1)
    recorder.record(1.0, interface.Probed(1, interface.Result.OK, 0.5, told), [])
    assert recorder.close()


if __name__ == "__main__":
    main()
