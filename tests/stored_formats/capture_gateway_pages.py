"""Write the names in a gateway's HTTP pages with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_gateway_pages.py

`data/gateway_pages/pages.json` receives the structure of JSON responses, and all metrics with their types and
labels, of a gateway with all parts that report figures. The script imports modules by the names of that
commit, which differ from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import tempfile
import time

stored_files = importlib.import_module("stored_files")

DESTINATION = pathlib.Path(__file__).parent / "data" / "gateway_pages"
TENANT = "corner-books"


def main() -> None:
    """Run a gateway in this process and fetch its pages."""
    stack = importlib.import_module("tests.support.stack")
    configs = importlib.import_module("saffronstack.config")
    clients = importlib.import_module("saffronstack.client")
    gateways = importlib.import_module("saffronstack.gateway")
    members = importlib.import_module("saffronstack.daemon.members")
    standins = importlib.import_module("saffronstack.standin.fleet")
    model = importlib.import_module("saffronstack.standin.model")
    fleet = standins.StandInFleet(2, lambda number: model.Profile(load_s=0.01, work_s=0.005))
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        content = stack.configuration(fleet, folder / "ledger")
        content = stored_files.complete_configuration(content, folder, fleet.entries())
        first = members.Members(0, 2, temporary, time.monotonic)
        gateway = gateways.Gateway(configs.parse(json.dumps(content)), members=first)
        host, port = gateway.start()
        client = clients.Client(f"{host}:{port}", 30.0, tenant=TENANT)
        answers = stored_files.page_answers(client, TENANT)
        client.close()
        assert gateway.stop()
    fleet.stop()
    DESTINATION.mkdir(parents=True, exist_ok=True)
    (DESTINATION / "pages.json").write_text(json.dumps(answers, indent=1))


if __name__ == "__main__":
    main()
