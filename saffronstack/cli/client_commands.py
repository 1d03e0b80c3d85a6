"""`saffronstack invoke`, `status` and `operation`: the commands, on click."""

from __future__ import annotations

import sys

import click


@click.command()
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
    from saffronstack.cli.gateway_requests import invoke_function

    sys.exit(invoke_function(function, payload, address, deferred, wait, tenant, key, timeout_s))


@click.command()
@click.argument("addresses", nargs=-1)
@click.option(
    "--timeout", "timeout_s", type=float, default=2.0, show_default=True, help="Seconds for each gateway."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each gateway.")
def status(addresses: tuple[str, ...], timeout_s: float, as_json: bool) -> None:
    """Ask gateways how they are; 1 where one does not answer."""
    from saffronstack.cli.gateway_requests import show_gateways

    sys.exit(show_gateways(addresses or ("127.0.0.1:9000",), timeout_s, as_json))


@click.group("operation")
def operation_group() -> None:
    """What a gateway knows of operations that clients name."""


@operation_group.command("show")
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
    from saffronstack.cli.gateway_requests import show_operation

    sys.exit(show_operation(token, address, function, qualifier, tenant, key, as_json))
