"""`saffronstack keeper`, `tasks` and `lease`: the click commands."""

from __future__ import annotations

import sys

import click

from saffronstack.cli.fleet_option import fleet_option


@click.group("keeper")
def keeper_group() -> None:
    """Run lease servers of a fleet: 3, 5 or 7 processes that decide by majority."""


@keeper_group.command("run")
@fleet_option
@click.option("--name", required=True, help="Name of this server in the fleet file (keepers).")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="State directory.")
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def keeper_run(path: str, name: str, state: str, log_format: str) -> None:
    """Run a lease server in the foreground until SIGTERM or SIGINT."""
    from saffronstack.cli.lease_servers import run_server
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run_server(path, name, state, log_format))


@keeper_group.command("establish")
@fleet_option
@click.option("--name", required=True, help="Name of this server in the fleet file (keepers).")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="State directory.")
def keeper_establish(path: str, name: str, state: str) -> None:
    """Create the state of a lease server of a new fleet.

    Run it once for each server when the whole fleet is new; never for a server that is replaced.
    """
    from saffronstack.cli.lease_servers import establish

    sys.exit(establish(path, name, state))


@keeper_group.command("status")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each lease server.")
def keeper_status(path: str, as_json: bool) -> None:
    """Print the state of each lease server; exits with 0 if a majority votes, else with 69."""
    from saffronstack.cli.lease_servers import show_status

    sys.exit(show_status(path, as_json))


@click.group("tasks")
def tasks_group() -> None:
    """Run the tasks of the fleet file, each in one process of the fleet at a time."""


@tasks_group.command("run")
@fleet_option
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def tasks_run(path: str, log_format: str) -> None:
    """Run the tasks whose leases this process acquires, until SIGTERM or SIGINT."""
    from saffronstack.cli.leases import run_tasks
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run_tasks(path, log_format))


@click.group("lease")
def lease_group() -> None:
    """Run commands under leases, each of which one process of a fleet holds at a time."""


@lease_group.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@fleet_option
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(min=0),
    default=10.0,
    show_default=True,
    help="Seconds to wait for the lease.",
)
def lease_run(name: str, command: tuple[str, ...], path: str, wait_s: float) -> None:
    """Run COMMAND while holding the lease NAME; SAFFRON_LEASE_TOKEN in its environment is the fencing token.

    Exits with the command's status; with 69 without a majority of lease servers, 75 if the lease was not
    granted in time, 76 if the lease was lost while the command ran.
    """
    from saffronstack.cli.leases import lease_run as run
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run(path, name, wait_s, command))


@lease_group.command("list")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each lease.")
def lease_list(path: str, as_json: bool) -> None:
    """Print each lease as a majority of lease servers shows it; exits with 69 without a majority."""
    from saffronstack.cli.leases import lease_list as list_leases

    sys.exit(list_leases(path, "", as_json))


@lease_group.command("show")
@click.argument("name")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def lease_show(name: str, path: str, as_json: bool) -> None:
    """Print one lease; exits with 1 if no lease server knows it."""
    from saffronstack.cli.leases import lease_list as list_leases

    sys.exit(list_leases(path, name, as_json))
