"""Minimal HTTP/1.1 for the soak's own clients, targets and store."""

import asyncio


class Message:
    """A request or an answer with its whole body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Reads one message; raises EOFError at the end of the input."""
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
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(lines[0], fields, body)


def encode(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except OSError:
        pass


def reset(writer):
    """Ends a connection by a reset."""
    writer.transport.abort()
