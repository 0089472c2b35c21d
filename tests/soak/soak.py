#!/usr/bin/env python3
"""Randomized soak test: runs the proxies as processes and injects faults.

    soak.py --program PATH --seeds 1-50 [--seconds N] [--daemons N] [--off NAME]

The soak test simulates the clients, the targets and the store. All connections
between daemons, to targets and to the store pass through loopback relays. Each
seed prints a line "ok soak-N" or "not ok soak-N", followed by its response
counts and, on failure, the violated rules and the injected faults.
"""

import argparse
import asyncio
import base64
import contextlib
import fcntl
import gc
import json
import os
import random
import re
import signal
import statistics
import sys
import tempfile
import time
from collections import defaultdict

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from customers import KEY_PREFIX, PUBLIC_ROUTES, REVOKE_S, Customers  # noqa: E402
from deadly import DeadlyContents  # noqa: E402
from faults import KINDS_BY_NAME, Faults  # noqa: E402
from history import GRACE_S, LATE_RESPONSE_S, History  # noqa: E402
from lag import Lag, play_until_decided  # noqa: E402
from relay import Relay  # noqa: E402
from store import Store  # noqa: E402
from target import Target  # noqa: E402
from wire import close, encode, read_message  # noqa: E402

ZONES = ["z1", "z2"]
SERVICES = ["front", "deep"]
# Delay between the end of a proxy and its restart.
RESTART_S = 0.4
# Exit statuses: graceful shutdown, killed, or shutdown that aborted requests at its end.
EXPECTED_EXITS = (0, -signal.SIGKILL, 4)
# Begin of the log line of a process that has started.
START_LINE = b"E771 started "
# Second numbers of the loopback addresses that runs reserve.
FIRST_ADDRESS_BLOCK = 41
ADDRESS_BLOCKS = 80
# Most memory that a proxy may have used, in KB.
MEMORY_KB_MAX = 48 << 10
# Line of a daemon's log with the time at which it has installed a configuration.
INSTALLED = re.compile(r"^E741 .* t=([\d.]+) version=([0-9a-f]+) ")
# Time without faults over which recovery is measured.
CALM_S = 6.0
# Time between the silence of connections to the store and the last configuration.
SILENT_BEFORE_S = 0.2
# Time between the last fault and the start of that measurement.
SETTLE_S = 5.0
# Lateness of this process from which on it cannot decide these rules, which have bounds
# on time.
LAG_MAX_S = LATE_RESPONSE_S / 2
TIMED_RULES = {"late", "apply", "recovery"}


