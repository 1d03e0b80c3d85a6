"""`saffronstack keeper`, `tasks` and `lease`: the commands, on click."""

from __future__ import annotations

import sys

import click

from saffronstack.cli.fleet_option import fleet_option


@click.group("keeper")
def keeper_group() -> None:
    """Keepers of a fleet's leases: 3, 5 or 7 processes that decide by majority."""


@keeper_group.command("run")
@fleet_option
@click.option("--name", required=True, help="Which of the file's keepers this is.")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="Its directory.")
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def keeper_run(path: str, name: str, state: str, log_format: str) -> None:
    """Keep leases in the foreground until SIGTERM or SIGINT."""
    from saffronstack.cli.lease_servers import run_server
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run_server(path, name, state, log_format))


@keeper_group.command("establish")
@fleet_option
@click.option("--name", required=True, help="Which of the file's keepers this is.")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="Its directory.")
def keeper_establish(path: str, name: str, state: str) -> None:
    """Once, for each keeper of a fleet that is new as a whole; never for one that is replaced."""
    from saffronstack.cli.lease_servers import establish

    sys.exit(establish(path, name, state))


@keeper_group.command("status")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each keeper.")
def keeper_status(path: str, as_json: bool) -> None:
    """How each keeper stands: 0 where a majority votes, 69 where none does."""
    from saffronstack.cli.lease_servers import show_status

    sys.exit(show_status(path, as_json))


@click.group("tasks")
def tasks_group() -> None:
    """What a fleet does once, wherever it runs: the tasks of the fleet's file."""


@tasks_group.command("run")
@fleet_option
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def tasks_run(path: str, log_format: str) -> None:
    """Run the file's tasks whose leases this process gets, until SIGTERM or SIGINT."""
    from saffronstack.cli.leases import run_tasks
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run_tasks(path, log_format))


@click.group("lease")
def lease_group() -> None:
    """Work that one process of a fleet may do at a time."""


@lease_group.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@fleet_option
@click.option("--wait", "wait_s", type=click.FloatRange(min=0), default=10.0, show_default=True, help="s.")
def lease_run(name: str, command: tuple[str, ...], path: str, wait_s: float) -> None:
    """Run COMMAND while the lease NAME is held; SAFFRON_LEASE_TOKEN is in its environment.

    Ends as the command does; 69: no majority of keepers, 75: not granted in time, 76: lost while it ran.
    """
    from saffronstack.cli.leases import lease_run as run
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run(path, name, wait_s, command))


@lease_group.command("list")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each lease.")
def lease_list(path: str, as_json: bool) -> None:
    """Each lease as a majority of keepers shows it; 69 where no majority answers."""
    from saffronstack.cli.leases import lease_list as list_leases

    sys.exit(list_leases(path, "", as_json))


@lease_group.command("show")
@click.argument("name")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def lease_show(name: str, path: str, as_json: bool) -> None:
    """One lease; 1 where no keeper knows it."""
    from saffronstack.cli.leases import lease_list as list_leases

    sys.exit(list_leases(path, name, as_json))
