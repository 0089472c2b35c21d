"""Loopback relay that injects network faults into the connections of a daemon."""

import asyncio

from wire import reset


class Relay:
    """Relays TCP, and optionally UDP, from a port of its own to the address `to`.

    delay: seconds by which each chunk of TCP data is delayed; silent: no data
    passes in either direction; one_way: no TCP data passes from `to` back to
    the client; refuse: new TCP connections are reset. cut: a function that says
    whether nothing passes from and to a source address; find_source: a function
    that returns the source address of a TCP connection by its port.
    """

    def __init__(self, host, to):
        self.host = host
        self.to = to
        self.clear_faults()
        self.cut = None
        self.find_source = None
        self.writers = set()

    def clear_faults(self):
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
                    lambda: DatagramRelay(self), local_addr=(self.host, self.port)
                )
        except OSError:
            # Another UDP socket uses this port; try another one.
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
        source = self.find_source(writer.get_extra_info("peername")[1]) if self.find_source else ""
        await asyncio.gather(
            self.copy_stream(reader, back_writer, False, source),
            self.copy_stream(back_reader, writer, True, source),
        )
        self.writers -= {writer, back_writer}

    def is_cut(self, source):
        return self.cut is not None and self.cut(source)

    async def copy_stream(self, reader, writer, is_response, source):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.silent or (is_response and self.one_way) or self.is_cut(source):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)


class DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if not self.relay.silent and not self.relay.is_cut(addr[0]):
            self.transport.sendto(data, self.relay.to)
