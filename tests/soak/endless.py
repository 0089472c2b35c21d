"""Responses without end, in each part of an HTTP message."""

import asyncio
import itertools

from wire import reset

# Size of a fast write in bytes, and the pauses after a fast and a slow write.
FAST_BYTES = 16384
FAST_PAUSE_S = 0.002
SLOW_PAUSE_S = 0.02
# Bytes after which a sender that nobody stops gives up.
MOST_BYTES = 64 << 20
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# For each part, what precedes it after the status line, and what is repeated.
PARTS = {
    "status-line": (None, b"x"),
    "field": (b"X-Field: ", b"x"),
    "fields": (b"", b"X-Field: x\r\n"),
    "body-to-close": (b"\r\n", b"x"),
    "body-with-length": (b"Content-Length: 9000000000\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"1;a=", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Field: x\r\n"),
}
INTERIM = b"HTTP/1.1 102 Wait\r\n\r\n"
KINDS = ["interim", *PARTS]


def encode_parts(kind, status_line, fields):
    """Returns what begins the response, and what is repeated."""
    if kind == "interim":
        return b"", INTERIM
    before, repeated = PARTS[kind]
    if before is None:
        return status_line.encode(), repeated
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{status_line}\r\n{head}".encode() + before, repeated


async def send_without_end(writer, kind, slow, status_line, fields):
    """Sends until the peer closes the connection, then closes it too."""
    begin, repeated = encode_parts(kind, status_line, fields)
    block = repeated if slow else repeated * (FAST_BYTES // len(repeated))
    writer.write(begin)
    for count in itertools.count():
        if writer.is_closing() or count * len(block) > MOST_BYTES:
            break
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(SLOW_PAUSE_S if slow else FAST_PAUSE_S)
    reset(writer)
