"""Encodes DNS queries and decodes DNS responses (RFC 1035, RFC 2782). No I/O.

For any bytes, `decode_response` raises no error but `DnsMessageError`. dnspython is not used because its
import adds 12 MB to the memory of a small gateway (docs/gateway-design.md).
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass, field

from saffronstack.discovery.errors import DiscoveryError

INTERNET_CLASS = 1
MAX_LABEL_BYTES = 63
MAX_NAME_BYTES = 255
MAX_POINTERS_PER_NAME = 32  # compression pointers
MAX_RECORDS = 4096
_HEADER = struct.Struct(">HHHHHH")  # identifier, flags, question count, record count of each section
_QUESTION = struct.Struct(">HH")  # type, class
_RECORD_HEADER = struct.Struct(">HHIH")  # type, class, time to live, bytes of data
_SRV_FIELDS = struct.Struct(">HHH")  # priority, weight, port
_SERIAL = struct.Struct(">I")
_IPV4_BYTES = 4
_SOA_NUMBERS_BYTES = 20  # five 32-bit numbers; the serial number is the first
_POINTER_BITS = 0xC0  # the two highest bits of a length byte mark a compression pointer
_FLAG_RESPONSE = 0x8000
_FLAG_TRUNCATED = 0x0200
_FLAG_RECURSION_DESIRED = 0x0100
_RESPONSE_CODE_MASK = 0x000F


class RecordType(enum.IntEnum):
    """Record types that discovery uses."""

    A = 1
    SOA = 6
    TXT = 16
    SRV = 33


class Section(enum.IntEnum):
    """Sections of a response, in the order in which they are sent."""

    ANSWER = 0
    AUTHORITY = 1
    ADDITIONAL = 2


class DnsMessageError(DiscoveryError, ValueError):
    """A message can't be used."""


@dataclass(frozen=True, slots=True)
class Question:
    """The name and record type of a query."""

    name: str
    record_type: int


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(slots=True)
class DnsResponse:
    """The content of one response. Names are in lower case, without the final dot.

    Attributes:
        message_id: Identifier of the query.
        question: The question of the query, repeated by the server.
        serial: Serial number of the zone, from the SOA record; None without one.
        services: The SRV records that answer the question.
        addresses: IPv4 addresses by name.
        attributes: Key-value pairs of TXT records (RFC 6763, 6.3) by name.
    """

    message_id: int
    question: Question
    serial: int | None = None
    services: list[ServiceRecord] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    attributes: dict[str, dict[str, str]] = field(default_factory=dict)


def encode_query(message_id: int, name: str, record_type: RecordType = RecordType.SRV) -> bytes:
    """Return a query for one name.

    Raises:
        ValueError: The name is not valid in a DNS message.
    """
    labels = b"".join(bytes([len(label)]) + label.encode("ascii") for label in name.split("."))
    header = _HEADER.pack(message_id, _FLAG_RECURSION_DESIRED, 1, 0, 0, 0)
    return header + labels + b"\0" + _QUESTION.pack(record_type, INTERNET_CLASS)


def decode_response(message: bytes) -> DnsResponse:
    """Return the content of a complete and successful response.

    Raises:
        DnsMessageError: The response is malformed, incomplete or reports a failure.
    """
    try:
        return _decode(_MessageReader(message))
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise DnsMessageError("message is cut short or unreadable") from error


