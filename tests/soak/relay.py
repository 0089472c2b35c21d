"""Loopback relay that injects network faults into the connections of a daemon."""

import asyncio
import random

from wire import reset


class Link:
    """A connection that a relay passes on.

    source: the address of its client, None if it is not known yet; silent: no data
    passes in either direction any more, without a reset.
    """

    def __init__(self, source):
        self.source = source
        self.silent = False


class Relay:
    """Relays TCP, and optionally UDP, from a port of its own to the address `to`.

    Faults are set by impair(). delay: seconds by which each chunk of TCP data is
    delayed; silent: no data passes in either direction; one_way: no TCP data
    passes from `to` back to the client; cut_ratio: ratio of the chunks from `to` of
    which only a part passes before the connection is closed in order; refuse: new
    TCP connections are reset;
    cut: a function that says whether nothing passes from and to a source address;
    reset_delay: seconds after which connections are reset if `to` accepts none;
    no_datagrams: no datagram passes.

    forbidden: bytes that nothing may pass on, None for none; seen: how often they were.

    find_source: a coroutine function that returns the source address of a TCP
    connection by its port.
    """

    def __init__(self, host, to):
        self.host = host
        self.to = to
        self.cut = None
        self.find_source = None
        self.reset_delay = 0.0
        self.no_datagrams = False
        self.forbidden = None
        self.seen = 0
        self.writers = set()
        self.links = set()
        self.changed = asyncio.Event()
        self.clear_faults()

    def clear_faults(self):
        self.impair(delay=0.0, silent=False, one_way=False, cut_ratio=0.0, refuse=False)

    def impair(self, **faults):
        for name, value in faults.items():
            setattr(self, name, value)
        self.changed.set()
        self.changed = asyncio.Event()

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
            await asyncio.sleep(self.reset_delay)
            reset(writer)
            return
        self.writers |= {writer, back_writer}
        link = Link(None if self.find_source else "")
        self.links.add(link)
        if self.find_source:
            port = writer.get_extra_info("peername")[1]
            finding = asyncio.create_task(self.set_source(link, port))
        await asyncio.gather(
            self.copy_stream(reader, back_writer, False, link),
            self.copy_stream(back_reader, writer, True, link),
        )
        self.writers -= {writer, back_writer}
        self.links.discard(link)
        if self.find_source:
            finding.cancel()

    async def set_source(self, link, port):
        link.source = await self.find_source(port)
        self.impair()

    def look_at(self, data):
        self.seen += self.forbidden is not None and self.forbidden in data

    def is_cut(self, source):
        return self.cut is not None and (source is None or self.cut(source))

    def is_held(self, is_response, link):
        return (self.silent or link.silent or (is_response and self.one_way)
                or self.is_cut(link.source))

    async def copy_stream(self, reader, writer, is_response, link):
        try:
            while data := await reader.read(65536):
                self.look_at(data)
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.is_held(is_response, link):
                    await self.changed.wait()
                if is_response and self.cut_ratio and random.random() < self.cut_ratio:
                    writer.write(data[:random.randrange(1, len(data) + 1)])
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)

    def silence_links(self):
        """Lets nothing pass on the present connections for good; new ones work."""
        for link in self.links:
            link.silent = True

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)


class DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        relay = self.relay
        relay.look_at(data)
        if not relay.silent and not relay.no_datagrams and not relay.is_cut(addr[0]):
            self.transport.sendto(data, self.relay.to)
