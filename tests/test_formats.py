"""State that earlier texts of the program wrote, as a kill left it, through the present one.

`tests/formats/COMMIT` holds a ledger, notes of operations and a usage log of a gateway of that commit, and
what its clients had been told; `capture.py` there writes such a folder. Other formats are refused and left
as they are."""

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


def config(folder: pathlib.Path, fleet: StubWorkerFleet) -> configs.Config:
    content = configuration(fleet, folder / "ledger")
    content["metering"] = {"directory": str(folder / "usage")}
    content["operations"] = {"directory": str(folder / "operations"), "window_s": 1e9}
    for cls in content["classes"]:
        if cls["effect"] != "safe":
            cls |= {"note_operations": True, "operation_window_s": 1e9}
    return configs.parse(json.dumps(content))


def test_no_kept_folder_is_passed_over() -> None:
    folders = {path.name for path in FORMATS.iterdir() if path.is_dir()} - {"__pycache__"}
    assert folders == set(COMMITS)
    assert folders >= {"2174f02", "0a53391", "0684301"}


@pytest.mark.parametrize("commit", COMMITS)
def test_what_an_earlier_text_told_its_clients_still_holds(commit: str, tmp_path: pathlib.Path) -> None:
    folder = tmp_path / commit
    shutil.copytree(FORMATS / commit, folder)
    told = json.loads((folder / "told.json").read_text())
    before, _ = read_usage_log(folder / "usage")
    charged = dict(before.charges_by_tenant())
    assert charged
    assert sum(charged.values()) > 0
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.005))
    for life in range(2):  # the second reads what the first made of it
        gateway = Gateway(config(folder, fleet))
        host, port = gateway.start()
        client = Client(f"{host}:{port}", 30.0, tenant="corner-books")
        for request_id, condition in told["deferred"].items():
            answer = client.request("GET", f"/deferred/{request_id}")
            assert answer.status == 200
            assert json.loads(answer.body)["requestContext"]["condition"] == condition
        for number, (name, body) in enumerate(told["operations"].items()):
            sale = json.dumps({"op": f"o{number}"}).encode()
            answer = client.invoke("record-sale", sale, extra=(("Idempotency-Key", name),))
            assert answer.status == 200, (life, name)
            assert answer.body.decode() == body, (life, name)
        client.close()
        assert gateway.stop()
        assert not any(worker.runs() for worker in fleet.workers)  # nothing of it ran again
    after, _ = read_usage_log(folder / "usage")
    assert dict(after.charges_by_tenant()) == charged
    fleet.stop()


@pytest.mark.parametrize("part", ["ledger", "operations", "usage"])
def test_blocks_of_another_version_are_refused_and_left_as_they_are(
    part: str, tmp_path: pathlib.Path
) -> None:
    folder = tmp_path / "later"
    shutil.copytree(FORMATS / COMMITS[0], folder)
    (path,) = (folder / part).glob("*.seg")
    later = path.read_bytes().replace(b"SfL1", b"SfL2").replace(b"SfZ1", b"SfZ2")
    path.write_bytes(later)
    fleet = StubWorkerFleet(1)
    with pytest.raises(JournalError, match="blocks of another version, Sf"):
        Gateway(config(folder, fleet))
    assert path.read_bytes() == later
    assert [one.name for one in (folder / part).glob("*.seg")] == [path.name]
    fleet.stop()
