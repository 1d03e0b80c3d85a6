"""`saffronstack fleet` and `saffronstack rollout`: the click commands."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click

from saffronstack.cli.fleet_option import fleet_option


@click.group("fleet")
def fleet_group() -> None:
    """Run the daemon of a machine, and control many gateways."""


@fleet_group.command("daemon")
@fleet_option
@click.option("--name", required=True, help="Name of this machine's daemon in the fleet file.")
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def fleet_daemon(path: str, name: str, log_format: str) -> None:
    """Keep this machine's gateways as desired. SIGTERM leaves them serving, SIGINT stops them too."""
    from saffronstack.cli.control import run_daemon
    from saffronstack.runtime.process_exit import exit_process

    exit_process(run_daemon(path, name, log_format))


@fleet_group.command("status")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each gateway.")
def fleet_status(path: str, as_json: bool) -> None:
    """Print each gateway's state; exits with 1 if a daemon is unavailable or a gateway not as desired."""
    from saffronstack.cli.control import show_status

    sys.exit(show_status(path, as_json))


def _gateway_options(command: Callable[..., None]) -> Callable[..., None]:
    command = click.option("--json", "as_json", is_flag=True, help="One JSON line for each gateway.")(command)
    command = click.option(
        "--wait",
        "wait_s",
        type=click.FloatRange(min=0),
        default=60.0,
        show_default=True,
        help="Seconds to wait for the lease, and then for the gateways.",
    )(command)
    return click.argument("names", nargs=-1)(fleet_option(command))


@fleet_group.command("start")
@_gateway_options
@click.option("--release", required=True, type=click.Path(file_okay=False), help="Directory of the release.")
def fleet_start(path: str, names: tuple[str, ...], wait_s: float, as_json: bool, release: str) -> None:
    """Start a release on the named gateways, or on all, at once; `rollout` changes releases in stages."""
    from saffronstack.cli.control import CommandOptions, command_gateways

    options = CommandOptions(wait_s, as_json)
    sys.exit(command_gateways(path, names, "start", release, options))


@fleet_group.command("stop")
@_gateway_options
def fleet_stop(path: str, names: tuple[str, ...], wait_s: float, as_json: bool) -> None:
    """Stop the named gateways, or all, once their requests in flight have ended."""
    from saffronstack.cli.control import CommandOptions, command_gateways

    options = CommandOptions(wait_s, as_json)
    sys.exit(command_gateways(path, names, "stop", "", options))


@fleet_group.command("reload")
@_gateway_options
def fleet_reload(path: str, names: tuple[str, ...], wait_s: float, as_json: bool) -> None:
    """Make the named gateways, or all, reload their configurations (SIGHUP)."""
    from saffronstack.cli.control import CommandOptions, command_gateways

    options = CommandOptions(wait_s, as_json)
    sys.exit(command_gateways(path, names, "reload", "", options))


@fleet_group.command("digest")
@click.argument("directory", type=click.Path(file_okay=False))
def fleet_digest(directory: str) -> None:
    """Print the digest that identifies a release directory in plans and commands."""
    from saffronstack.cli.control import release_digest

    sys.exit(release_digest(directory))


@click.group("rollout")
def rollout_group() -> None:
    """Change the release in stages, old and new side by side; stops if a stage does worse."""


def _plan_options(command: Callable[..., None]) -> Callable[..., None]:
    directory = click.Path(file_okay=False)
    old_help, new_help = "Directory of the old release, which runs.", "Directory of the new release."
    command = click.option("--from", "old", required=True, type=directory, help=old_help)(command)
    command = click.option("--to", "new", required=True, type=directory, help=new_help)(command)
    return click.argument("plan", type=click.Path(dir_okay=False))(fleet_option(command))


@rollout_group.command("check")
@_plan_options
def rollout_check(path: str, plan: str, new: str, old: str) -> None:
    """Check a plan against the fleet file and both releases; exits with 0, or with 1 and each problem."""
    from saffronstack.cli.rollout import check

    sys.exit(check(path, plan, new, old))


@rollout_group.command("start")
@_plan_options
@click.option(
    "--wait", "wait_s", type=float, default=30.0, show_default=True, help="Seconds to wait for the lease."
)
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def rollout_start(path: str, plan: str, new: str, old: str, wait_s: float, log_format: str) -> None:
    """Start a rollout and lead it.

    Exits with 0 if it completed, 1 if it was rolled back, 2 if it can't be started, 3 if it is on hold or
    another leader continues it.
    """
    from saffronstack.cli.rollout_leader import start
    from saffronstack.runtime.process_exit import exit_process

    exit_process(start(path, plan, new, old, log_format, wait_s))


@rollout_group.command("lead")
@fleet_option
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
def rollout_lead(path: str, log_format: str) -> None:
    """Stand by to continue a rollout whose leader has failed."""
    from saffronstack.cli.rollout_leader import lead
    from saffronstack.runtime.process_exit import exit_process

    exit_process(lead(path, log_format))


@rollout_group.command("status")
@fleet_option
@click.option("--json", "as_json", is_flag=True, help="Print the stored record.")
def rollout_status(path: str, as_json: bool) -> None:
    """Print the recorded rollout and its history."""
    from saffronstack.cli.rollout import show_status

    sys.exit(show_status(path, as_json))


def _add_request_command(name: str, text: str) -> None:
    @rollout_group.command(name, help=text)
    @fleet_option
    def command(path: str) -> None:
        from saffronstack.cli.rollout import store_operator_request
        from saffronstack.fleet.rollout.operator_requests import OperatorAction

        sys.exit(store_operator_request(path, OperatorAction(name)))


_add_request_command("pause", "Pause the rollout: start nothing new until it is resumed.")
_add_request_command("resume", "Continue a rollout that is paused or on hold.")
_add_request_command("abort", "Roll back to the old release.")
