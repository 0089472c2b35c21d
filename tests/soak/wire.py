"""Minimal HTTP/1.1 for the simulated clients, targets and store of the soak test."""

import asyncio
import socket
import struct

# With a linger time of 0 s, closing a socket discards unsent data and resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)


class Message:
    """A request or response with its complete body; `first` is the start line."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Reads a message; raises EOFError if the input ends within its header."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            if size == 0:
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(lines[0], fields, body)


def encode(first, fields, body=b""):
    """Returns a message as bytes, with a Content-Length field."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_chunked(first, fields, body):
    """Returns a message as bytes, with a chunked body."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Transfer-Encoding: chunked")
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + chunks + b"0\r\n\r\n"


async def close(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except OSError:
        pass


def reset(writer):
    """Closes a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
