"""Stand-ins for a small deployment: store, servers and clients, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md as far as the cases need it. The program is started with
the command of deploy/system.toml, as a process of its own, with its settings in a file that the
variable JACKDAWLADDER_CONFIG names.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "jackdawladder-proxy")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
PORTS = {"entry": 21004, "ready": 21002, "control": 21006, "server": 21001, "peer": 21020, "metrics": 21035}
ID = "X-Jackdawladder-Attempt-Id"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    return time.monotonic()


class Log:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
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
    return Message(lines[0], fields, b"")


async def read_body(reader, message):
    if message.fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in message.fields:
        message.body = await reader.readexactly(int(message.fields["content-length"]))
    return message


async def read_message(reader):
    return await read_body(reader, await read_head(reader))


def encode(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: rows, transactions and the feed of changes. While it is down it resets connections."""

    ANSWER_S = 0.004

    def __init__(self):
        self.rows, self.feed_rows, self.version = {}, [], 0
        self.down = False
        self.writers = set()
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
        self.rows[table, key] = row
        self.feed_rows.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, document):
        self.put("op", "config", base64.b64encode(json.dumps(document).encode()).decode())

    def set_down(self, down):
        self.down = down
        for writer in list(self.writers) if down else []:
            reset(writer)

    def transact(self, body):
        for row in body["expectedRevision"]:
            present = self.rows.get((row["table"], row["key"]))
            if (present["ver"] if present else 0) != row["ver"]:
                return 412, {"rows": [present] if present else []}
        for row in body["puts"]:
            self.put(row["table"], row["key"], row["value"])
        return 200, {}

    def get(self, query):
        keys = sorted(key for table, key in self.rows if table == query["table"])
        keys = [key for key in keys if key >= query.get("from", "") and ("to" not in query or key < query["to"])]
        return 200, {"rows": [self.rows[query["table"], key] for key in keys], "morePages": False}

    async def feed(self, query):
        until = now() + int(query["waitMs"]) / 1000
        while True:
            rows = [row for row in self.feed_rows
                    if row["ver"] > int(query["after"]) and row["table"] == query["table"]]
            if rows or now() >= until:
                return 200, {"rows": rows}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - now())

    async def serve(self, reader, writer):
        if self.down:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.first.split(" ")
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                await asyncio.sleep(self.ANSWER_S)
                if method == "POST":
                    status, document = self.transact(json.loads(message.body))
                elif parts.path == "/api/rows-feed":
                    status, document = await self.feed(query)
                else:
                    status, document = self.get(query)
                document.update(ver=self.version, nowS=now())
                writer.write(encode(f"HTTP/1.1 {status} X", {"Store-Era": 1}, json.dumps(document).encode()))
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)


