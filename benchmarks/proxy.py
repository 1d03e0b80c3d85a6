"""Byte proxy for comparison with the gateway: two threads per connection copy bytes without parsing them."""

from __future__ import annotations

import itertools
import socket
import sys
import threading


def pump(source: socket.socket, sink: socket.socket) -> None:
    """Copy bytes until either socket closes, then shut down both."""
    try:
        while data := source.recv(65536):
            sink.sendall(data)
    except OSError:
        pass
    finally:
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def main() -> None:
    """Listen on a free port and connect each client to the next of the given addresses."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    threading.stack_size(256 * 1024)
    for address in itertools.cycle(sys.argv[1:]):
        client, _ = listener.accept()
        host, _, port = address.rpartition(":")
        worker = socket.create_connection((host, int(port)))
        for sock in (client, worker):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=pump, args=(client, worker), daemon=True).start()
        threading.Thread(target=pump, args=(worker, client), daemon=True).start()


if __name__ == "__main__":
    main()
