"""HTTP/1.1 messages, RFC 9112, read and written without I/O: bytes in, messages out, both sides."""
