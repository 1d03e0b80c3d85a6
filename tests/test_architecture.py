"""Imports run one way, as docs/architecture.md has it."""

from __future__ import annotations

import ast
import importlib
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "saffronstack"
POLICY = {"routing"}
MAY = {
    "routing": {"routing"},
    "runtime": {"runtime"},
    "net": {"net", "engine", "runtime"},
    "fleet": {"fleet", "daemon", "engine", "runtime", "http1", "net", "durable", "metering"},
    "resp": {"resp"},
    "upstream": {"upstream", "engine", "runtime"} | POLICY,
    "upstream/multiplexed": {
        "upstream",
        "upstream/multiplexed",
        "net",
        "engine",
        "runtime",
        "settings_parser",
    }
    | POLICY,
    "upstream/http": {"upstream", "upstream/http", "engine", "runtime", "http1"} | POLICY,
    "discovery": {"discovery", "runtime"},
    "discovery/dns": {"discovery/dns", "discovery", "engine", "runtime"},
    "discovery/files": {"discovery/files", "discovery", "config", "engine", "runtime"},
    "platform": {
        "platform",
        "resp",
        "upstream",
        "upstream/multiplexed",
        "discovery/dns",
        "discovery",
        "net",
        "engine",
        "runtime",
        "settings_parser",
    }
    | POLICY,
    "http1": {"http1", "net"},
    "engine": {"engine", "runtime"} | POLICY,
    "config": {"config", "metering", "engine", "runtime"} | POLICY,
    "durable": {"durable", "engine", "runtime"},
    "deferred": {"deferred", "metering", "durable", "config", "engine", "runtime"} | POLICY,
    "daemon": {"daemon", "engine", "runtime", "http1"},
    "operations": {"operations", "durable", "engine", "runtime", "http1"} | POLICY,
    "invoke": {
        "invoke",
        "discovery/files",
        "discovery",
        "operations",
        "metering",
        "daemon",
        "deferred",
        "durable",
        "config",
        "engine",
        "runtime",
        "http1",
    }
    | POLICY,
    "metering": {"metering", "durable", "engine", "runtime"} | POLICY,
    "client": {"client", "invoke", "http1"},
    "standin": {"standin", "metering", "engine", "runtime", "http1"},
    "audit": {"audit"},
    "bench": {"bench", "settings_parser"} | POLICY,
}
SUBPACKAGES = {part for part in MAY if "/" in part}  # with a row of their own beside their package's


def part_of(module: str) -> str:
    """The row of `MAY` that a module of the package falls under."""
    words = module.split(".")
    subpackage = "/".join(words[1:3])
    return subpackage if subpackage in SUBPACKAGES else words[1]


PACKAGES = {"saffronstack", *(f"saffronstack.{part.partition('/')[0]}" for part in SUBPACKAGES)}


def imported(path: pathlib.Path) -> set[str]:
    """Return the parts of the package that a file imports when it runs."""
    found = set()
    tree = ast.parse(path.read_text())
    guarded = {
        id(inner)
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.dump(node.test)
        for inner in ast.walk(node)
    }
    for node in ast.walk(tree):
        if id(node) in guarded:
            continue
        names: list[str] = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = (
                [f"{node.module}.{alias.name}" for alias in node.names]
                if node.module in PACKAGES
                else [node.module]
            )
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        found |= {part_of(name) for name in names if name.startswith("saffronstack.")}
    return found


@pytest.mark.parametrize("package", sorted(MAY))
def test_a_package_imports_only_what_stands_below_it(package: str) -> None:
    paths = [
        path
        for path in (ROOT / package).rglob("*.py")
        if package in SUBPACKAGES or "/".join(path.relative_to(ROOT).parts[:2]) not in SUBPACKAGES
    ]
    assert paths
    for path in paths:
        assert imported(path) <= MAY[package], path


def test_stand_ins_serve_the_command_line_and_the_days_alone() -> None:
    users = {path.relative_to(ROOT).parts[0] for path in ROOT.rglob("*.py") if "standin" in imported(path)}
    assert users <= {"cli", "harness", "standin"}


def test_the_bench_adapter_runs_on_the_standard_library() -> None:
    import sys

    folders = [*(ROOT / "bench").glob("*.py"), *(ROOT / "routing").glob("*.py")]
    for path in [*folders, ROOT / "settings_parser.py"]:
        for node in ast.walk(ast.parse(path.read_text())):
            module = node.module if isinstance(node, ast.ImportFrom) else None
            names = (
                [module] if module else [a.name for a in node.names] if isinstance(node, ast.Import) else []
            )
            for name in names:
                top = str(name).split(".")[0]
                assert top == "saffronstack" or top in sys.stdlib_module_names, (path, name)


def test_the_platform_imports_no_other_front_and_no_heavy_library() -> None:
    import subprocess
    import sys

    code = "import saffronstack.platform.__main__, sys; print(*sys.modules)"
    listed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    modules = set(listed.split())
    parts = {part_of(name) for name in modules if name.startswith("saffronstack.")}
    assert parts <= MAY["platform"] - {"http1"} | POLICY, parts
    assert not modules & {
        "structlog",
        "asyncio",
        "ssl",
        "json5",
        "click",
        "dns",
        "prometheus_client",
        "watchfiles",
    }


@pytest.mark.parametrize(
    "module", ["saffronstack.cli.control", "saffronstack.cli.rollout", "saffronstack.cli.main"]
)
def test_only_processes_that_lead_a_rollout_load_the_statistics(module: str) -> None:
    """They take a second of start-up and 60 MB, in daemons and in each command of an operator's."""
    loaded = f"import {module}, sys; print(int('scipy' in sys.modules))"
    ran = subprocess.run(
        [sys.executable, "-c", loaded], capture_output=True, text=True, timeout=60.0, check=True
    )
    assert ran.stdout == "0\n"


@pytest.mark.parametrize(
    "path", sorted((ROOT.parent / "benchmarks").glob("*.py")), ids=lambda path: path.name
)
def test_what_benchmarks_import_from_the_package_exists(path: pathlib.Path) -> None:
    """No other test runs them all, and a module that is renamed or split would break one unseen."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not (node.module or "").startswith("saffronstack"):
            continue
        module = importlib.import_module(str(node.module))
        for alias in node.names:
            if not hasattr(module, alias.name):
                importlib.import_module(f"{node.module}.{alias.name}")
