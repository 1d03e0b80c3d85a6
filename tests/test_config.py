"""Validation of configuration files, and what the gateway builds from a valid one."""

from __future__ import annotations

import json
import pathlib
import time
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner

from saffronstack import config as configs
from saffronstack.cli.main import main
from saffronstack.config.build import Functions, build_configured_workers, build_settings
from saffronstack.standin.fleet import sample_config


def valid_configuration() -> dict[str, Any]:
    workers = [{"id": f"w{n}", "address": f"127.0.0.1:{9100 + n}", "kind": "standin"} for n in (1, 2)]
    return sample_config(workers, "127.0.0.1:9000", "ledger")


def set_value(*path: Any) -> Callable[[dict[str, Any]], None]:
    """Return a function that sets the last argument at the path that the others give."""

    def change(content: dict[str, Any]) -> None:
        container: Any = content
        for key in path[:-2]:
            container = container[key]
        container[path[-2]] = path[-1]

    return change


INVALID = [
    (set_value("lisen", "127.0.0.1:1"), "lisen: unknown key; did you mean 'listen'?"),
    (
        set_value("classes", 0, "dead_line_s", 3),
        "classes[0].dead_line_s: unknown key; did you mean 'deadline_s'?",
    ),
    (set_value("rules", {"zzz": 1}), "rules.zzz: unknown key; known are cold_s, cold_share"),
    (set_value("classes", 0, "effect", "sometimes"), "classes[0].effect: Invalid enum value 'sometimes'"),
    (set_value("classes", 0, "deadline_s", -1), "classes[0].deadline_s: Expected `float` > 0"),
    (set_value("classes", 0, "deadline_s", "3"), "classes[0].deadline_s: Expected `float`, got `str`"),
    (set_value("classes", 0, "aim_s", 9), "classes[0] (lookup): aim_s 9 exceeds deadline_s 3"),
    (set_value("classes", 1, "window_s", 0), "classes[1] (setting): a keyed class needs a window_s above 0"),
    (set_value("classes", 2, "window_s", 5), "classes[2] (sale): window_s belongs to keyed classes"),
    (set_value("answer_margin_s", 2), "answer_margin_s 2 leaves less than half of deadline_s 3"),
    (set_value("classes", 1, "name", "lookup"), "classes[1]: 'lookup' is defined twice"),
    (
        set_value("functions", 0, "class", "none"),
        "functions[0] (identify-copy).class: no class is named 'none'",
    ),
    (set_value("functions", 0, "memory_mb", 99999), "fits no kind of worker; the largest has 4096"),
    (
        set_value("functions", 0, "on_success", "x"),
        "functions[0] (identify-copy).on_success: no function is named 'x'",
    ),
    (
        set_value("functions", 0, "on_failure", "identify-copy"),
        "destinations form a cycle: identify-copy -> identify-copy",
    ),
    (set_value("workers", 0, "kind", "big"), "workers[0] (w1).kind: no kind is named 'big'"),
    (set_value("workers", 1, "id", "w1"), "workers[1]: 'w1' is defined twice"),
    (
        set_value("workers", 1, "address", "127.0.0.1:9101"),
        "workers, addresses[1]: '127.0.0.1:9101' is defined twice",
    ),
    (set_value("workers", 0, "address", "nowhere"), "workers[0].address: Expected `str` matching regex"),
    (set_value("workers", 0, "address", "h:70000"), "workers[0] (w1).address: no port 70000"),
    (
        set_value("keys", [{"id": "AKID", "secret": "12345678", "tenant": "x"}]),
        "keys[0].tenant: no tenant is named 'x'",
    ),
    (set_value("listen", "0.0.0.0:9000"), "listen: without keys the gateway listens on loopback only"),
    (set_value("self_index", 1), "self_index: 1 is out of range for 1 instances"),
    (set_value("miss_mode", "miss"), "miss_mode: 'miss' needs allow.orders"),
    (set_value("tenants", []), "tenants: Expected `array` of length >= 1"),
]


@pytest.mark.parametrize(("change", "message"), INVALID)
def test_an_invalid_value_is_reported_with_its_path(
    change: Callable[[dict[str, Any]], None], message: str
) -> None:
    content = valid_configuration()
    change(content)
    with pytest.raises(configs.ConfigError) as caught:
        configs.parse(json.dumps(content), "gateway.json5")
    assert message in str(caught.value)
    assert all(line.startswith("gateway.json5: ") for line in str(caught.value).splitlines())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{listen: ", "not JSON5"),
        ("[]", "top level: Expected `object`"),
        ("{a:1, a:2}", "not JSON5"),
        ("{}", "top level: Object missing required field `tenants`"),
    ],
)
def test_text_that_is_no_configuration_is_rejected(text: str, message: str) -> None:
    with pytest.raises(configs.ConfigError, match=message):
        configs.parse(text)


def test_json5_with_comments_is_read() -> None:
    text = "// ours\n" + json.dumps(valid_configuration())[:-1] + ", /* free */ seed: 0x10,}"
    assert configs.parse(text).seed == 16


def test_an_unreadable_file_is_rejected(tmp_path: pathlib.Path) -> None:
    with pytest.raises(configs.ConfigError, match="No such file"):
        configs.load(str(tmp_path / "none"))
    (tmp_path / "odd").write_bytes(b"{a: '\xff'}")
    with pytest.raises(configs.ConfigError, match="byte 5: not UTF-8"):
        configs.load(str(tmp_path / "odd"))


def test_config_check_reports_a_valid_and_an_invalid_file(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(valid_configuration()))
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert (result.exit_code, "good: 2 tenants" in result.output) == (0, True)
    path.write_text(json.dumps({**valid_configuration(), "seeed": 1}))
    result = CliRunner().invoke(main, ["config", "check", str(path)])
    assert result.exit_code == 1
    assert "seeed: unknown key; did you mean 'seed'?" in result.output


def test_settings_functions_and_workers_are_built_from_a_configuration() -> None:
    content = valid_configuration()
    content["functions"].append({"name": "scan-*", "class": "lookup", "memory_mb": 64})
    content["workers"][1] |= {"state": "draining", "zone": "zone-b", "started_at": 5}
    config = configs.parse(json.dumps(content))
    settings = build_settings(config)
    assert [request_class.idempotency.value for request_class in settings.classes] == [
        "safe",
        "keyed",
        "unsafe",
    ]
    functions = Functions(config)
    found, found_again = functions.get("scan-12"), functions.get("scan-12")
    assert found is found_again
    assert found is not None
    assert (found.spec.name, found.spec.memory_mb) == ("scan-12", 64)
    assert functions.get("other") is None
    first, second = build_configured_workers(config)
    assert (first.is_draining, second.is_draining, second.started_at) == (False, True, 5)
    assert first.zone != second.zone


@pytest.mark.parametrize("text", ['{"a": {"b": 1, "b": 2}}', "{a: {b: 1, b: 2}}"])
def test_a_duplicate_key_is_rejected_in_json_and_json5(text: str) -> None:
    with pytest.raises(configs.ConfigError, match='Duplicate key "b"'):
        configs.parse(text)


def test_ten_thousand_workers_are_read_within_seconds() -> None:
    content = valid_configuration()
    first = content["workers"][0]
    content["workers"] = [
        {**first, "id": f"w-{n}", "address": f"127.0.{n // 200}.{n % 200 + 1}:80"} for n in range(10_000)
    ]
    start = time.perf_counter()
    assert len(configs.parse(json.dumps(content)).workers) == 10_000
    assert time.perf_counter() - start < 10.0  # the JSON5 parser takes minutes
