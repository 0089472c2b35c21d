"""A small deployment on loopback addresses: proxies as processes, with stand-ins for servers and the store.

The store and the wire functions are those of tests/soak. The settings are
rendered from platform/settings.json.template by the fields that the deployment's
pages name.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from email.utils import formatdate

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from store import Store  # noqa: E402
from wire import close, encode, read_message, reset  # noqa: E402,F401

PROGRAM = os.path.join(ROOT, "target", "jackdawladder-proxy")
TEMPLATE = os.path.join(ROOT, "platform", "settings.json.template")
HEARTBEAT_S = 1.5
GRACE_S = 6
COLUMNS = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "split",
           "maxAttempts", "service"]


def free_ports(host, count):
    """Returns ports of a loopback address that nobody uses."""
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def render(fields):
    """Fills in the project's template; it uses values as JSON only."""
    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found)
    with open(TEMPLATE) as file:
        # The deployment gives no field that a section is for, so that sections are left out.
        text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", file.read())
        return re.sub(r"\{\{([\w.]+)\|json\}\}", value, text)


class Record:
    """The file record.txt beside a script."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Server:
    """A sound server: it begins each request once, answers it whole and reports every HEARTBEAT_S.

    run: a coroutine function (server, message) that returns (status, body).
    """

    def __init__(self, fleet, host, service, slots=120):
        self.fleet = fleet
        self.host = host
        self.service = service
        self.slots = slots
        self.sequence = 0
        self.reports = True
        self.state = "ready"
        # Fields of all its answers, as "Server-Leaving: 1" of a server that leaves.
        self.notices = {}
        self.running = 0

    async def start(self, control, identity):
        self.id = identity
        self.control = control
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, self.host, 0)
        self.address = f"{self.host}:{self.listener.sockets[0].getsockname()[1]}"
        self.task = asyncio.create_task(self.report())

    def ping(self, state):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftS": 0, "sequence": self.sequence, "born": self.born}

    async def send(self, method, document, identity=None):
        """Sends a ping; returns the status of its answer, 0 for none within a second."""
        async def exchange():
            reader, writer = await asyncio.open_connection(*self.control)
            writer.write(encode(f"{method} /api/instances/{identity or self.id} HTTP/1.1",
                                {"Host": "control", "Content-Type": "application/json"}, json.dumps(document).encode()))
            answer = await read_message(reader)
            writer.close()
            return answer.status
        try:
            return await asyncio.wait_for(exchange(), 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return 0

    async def report(self):
        while True:
            if self.reports:
                await self.send("PUT", self.ping(self.state))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                await self.answer(message, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()

    def write_answer(self, writer, data):
        """Writes a whole answer; faulty servers override this."""
        writer.write(data)

    async def answer(self, message, writer):
        number = message.fields["x-jackdawladder-attempt-id"]
        echo = {"X-Jackdawladder-Attempt-Id": number}
        named = message.fields.get("x-jackdawladder-target-instance")
        if named not in (None, self.id):
            writer.write(encode("HTTP/1.1 421 Other", {**echo, "X-Jackdawladder-Instance-Id": self.id}))
            return
        if self.running >= self.slots:
            self.write_answer(writer, encode("HTTP/1.1 503 Service Unavailable", {
                "X-Jackdawladder-Not-Executed": "1", "Date": formatdate(usegmt=True),
                "Content-Type": "text/plain", **echo}))
            self.fleet.refused(self, number)
            return
        self.running += 1
        self.fleet.ran(self, number, message)
        try:
            status, body = await self.fleet.run_request(self, message)
        finally:
            self.running -= 1
        self.fleet.answered(self, number, status, body)
        self.write_answer(writer, encode(f"HTTP/1.1 {status} {'OK' if status == 200 else 'Failed'}", {
            "Date": formatdate(usegmt=True), "Content-Type": "text/plain", **echo,
            "X-Jackdawladder-Server-Seal": f"{self.id}.{number}", **self.notices}, body))
        await writer.drain()


class Daemon:
    """A machine: a proxy process and its server."""

    def __init__(self, fleet, number, zone, service):
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{number + 1}"
        self.host = f"127.{fleet.block}.0.{number + 1}"
        self.zone = zone
        self.service = service
        self.server = fleet.make_server(self.host, service)
        self.server.zone = zone
        self.process = None
        self.runs = 0

    async def prepare(self):
        ports = free_ports(self.host, 5)
        self.entry, self.ready = (self.host, ports[0]), (self.host, ports[1])
        await self.server.start((self.host, ports[2]), f"i-{random.randrange(1 << 32):08x}")
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.host, "service": self.service,
            "appAddr": self.server.address,
            "listen": {"outbound": f"{self.host}:{ports[0]}", "ready": f"{self.host}:{ports[1]}",
                       "control": f"{self.host}:{ports[2]}"},
            "internalPorts": ports[3:5],
            "platform": {"address": "%s:%d" % self.fleet.store_address, "writesPerS": 400},
            "heartbeatS": HEARTBEAT_S,
            "contracts": [],
            "bounds": {"configApplyS": 2, "graceS": GRACE_S, "retryBudgetRatio": 0.2, "retryBudgetSlack": 47,
                       "retryWindowS": 10},
        }
        self.path = os.path.join(self.fleet.directory, f"{self.name}.json")
        with open(self.path, "w") as file:
            file.write(render(fields))

    async def start(self):
        self.runs += 1
        log = open(os.path.join(self.fleet.directory, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/", "JACKDAWLADDER_CONFIG": self.path}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, cwd=ROOT, stdout=log, stderr=log, env=environment)
        log.close()
        self.fleet.record.write(f"{self.name}: process started")

    async def supervise(self):
        """Restarts the process after a short delay whenever it ends, as the platform does."""
        while not self.fleet.ending:
            await self.start()
            status = await self.process.wait()
            self.fleet.record.write(f"{self.name}: process ended with status {status}")
            self.fleet.ended(self, status)
            await asyncio.sleep(0.5)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record.write(f"{self.name}: {signal.Signals(number).name}")
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop_planned(self):
        """SIGTERM, and SIGKILL after the grace time."""
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            if self.process is process:
                self.signal(signal.SIGKILL)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 0.5)
            writer.write(encode("GET /api/ready HTTP/1.1", {"Host": "x"}))
            status = (await asyncio.wait_for(read_message(reader), 0.5)).status
            writer.close()
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False


class Fleet:
    """places: a list of (zone, service), one for each machine; routes: rows of COLUMNS."""

    def __init__(self, directory, places, routes, services):
        self.record = Record(directory)
        self.places, self.routes, self.services = places, routes, services
        self.block = random.randrange(100, 200)
        self.ending = False
        self.store = Store()
        self.version = 0
        self.runs = {}
        self.bodies = {}

    def make_server(self, host, service):
        return Server(self, host, service)

    async def run_request(self, server, message):
        await asyncio.sleep(0.05)
        return 200, b"done"

    def ran(self, server, number, message):
        self.runs.setdefault(number, []).append((time.monotonic(), server.id))
        self.record.write(f"{number}: run by {server.id} of {server.service}: {message.first}")

    def refused(self, server, number):
        self.record.write(f"{number}: {server.id} is full: 503, not executed")

    def answered(self, server, number, status, body):
        self.bodies[number] = (status, body)
        self.record.write(f"{number}: {server.id} answers {status} with {len(body)} bytes")

    def ended(self, daemon, status):
        pass

    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15}

    def configure(self):
        import base64
        self.version += random.randint(1, 3)
        document = {"version": f"{self.version:08x}",
                    "routes": {"columns": COLUMNS, "rows": self.routes},
                    "services": {"columns": ["name"], "rows": [[name] for name in self.services]},
                    "limits": self.limits}
        self.store.put("op", "config", base64.b64encode(json.dumps(document).encode()).decode())

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = self.temporary.name
        self.store_address = await self.store.start(f"127.{self.block}.1.1")
        self.configure()
        self.daemons = [Daemon(self, number, *place) for number, place in enumerate(self.places)]
        for daemon in self.daemons:
            await daemon.prepare()
        for daemon in self.daemons:
            daemon.task = asyncio.create_task(daemon.supervise())
        return self

    async def until_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await daemon.is_ready() for daemon in self.daemons]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def __aexit__(self, *_):
        self.ending = True
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in [daemon for daemon in self.daemons if daemon.process is not None]:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(daemon.process.wait(), 5)
        if os.environ.get("REVIEW_LOGS"):
            import shutil
            shutil.copytree(self.directory, os.environ["REVIEW_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


def fields_for(number, deadline_s, host="a.example"):
    return {"Host": host, "X-Jackdawladder-Attempt-Id": number,
            "X-Jackdawladder-Deadline-Ms": int(deadline_s * 1000)}


def new_number():
    return f"{random.randrange(1 << 64):016x}"


def play(coroutine, limit_s=110):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def limited():
        task = asyncio.ensure_future(coroutine)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit_s)
    try:
        status = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        status = 2
    sys.stdout.flush()
    os._exit(status)
