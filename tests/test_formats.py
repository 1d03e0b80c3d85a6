"""The present code reads the state that killed gateways of earlier versions left behind.

`tests/formats/COMMIT` contains the ledger, the operation log and the usage log of a gateway of that commit,
and the responses that its clients received. `capture.py` there writes such a directory. Unknown formats are
rejected and left unchanged."""

from __future__ import annotations

import json
import pathlib
import shutil

import pytest

from saffronstack import config as configs
from saffronstack.client import Client
from saffronstack.durable.errors import JournalError
from saffronstack.gateway import Gateway
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.support.stack import configuration

FORMATS = pathlib.Path(__file__).parent / "formats"
COMMITS = sorted(path.parent.name for path in FORMATS.glob("*/told.json"))


def parse_config(folder: pathlib.Path, fleet: StubWorkerFleet) -> configs.Config:
    content = configuration(fleet, folder / "ledger")
    content["metering"] = {"directory": str(folder / "usage")}
    content["operations"] = {"directory": str(folder / "operations"), "window_s": 1e9}
    for request_class in content["classes"]:
        if request_class["effect"] != "safe":
            request_class |= {"note_operations": True, "operation_window_s": 1e9}
    return configs.parse(json.dumps(content))


def test_every_stored_folder_is_tested() -> None:
    folders = {path.name for path in FORMATS.iterdir() if path.is_dir()} - {"__pycache__"}
    assert folders == set(COMMITS)
    assert folders >= {"2174f02", "0a53391", "0684301"}


@pytest.mark.parametrize("commit", COMMITS)
def test_answers_and_charges_of_an_earlier_version_are_unchanged(commit: str, tmp_path: pathlib.Path) -> None:
    folder = tmp_path / commit
    shutil.copytree(FORMATS / commit, folder)
    recorded = json.loads((folder / "told.json").read_text())
    before, _ = read_usage_log(folder / "usage")
    charged = dict(before.charges_by_tenant())
    assert charged
    assert sum(charged.values()) > 0
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    for run in range(2):  # the second run reads the state that the first wrote
        gateway = Gateway(parse_config(folder, fleet))
        host, port = gateway.start()
        client = Client(f"{host}:{port}", 30.0, tenant="corner-books")
        for request_id, condition in recorded["deferred"].items():
            answer = client.request("GET", f"/deferred/{request_id}")
            assert answer.status == 200
            assert json.loads(answer.body)["requestContext"]["condition"] == condition
        for number, (key, expected_body) in enumerate(recorded["operations"].items()):
            sale = json.dumps({"op": f"o{number}"}).encode()
            answer = client.invoke("record-sale", sale, extra=(("Idempotency-Key", key),))
            assert answer.status == 200, (run, key)
            assert answer.body.decode() == expected_body, (run, key)
        client.close()
        assert gateway.stop()
        assert not any(worker.runs() for worker in fleet.workers)  # no call or operation was executed again
    after, _ = read_usage_log(folder / "usage")
    assert dict(after.charges_by_tenant()) == charged
    fleet.stop()


@pytest.mark.parametrize("part", ["ledger", "operations", "usage"])
def test_blocks_of_another_version_are_rejected_and_left_unchanged(part: str, tmp_path: pathlib.Path) -> None:
    folder = tmp_path / "later"
    shutil.copytree(FORMATS / COMMITS[0], folder)
    (path,) = (folder / part).glob("*.seg")
    changed = path.read_bytes().replace(b"SfL1", b"SfL2").replace(b"SfZ1", b"SfZ2")
    path.write_bytes(changed)
    fleet = StubWorkerFleet(1)
    with pytest.raises(JournalError, match="blocks of another version, Sf"):
        Gateway(parse_config(folder, fleet))
    assert path.read_bytes() == changed
    assert [one.name for one in (folder / part).glob("*.seg")] == [path.name]
    fleet.stop()
