"""Stand-in of a target: slots, heartbeats, draining, misbehaviour."""

import asyncio
import itertools
import json
import random
import time

from wire import close, encode, read_message, reset

LIVES = itertools.count(1)
HEARTBEAT_S = 0.4
DRAIN_S = 1.0


class Target:
    """One place for a target; each start is a new life with a new id.

    lose: share of the runs whose answer is lost; extra: share after which the
    answer is sent once more, late.
    """

    def __init__(self, history, host, service, slots, seed):
        self.history = history
        self.host = host
        self.service = service
        self.slots = slots
        self.random = random.Random(seed)
        self.port = 0
        self.running = 0
        self.lose = 0.0
        self.extra = 0.0
        self.leaving_since = None
        self.tasks = set()
        self.lock = asyncio.Lock()

    async def start(self, announce):
        self.id = f"i-{next(LIVES)}"
        self.announce = announce
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.leaving_since = None
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat())

    def crash(self):
        self.beating.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            reset(writer)
        self.running = 0

    async def leave(self):
        """A planned stop; the history notes when it was acknowledged."""
        self.leaving_since = time.monotonic()
        while not await self.say("PUT", self.state("draining")):
            await asyncio.sleep(0.1)
        self.history.acknowledged(self.id)
        await asyncio.sleep(DRAIN_S + 1)
        await self.say("DELETE", {})
        self.crash()

    async def leave_unannounced(self, killed):
        """Says that it is gone, serves on, and an older heartbeat comes late.

        killed: ends the daemon that has just acknowledged.
        """
        late = self.state("ready")
        self.leaving_since = time.monotonic()
        self.beating.cancel()
        while not await self.say("DELETE", {}):
            await asyncio.sleep(0.1)
        self.history.acknowledged(self.id)
        killed()
        for _ in range(10):
            await asyncio.sleep(0.3)
            await self.say("PUT", late)
        self.crash()

    def state(self, state):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftS": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def say(self, method, document):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.announce), 1)
            body = json.dumps(document).encode()
            writer.write(encode(f"{method} /api/instances/{self.id} HTTP/1.1", {"Host": "x"}, body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            await close(writer)
            return answer.status // 100 == 2
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def beat(self):
        while True:
            await self.say("PUT", self.state("draining" if self.leaving_since else "ready"))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await self.run(message, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def run(self, message, writer):
        fields = message.fields
        number = fields["x-jackdawladder-attempt-id"]
        echo = {"X-Jackdawladder-Attempt-Id": number}
        if fields.get("x-jackdawladder-target-instance") not in (None, self.id):
            writer.write(encode("HTTP/1.1 421 Other", echo))
            return
        self.history.arrived(number, self.service)
        if self.running >= self.slots:
            echo["X-Jackdawladder-Not-Executed"] = "1"
            writer.write(encode("HTTP/1.1 503 Full", echo))
            return
        self.running += 1
        self.history.ran(number, self.id, self.service, message)
        try:
            await asyncio.sleep(self.random.uniform(0.01, 0.08))
        finally:
            self.running = max(0, self.running - 1)
        proof = f"{self.id}.{number}"
        body = (f"{number} by {self.id} " * self.random.randint(1, 60)).encode()
        self.history.answered(number, proof, body)
        answer = encode("HTTP/1.1 200 OK", {**echo, "X-Jackdawladder-Server-Seal": proof}, body)
        if self.random.random() < self.lose:
            reset(writer)
            raise EOFError
        writer.write(answer)
        await writer.drain()
        if self.random.random() < self.extra:
            await asyncio.sleep(0.01)
            writer.write(answer)
