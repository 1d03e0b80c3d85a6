"""`saffronstack invoke`, `status` and `operation`: the click commands."""

from __future__ import annotations

import sys

import click


@click.command()
@click.argument("function")
@click.option("--payload", default="{}", help="JSON payload; @FILE reads it from a file.")
@click.option("--to", "address", default="127.0.0.1:9000", show_default=True, help="HOST:PORT of a gateway.")
@click.option("--deferred", is_flag=True, help="Run as a deferred call; prints the request id.")
@click.option("--wait", is_flag=True, help="With --deferred: wait for the final record.")
@click.option("--tenant", default="", help="Tenant, for a gateway without access keys.")
@click.option("--key", default="", help="Access key id; the secret is read from SAFFRONSTACK_SECRET.")
@click.option(
    "--timeout", "timeout_s", type=float, default=30.0, show_default=True, help="Timeout in seconds."
)
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
    """Invoke a function."""
    from saffronstack.cli.gateway_requests import invoke_function

    sys.exit(invoke_function(function, payload, address, deferred, wait, tenant, key, timeout_s))


@click.command()
@click.argument("addresses", nargs=-1)
@click.option(
    "--timeout",
    "timeout_s",
    type=float,
    default=2.0,
    show_default=True,
    help="Timeout for each gateway, in seconds.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each gateway.")
def status(addresses: tuple[str, ...], timeout_s: float, as_json: bool) -> None:
    """Print the state of gateways; exits with 1 if one does not respond."""
    from saffronstack.cli.gateway_requests import show_gateways

    sys.exit(show_gateways(addresses or ("127.0.0.1:9000",), timeout_s, as_json))


@click.group("operation")
def operation_group() -> None:
    """Inspect operations, which clients identify with idempotency keys."""


@operation_group.command("show")
@click.argument("token")
@click.option("--to", "address", default="127.0.0.1:9000", show_default=True, help="HOST:PORT of a gateway.")
@click.option(
    "--function", default="", help="Function; required if the configuration has it only by a pattern."
)
@click.option("--qualifier", default="", help="Qualifier, in place of $LATEST.")
@click.option("--tenant", default="", help="Tenant, for a gateway without access keys.")
@click.option("--key", default="", help="Access key id; the secret is read from SAFFRONSTACK_SECRET.")
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each record.")
def operation_show(
    token: str, address: str, function: str, qualifier: str, tenant: str, key: str, as_json: bool
) -> None:
    """Print the state of the operation with the key TOKEN; exits with 1 if it is unknown."""
    from saffronstack.cli.gateway_requests import show_operation

    sys.exit(show_operation(token, address, function, qualifier, tenant, key, as_json))
