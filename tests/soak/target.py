"""Simulated target with slots, heartbeats, draining and injected faults."""

import asyncio
import itertools
import json
import random
import time

from endless import KINDS, send_without_end
from faulty import RefusalRepeater, cut_short
from wire import close, encode, read_message, reset

INSTANCE_NUMBERS = itertools.count(1)
HEARTBEAT_S = 0.4
# Maximum time for which a target works on a request whose path begins with /slow/.
SLOW_S = 1.2
# Time in which a draining target may still get requests, as in history.py.
DRAIN_WAIT_S = 1.0


class Target:
    """A target that can be restarted; each start has a new instance id.

    lost_response_ratio: ratio of the requests that run but whose response is
    lost; repeated_response_ratio: ratio of the responses that are sent a second
    time, 10 ms later.
    split_repeated_responses: the second one comes in two packets 10 ms apart.
    endless_response_ratio: ratio of the requests that run and get a response
    without end; cut_response_ratio: the same with a response that ends within its
    head or trailers.
    limit: requests a second that its answers name, None for none; says_leaving: its
    answers say that it leaves, while its heartbeats go on.
    """

    def __init__(self, history, host, service, slots, seed):
        self.history = history
        self.host = host
        self.service = service
        self.slots = slots
        self.random = random.Random(seed)
        self.port = 0
        # Where the daemon's settings say that it accepts requests, if not at its own port.
        self.address = None
        self.server = None
        self.running = 0
        self.lost_response_ratio = 0.0
        self.repeated_response_ratio = 0.0
        self.split_repeated_responses = False
        self.endless_response_ratio = 0.0
        self.cut_response_ratio = 0.0
        self.limit = None
        self.says_leaving = False
        # The page of the users does not show how the names are spelled.
        self.prefix = self.random.choice(["", "X-Jackdawladder-"])
        self.refusals = RefusalRepeater(seed)
        # Whether heartbeats tell the start time.
        self.tells_start = True
        # The identifier and the last heartbeat of the incarnation before.
        self.earlier = None
        self.draining_since = None
        self.tasks = set()
        self.lock = asyncio.Lock()
        # Called for each request that arrives, and for each that begins to run; the
        # latter returns whether the request is never answered.
        self.on_arrival = lambda target, path, number: None
        self.on_run = lambda target, path: False

    async def start(self, announce, instance=None):
        """Starts the target, under the given instance id or a new one."""
        if self.server is not None:
            self.earlier = (self.id, self.state("ready"))
        self.id = instance or f"i-{next(INSTANCE_NUMBERS)}"
        self.announce = announce
        self.dark = False
        self.crashed = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.draining_since = None
        self.says_leaving = False
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    def crash(self):
        """Resets all connections and stops."""
        self.crashed = True
        self.heartbeat_task.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.reset_connections()
        self.running = 0

    def reset_connections(self):
        for writer in list(self.writers):
            reset(writer)

    def go_dark(self, relay):
        """Stops without closing connections: nothing is answered and no heartbeat sent."""
        self.dark = True
        relay.impair(silent=True)
        self.heartbeat_task.cancel()

    async def leave(self):
        """Drains and stops; the history records the time of the acknowledgement."""
        self.draining_since = time.monotonic()
        while not await self.announce_state("PUT", self.state("draining")):
            await asyncio.sleep(0.1)
        self.history.draining_acknowledged(self.id)
        await asyncio.sleep(DRAIN_WAIT_S + 1)
        await self.announce_state("DELETE", {})
        self.crash()

    async def leave_and_kill_daemon(self, kill_daemon):
        """Reports that it left but continues to serve, while a stale heartbeat arrives late.

        kill_daemon: kills the daemon that has just acknowledged the report.
        """
        stale_heartbeat = self.state("ready")
        self.draining_since = time.monotonic()
        self.heartbeat_task.cancel()
        while not await self.announce_state("DELETE", {}):
            await asyncio.sleep(0.1)
        self.history.draining_acknowledged(self.id)
        kill_daemon()
        for _ in range(10):
            await asyncio.sleep(0.3)
            await self.announce_state("PUT", stale_heartbeat)
        self.crash()

    def state(self, state):
        """Returns the document of the next heartbeat."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": self.address or f"{self.host}:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftS": 0,
            "sequence": self.sequence,
        }
        return {**document, "born": self.born} if self.tells_start else document

    async def announce_state(self, method, document, instance=None):
        """Sends a document to the daemon, in the name of this target or another; returns whether it accepted it."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.announce), 1)
            body = json.dumps(document).encode()
            writer.write(encode(f"{method} /api/instances/{instance or self.id} HTTP/1.1", {"Host": "x"}, body))
            response = await asyncio.wait_for(read_message(reader), 1)
            await close(writer)
            return response.status // 100 == 2
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def send_heartbeats(self):
        born = self.born
        while born == self.born and not self.dark:
            await self.announce_state("PUT", self.state("draining" if self.draining_since else "ready"))
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
            self.refusals.forget(writer)
            self.writers.discard(writer)

    async def call(self, path, number):
        """Sends the call that a request makes through the daemon; returns its status."""
        call = f"{number}.call"
        path = path.replace("/call/", "/deep/")
        self.history.begin(call, True, path, b"", self.entry_name, 0, 2.0)
        fields = {"Host": "a.example", "X-Jackdawladder-Attempt-Id": call, "X-Jackdawladder-Deadline-Ms": 1500}
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.entry), 1)
            writer.write(encode(f"GET {path} HTTP/1.1", fields))
            answer = await asyncio.wait_for(read_message(reader), 2)
            await close(writer)
        except (OSError, EOFError, asyncio.TimeoutError):
            self.history.end(call, 0, {}, b"")
            return 500
        self.history.end(call, answer.status, answer.fields, answer.body)
        return 200 if answer.status == 200 else 500

    def notices(self):
        """Returns what its answers say of it."""
        fields = {}
        if self.limit is not None:
            fields[self.prefix + "Server-Limit"] = str(self.limit)
        self.history.limits.named(self.id, self.limit)
        if self.says_leaving:
            fields[self.prefix + "Server-Leaving"] = "1"
        return fields

    async def run(self, message, writer):
        fields = message.fields
        number = fields["x-jackdawladder-attempt-id"]
        echo = {"X-Jackdawladder-Attempt-Id": number}
        if fields.get("x-jackdawladder-target-instance") not in (None, self.id):
            writer.write(encode("HTTP/1.1 421 Other", {**echo, "X-Jackdawladder-Instance-Id": self.id}))
            return
        path = message.first.split(" ")[1]
        self.history.arrived(number, self.id, self.service, self.host, fields)
        echo.update(self.notices())
        self.on_arrival(self, path, number)
        await self.refusals.write(writer, ["idle", "arrival"])
        if self.refusals.refuse(writer, echo):
            return
        if self.running >= self.slots:
            echo["X-Jackdawladder-Not-Executed"] = "1"
            writer.write(encode("HTTP/1.1 503 Full", echo))
            return
        self.running += 1
        born = self.born
        self.history.ran(number, self.id, self.service, message)
        status = 200
        try:
            if self.on_run(self, path):
                await asyncio.sleep(3600)
            if path.startswith("/call/"):
                status = await self.call(path, number)
            longest = SLOW_S if path.startswith(("/slow/", "/late/")) else 0.08
            await asyncio.sleep(longest if path.startswith("/late/") else self.random.uniform(0.01, longest))
        finally:
            self.running = max(0, self.running - 1)
        if self.crashed or self.born != born:
            raise EOFError
        # The answer says what holds now, not what held when the request arrived.
        echo = {"X-Jackdawladder-Attempt-Id": number, **self.notices()}
        seal = f"{self.id}.{number}"
        if self.random.random() < self.endless_response_ratio:
            await send_without_end(writer, self.random.choice(KINDS), self.random.random() < 0.5,
                                   "HTTP/1.1 200 X", {**echo, "X-Jackdawladder-Server-Seal": seal})
            raise EOFError
        await self.refusals.write(writer, ["response"])
        if self.cut_response_ratio and self.random.random() < self.cut_response_ratio:
            writer.write(cut_short(self.random, "HTTP/1.1 200 X", {**echo, "X-Jackdawladder-Server-Seal": seal}, b"cut"))
            await close(writer)
            raise EOFError
        body = (f"{number} by {self.id} " * self.random.randint(1, 60)).encode()
        self.history.answered(number, seal, body, self.entry_name)
        response = encode(f"HTTP/1.1 {status} X", {**echo, "X-Jackdawladder-Server-Seal": seal}, body)
        if self.random.random() < self.lost_response_ratio:
            reset(writer)
            raise EOFError
        writer.write(response)
        await writer.drain()
        if self.random.random() < self.repeated_response_ratio:
            await asyncio.sleep(0.01)
            half = self.random.randrange(1, len(response)) if self.split_repeated_responses else 0
            if half:
                writer.write(response[:half])
                await asyncio.sleep(0.01)
            writer.write(response[half:])
