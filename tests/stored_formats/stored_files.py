"""Readers of kept files and requests that share no code with the program, and where the kept files are."""

from __future__ import annotations

import pathlib
import re
import socket
import struct
import threading

import xxhash
import zstandard

DATA = pathlib.Path(__file__).parent / "data"
WAIT_S = 10.0
_HEADER = struct.Struct("<4sQIQ")
_LENGTH = struct.Struct("<I")
_PLAIN, _COMPRESSED = b"SfL1", b"SfZ1"


def segment_blocks(content: bytes) -> list[tuple[int, list[bytes]]]:
    """Return the number and the encoded records of each block; each must stand twice and whole."""
    blocks = []
    place = 0
    while place < len(content):
        magic, number, length, checksum = _HEADER.unpack_from(content, place)
        end = place + _HEADER.size + length
        body = content[place + _HEADER.size : end]
        assert magic in (_PLAIN, _COMPRESSED)
        assert checksum == xxhash.xxh64_intdigest(struct.pack("<QI", number, length) + body)
        assert content[end : end + (end - place)] == content[place:end]
        blocks.append((number, _records(zstandard.decompress(body) if magic == _COMPRESSED else body)))
        place = end + (end - place)
    return blocks


def _records(content: bytes) -> list[bytes]:
    records, place = [], 0
    while place < len(content):
        (length,) = _LENGTH.unpack_from(content, place)
        place += _LENGTH.size
        records.append(content[place : place + length])
        assert len(records[-1]) == length
        place += length
    return records


def segment_records(path: pathlib.Path) -> list[bytes]:
    """Return the encoded records of a segment file."""
    return [record for _, records in segment_blocks(path.read_bytes()) for record in records]


class OneExchange:
    """A listener on this machine that takes one HTTP request and gives a fixed response."""

    def __init__(self, response: bytes) -> None:
        """Listen at `address`."""
        self._response = response
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(WAIT_S)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._request = b""
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        with self._listener:
            peer, _ = self._listener.accept()
            with peer:
                peer.settimeout(WAIT_S)
                while not self._is_complete():
                    self._request += peer.recv(65536)
                peer.sendall(self._response)

    def _is_complete(self) -> bool:
        head, found, body = self._request.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        return bool(found) and length is not None and len(body) >= int(length[1])

    def request(self) -> bytes:
        """Return the bytes of the request, once it was answered."""
        self._thread.join(WAIT_S)
        return self._request
