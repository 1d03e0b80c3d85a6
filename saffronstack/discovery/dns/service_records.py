"""Endpoints in a DNS response: SRV records with the addresses and attributes of their targets. No I/O."""

from __future__ import annotations

from saffronstack.discovery.dns.endpoint_list import EndpointSnapshot, ListedEndpoint
from saffronstack.discovery.dns.messages import (
    DnsMessageError,
    DnsResponse,
    Question,
    RecordType,
    ServiceRecord,
)

DRAINING_PRIORITY = 1  # the SRV priority of a worker that is draining; that of others is lower
WEIGHT_SCALE = 10.0  # SRV weights are whole numbers: ten times the worker's weight
MAX_DIGITS = 16  # of a number in a TXT record
MAX_QUOTED_NAME_LENGTH = 60  # characters of a server's names and texts that errors quote
MAX_QUOTED_TEXT_LENGTH = 20


def parse_snapshot(response: DnsResponse, message_id: int, name: str) -> EndpointSnapshot:
    """Return the endpoint list in the response to a query for a service's SRV records.

    Args:
        response: The decoded response.
        message_id: Identifier of the query.
        name: Name that the query asked for.

    Raises:
        DnsMessageError: It answers another query, or a part of the list is missing or malformed.
    """
    if response.message_id != message_id or response.question != Question(name, RecordType.SRV):
        raise DnsMessageError("response to another question")
    if response.serial is None:
        raise DnsMessageError("response without a serial number")
    endpoints = [_parse_endpoint(response, service) for service in response.services]
    return EndpointSnapshot(response.serial, tuple(endpoints))


def _parse_endpoint(response: DnsResponse, service: ServiceRecord) -> ListedEndpoint:
    """Return one endpoint; its target is named ``worker.zone.…``."""
    address = response.addresses.get(service.target)
    if address is None:
        raise DnsMessageError(f"no address for {service.target[:MAX_QUOTED_NAME_LENGTH]}")
    labels = service.target.split(".")
    attributes = response.attributes.get(service.target, {})
    return ListedEndpoint(
        name=labels[0],
        host=address,
        port=service.port,
        zone=labels[1] if len(labels) > 1 else "",
        kind=attributes.get("kind", ""),
        cell=_parse_number(attributes.get("cell", "0")),
        is_draining=service.priority >= DRAINING_PRIORITY,
        weight=service.weight / WEIGHT_SCALE,
        started_ms=_parse_number(attributes.get("started", "0")),
    )


def _parse_number(text: str) -> int:
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise DnsMessageError(f"attribute is not a whole number: {text[:MAX_QUOTED_TEXT_LENGTH]!r}")
    return int(text)
