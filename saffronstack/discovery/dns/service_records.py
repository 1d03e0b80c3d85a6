"""Parses endpoints from a DNS response: SRV records with addresses and attributes of targets. No I/O."""

from __future__ import annotations

from saffronstack.discovery.dns.endpoint_list import EndpointSnapshot, ListedEndpoint
from saffronstack.discovery.dns.messages import (
    DnsMessageError,
    DnsResponse,
    Question,
    RecordType,
    ServiceRecord,
)

DRAINING_PRIORITY = 1  # lowest SRV priority of a draining worker; other workers have a lower value
WEIGHT_SCALE = 10.0  # an SRV weight is an integer, ten times the weight of the worker
MAX_DIGITS = 16  # in a number of a TXT record
MAX_QUOTED_NAME_LENGTH = 60  # characters of a name from the server that an error message quotes
MAX_QUOTED_TEXT_LENGTH = 20  # characters of an attribute value that an error message quotes


def parse_snapshot(response: DnsResponse, message_id: int, name: str) -> EndpointSnapshot:
    """Return the endpoint list from the response to a query for the SRV records of a service.

    Args:
        response: The decoded response.
        message_id: Identifier of the query.
        name: Name in the query.

    Raises:
        DnsMessageError: The response is for another query, or a part of the list is missing or malformed.
    """
    if response.message_id != message_id or response.question != Question(name, RecordType.SRV):
        raise DnsMessageError("response to another question")
    if response.serial is None:
        raise DnsMessageError("response without a serial number")
    endpoints = [_parse_endpoint(response, service) for service in response.services]
    return EndpointSnapshot(response.serial, tuple(endpoints))


def _parse_endpoint(response: DnsResponse, service: ServiceRecord) -> ListedEndpoint:
    """Return the endpoint of an SRV record, whose target is named ``worker.zone.…``."""
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
