"""Tests of the faults that the soak test injects."""

import asyncio
import sys

from wire import reset


async def read_until_reset():
    """Returns how a connection ends for its client, whose peer resets it during a response."""

    async def respond(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nbegin")
        await writer.drain()
        await reader.readexactly(1)
        reset(writer)

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    await reader.readuntil(b"begin")
    writer.write(b"x")
    try:
        await reader.read()
    except ConnectionResetError:
        return "reset"
    return "closed"


def main():
    end = asyncio.run(read_until_reset())
    print(f"{'ok' if end == 'reset' else 'not ok'} a-response-that-is-broken-off-by-a-reset-does-not-look-complete")
    return 0 if end == "reset" else 1


if __name__ == "__main__":
    sys.exit(main())
