"""`saffronstack`: the commands, on click."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click

from saffronstack import config as configs
from saffronstack.cli.groups import fleet_group, rollout_group
from saffronstack.engine.decision_record_stream import DecisionRecordError
from saffronstack.engine.decision_replay import replay_decisions


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="saffronstack")
def main() -> None:
    """A gateway that runs calls on workers which load functions on demand."""


@main.command()
@click.option("--config", "path", type=click.Path(dir_okay=False), help="JSON5 configuration file.")
@click.option(
    "--with-standins", is_flag=True, help="Start stand-in workers and a sample configuration with it."
)
@click.option("--listen", help="HOST:PORT in place of the configuration's; port 0 takes a free one.")
@click.option(
    "--ledger", type=click.Path(file_okay=False), help="Ledger directory in place of the configuration's."
)
@click.option(
    "--record", "record_to", type=click.Path(dir_okay=False), help="Write every decision to a file."
)
@click.option(
    "--processes", type=click.IntRange(1, 256), default=1, show_default=True, help="On one address."
)
@click.option(
    "--replace-stopped",
    "stopped_s",
    type=click.FloatRange(min=0),
    default=1.0,
    show_default=True,
    help="Seconds of silence after which a stopped process of several is replaced; 0: never.",
)
@click.option("--fleet", default="", help="The fleet's file: another gateway may finish this one's calls.")
@click.option("--name", default="", help="With --fleet: this gateway's name in it.")
@click.option("--ledger-home", hidden=True, default="")
@click.option("--ledger-token", hidden=True, type=int, default=0)
@click.option("--finish", hidden=True, is_flag=True)
@click.option("--member", hidden=True, default="")
@click.option("--listen-fd", hidden=True, type=int, default=-1)
@click.option("--standby", hidden=True, is_flag=True)
@click.option("--cpus", default="one", show_default=True, help="one, all, or numbers like 2,3.")
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def serve(
    path: str | None,
    with_standins: bool,
    listen: str | None,
    ledger: str | None,
    record_to: str | None,
    processes: int,
    stopped_s: float,
    fleet: str,
    name: str,
    ledger_home: str,
    ledger_token: int,
    finish: bool,
    member: str,
    listen_fd: int,
    standby: bool,
    cpus: str,
    log_form: str,
    log_level: str,
) -> None:
    """Run a gateway in the foreground until SIGTERM or SIGINT; SIGHUP rereads keys and workers."""
    from saffronstack.cli.serve import run
    from saffronstack.cli.serve_options import Options
    from saffronstack.cli.supervise import supervise
    from saffronstack.runtime.process_exit import exit_process

    if (path is None) == (not with_standins):
        raise click.UsageError("give either --config FILE or --with-standins")
    options = Options(path, listen, ledger, record_to or "", cpus, log_form, log_level, member, stopped_s,
                      fleet, name, ledger_home, ledger_token, finish, listen_fd, standby)  # fmt: skip
    if bool(fleet) != bool(name):
        raise click.UsageError("--fleet and --name go together")
    if processes > 1:
        if path is None or record_to or fleet:
            raise click.UsageError("--processes goes with --config, and not with --record or --fleet")
        exit_process(supervise(options, processes))
    exit_process(run(options))


@main.group("config")
def config_group() -> None:
    """Work with configuration files."""


@config_group.command("check")
@click.argument("path", type=click.Path())
def config_check(path: str) -> None:
    """Check a gateway's or a fleet's file: 0 and a summary, or 1 and what is wrong where."""
    from saffronstack.config.fleet import is_fleet, load_fleet

    try:
        if is_fleet(path):
            fleet = load_fleet(path)
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
    """Feed a record of decisions to a fresh module; fails at the first decision that differs."""
    try:
        replayed = replay_decisions(path)
    except (DecisionRecordError, OSError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{path}: {replayed.events} events, {replayed.actions} actions, all decided alike")


@main.command()
@click.argument("function")
@click.option("--payload", default="{}", help="JSON; @FILE reads a file.")
@click.option("--to", "address", default="127.0.0.1:9000", show_default=True, help="HOST:PORT of a gateway.")
@click.option("--deferred", is_flag=True, help="Have it run later; prints the request id.")
@click.option("--wait", is_flag=True, help="With --deferred: wait for the final record.")
@click.option("--tenant", default="", help="Tenant to claim where the gateway has no keys.")
@click.option("--key", default="", help="Access key id; the secret comes from SAFFRONSTACK_SECRET.")
@click.option("--timeout", "timeout_s", type=float, default=30.0, show_default=True, help="Seconds.")
def invoke(
    function: str,
    payload: str,
    address: str,
    deferred: bool,
    wait: bool,
    tenant: str,
    key: str,
    timeout_s: float,
) -> None:
    """Call a function."""
    from saffronstack.cli.ask import invoke as call

    sys.exit(call(function, payload, address, deferred, wait, tenant, key, timeout_s))


@main.command()
@click.argument("addresses", nargs=-1)
@click.option(
    "--timeout", "timeout_s", type=float, default=2.0, show_default=True, help="Seconds for each gateway."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each gateway.")
def status(addresses: tuple[str, ...], timeout_s: float, as_json: bool) -> None:
    """Ask gateways how they are; 1 where one does not answer."""
    from saffronstack.cli.ask import status as ask

    sys.exit(ask(addresses or ("127.0.0.1:9000",), timeout_s, as_json))


@main.group()
def roster() -> None:
    """Lists of workers in watched files: check, compare, and say what operators say."""


def _roster(command: Callable[[], int]) -> None:
    from saffronstack.cli.roster import UnusableError

    try:
        sys.exit(command())
    except (UnusableError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def _of_gateway(command: Callable[..., None]) -> Callable[..., None]:
    text = "The gateway's configuration, which names the roster."
    return click.option("--config", "path", required=True, type=click.Path(dir_okay=False), help=text)(
        command
    )


@roster.command("check")
@click.argument("file", type=click.Path())
@click.option("--config", "path", type=click.Path(dir_okay=False), help="Check kinds and guards against it.")
def roster_check(file: str, path: str | None) -> None:
    """Check a list, file or directory: 0, or 1 with file, line and reason."""
    from saffronstack.cli.roster import check

    _roster(lambda: check(file, path))


@roster.command("diff")
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def roster_diff(before: str, after: str) -> None:
    """What changes in meaning, not in spacing; 1 where something does."""
    from saffronstack.cli.roster import diff

    _roster(lambda: diff(before, after))


@roster.command("show")
@_of_gateway
def roster_show(path: str) -> None:
    """The list applied last."""
    from saffronstack.cli.roster import show

    _roster(lambda: show(path))


@roster.command("drain")
@click.argument("workers", nargs=-1, required=True)
@click.option("--undo", is_flag=True, help="Drain them no longer.")
@_of_gateway
def roster_drain(workers: tuple[str, ...], undo: bool, path: str) -> None:
    """Drain workers, whatever the lists say."""
    from saffronstack.cli.roster import drain

    _roster(lambda: drain(path, workers, undo))


@roster.command("accept")
@click.argument("digest")
@_of_gateway
def roster_accept(digest: str, path: str) -> None:
    """Let a held version be applied; /status and the log name its digest."""
    from saffronstack.cli.roster import accept

    _roster(lambda: accept(path, digest))


@roster.command("history")
@click.option("--back", type=int, default=None, help="Go back to the version of this number.")
@click.option("--follow", is_flag=True, help="Follow the file again.")
@_of_gateway
def roster_history(back: int | None, follow: bool, path: str) -> None:
    """The versions that are kept."""
    from saffronstack.cli.roster import history

    _roster(lambda: history(path, back, follow))


@main.group()
def operation() -> None:
    """What a gateway knows of operations that clients name."""


@operation.command("show")
@click.argument("token")
@click.option("--to", "address", default="127.0.0.1:9000", show_default=True, help="HOST:PORT of a gateway.")
@click.option("--function", default="", help="Needed for a function that only matches a pattern.")
@click.option("--qualifier", default="", help="In place of $LATEST.")
@click.option("--tenant", default="", help="Tenant to claim where the gateway has no keys.")
@click.option("--key", default="", help="Access key id; the secret comes from SAFFRONSTACK_SECRET.")
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each.")
def operation_show(
    token: str, address: str, function: str, qualifier: str, tenant: str, key: str, as_json: bool
) -> None:
    """How the operation that a client named TOKEN stands; 1 where none is known."""
    from saffronstack.cli.ask import operation as ask

    sys.exit(ask(token, address, function, qualifier, tenant, key, as_json))


@main.group(invoke_without_command=True)
@click.pass_context
def usage(context: click.Context) -> None:
    """What tenants' functions held in memory, from the usage logs of one or more gateways."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