def reserve_block(seed):
    """Reserves a block of loopback addresses; returns its number and the lock.

    The lock lasts until its file is closed, at the latest when this process ends.
    """
    for offset in range(ADDRESS_BLOCKS):
        block = FIRST_ADDRESS_BLOCK + (seed + offset) % ADDRESS_BLOCKS
        lock = open(os.path.join(tempfile.gettempdir(), f"jackdawladder-soak-{block}.lock"), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return block, lock
        except OSError:
            lock.close()
    raise RuntimeError("all blocks of addresses are in use")


class Daemon:
    """An instance with a proxy process, its target and the relays of their connections."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"d{number}"
        self.host = f"127.{site.block}.{number // 200}.{number % 200 + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.service = SERVICES[(number // len(ZONES)) % len(SERVICES)]
        self.ports = dict(entry=7001, ready=7002, announce=7003, peer=7004, metrics=7005)
        self.target = Target(site.history, self.host, self.service, 12, site.seed * 1000 + number)
        self.process = None
        self.pidfd = None
        self.run = 0
        # The log, and where that of the running process begins in it.
        self.log_path = os.path.join(site.directory, f"{self.name}.log")
        self.log_begin = 0
        # Time before which an ended process is not started again.
        self.hold_until = 0.0
        self.target.tells_start = site.targets_tell_start
        site.history.services[self.name] = self.service
        self.target.entry = (self.host, self.ports["entry"])
        self.target.entry_name = self.name

    async def prepare(self):
        self.peer_relay = Relay(self.host, (self.host, self.ports["peer"]))
        self.advertise = f"{self.host}:{self.ports['peer']}"
        if self.site.relays_peers:
            self.advertise = await self.peer_relay.start(datagrams=True)
        self.store_relay = Relay(self.host, self.site.store_address)
        store = await self.store_relay.start()
        await self.target.start((self.host, self.ports["announce"]))
        self.target_relay = Relay(self.host, (self.host, self.target.port))
        target = await self.target_relay.start()
        self.target.address = target
        settings = {
            "name": self.name,
            "zone": self.zone,
            "address": self.host,
            "advertise": self.advertise,
            "service": self.service,
            "target": target,
            "entry": f"{self.host}:{self.ports['entry']}",
            "ready": f"{self.host}:{self.ports['ready']}",
            "announce": f"{self.host}:{self.ports['announce']}",
            "peer_port": self.ports["peer"],
            "metrics_port": self.ports["metrics"],
            "store": store,
            "heartbeat_s": 0.4,
            "grace_s": GRACE_S,
            "retry_ratio": 0.2,
            "retry_slack": 30,
            "retry_window_s": 10,
        }
        if self.site.customers is not None:
            self.peer_relay.forbidden = self.target_relay.forbidden = KEY_PREFIX.encode()
            settings.update(strict_revoke=self.site.customers.strict, revoke_s=REVOKE_S, zones=ZONES)
        self.path = os.path.join(self.site.directory, f"{self.name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def supervise(self):
        """Restarts the process whenever it ends, as the platform does."""
        while True:
            await self.start()
            status = await self.process.wait()
            if self.site.ending:
                return
            if status == 0:
                self.site.history.stops[self.name].append(time.monotonic())
            if status not in EXPECTED_EXITS and not self.was_ended_before_start(status):
                self.site.history.fail("ends", f"{self.name} exited with status {status}")
            await asyncio.sleep(max(RESTART_S, self.hold_until - time.monotonic()))
            if self.site.ending:
                return

    def was_ended_before_start(self, status):
        """Whether SIGTERM has ended a process that had begun nothing: it had not logged its start."""
        if status != -signal.SIGTERM:
            return False
        with open(self.log_path, "rb") as log:
            log.seek(self.log_begin)
            return START_LINE not in log.read()

    async def start(self):
        self.run += 1
        log = open(self.log_path, "ab")
        self.log_begin = log.tell()
        environment = dict(os.environ)
        if self.site.off:
            environment["JL_SWITCHED_OFF"] = self.site.off
        self.process = await asyncio.create_subprocess_exec(
            self.site.program, "--settings", self.path, stdout=log, stderr=log, env=environment
        )
        if self.pidfd is not None:
            os.close(self.pidfd)
        self.pidfd = os.pidfd_open(self.process.pid)

    def signal(self, number):
        """Sends a signal to the running process; only to the one that was started here, by its id.

        Process.send_signal() may take the exit status that wait() is to return.
        """
        if self.process is not None and self.process.returncode is None:
            if number == signal.SIGTERM:
                self.site.history.terms[self.name].append(time.monotonic())
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    def check_memory(self):
        """Checks the peak of the running process."""
        with contextlib.suppress(OSError), open(f"/proc/{self.process.pid}/status") as file:
            peak = next((int(line.split()[1]) for line in file if line.startswith("VmHWM:")), 0)
            if peak > MEMORY_KB_MAX:
                self.site.history.fail("memory", f"{self.name} has used {peak} KB")

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.supervisor


class Site(Faults):
    def __init__(self, arguments, seed, directory):
        self.program = os.path.abspath(arguments.program)
        self.off = arguments.off
        self.seed = seed
        self.block, self.block_lock = reserve_block(seed)
        self.random = random.Random(seed)
        self.directory = directory
        self.history = History()
        # Whether connections and datagrams between daemons pass this process.
        self.relays_peers = True
        self.store = Store()
        self.version = 0
        self.seconds = arguments.seconds
        self.count = arguments.daemons
        self.faults = []
        # Times of the faults at each daemon, as lists of begin and end.
        self.impairments = defaultdict(list)
        self.breaks = defaultdict(list)
        self.kinds = KINDS_BY_NAME.get(arguments.faults or "all") or arguments.faults.split(",")
        # The users' targets do not tell when they started, so their heartbeats have no order.
        self.targets_tell_start = ("strange_heartbeat" not in self.kinds
                                   or random.Random(f"{seed}-start").random() < 0.5)
        self.number = 0
        self.customers = None
        if getattr(arguments, "customers", False):
            self.customers = Customers(seed, arguments.strict, arguments.caps)
            self.history.customers = self.customers

    def routes(self, moving_service):
        """Returns the routes of a configuration, without the columns that all have in common.

        The last column is a service, or the weights of several by their names.
        """
        return [
            ["read", "idempotent", 2, "front"],
            ["write", "non_idempotent", 0, "deep"],
            ["moving", "idempotent", 1, moving_service],
            ["slow", "idempotent", 1, "deep"],
            ["late", "non_idempotent", 1, "deep"],
        ]

    def configure(self, moves=False):
        """Writes a new configuration, in which the moving route has a random service.

        moves: it is not the service of the last version.
        """
        self.version += self.random.randint(1, 3)
        last = self.history.versions[-1][2] if moves else None
        service = self.random.choice([name for name in SERVICES if name != last])
        columns = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS",
                   "priority", "split", "maxAttempts", "service"]
        rows = []
        for name, kind, priority, to in self.routes(service):
            split = None if isinstance(to, str) else [{"service": part, "weight": to[part]} for part in to]
            attempts = 1 if name == "slow" else 2
            rows.append([name, "a.example", f"/{name}/", kind, 2, 0.5, priority, split, attempts,
                         None if split else to])
        document = {
            "version": f"{self.version:08x}",
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name"], "rows": [[name] for name in SERVICES]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeoutS": 3, "idleTimeoutS": 15},
        }
        removed = []
        if self.customers is not None:
            removed = self.customers.replace_keys()
            document["tenants"] = self.customers.table()
            document["routes"]["columns"].append("public")
            for row in rows:
                row.append(row[2] in PUBLIC_ROUTES)
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put("op", "config", value)
        self.history.configured(self.version, service, False)
        if self.customers is not None:
            self.customers.acknowledged(removed)

    async def client(self, daemon, index):
        """Sends requests on one connection and reconnects when it is closed."""
        choice = random.Random(f"{self.seed}-{daemon.name}-{index}")
        connection = None
        while not self.clients_done:
            await asyncio.sleep(choice.expovariate(8))
            try:
                if connection is None:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(daemon.host, daemon.ports["entry"]), 1)
                connection = await self.request(daemon, choice, connection)
            except (OSError, asyncio.TimeoutError):
                connection = None
        if connection is not None:
            await close(connection[1])

    def log_lines(self, daemon):
        with open(os.path.join(self.directory, f"{daemon.name}.log"), errors="replace") as file:
            return file.read().splitlines()

    def apply_delay(self, daemon, written_at, version):
        """Returns the time after which a daemon knew a version or a later one, by its log."""
        for line in self.log_lines(daemon):
            match = INSTALLED.match(line)
            if match and int(match.group(2), 16) >= version:
                return max(float(match.group(1)) - written_at, 0.0)
        return float("inf")

    def describe_last_configuration(self, written_at):
        """Returns a line that tells lateness of the daemons from that of this process."""
        delays = [self.apply_delay(daemon, written_at, self.version) for daemon in self.daemons]
        return (f"last configuration known after {statistics.median(delays):.2f} s in the median, "
                f"{max(delays):.2f} s at most, by the daemons' logs; this process was late by "
                f"{self.lag.mostly_s():.2f} s in 99 of 100 measurements, {self.lag.most_s():.2f} s at most, and by "
                f"{self.lag_of_all.most_s():.2f} s at most in the whole play")

    def choose_target(self, kind, choice):
        return f"/{kind}/{choice.randint(1, 1000)}"

    async def send_once(self, daemon, kind):
        """Sends one request on a connection of its own."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            connection = await asyncio.wait_for(asyncio.open_connection(daemon.host, daemon.ports["entry"]), 1)
            connection = await self.request(daemon, self.random, connection, kind)
            if connection is not None:
                await close(connection[1])

    async def request(self, daemon, choice, connection, kind=None):
        reader, writer = connection
        self.number += 1
        number = f"{self.seed:x}-{self.number:x}"
        kind = kind or choice.choice(["read", "write", "moving"] * 3 + ["slow"])
        body = b"" if kind != "write" else bytes(choice.randint(0, 30000))
        idempotent = kind not in ("write", "late")
        target = self.choose_target(kind, choice)
        method = "GET" if idempotent else "POST"
        deadline = 2.0
        self.history.begin(number, idempotent, target, body, daemon.name, daemon.run, deadline)
        fields = {"Host": "a.example", "X-Jackdawladder-Attempt-Id": number,
                  "X-Jackdawladder-Deadline-Ms": int(deadline * 1000)}
        if self.customers is not None:
            fields.update(self.customers.fields(number, target, choice))
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(read_message(reader), deadline + 2)
        except asyncio.TimeoutError:
            self.history.end(number, -1, {}, b"")
            writer.close()
            return None
        except (OSError, EOFError, asyncio.IncompleteReadError):
            self.history.end(number, 0, {}, b"")
            writer.close()
            return None
        self.history.end(number, answer.status, answer.fields, answer.body)
        if answer.fields.get("connection") == "close":
            writer.close()
            return None
        return connection

    def handle_exception(self, loop, context):
        """Ignores the cancellation of tasks at the end of a seed."""
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            loop.default_exception_handler(context)

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.handle_exception)
        self.clients_done = False
        self.ending = False
        self.started_at = time.monotonic()
        self.store_address = await self.store.start("127.0.0.1")
        self.configure()
        self.daemons = [Daemon(self, number) for number in range(self.count)]
        for daemon in self.daemons:
            await daemon.prepare()
        for daemon in self.daemons:
            daemon.supervisor = asyncio.create_task(daemon.supervise())
        try:
            return await self.run_scenario()
        finally:
            self.ending = True
            for daemon in self.daemons:
                await daemon.stop()
            await self.cancel_tasks()
            await self.reset_connections()
            self.block_lock.close()

    async def reset_connections(self):
        """Resets what is left open, since a writer that lives longer than the loop fails when it is freed."""
        for daemon in self.daemons:
            for relay in (daemon.peer_relay, daemon.store_relay, daemon.target_relay):
                relay.reset_all()
            daemon.target.reset_connections()
        self.store.reset_connections()
        gc.collect()
        await asyncio.sleep(0)

    async def cancel_tasks(self):
        """Cancels all other tasks until they have ended.

        asyncio.wait_for() of Python 3.11 loses a cancellation that comes together
        with the result it waits for; the task then goes on.
        """
        while others := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in others:
                task.cancel()
            _, survivors = await asyncio.wait(others, timeout=1)
            for task in survivors:
                print(f"  lost a cancellation: {task.get_coro().__qualname__}", flush=True)

    async def run_scenario(self):
        self.deadly = DeadlyContents(self)
        self.lag_of_all = Lag()
        measuring_all = asyncio.create_task(self.lag_of_all.measure())
        await asyncio.sleep(2.5)
        clients = [asyncio.create_task(self.client(daemon, index))
                   for daemon in self.daemons for index in range(2)]
        await asyncio.sleep(1)
        active_faults = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            active_faults.add(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*active_faults)
        await asyncio.sleep(SETTLE_S)
        # A configuration written while no fault is active must be in force within APPLY_S. That
        # connections to the store have fallen silent excuses nothing: new ones work.
        silent = "store_links_silent" in self.kinds
        if silent:
            for daemon in self.daemons:
                daemon.store_relay.silence_links()
            await asyncio.sleep(SILENT_BEFORE_S)
        self.configure(moves=silent)
        written_at = time.time()
        self.lag = Lag()
        measuring = asyncio.create_task(self.lag.measure())
        last = self.history.versions[-1]
        self.history.versions[-1] = (time.monotonic(), last[1], last[2], True)
        calm_since = time.monotonic()
        if self.customers is not None:
            self.customers.settled = calm_since
        await asyncio.sleep(CALM_S)
        measuring.cancel()
        self.summary = self.describe_last_configuration(written_at)
        self.clients_done = True
        await asyncio.gather(*clients)
        measuring_all.cancel()
        self.check_poison()
        await self.check_customers()
        for daemon in self.daemons:
            daemon.check_memory()
        self.history.check_given_up(self.is_undisturbed)
        self.history.check_cut(self.is_undisturbed)
        self.history.check_limits(self.impairments)
        self.history.check_served([daemon.host for daemon in self.daemons], calm_since)
        return self.history.finish(calm_since)

    async def check_customers(self):
        """Checks that no page, log line or datagram shows an API key."""
        if self.customers is None:
            return
        for daemon in self.daemons:
            await self.customers.check_pages(self.history, daemon)
        self.customers.check_logs(self.history, self.daemons, self.log_lines)


