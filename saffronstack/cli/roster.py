"""`saffronstack roster`: checks and compares worker lists, and stores operators' commands for gateways."""

from __future__ import annotations

import pathlib
from datetime import UTC, datetime

import click
from msgspec import structs

from saffronstack import config as configs
from saffronstack.config.schema import Config, Worker
from saffronstack.discovery.errors import DiscoveryError
from saffronstack.discovery.files.change_guards import GuardSettings, review_version
from saffronstack.discovery.files.file_reader import read_version
from saffronstack.discovery.files.merging import compare_lists
from saffronstack.discovery.files.parsing import WorkerListVersion, parse_version
from saffronstack.discovery.files.state_directory import StateDirectory

FIELDS = tuple(field.name for field in structs.fields(Worker))


class RosterCommandError(Exception):
    """A command can't be carried out; the text gives the reason."""


def _load_version(path: str, kinds: tuple[str, ...] | None) -> WorkerListVersion:
    """Load the list version at a path; without ``kinds``, all kinds of workers are allowed."""
    try:
        text = read_version(pathlib.Path(path))
        return parse_version(text.files, text.digest, kinds, text.generation)
    except DiscoveryError as error:
        raise RosterCommandError(str(error)) from error


def _load_config(path: str) -> Config:
    try:
        config = configs.load(path)
    except configs.ConfigError as error:
        raise RosterCommandError(str(error)) from error
    if config.roster is None:
        raise RosterCommandError(f"{path}: names no roster")
    return config


def _state_directory(config_path: str) -> StateDirectory:
    config = _load_config(config_path)
    assert config.roster is not None
    directory = pathlib.Path(config.roster.state_directory)
    try:
        return StateDirectory(directory)
    except OSError as error:
        raise RosterCommandError(f"{directory}: {error.strerror}") from error


def check(path: str, config_path: str | None) -> int:
    """Check a file or directory; with a configuration, apply its change guards too.

    Returns:
        The exit status: 0, or 1 if a guard would hold the version.
    """
    config = _load_config(config_path) if config_path else None
    kinds = tuple(kind.name for kind in config.kinds) if config else None
    version = _load_version(path, kinds)
    click.echo(
        f"{path}: good: generation {version.generation}, {len(version.workers)} workers, "
        f"{sum(worker.state == 'draining' for worker in version.workers)} draining, digest {version.digest}"
    )
    if config is None or config.roster is None:
        return 0
    guards = GuardSettings(
        allow_empty=config.roster.allow_empty,
        max_removed_fraction=config.roster.removed_share,
        always_removable_count=config.roster.removed_free,
        allow_older=config.roster.allow_older,
    )
    current = StateDirectory(pathlib.Path(config.roster.state_directory)).last_good_version()
    approval = review_version(guards, current, version, is_approved=False)
    if approval is not None:
        click.echo(f"{path}: would be held: {approval.reason}")
        return 1
    return 0


def diff(before: str, after: str) -> int:
    """Print the changes of meaning between two lists; return the exit status, 0 without changes, else 1."""
    old_workers, new_workers = _load_version(before, None).by_name(), _load_version(after, None).by_name()
    changes = compare_lists(old_workers, new_workers)
    for name in changes.removed:
        click.echo(f"- {name} at {old_workers[name].address}")
    for worker in sorted(changes.updated, key=lambda worker: worker.id):
        known = old_workers.get(worker.id)
        if known is None:
            click.echo(f"+ {worker.id} at {worker.address}, size {worker.size:g}, {worker.state}")
            continue
        changed = [
            f"{name} {getattr(known, name)} -> {getattr(worker, name)}"
            for name in FIELDS
            if getattr(known, name) != getattr(worker, name)
        ]
        click.echo(f"~ {worker.id}: {', '.join(changed)}")
    return 1 if changes else 0


def show(config_path: str) -> int:
    """Print the last applied list and the operators' commands; return the exit status, 1 without a list."""
    state = _state_directory(config_path)
    applied = state.last_good_version()
    if applied is None:
        click.echo("no list was applied yet")
        return 1
    click.echo(f"generation {applied.generation}, digest {applied.digest}, {len(applied.workers)} workers")
    drains = state.drained_workers()
    for worker in applied.workers:
        worker_state = "draining (operator)" if worker.id in drains else worker.state
        click.echo(
            f"  {worker.id:<24} {worker.address:<24} {worker.kind:<12} size {worker.size:<6g} {worker_state}"
        )
    for name in sorted(drains - {worker.id for worker in applied.workers}):
        click.echo(f"  {name:<24} not listed, drained by an operator")
    if state.pinned_digest():
        click.echo(f"pinned to {state.pinned_digest()}: the file is not followed")
    return 0


def drain(config_path: str, workers: tuple[str, ...], undo: bool) -> int:
    """Drain workers, whatever their lists say, or undo that."""
    state = _state_directory(config_path)
    names = state.drained_workers() - set(workers) if undo else state.drained_workers() | set(workers)
    applied = state.last_good_version()
    listed = {worker.id for worker in applied.workers} if applied is not None else set()
    for name in workers:
        if name not in listed and not undo:
            click.echo(f"{name}: in no list that was applied; it will be drained if it is added", err=True)
    state.set_override("drains", "\n".join(sorted(names)))
    click.echo(f"drained by operators: {', '.join(sorted(names)) or 'none'}")
    return 0


def accept(config_path: str, digest: str) -> int:
    """Accept a held version, which gateways then apply: this version and no other."""
    state = _state_directory(config_path)
    state.set_override("accept", digest)
    click.echo(f"{digest}: accepted; a gateway that holds it applies it within a second")
    return 0


def history(config_path: str, back: int | None, follow: bool) -> int:
    """Print the versions that are kept, pin one of them, or follow the file again."""
    state = _state_directory(config_path)
    versions = state.stored_versions()
    if follow:
        state.set_override("pinned", "")
        click.echo("the file is followed")
        return 0
    if back is not None:
        chosen = next((version for number, _, version in versions if number == back), None)
        if chosen is None:
            raise RosterCommandError(
                f"version {back} is not kept; there are {', '.join(str(n) for n, _, _ in versions)}"
            )
        state.set_override("pinned", chosen.digest)
        click.echo(f"back to version {back}, generation {chosen.generation}; --follow ends it")
        return 0
    for number, applied_at_s, version in versions:
        applied_at = datetime.fromtimestamp(applied_at_s, UTC)
        click.echo(
            f"{number:>6}  {applied_at:%Y-%m-%d %H:%M:%S}Z  generation {version.generation:<6} "
            f"{len(version.workers):>6} workers  {version.digest}"
        )
    return 0
