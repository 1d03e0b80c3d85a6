"""Validates what the schema can't express: references between names, and values that depend on each other."""

from __future__ import annotations

from collections.abc import Iterable

from saffronstack.config.schema import Config
from saffronstack.engine.identifiers import function_number, worker_number

LOOPBACK = ("127.", "localhost:")


def validation_errors(config: Config) -> list[str]:
    """Return a message with the key's path for each error; empty if the configuration is valid."""
    return [
        *_name_errors(config), *_class_errors(config), *_function_errors(config), *_worker_errors(config),
        *_listener_errors(config), *_fleet_errors(config),
    ]  # fmt: skip


def _fleet_errors(config: Config) -> list[str]:
    fleet = config.fleet
    if fleet is None:
        return []
    if fleet.keeper is not None and fleet.state_directory is None:
        return [
            "fleet.state_directory: missing; the lease server that fleet.keeper names stores its state there"
        ]
    if fleet.keeper is None and fleet.state_directory is not None:
        return ["fleet.state_directory: only a lease server uses it; fleet.keeper is not set"]
    if fleet.keeper is None and not fleet.tasks:
        return ["fleet: sets neither keeper nor tasks, so that it has no effect"]
    return []


def _duplicates(path: str, names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    lines = []
    for number, name in enumerate(names):
        if name in seen:
            lines.append(f"{path}[{number}]: {name!r} is defined twice")
        seen.add(name)
    return lines


def _name_errors(config: Config) -> list[str]:
    lines = _duplicates("tenants", (t.name for t in config.tenants))
    lines += _duplicates("classes", (c.name for c in config.classes))
    lines += _duplicates("functions", (f.name for f in config.functions))
    lines += _duplicates("kinds", (k.name for k in config.kinds))
    lines += _duplicates("workers", (w.id for w in config.workers))
    lines += _duplicates("keys", (k.id for k in config.keys))
    tenants = {tenant.name for tenant in config.tenants}
    for number, key in enumerate(config.keys):
        if key.tenant not in tenants:
            lines.append(f"keys[{number}].tenant: no tenant is named {key.tenant!r}")
    for number, tenant in enumerate(config.tenants):
        path = f"tenants[{number}] ({tenant.name}).budget"
        if tenant.budget is not None and config.metering is None:
            lines.append(f"{path}: needs the part 'metering', which measures usage")
        if tenant.budget is not None and tenant.budget.soft_mb_s > tenant.budget.hard_mb_s:
            lines.append(
                f"{path}: soft_mb_s {tenant.budget.soft_mb_s:g} over hard_mb_s {tenant.budget.hard_mb_s:g}"
            )
    return lines


def _class_errors(config: Config) -> list[str]:
    lines = []
    for number, call_class in enumerate(config.classes):
        path = f"classes[{number}] ({call_class.name})"
        if call_class.aim_s > call_class.deadline_s:
            lines.append(f"{path}: aim_s {call_class.aim_s:g} exceeds deadline_s {call_class.deadline_s:g}")
        if call_class.effect == "keyed" and call_class.window_s <= 0:
            lines.append(f"{path}: a keyed class needs a window_s above 0")
        if call_class.effect != "keyed" and call_class.window_s > 0:
            lines.append(f"{path}: window_s belongs to keyed classes; {call_class.effect} ones have none")
        if call_class.note_operations and (config.operations is None or config.operations.directory is None):
            lines.append(f"{path}: note_operations needs operations.directory, where operations are recorded")
        if call_class.note_operations and call_class.effect == "safe":
            lines.append(
                f"{path}: note_operations is for what must not run twice; requests of safe classes may"
            )
        if config.answer_margin_s >= call_class.deadline_s / 2:
            lines.append(
                f"{path}: answer_margin_s {config.answer_margin_s:g} leaves less than half of "
                f"deadline_s {call_class.deadline_s:g} for the work"
            )
    return lines


def _function_errors(config: Config) -> list[str]:
    lines = []
    classes = {call_class.name for call_class in config.classes}
    named = {f.name: f for f in config.functions if "*" not in f.name}
    largest = max(kind.memory_mb for kind in config.kinds)
    numbers: dict[int, str] = {}
    for index, function in enumerate(config.functions):
        path = f"functions[{index}] ({function.name})"
        if function.call_class not in classes:
            lines.append(f"{path}.class: no class is named {function.call_class!r}")
        if function.memory_mb > largest:
            lines.append(
                f"{path}.memory_mb: {function.memory_mb:g} fits no kind of worker; "
                f"the largest has {largest:g}"
            )
        for side in ("on_success", "on_failure"):
            target = getattr(function, side)
            if target is not None and target not in named:
                lines.append(f"{path}.{side}: no function is named {target!r} (patterns don't count)")
        other = numbers.setdefault(function_number(function.name), function.name)
        if other != function.name:
            lines.append(f"{path}: the hash of its name is that of {other!r}; rename one of them")
    for name in named:
        cycle = _find_cycle(
            name, {n: [t for t in (f.on_success, f.on_failure) if t in named] for n, f in named.items()}
        )
        if cycle:
            lines.append(f"functions: destinations form a cycle: {' -> '.join(cycle)}")
            break
    return lines


def _find_cycle(start: str, edges: dict[str, list[str]]) -> list[str]:
    """Return a path of destinations from ``start`` back to itself, or an empty list."""
    paths = [[start]]
    seen: set[str] = set()
    while paths:
        path = paths.pop()
        for target in edges.get(path[-1], []):
            if target == start:
                return [*path, start]
            if target not in seen:
                seen.add(target)
                paths.append([*path, target])
    return []


def _worker_errors(config: Config) -> list[str]:
    lines = []
    kinds = {kind.name for kind in config.kinds}
    numbers: dict[int, str] = {}
    for index, worker in enumerate(config.workers):
        path = f"workers[{index}] ({worker.id})"
        if worker.kind not in kinds:
            lines.append(f"{path}.kind: no kind is named {worker.kind!r}")
        if not 0 < int(worker.address.rpartition(":")[2]) < 65536:
            lines.append(f"{path}.address: no port {worker.address.rpartition(':')[2]}")
        other = numbers.setdefault(worker_number(worker.id), worker.id)
        if other != worker.id:
            lines.append(f"{path}: the hash of its name is that of {other!r}; rename one of them")
    lines += _duplicates("workers, addresses", (w.address for w in config.workers))
    return lines


def _listener_errors(config: Config) -> list[str]:
    lines = []
    if int(config.listen.rpartition(":")[2]) > 65535:
        lines.append(f"listen: no port {config.listen.rpartition(':')[2]}")
    if not config.keys and not config.listen.startswith(LOOPBACK):
        lines.append(
            "listen: without keys the gateway listens on loopback only; configure keys or use 127.0.0.1"
        )
    if config.self_index >= config.instances:
        lines.append(f"self_index: {config.self_index} is out of range for {config.instances} instances")
    if config.miss_mode == "miss" and not config.allow.orders:
        lines.append("miss_mode: 'miss' needs allow.orders; without load commands no function is ever loaded")
    return lines
