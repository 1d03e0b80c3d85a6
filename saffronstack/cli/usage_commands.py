"""`saffronstack usage`: the click commands."""

from __future__ import annotations

import sys

import click


@click.group("usage", invoke_without_command=True)
@click.pass_context
def usage_group(context: click.Context) -> None:
    """Sum up the memory that tenants' functions held, from the usage logs of one or more gateways."""
    if context.invoked_subcommand is None:
        click.echo(context.get_help())


@usage_group.command("show")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
@click.option(
    "--by", default="tenant", show_default=True, help="Columns, out of tenant,function,class,worker,day,hour"
)
@click.option("--format", "output_format", type=click.Choice(["table", "jsonl", "csv"]), default="table")
@click.option("--tenant", default=None, help="Only this tenant's usage.")
def usage_show(directories: tuple[str, ...], by: str, output_format: str, tenant: str | None) -> None:
    """Print sums in MB s. A log that is given twice counts once."""
    from saffronstack.cli.usage import show

    sys.exit(show(directories, tuple(part.strip() for part in by.split(",")), output_format, tenant))


@usage_group.command("report")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
@click.option("--output", default="usage.html", show_default=True, type=click.Path(dir_okay=False))
def usage_report(directories: tuple[str, ...], output: str) -> None:
    """Write an HTML page with charts and tables."""
    from saffronstack.cli.usage import report

    sys.exit(report(directories, output))


@usage_group.command("verify")
@click.argument("directories", nargs=-1, required=True, type=click.Path())
def usage_verify(directories: tuple[str, ...]) -> None:
    """Check that the logs are complete and that shares sum up to the memory held; exits with 1 if not."""
    from saffronstack.cli.usage import verify

    sys.exit(verify(directories))
