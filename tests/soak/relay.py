"""A loopback proxy that stands on one daemon's way and disturbs it."""

import asyncio

from wire import reset


class Relay:
    """Relays TCP (and datagrams, if asked) from a port of its own to `to`.

    delay: seconds added to each piece; silent: nothing passes in either way;
    one_way: nothing passes back; refuse: new connections are reset.
    """

    def __init__(self, host, to):
        self.host = host
        self.to = to
        self.calm()
        self.writers = set()

    def calm(self):
        self.delay = 0.0
        self.silent = False
        self.one_way = False
        self.refuse = False

    async def start(self, datagrams=False):
        self.server = await asyncio.start_server(self.accept, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        try:
            if datagrams:
                loop = asyncio.get_running_loop()
                await loop.create_datagram_endpoint(
                    lambda: Datagrams(self), local_addr=(self.host, self.port)
                )
        except OSError:
            # Another socket has this port for datagrams: takes another one.
            self.server.close()
            return await self.start(datagrams)
        return f"{self.host}:{self.port}"

    async def accept(self, reader, writer):
        if self.refuse:
            reset(writer)
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.to)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, back_writer}
        await asyncio.gather(
            self.pump(reader, back_writer, False),
            self.pump(back_reader, writer, True),
        )
        self.writers -= {writer, back_writer}

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.silent or (back and self.one_way):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if not self.relay.silent:
            self.transport.sendto(data, self.relay.to)
