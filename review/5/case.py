"""A server starts again under the id that it had, and leaves; its first ping arrives late."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from fleet import Fleet, Server, encode, fields_for, new_number, play, read_message, reset  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2
DOWN_S = 1.0
# From its start to its leave; the ping that it sends at its start arrives late by this and LATE_S.
LEAVES_AFTER_S = 0.4
LATE_S = 2.2
# It serves on for drainS after the acknowledgement and a little longer.
SERVES_ON_S = 2.7
DEADLINE_S = 6.0
CLIENTS_PER_MACHINE = 10


class Ending(Server):
    """A server that can crash, and start again under its id."""

    def __init__(self, fleet, host, service):
        super().__init__(fleet, host, service)
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await super().serve(reader, writer)
        self.writers.discard(writer)

    def end(self):
        self.reports = False
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def start_again(self):
        self.listener = await asyncio.start_server(self.serve, self.host, int(self.address.rpartition(":")[2]))
        self.born, self.sequence, self.running = int(time.time() * 1000), 0, 0


class Site(Fleet):
    results = {}
    sends = True

    def make_server(self, host, service):
        return Ending(self, host, service)

    async def run_request(self, server, message):
        await asyncio.sleep(random.uniform(0.2, 0.4))
        return 200, b"activated"


async def client(fleet, daemon):
    connection = None
    while fleet.sends:
        number, status = new_number(), 0
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(*daemon.entry), 1)
            reader, writer = connection
            writer.write(encode("POST /licence/seat HTTP/1.1", fields_for(number, DEADLINE_S), b"seat=1"))
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_S + 1)
            status = answer.status
            if answer.fields.get("connection") == "close":
                writer.close()
                connection = None
        except (OSError, EOFError, asyncio.TimeoutError):
            connection = None
        fleet.results[number] = status
        fleet.record.write(f"{number}: sent to {daemon.name}, answered {status or 'nothing'}")
        await asyncio.sleep(random.uniform(0, 0.1))


async def case():
    routes = [["licence-activate", "a.example", "/licence/", "non_idempotent", 6, 1.5, 0, None, 2, "licence-svc"],
              ["manifest-check", "a.example", "/manifest/", "idempotent", 6, 1.5, 2, None, 2, "manifest-svc"]]
    places = [("cluj-a", "licence-svc"), ("cluj-a", "licence-svc"), ("cluj-b", "licence-svc"), ("cluj-b", "manifest-svc")]
    async with Site(HERE, places, routes, ["licence-svc", "manifest-svc"]) as fleet:
        if not await fleet.until_ready():
            print("the daemons did not become ready")
            return 2
        await asyncio.sleep(4)
        server = fleet.daemons[0].server
        fleet.record.write(f"{server.id}: crashes")
        server.end()
        await asyncio.sleep(DOWN_S)
        await server.start_again()
        ping = server.ping("ready")
        fleet.record.write(f"{server.id}: starts again under its id, born {server.born}, and sends a ping")
        if not TROUBLE:
            fleet.record.write(f"{server.id}: the ping arrives: {await server.send('PUT', ping)}")
        tasks = [asyncio.create_task(client(fleet, daemon)) for daemon in fleet.daemons
                 for _ in range(CLIENTS_PER_MACHINE)]
        await asyncio.sleep(LEAVES_AFTER_S)
        server.notices = {"Server-Leaving": "1"}
        status = await server.send("DELETE", {"born": server.born})
        acked = time.monotonic()
        fleet.record.write(f"{server.id}: DELETE answered {status}")
        if status != 200:
            return 2
        await asyncio.sleep(LATE_S)
        if TROUBLE:
            fleet.record.write(f"{server.id}: the ping arrives, {LATE_S} s after the leave: {await server.send('PUT', ping)}")
        await asyncio.sleep(max(0, acked + SERVES_ON_S - time.monotonic()))
        fleet.record.write(f"{server.id}: exits")
        server.end()
        await asyncio.sleep(1)
        fleet.sends = False
        await asyncio.gather(*tasks)
        late = [number for number, runs in fleet.runs.items()
                if any(name == server.id and at > acked + DRAIN_S for at, name in runs)]
        lost = [number for number in late if fleet.results.get(number) != 200]
        for number in late:
            fleet.record.write(f"{number}: reached {server.id} {fleet.runs[number][-1][0] - acked:.2f} s after the "
                               f"acknowledgement; answered {fleet.results.get(number)}")
        text = (f"{len(fleet.results)} requests; {len(late)} reached the server later than {DRAIN_S} s after the "
                f"acknowledgement of its leave, {len(lost)} of these were lost as it exited")
        fleet.record.write(text)
        print(text)
        return 1 if late else 0


play(case())
