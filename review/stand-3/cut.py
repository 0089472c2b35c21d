"""Relays in front of the ports at which daemons speak to each other, which can cut a machine off.

Nothing passes from or to a machine that is cut off, and nothing is reset. Its clients, its
server and the store still reach it, and it them.
"""

import asyncio
import contextlib
import os
import re

import kit


def connection_inode(port, to_port):
    """Returns the inode of the socket that is connected from a loopback port, None if it is not known."""
    with open("/proc/net/tcp") as file:
        for line in file:
            part = line.split()
            if len(part) > 9 and part[1].endswith(f":{port:04X}") and part[2].endswith(f":{to_port:04X}"):
                return part[9]
    return None


def has_socket(pid, inode):
    with contextlib.suppress(OSError):
        for name in os.listdir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                match = re.match(r"socket:\[(\d+)\]", os.readlink(f"/proc/{pid}/fd/{name}"))
                if match and match.group(1) == inode:
                    return True
    return False


class Relay(asyncio.DatagramProtocol):
    """The relay of one daemon. cut: set of the daemons that are cut off, of all relays."""

    def __init__(self, daemon, cut):
        self.daemon, self.cut = daemon, cut
        self.changed = asyncio.Event()

    async def start(self):
        daemon = self.daemon
        self.port = kit.free_port(daemon.host, datagrams=True)
        daemon.advertise = f"{daemon.host}:{self.port}"
        self.server = await asyncio.start_server(self.accept, daemon.host, self.port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(daemon.host, self.port))

    def connection_made(self, transport):
        self.transport = transport

    def is_cut(self, source):
        """Whether nothing passes from a daemon to this one, or back."""
        return source is not self.daemon and (self.daemon in self.cut or source in self.cut)

    def datagram_received(self, data, address):
        source = next((other for other in self.daemon.site.daemons if other.host == address[0]), None)
        if not self.is_cut(source):
            self.transport.sendto(data, (self.daemon.host, self.daemon.ports["peer"]))

    def find_source(self, writer):
        inode = connection_inode(writer.get_extra_info("peername")[1], self.port)
        for other in self.daemon.site.daemons:
            if inode is not None and other.process is not None and has_socket(other.process.pid, inode):
                return other
        return None

    async def accept(self, reader, writer):
        source = self.find_source(writer)
        try:
            back_reader, back_writer = await asyncio.open_connection(self.daemon.host, self.daemon.ports["peer"])
        except OSError:
            kit.reset(writer)
            return
        await asyncio.gather(self.copy(source, reader, back_writer), self.copy(source, back_reader, writer))

    async def copy(self, source, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.is_cut(source):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            while self.is_cut(source):
                await asyncio.sleep(0.02)
            writer.close()
        except OSError:
            kit.reset(writer)


class Network:
    def __init__(self, site):
        self.site = site
        self.cut = set()

    async def start(self):
        for daemon in self.site.daemons:
            await Relay(daemon, self.cut).start()

    def cut_off(self, daemon):
        self.cut.add(daemon)
        self.site.record.say(f"{daemon.name} is cut off from all other machines")

    def heal(self, daemon):
        self.cut.discard(daemon)
        self.site.record.say(f"{daemon.name} reaches all other machines again")