def read_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def run_site(arguments, seed, directory):
    """Plays a seed; returns the site and the violations."""
    site = Site(arguments, seed, directory)
    return site, asyncio.run(site.run())


def report(site, violations):
    """Prints the result of a seed."""
    counts = " ".join(f"{status}={count}" for status, count in sorted(site.history.counts.items()))
    print(f"{'not ok' if violations else 'ok'} soak-{site.seed}", flush=True)
    print(f"  {counts}; {len(site.faults)} faults")
    print(f"  {site.summary}")
    if violations:
        rules = " ".join(f"{rule}={count}" for rule, count in sorted(site.history.violated.items()))
        for line in [f"violations: {rules}"] + violations + ["faults:"] + site.faults:
            print("  " + line)


def keep_logs(site):
    kept = os.path.join("out", "soak", str(site.seed))
    os.makedirs(kept, exist_ok=True)
    for name in os.listdir(site.directory):
        os.replace(os.path.join(site.directory, name), os.path.join(kept, name))


def play_seed(arguments, seed):
    """Returns whether the play counts, the lateness of this process, and the violations.

    A late play counts if it violates a rule without a bound on time.
    """
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        site, violations = run_site(arguments, seed, directory)
        late_s = site.lag_of_all.most_s()
        rules = {line.partition(":")[0] for line in violations}
        counts = late_s <= LAG_MAX_S or not rules or bool(rules - TIMED_RULES)
        if counts:
            report(site, violations)
        if violations:
            keep_logs(site)
        return counts, late_s, violations