@usage.command("show")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
@click.option("--by", default="tenant", show_default=True, help="tenant,function,class,worker,day,hour")
@click.option("--format", "form", type=click.Choice(["table", "jsonl", "csv"]), default="table")
@click.option("--tenant", default=None, help="This tenant's alone.")
def usage_show(directories: tuple[str, ...], by: str, form: str, tenant: str | None) -> None:
    """Sums in MB s. The same log given twice counts once."""
    from saffronstack.cli.usage import show

    sys.exit(show(directories, tuple(part.strip() for part in by.split(",")), form, tenant))


@usage.command("report")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
@click.option("--output", default="usage.html", show_default=True, type=click.Path(dir_okay=False))
def usage_report(directories: tuple[str, ...], output: str) -> None:
    """Write a page with charts and tables."""
    from saffronstack.cli.usage import report

    sys.exit(report(directories, output))


@usage.command("verify")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
def usage_verify(directories: tuple[str, ...]) -> None:
    """Check that the logs are whole and that shares sum up to what was held; 1 where not."""
    from saffronstack.cli.usage import verify

    sys.exit(verify(directories))


def _of_fleet(command: Callable[..., None]) -> Callable[..., None]:
    text = "The file that all processes of the fleet share."
    return click.option("--fleet", "path", required=True, type=click.Path(dir_okay=False), help=text)(command)


