"""Tests of the command ``saffronstack roster``."""

from __future__ import annotations

import json
import pathlib

from click.testing import CliRunner

from saffronstack.cli.main import main
from saffronstack.discovery.files.state_directory import StateDirectory
from saffronstack.standin.fleet import StubWorkerFleet
from tests.discovery.files.support import file_text, parse
from tests.support.stack import configuration


def test_the_roster_commands(tmp_path: pathlib.Path) -> None:
    def run(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["roster", *arguments])
        return result.exit_code, result.output

    fleet = StubWorkerFleet(1)
    entries = [{**fleet.entries()[0], "id": f"w{n}", "address": f"127.0.0.1:{2000 + n}"} for n in range(6)]
    path, other, config = tmp_path / "roster.json5", tmp_path / "other.json5", tmp_path / "gateway.json5"
    state = tmp_path / "state"
    content = configuration(fleet, workers=[], roster={"path": str(path), "state_directory": str(state)})
    config.write_text(json.dumps(content))
    fleet.stop()
    path.write_text(file_text(*entries, generation=2))
    code, output = run("check", str(path))
    assert (code, "6 workers" in output) == (0, True)
    assert run("show", "--config", str(config)) == (1, "no list was applied yet\n")
    StateDirectory(state).store_version(parse(path.read_text()), 0.0)
    other.write_text(file_text({**entries[0], "size": 2}, {**entries[1], "state": "draining"}, generation=3))
    code, output = run("diff", str(path), str(other))
    assert code == 1
    assert "~ w0: size 1.0 -> 2.0" in output
    assert "~ w1: state ready -> draining" in output
    assert "- w5 at" in output
    assert run("diff", str(path), str(path)) == (0, "")
    code, output = run("check", str(other), "--config", str(config))
    assert (code, "would be held: 4 of 6 ready workers" in output) == (1, True)
    other.write_text('{"workers": [\n{"id": 5}]}')
    code, output = run("check", str(other))
    assert (code, "other.json5:2: workers[0]" in output) == (1, True)
    code, output = run("drain", "w3", "w99", "--config", str(config))
    assert code == 0
    assert "w99: in no list" in output
    assert "draining (operator)" in run("show", "--config", str(config))[1]
    assert "drained by operators: w99" in run("drain", "w3", "--undo", "--config", str(config))[1]
    assert run("accept", "abc", "--config", str(config))[0] == 0
    assert StateDirectory(state).approved_digest() == "abc"
    code, output = run("history", "--config", str(config))
    assert "generation 2" in output
    assert run("history", "--back", "7", "--config", str(config))[0] == 1
    assert run("history", "--back", "1", "--config", str(config))[0] == 0
    assert StateDirectory(state).pinned_digest() == parse(path.read_text()).digest
    assert run("history", "--follow", "--config", str(config))[0] == 0
    assert StateDirectory(state).pinned_digest() == ""
    content.pop("roster")
    config.write_text(json.dumps(content))
    assert "names no roster" in run("show", "--config", str(config))[1]