def is_failure_seen(arguments):
    """Plays seeds until one violates the expected rule."""
    for seed in arguments.seeds:
        with tempfile.TemporaryDirectory(prefix="soak-") as directory:
            _, violations = run_site(arguments, seed, directory)
        if any(line.startswith(arguments.expect_failure + ":") for line in violations):
            print(f"ok soak-sees-{arguments.off}-off")
            return True
    print(f"not ok soak-sees-{arguments.off}-off")
    return False


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--seeds", default="1-3", type=read_seeds)
    parser.add_argument("--seconds", default=8.0, type=float)
    parser.add_argument("--daemons", default=6, type=int)
    parser.add_argument("--faults", default="", help="comma-separated kinds of faults to choose from, all or early")
    parser.add_argument("--off", default="")
    parser.add_argument("--customers", action="store_true", help="clients send API keys of customers")
    parser.add_argument("--strict", action="store_true", help="with --customers: daemons have strict_revoke")
    parser.add_argument("--caps", action="store_true", help="with --customers: check their usage caps")
    parser.add_argument("--expect-failure", default="", help="succeed only if a seed violates this rule")
    arguments = parser.parse_args()
    if arguments.expect_failure:
        return 0 if is_failure_seen(arguments) else 1
    failed = 0
    for seed in arguments.seeds:
        violations, _ = play_until_decided(lambda seed: play_seed(arguments, seed), seed)
        failed += violations is None or bool(violations)
        if violations is None:
            print(f"not ok soak-{seed}\n  all plays were void", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
