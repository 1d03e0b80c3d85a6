"""`saffronstack`: the click commands."""

from __future__ import annotations

import sys

import click

from saffronstack import config as configs
from saffronstack.cli.client_commands import invoke, operation_group, status
from saffronstack.cli.fleet_commands import fleet_group, rollout_group
from saffronstack.cli.lease_commands import keeper_group, lease_group, tasks_group
from saffronstack.cli.roster_commands import roster_group
from saffronstack.cli.scenario_commands import day_group
from saffronstack.cli.usage_commands import usage_group
from saffronstack.engine.decision_record_stream import DecisionRecordError
from saffronstack.engine.decision_replay import replay_decisions


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="saffronstack")
def main() -> None:
    """A gateway that runs requests on workers which load functions on demand."""


@main.command()
@click.option("--config", "path", type=click.Path(dir_okay=False), help="JSON5 configuration file.")
@click.option(
    "--with-standins", is_flag=True, help="Use a sample configuration, and start stub workers for it."
)
@click.option("--listen", help="HOST:PORT in place of the configuration's; port 0: any free one.")
@click.option(
    "--ledger", type=click.Path(file_okay=False), help="Ledger directory in place of the configuration's."
)
@click.option(
    "--record",
    "decision_record_path",
    type=click.Path(dir_okay=False),
    help="Record every routing decision in this file.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 256),
    default=1,
    show_default=True,
    help="Number of processes on one address.",
)
@click.option(
    "--replace-stopped",
    "stopped_timeout_s",
    type=click.FloatRange(min=0),
    default=1.0,
    show_default=True,
    help="With several processes: seconds without a heartbeat until a stopped one is replaced; 0: never.",
)
@click.option("--fleet", default="", help="Fleet file: another gateway may finish this one's deferred calls.")
@click.option("--name", default="", help="With --fleet: name of this gateway in the fleet.")
@click.option("--ledger-home", hidden=True, default="")
@click.option("--ledger-token", hidden=True, type=int, default=0)
@click.option("--finish", hidden=True, is_flag=True)
@click.option("--member", hidden=True, default="")
@click.option("--listen-fd", hidden=True, type=int, default=-1)
@click.option("--standby", hidden=True, is_flag=True)
@click.option(
    "--cpus", default="one", show_default=True, help="CPUs to run on: one, all, or numbers like 2,3."
)
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def serve(
    path: str | None,
    with_standins: bool,
    listen: str | None,
    ledger: str | None,
    decision_record_path: str | None,
    processes: int,
    stopped_timeout_s: float,
    fleet: str,
    name: str,
    ledger_home: str,
    ledger_token: int,
    finish: bool,
    member: str,
    listen_fd: int,
    standby: bool,
    cpus: str,
    log_format: str,
    log_level: str,
) -> None:
    """Run a gateway in the foreground until SIGTERM or SIGINT; SIGHUP reloads keys and workers."""
    from saffronstack.cli.serve import run
    from saffronstack.cli.serve_options import ServeOptions
    from saffronstack.cli.supervise import supervise
    from saffronstack.runtime.process_exit import exit_process

    if (path is None) == (not with_standins):
        raise click.UsageError("give either --config FILE or --with-standins")
    options = ServeOptions(path, listen, ledger, decision_record_path or "", cpus, log_format, log_level,
                           member, stopped_timeout_s, fleet, name, ledger_home, ledger_token, finish,
                           listen_fd, standby)  # fmt: skip
    if bool(fleet) != bool(name):
        raise click.UsageError("--fleet and --name require each other")
    if processes > 1:
        if path is None or decision_record_path or fleet:
            raise click.UsageError("--processes requires --config and excludes --record and --fleet")
        exit_process(supervise(options, processes))
    exit_process(run(options))


@main.group("config")
def config_group() -> None:
    """Work with configuration files."""


@config_group.command("check")
@click.argument("path", type=click.Path())
def config_check(path: str) -> None:
    """Check a gateway or fleet file; exits with 0 and a summary, or with 1 and the place of the error."""
    from saffronstack.config.fleet import is_fleet_file, load_fleet_file

    try:
        if is_fleet_file(path):
            fleet = load_fleet_file(path)
            sizes = f"{len(fleet.keepers)} keepers, {len(fleet.tasks)} tasks"
            click.echo(f"{path}: good: fleet {fleet.fleet}, {sizes}")
            return
        found = configs.load(path)
    except configs.ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(
        f"{path}: good: {len(found.tenants)} tenants, {len(found.classes)} classes, "
        f"{len(found.functions)} functions, {len(found.workers)} workers"
    )


@main.command("replay")
@click.argument("path", type=click.Path())
def replay_command(path: str) -> None:
    """Replay a decision record in a fresh router; fails at the first decision that differs."""
    try:
        replayed = replay_decisions(path)
    except (DecisionRecordError, OSError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{path}: {replayed.events} events, {replayed.actions} actions, all decided alike")


for command in (
    invoke,
    status,
    operation_group,
    roster_group,
    usage_group,
    keeper_group,
    tasks_group,
    lease_group,
    fleet_group,
    rollout_group,
    day_group,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