class Server:
    """An application server beside a daemon.

    work_s: time for which a request runs; drops: it drops a request when its connection closes;
    on_full: what becomes of a request that it cannot queue, "busy" or "hang"; mute: ratio of the
    requests that it does not answer.
    """

    def __init__(self, site, host, service, slots, queue=2, work_s=0.06, drops=True, on_full="busy"):
        self.site, self.host, self.service = site, host, service
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.drops, self.on_full = drops, on_full
        self.address = f"{host}:{PORTS['server']}"
        self.control = (host, PORTS["control"])
        self.server = None
        self.runs = []
        self.unanswered = 0
        self.mute = 0.0
        self.leaving = False

    async def start(self, name, service=None):
        self.id, self.service = name, service or self.service
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.leaving = False
        self.free = asyncio.Semaphore(self.slots)
        self.held = 0
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, self.host, PORTS["server"])
        self.pinging = asyncio.create_task(self.ping())

    def end(self):
        """Ends as a killed process does."""
        self.pinging.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def tell(self, method, document):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.control), 1)
            writer.write(encode(f"{method} /api/instances/{self.id} HTTP/1.1",
                                {"Host": "x", "Content-Type": "application/json"}, json.dumps(document).encode()))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status
        except (OSError, EOFError, asyncio.TimeoutError):
            return 0

    def next_ping(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z", "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftS": 0, "sequence": self.sequence, "born": self.born}

    async def ping_once(self):
        return await self.tell("PUT", self.next_ping())

    async def ping(self):
        while True:
            status = await self.ping_once()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.handle(reader, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def handle(self, reader, writer):
        message = await read_message(reader)
        fields = message.fields
        number = fields.get(ID.lower(), "-")
        echo = {ID: number}
        if fields.get("x-jackdawladder-target-instance") not in (None, self.id):
            writer.write(encode("HTTP/1.1 421 X", {**echo, "X-Jackdawladder-Instance-Id": self.id}))
            return
        if self.held >= self.slots + self.queue:
            if self.on_full == "hang":
                self.unanswered += 1
                self.site.log(f"server {self.id} cannot queue {number}")
                await reader.read()
                raise EOFError
            writer.write(encode("HTTP/1.1 503 X", {**echo, "X-Jackdawladder-Not-Executed": "1"}))
            return
        if random.random() < self.mute:
            self.unanswered += 1
            self.site.log(f"server {self.id} does not answer {number}")
            await reader.read()
            raise EOFError
        until = now() + int(fields.get("x-jackdawladder-deadline-ms", 60000)) / 1000
        work = asyncio.create_task(self.run(message, number, until))
        if self.drops:
            closing = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                raise EOFError
            closing.cancel()
        status = await work
        if self.leaving:
            echo["Server-Leaving"] = "1"
        body = f"{number} by {self.id}".encode()
        seal = {"X-Jackdawladder-Server-Seal": f"{self.id}.{number}"}
        writer.write(encode(f"HTTP/1.1 {status} X", {**echo, **seal}, body))

    async def run(self, message, number, until):
        self.held += 1
        try:
            async with self.free:
                caller = message.fields.get("x-jackdawladder-caller-service")
                self.runs.append((now(), number, caller, message.first))
                self.site.log(f"run {number} at {self.id} ({self.service}) caller={caller} {message.first}")
                await asyncio.sleep(min(self.work_s, max(0.0, until - now())))
            return 200 if now() < until else 504
        finally:
            self.held -= 1


class Relay:
    """Passes what comes to a daemon's port for other daemons on to it.

    go_silent(): nothing passes on the connections that are open now, for good and without a reset,
    and their ends are not told either; new connections and datagrams pass as before.
    """

    def __init__(self, host, to):
        self.host, self.to = host, to
        self.links = []

    async def start(self):
        loop = asyncio.get_running_loop()
        for _ in range(50):
            server = await asyncio.start_server(self.accept, self.host, 0)
            port = server.sockets[0].getsockname()[1]
            try:
                await loop.create_datagram_endpoint(lambda: Datagrams(self.to), local_addr=(self.host, port))
                self.server = server
                return f"{self.host}:{port}"
            except OSError:
                server.close()
        raise RuntimeError("no free port")

    def go_silent(self):
        count = 0
        for link in self.links:
            count += not link["silent"] and link["open"]
            link["silent"] = True
        return count

    async def accept(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(*self.to)
        except OSError:
            reset(writer)
            return
        link = {"silent": False, "open": True, "writers": (writer, back)}
        self.links.append(link)
        await asyncio.gather(self.copy(reader, back, link), self.copy(there, writer, link))

    async def copy(self, reader, writer, link):
        try:
            while data := await reader.read(65536):
                if not link["silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        link["open"] = False
        if not link["silent"]:
            writer.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, to):
        self.to = to

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.transport.sendto(data, self.to)


class Machine:
    """A machine: the daemon, its settings, and the server beside it."""

    def __init__(self, site, number, zone, service, **server):
        self.site, self.name, self.zone, self.service = site, f"m{number}", zone, service
        self.host = f"{site.block}.{number}"
        self.path = os.path.join(site.folder, f"{self.name}.json")
        self.server = Server(site, self.host, service, **server)
        self.process = None
        self.advertise = None

    def write_settings(self):
        """Writes the settings as platform/settings.json.template does; the file is replaced as a whole."""
        at = {name: f"{self.host}:{port}" for name, port in PORTS.items()}
        settings = {
            "name": self.name, "zone": self.zone, "address": self.host, "service": self.service,
            "target": at["server"], "entry": at["entry"], "ready": at["ready"], "announce": at["control"],
            "peer_port": PORTS["peer"], "metrics_port": PORTS["metrics"], "store": self.site.store_address,
            "store_writes_per_s": 400, "config_apply_s": 2, "heartbeat_s": HEARTBEAT_S, "grace_s": 6,
            "zones": self.site.zones, "features": self.site.contracts,
            "retry_ratio": 0.2, "retry_slack": 47, "retry_window_s": 10,
            **self.site.more_settings,
        }
        if self.advertise:
            settings["advertise"] = self.advertise
        with open(self.path + ".new", "w") as file:
            json.dump(settings, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.started_at = now()
        environment = {**os.environ, "JACKDAWLADDER_CONFIG": self.path}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, stdout=log, stderr=log, env=environment, cwd=ROOT)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        with contextlib.suppress(OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, PORTS["ready"])
            writer.write(encode("GET /api/ready HTTP/1.1", {"Host": "x"}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status == 200
        return False


def free_block():
    """Returns the first three numbers of loopback addresses whose ports are free."""
    while True:
        block = f"127.{random.randint(120, 240)}.{random.randint(0, 255)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{block}.1", PORTS["server"]))
            return block


class Site:
    contracts = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"]

    def __init__(self, log, zones=("z1",)):
        self.log = log
        self.zones = list(zones)
        self.more_settings = {}
        self.relays = False
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.block = free_block()
        self.store = Store()
        self.machines = []
        self.number = 0

    def add(self, zone, service, **server):
        self.machines.append(Machine(self, len(self.machines) + 1, zone, service, **server))
        return self.machines[-1]

    async def start(self, config):
        self.store_address = await self.store.start(f"{self.block}.254")
        self.store.put_config(config)
        for machine in self.machines:
            if self.relays:
                machine.relay = Relay(machine.host, (machine.host, PORTS["peer"]))
                machine.advertise = await machine.relay.start()
            machine.write_settings()
            await machine.start()
            await machine.server.start(f"i-{machine.name}")
        for machine in self.machines:
            for _ in range(100):
                if await machine.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{machine.name} does not become ready")
        await asyncio.sleep(2.5)

    async def stop(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def request(self, machine, path, method="GET", deadline_s=5.0, fields=None, body=b"", leave_s=None):
        """Sends a request on a new connection; returns the status, 0 if the connection ended, -1 if none came.

        leave_s: time after which the client closes its connection.
        """
        self.number += 1
        number = f"a{self.number:05d}"
        self.log(f"send {number} to {machine.name} {method} {path} deadline_s={deadline_s}")
        status, writer = 0, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.host, PORTS["entry"]), 1)
            head = {"Host": "a.example", ID: number, "X-Jackdawladder-Deadline-Ms": int(deadline_s * 1000)}
            writer.write(encode(f"{method} {path} HTTP/1.1", {**head, **(fields or {})}, body))
            answer = await asyncio.wait_for(read_message(reader), leave_s or deadline_s + 1)
            status = answer.status
        except asyncio.TimeoutError:
            status = -1
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        if writer is not None:
            writer.close()
        self.log(f"end  {number} status={status}")
        return number, status


def config(version, routes, services, tenants=None, **limits):
    """routes: lists of name, prefix, kind, priority, service, and more columns by name."""
    columns = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "maxAttempts", "service"]
    rows = [[route["name"], "a.example", route["prefix"], route.get("kind", "idempotent"), route.get("timeout", 5),
             route.get("goal", 1.2), route.get("priority", 1), route.get("attempts", 2), route["service"]]
            for route in routes]
    document = {
        "version": f"{version:08x}",
        "routes": {"columns": columns, "rows": rows},
        "services": {"columns": ["name", "healthPath", "maxConnections"],
                     "rows": [[name, "/health", 800] for name in services]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 30, **limits},
    }
    if tenants is not None:
        document["tenants"] = tenants
        document["routes"]["columns"].append("public")
        for row, route in zip(rows, routes):
            row.append(route.get("public", False))
    return document


def main(folder, play):
    """Runs a case: play(log) returns HELD or BROKEN. The exit status says the same, or that it could not run."""
    log = Log(folder)
    log(f"trouble={int(TROUBLE)}")

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda loop, context: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(play(log), 110)

    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        log(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = NOT_RUN
    log(f"result={result}")
    sys.exit(result)