@main.group()
def keeper() -> None:
    """Keepers of a fleet's leases: 3, 5 or 7 processes that decide by majority."""


@keeper.command("run")
@_of_fleet
@click.option("--name", required=True, help="Which of the file's keepers this is.")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="Its directory.")
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console")
def keeper_run(path: str, name: str, state: str, log_form: str) -> None:
    """Keep leases in the foreground until SIGTERM or SIGINT."""
    from saffronstack.cli.lease_servers import run_server

    sys.exit(run_server(path, name, state, log_form))


@keeper.command("establish")
@_of_fleet
@click.option("--name", required=True, help="Which of the file's keepers this is.")
@click.option("--state", required=True, type=click.Path(file_okay=False), help="Its directory.")
def keeper_establish(path: str, name: str, state: str) -> None:
    """Once, for each keeper of a fleet that is new as a whole; never for one that is replaced."""
    from saffronstack.cli.lease_servers import establish

    sys.exit(establish(path, name, state))


@keeper.command("status")
@_of_fleet
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each keeper.")
def keeper_status(path: str, as_json: bool) -> None:
    """How each keeper stands: 0 where a majority votes, 69 where none does."""
    from saffronstack.cli.lease_servers import show_status

    sys.exit(show_status(path, as_json))


@main.group()
def tasks() -> None:
    """What a fleet does once, wherever it runs: the tasks of the fleet's file."""


@tasks.command("run")
@_of_fleet
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console")
def tasks_run(path: str, log_form: str) -> None:
    """Run the file's tasks whose leases this process gets, until SIGTERM or SIGINT."""
    from saffronstack.cli.leases import run_tasks

    sys.exit(run_tasks(path, log_form))


@main.group()
def lease() -> None:
    """Work that one process of a fleet may do at a time."""


@lease.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@_of_fleet
@click.option("--wait", "wait_s", type=click.FloatRange(min=0), default=10.0, show_default=True, help="s.")
def lease_run(name: str, command: tuple[str, ...], path: str, wait_s: float) -> None:
    """Run COMMAND while the lease NAME is held; SAFFRON_LEASE_TOKEN is in its environment.

    Ends as the command does; 69: no majority of keepers, 75: not granted in time, 76: lost while it ran.
    """
    from saffronstack.cli.leases import lease_run as run

    sys.exit(run(path, name, wait_s, command))


@lease.command("list")
@_of_fleet
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each lease.")
def lease_list(path: str, as_json: bool) -> None:
    """Each lease as a majority of keepers shows it; 69 where no majority answers."""
    from saffronstack.cli.leases import lease_list as ask

    sys.exit(ask(path, "", as_json))


@lease.command("show")
@click.argument("name")
@_of_fleet
@click.option("--json", "as_json", is_flag=True, help="One JSON line.")
def lease_show(name: str, path: str, as_json: bool) -> None:
    """One lease; 1 where no keeper knows it."""
    from saffronstack.cli.leases import lease_list as ask

    sys.exit(ask(path, name, as_json))


@main.group()
def day() -> None:
    """Scripted days with trouble."""


@day.command("run")
@click.argument("path", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=None, help="Length in place of the file's.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep configurations and traffic logs here.")
@click.option(
    "--membership", type=click.Choice(["signal", "file"]), default=None, help="In place of the file's."
)
def day_run(path: str, seed: int, seconds: float | None, keep: str | None, membership: str | None) -> None:
    """Play a day with real gateways and judge the five rules from the traffic; 1 if one is broken."""
    from saffronstack.harness.scenario.runner import run

    sys.exit(run(path, seed, seconds, keep, membership))


main.add_command(fleet_group)
main.add_command(rollout_group)


if __name__ == "__main__":
    main()