class _MessageReader:
    """Reads a message from start to end. `position` is the index of the next byte."""

    def __init__(self, message: bytes) -> None:
        self.position = 0
        self._message = message

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes are read."""
        return self.position == len(self._message)

    def unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        """Read the numbers of a struct; raise struct.error if too few bytes are left."""
        values: tuple[int, ...] = layout.unpack_from(self._message, self.position)
        self.position += layout.size
        return values

    def read(self, size: int) -> bytes:
        """Read up to `size` bytes."""
        data = self._message[self.position : self.position + size]
        self.position += size
        return data

    def has_bytes(self, size: int) -> bool:
        """Return whether at least `size` bytes are left."""
        return self.position + size <= len(self._message)

    def read_name(self) -> str:
        """Read a name and follow its compression pointers (RFC 1035, 4.1.4)."""
        message, position = self._message, self.position
        labels: list[str] = []
        end = -1  # end of the name at its original position, after the first pointer
        pointers = name_bytes = 0
        while size := message[position]:
            if size >= _POINTER_BITS:
                target = (size & ~_POINTER_BITS) << 8 | message[position + 1]
                end = position + 2 if end < 0 else end
                pointers += 1
                if target >= position or pointers > MAX_POINTERS_PER_NAME:  # a forward pointer could loop
                    raise DnsMessageError("name has a pointer that leads forwards, or too many of them")
                position = target
                continue
            if size > MAX_LABEL_BYTES:
                raise DnsMessageError("name has a label of unknown type")
            label = message[position + 1 : position + 1 + size]
            name_bytes += size + 1
            if len(label) < size or name_bytes > MAX_NAME_BYTES:
                raise DnsMessageError("name is cut short or too long")
            labels.append(label.decode("ascii").lower())
            position += 1 + size
        self.position = position + 1 if end < 0 else end
        return ".".join(labels)


def _decode(reader: _MessageReader) -> DnsResponse:
    message_id, flags, questions, *records_by_section = reader.unpack(_HEADER)
    _check_header(flags, questions, sum(records_by_section))
    name = reader.read_name()
    record_type, _ = reader.unpack(_QUESTION)
    response = DnsResponse(message_id, Question(name, record_type))
    for section, records in zip(Section, records_by_section, strict=True):
        for _ in range(records):
            _decode_record(reader, response, section)
    if not reader.is_at_end:
        raise DnsMessageError("bytes follow the last record")
    return response


def _check_header(flags: int, questions: int, records: int) -> None:
    if not flags & _FLAG_RESPONSE:
        raise DnsMessageError("message is not a response")
    if flags & _FLAG_TRUNCATED:
        raise DnsMessageError("response is truncated")
    if code := flags & _RESPONSE_CODE_MASK:
        raise DnsMessageError(f"server reports failure {code}")
    if questions != 1 or records > MAX_RECORDS:
        raise DnsMessageError("response has a wrong number of questions or records")


def _decode_record(reader: _MessageReader, response: DnsResponse, section: Section) -> None:
    name = reader.read_name()
    record_type, _, _, data_bytes = reader.unpack(_RECORD_HEADER)
    if not reader.has_bytes(data_bytes):
        raise DnsMessageError("record is cut short")
    end = reader.position + data_bytes
    match record_type:
        case RecordType.SRV if section is Section.ANSWER:
            priority, weight, port = reader.unpack(_SRV_FIELDS)
            response.services.append(ServiceRecord(priority, weight, port, reader.read_name()))
            _require_end(reader, end)
        case RecordType.A:
            response.addresses[name] = ".".join(map(str, reader.read(_IPV4_BYTES)))
            _require_end(reader, end)
        case RecordType.TXT:
            response.attributes.setdefault(name, {}).update(_decode_attributes(reader, end))
        case RecordType.SOA if section is Section.AUTHORITY:
            response.serial = _decode_serial(reader, end)
        case _:
            reader.position = end  # other records have no data of endpoints


def _decode_attributes(reader: _MessageReader, end: int) -> dict[str, str]:
    attributes = {}
    while reader.position < end:
        (size,) = reader.read(1)
        if reader.position + size > end:
            raise DnsMessageError("text in a TXT record is cut short")
        key, _, value = reader.read(size).decode("ascii").partition("=")
        attributes[key] = value
    return attributes


def _decode_serial(reader: _MessageReader, end: int) -> int:
    reader.read_name()  # primary server
    reader.read_name()  # mailbox of the responsible person
    if reader.position + _SOA_NUMBERS_BYTES != end:
        raise DnsMessageError("record has a wrong length")
    (serial,) = reader.unpack(_SERIAL)
    reader.position = end
    return serial


def _require_end(reader: _MessageReader, end: int) -> None:
    if reader.position != end:
        raise DnsMessageError("record has a wrong length")
