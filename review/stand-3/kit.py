"""Stand-ins of the third review: the platform's store, servers, clients, and daemons as processes.

They use the Python standard library only, and loopback addresses only. What they speak is
what PROTOCOL.md says; the settings of a daemon are platform/settings.json.template, filled in.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ID = "X-Jackdawladder-Attempt-Id"
IDS = itertools.count(1)
RUN = f"{os.getpid():x}{random.getrandbits(24):06x}"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start, in record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


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
    return lines[0], fields


async def read_body(reader, fields):
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return body


async def read_message(reader):
    first, fields = await read_head(reader)
    return Message(first, fields, await read_body(reader, fields))


def encode(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


GIVEN = set()


def free_port(host, datagrams=False):
    """Returns a port of the address that is free for TCP, and for UDP if datagrams; each one once."""
    while True:
        with contextlib.ExitStack() as stack:
            stream = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            if (host, port) in GIVEN:
                continue
            GIVEN.add((host, port))
            if not datagrams:
                return port
            datagram = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            try:
                datagram.bind((host, port))
                return port
            except OSError:
                continue


class Store:
    """The platform's store: rows, transactions and the feed of changes.

    down: it answers nobody (connections are reset), as while it is down.
    """

    def __init__(self, record):
        self.record = record
        self.rows, self.history, self.version = {}, [], 0
        self.down = False
        self.writers = set()
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def put_rows(self, rows, removed=()):
        self.version += 1
        for table, part, key, value in rows:
            row = dict(table=table, part=part, key=key, value=value, ver=self.version)
            self.rows[table, part, key] = row
            self.history.append(row)
        for table, part, key in removed:
            if self.rows.pop((table, part, key), None):
                self.history.append(dict(table=table, part=part, key=key, ver=self.version, deleted=True))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_rows([("op", "", "config", value)])
        self.record.write(f"operator writes op/config version={document['version']}")

    def set_down(self, down):
        self.down = down
        self.record.say(f"store {'goes down' if down else 'is up'}")
        if down:
            for writer in list(self.writers):
                reset(writer)

    def transaction(self, body):
        expected = body.get("expectedRevision", [])
        places = [(row["table"], row.get("part", ""), row["key"]) for row in expected]
        if any(self.rows.get(place, {}).get("ver", 0) != row["ver"] for place, row in zip(places, expected)):
            return 412, {"rows": [self.rows[place] for place in places if place in self.rows]}
        self.put_rows([(row["table"], row.get("part", ""), row["key"], row["value"]) for row in body.get("puts", [])],
                      [(row["table"], row.get("part", ""), row["key"]) for row in body.get("remove", [])])
        return 200, {}

    def get(self, query):
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        found = [row for (table, part, key), row in sorted(self.rows.items())
                 if table == query["table"] and part == query.get("part", "")
                 and key >= first and (last is None or key < last)]
        return 200, {"rows": found[:limit], "morePages": len(found) > limit}

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [row for row in self.history if row["ver"] > after and row["table"] == query["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if (method, parts.path) == ("POST", "/api/rows-tx"):
            return self.transaction(json.loads(message.body))
        if parts.path == "/api/rows-feed":
            return await self.feed(query)
        if parts.path == "/api/rows-get":
            return self.get(query)
        return 404, {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if self.down:
                    reset(writer)
                    return
                status, document = await self.answer(message)
                if self.down:
                    reset(writer)
                    return
                document.update(ver=self.version, nowS=time.monotonic())
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    {"Content-Type": "application/json", "Store-Era": 1},
                                    json.dumps(document).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """An application server beside a daemon. Each start is a lifetime with a new id.

    slots requests run at once, each for work_s; some more wait; beyond these it rejects.
    hangs: a function that says whether a request is one that it never answers.
    window: bytes that its connections hold unread, None for what the system does.
    leaves: it says in all its answers that it leaves.
    """

    def __init__(self, daemon, slots=16, work_s=0.05, heartbeat_s=0.5, window=None):
        self.daemon, self.slots, self.work_s, self.heartbeat_s = daemon, slots, work_s, heartbeat_s
        self.window = window
        self.record = daemon.site.record
        self.host, self.port = daemon.host, daemon.ports["target"]
        self.hangs = lambda message: False
        self.on_run = lambda server, fields: None
        self.beats = True
        self.writers = set()
        self.hung = 0
        self.leaves = False

    async def start(self):
        self.id = f"i-{RUN}-{next(IDS)}"
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        socket_ = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window is not None:
            socket_.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        socket_.bind((self.host, self.port))
        self.listener = await asyncio.start_server(self.serve, sock=socket_, limit=1 << 16)
        self.beating = asyncio.create_task(self.beat())

    def document(self, state):
        self.sequence += 1
        return {"service": self.daemon.service, "address": f"{self.host}:{self.port}", "zone": self.daemon.zone,
                "version": "v1", "slots": self.slots, "state": state, "coldLeftS": 0,
                "sequence": self.sequence, "born": self.born}

    async def tell(self, method, document):
        """Sends a ping, or a leave; returns the status, 0 if no answer came within a second."""
        try:
            body = json.dumps(document).encode() if document is not None else b""
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.daemon.ports["announce"]), 1)
            writer.write(encode(f"{method} /api/instances/{self.id} HTTP/1.1",
                                {"Host": "x", "Content-Type": "application/json"}, body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def beat(self):
        while True:
            if self.beats:
                await self.tell("PUT", self.document("ready"))
            await asyncio.sleep(self.heartbeat_s)

    def end(self):
        self.beating.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                if not await self.handle(first, fields, reader, writer):
                    return
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def handle(self, first, fields, reader, writer):
        number = fields.get(ID.lower(), "-")
        if first.split(" ")[1] == "/health":
            writer.write(encode("HTTP/1.1 200 OK", {"X-Jackdawladder-Instance-Id": self.id}))
            return True
        if self.hangs(first):
            # No answer to this request, nor to any further one on this connection.
            self.hung += 1
            self.record.write(f"server {self.id} hangs id={number} {first}")
            await self.daemon.site.ended.wait()
            return False
        await read_body(reader, fields)
        echo = {ID: number}
        if fields.get("x-jackdawladder-target-instance", self.id) != self.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                {**echo, "X-Jackdawladder-Instance-Id": self.id}))
            return True
        if self.waiting > 3 * self.slots:
            writer.write(encode("HTTP/1.1 503 Full", {**echo, "X-Jackdawladder-Not-Executed": "1"}))
            return True
        self.waiting += 1
        try:
            async with self.free:
                self.daemon.site.ran(self, number, first, fields)
                self.on_run(self, fields)
                await asyncio.sleep(self.work_s)
        finally:
            self.waiting -= 1
        if self.leaves:
            echo["Server-Leaving"] = "1"
        writer.write(encode("HTTP/1.1 200 OK", {**echo, "X-Jackdawladder-Server-Seal": f"{self.id}.{number}"},
                            f"{number} by {self.id}".encode()))
        await writer.drain()
        return True


class Daemon:
    """A machine: the process of the deploy file, and the server beside it."""

    def __init__(self, site, name, zone, service, **server):
        self.site, self.name, self.zone, self.service = site, name, zone, service
        self.host = site.next_host()
        self.ports = {role: free_port(self.host) for role in ("target", "entry", "ready", "announce", "metrics")}
        self.ports["peer"] = free_port(self.host, datagrams=True)
        self.advertise = None
        self.server = Server(self, **server)
        self.process = None

    def write_settings(self):
        site, ports = self.site, self.ports
        settings = {
            "name": self.name, "zone": self.zone, "address": self.host, "service": self.service,
            "target": f"{self.host}:{ports['target']}", "entry": f"{self.host}:{ports['entry']}",
            "ready": f"{self.host}:{ports['ready']}", "announce": f"{self.host}:{ports['announce']}",
            "peer_port": ports["peer"], "metrics_port": ports["metrics"], "store": site.store.address,
            "store_writes_per_s": 400, "config_apply_s": 2, "heartbeat_s": self.server.heartbeat_s, "grace_s": 6,
            "revoke_s": 5, "cap_window_s": 5, "cap_over_ratio": 0.1, "cap_slack": 20,
            "zones": site.zones, "features": site.features,
            "retry_ratio": 0.2, "retry_slack": 47, "retry_window_s": 10,
        }
        if self.advertise:
            settings["advertise"] = self.advertise
        self.path = os.path.join(site.folder, f"{self.name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JACKDAWLADDER_CONFIG"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(REPOSITORY, "target/jackdawladder-proxy"), cwd=REPOSITORY,
            stdout=log, stderr=log, env=environment)
        log.close()
        self.site.record.write(f"daemon {self.name} starts")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.site.record.say(f"daemon {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def restart(self, after_s=0.3):
        """Starts the process again a moment after it has ended, as the platform does."""
        await self.process.wait()
        await asyncio.sleep(after_s)
        await self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.ports["ready"]), 0.5)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 0.5)
            writer.close()
            return answer.status == 200
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Site:
    """A small deployment."""

    def __init__(self, folder, zones, features=("base", "drain", "config", "cost", "retry", "recover", "health",
                                                "pool", "pressure", "platform")):
        self.record = Record(folder)
        self.zones, self.features = list(zones), list(features)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.block = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}."
        self.hosts = itertools.count(2)
        self.store = Store(self.record)
        self.daemons = []
        self.runs = []
        self.ended = None

    def next_host(self):
        return self.block + str(next(self.hosts))

    def add(self, name, zone, service, **server):
        daemon = Daemon(self, name, zone, service, **server)
        self.daemons.append(daemon)
        return daemon

    def ran(self, server, number, first, fields):
        self.runs.append((time.monotonic(), server, number, first, fields))
        self.record.write(f"server {server.id} beside {server.daemon.name} runs id={number} {first}"
                          + "".join(f" tenant={fields[name]}" for name in ("x-jackdawladder-tenant",) if name in fields))

    async def start(self, config):
        self.ended = asyncio.Event()
        await self.store.start(self.block + "1")
        self.store.put_config(config)
        for daemon in self.daemons:
            await daemon.start()
            await daemon.server.start()
        until = time.monotonic() + 25
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > until:
                raise RuntimeError("the daemons do not get ready")
            await asyncio.sleep(0.2)

    async def warm_up(self, send):
        """Sends requests until ten in a row were served: each daemon knows the others and their servers."""
        until, served = time.monotonic() + 15, 0
        while served < 10:
            if time.monotonic() > until:
                raise RuntimeError("requests are not served before the trouble")
            served = served + 1 if (await send())[0] == 200 else 0
            await asyncio.sleep(0.1)
        self.record.say("requests are served")

    async def request(self, daemon, method, path, body=b"", deadline_ms=3000, fields=None, wait_s=None):
        """A client of the machine sends a request on a new connection; returns the status, 0 for none."""
        number = f"{RUN}-{next(IDS)}"
        began = time.monotonic()
        status, answer = 0, None
        writer = None
        head = {"Host": "a.example", ID: number, "X-Jackdawladder-Deadline-Ms": deadline_ms, **(fields or {})}
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(daemon.host, daemon.ports["entry"]), 1)
            writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
            answer = await asyncio.wait_for(read_message(reader), wait_s or deadline_ms / 1000)
            status = answer.status
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        if writer is not None:
            writer.transport.abort()
        text = f" {answer.body[:40]!r}" if answer is not None else ""
        self.record.write(f"client of {daemon.name} sent id={number} {method} {path} at "
                          f"{began - self.record.began:.3f}: {status}{text}")
        return status, began, number

    async def stop(self, spared=()):
        """Ends all processes and tasks but the one that calls it, and the spared ones."""
        if self.ended is not None:
            self.ended.set()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.send_signal(signal.SIGCONT)
                    daemon.process.kill()
                await daemon.process.wait()
        for task in asyncio.all_tasks() - {asyncio.current_task(), *spared}:
            task.cancel()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.flush()


ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "service",
                 "maxAttempts", "public", "split"]


def config(routes, services, version=7, tenants=None):
    """A config as the operator writes it. routes: (name, kind, service, timeoutS, public)"""
    document = {
        "version": f"{version:08x}",
        "routes": {"columns": ROUTE_COLUMNS,
                   "rows": [[name, "a.example", f"/{name}/", kind, timeout, 1.0, 1, service, 2, public, None]
                            for name, kind, service, timeout, public in routes]},
        "services": {"columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
                     "rows": [[name, "/health", 800, "h1", False] for name in services]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
    }
    if tenants is not None:
        document["tenants"] = {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"], "rows": tenants}
    return document


def play(case, folder):
    """Runs a case, a coroutine function that returns whether the rule held; exits as run.sh has to."""
    async def run(caller):
        site = None
        try:
            site = case.site(folder)
            return 0 if await asyncio.wait_for(case.play(site), 110) else 1
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            print(f"could not run: {error!r}", flush=True)
            if site is not None:
                site.record.write(f"could not run: {error!r}")
            return 2
        finally:
            if site is not None:
                await site.stop({caller})

    def ignore(loop, context):
        del loop, context

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(ignore)
        # A script that is ended by a signal ends all processes that it has started.
        running = asyncio.create_task(run(asyncio.current_task()))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, running.cancel)
        return await running

    sys.exit(asyncio.run(main()))
