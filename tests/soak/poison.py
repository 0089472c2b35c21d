#!/usr/bin/env python3
"""Plays requests that end each target that begins to run them.

    poison.py --program PATH [--seed N] [--seconds N] [--route read|write|call]
              [--contents N] [--end reset|dark|machine|machine-dark] [--same-id]
              [--chunked] [--store silent] [--kill-every S] [--cut] [--daemons N]

Each content is sent several times a second by clients at random daemons, always
with the same path and body. Honest clients send other requests meanwhile. The
play ends with a line "ok NAME" or "not ok NAME" and the violated bounds:

- at most 3 requests of a content reach targets later than 3 s after it ended the
  third target;
- 9 in 10 honest requests of each service are served from 8 s after the first
  end on, and nearly all after the play;
- the rules of history.py that hold at any time.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import defaultdict

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from soak import Site  # noqa: E402
from wire import close, encode, encode_chunked, read_message  # noqa: E402

# Requests of a content that may still reach targets after it ended the third
# target and CONTACT_S passed.
LATE_ARRIVALS_MAX = 3
CONTACT_S = 3.0
# Time from the first end of a target after which honest requests are served.
SERVED_AFTER_S = 8.0
SERVED_RATIO = 0.9
AFTERWARDS_RATIO = 0.97
# Time after which a target that ended is started again.
BACK_S = 3.0
# Time for which a target runs such a request before it ends.
RUN_S = 0.02
# Requests of each content per second.
RATE = 4.0
HONEST_CLIENTS = 20
AFTERWARDS_S = 6.0


class PoisonSite(Site):
    def __init__(self, arguments, seed, directory):
        super().__init__(arguments, seed, directory)
        self.play = arguments
        self.contents = [f"/{arguments.route}/poison-{i}" for i in range(arguments.contents)]
        # The path that ends a target; differs from what clients send for calls.
        self.deadly = [path.replace("/call/", "/deep/") for path in self.contents]
        self.ends = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.answers = defaultdict(int)
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def routes(self, moving_service):
        return super().routes(moving_service) + [
            ["call", "idempotent", 1, "front"],
            ["deep", "idempotent", 1, "deep"],
        ]

    # Called by the targets.

    def arrived(self, target, path):
        if path in self.deadly:
            self.arrivals[path].append(time.monotonic())

    def runs(self, target, path):
        """Returns whether the request ends the target, which then never answers it."""
        if path not in self.deadly:
            return False
        self.spawn(self.end_target(target, path))
        return True

    async def end_target(self, target, path):
        life = target.id
        await asyncio.sleep(RUN_S)
        if target.id != life or target.ended:
            return
        target.ended = True
        self.ends[path].append(time.monotonic())
        daemon = next(d for d in self.daemons if d.target is target)
        if self.play.end == "reset":
            target.crash()
        elif self.play.end == "dark":
            target.go_dark(daemon.target_relay)
        elif self.play.end == "machine":
            daemon.hold_until = time.monotonic() + BACK_S
            daemon.signal(signal.SIGKILL)
            target.crash()
        else:
            daemon.hold_until = time.monotonic() + BACK_S
            daemon.signal(signal.SIGSTOP)
            daemon.peer_relay.silent = True
            target.go_dark(daemon.target_relay)
        await asyncio.sleep(BACK_S)
        if self.play.end == "machine-dark":
            daemon.signal(signal.SIGKILL)
            daemon.peer_relay.clear_faults()
            daemon.peer_relay.reset_all()
        if self.play.end.endswith("dark"):
            target.crash()
            daemon.target_relay.clear_faults()
            daemon.target_relay.reset_all()
        await target.start(target.announce, target.id if self.play.same_id else None)

    # Clients.

    async def poison_client(self, path):
        """Sends a content again and again, each time as a new attempt."""
        choice = random.Random(f"{self.seed}-{path}")
        body = b"" if self.play.route != "write" else b"poison" * 500
        await asyncio.sleep(choice.uniform(0, 1 / RATE))
        while not self.poison_done:
            self.spawn(self.send_poison(choice.choice(self.daemons), path, body))
            await asyncio.sleep(1 / RATE)

    async def send_poison(self, daemon, path, body):
        self.number += 1
        number = f"p{self.number:x}"
        idempotent = self.play.route != "write"
        self.history.begin(number, idempotent, path, body, daemon.name, daemon.run, 2.0)
        fields = {"Host": "a.example", "X-Jackdawladder-Attempt-Id": number,
                  "X-Jackdawladder-Deadline-Ms": 2000}
        first = f"{'POST' if body else 'GET'} {path} HTTP/1.1"
        message = encode_chunked(first, fields, body) if self.play.chunked else encode(first, fields, body)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(daemon.host, daemon.ports["entry"]), 1)
            writer.write(message)
            answer = await asyncio.wait_for(read_message(reader), 4)
            await close(writer)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.history.end(number, 0, {}, b"")
            self.answers[0] += 1
            return
        self.history.end(number, answer.status, answer.fields, answer.body)
        self.answers[answer.status] += 1

    async def kill_daemons(self):
        choice = random.Random(f"{self.seed}-kill")
        while not self.poison_done:
            await asyncio.sleep(self.play.kill_every)
            choice.choice(self.daemons).signal(signal.SIGKILL)

    async def cut_zones(self):
        """Cuts the zones off from each other for the middle of the play."""
        await asyncio.sleep(0.2)
        for daemon in self.daemons:
            daemon.peer_relay.cut = self.is_other_zone(daemon)
        await asyncio.sleep(self.play.seconds * 2 / 3)
        for daemon in self.daemons:
            daemon.peer_relay.cut = None

    def find_source(self, port):
        """Returns the address of the daemon that has a connection from a local port."""
        inode = None
        with open("/proc/net/tcp") as file:
            for line in file.readlines()[1:]:
                words = line.split()
                if words[1].endswith(f":{port:04X}") and words[9] != "0":
                    inode = words[9]
        for daemon in self.daemons:
            process = daemon.process
            if inode is None or process is None or process.returncode is not None:
                continue
            directory = f"/proc/{process.pid}/fd"
            for name in os.listdir(directory):
                try:
                    if os.readlink(f"{directory}/{name}") == f"socket:[{inode}]":
                        return daemon.host
                except OSError:
                    pass
        return ""

    def is_other_zone(self, daemon):
        hosts = {d.host for d in self.daemons if d.zone != daemon.zone}
        return lambda host: host in hosts

    async def run_scenario(self):
        self.poison_done = False
        for daemon in self.daemons:
            daemon.target.on_arrival = self.arrived
            daemon.target.on_run = self.runs
            daemon.peer_relay.find_source = self.find_source if self.play.cut else None
        await asyncio.sleep(2.5)
        clients = [asyncio.create_task(self.client(self.random.choice(self.daemons), index))
                   for index in range(HONEST_CLIENTS)]
        await asyncio.sleep(2.0)
        self.play_began = time.monotonic()
        if self.play.store != "calm":
            self.store.mode = self.play.store
        plays = [self.poison_client(path) for path in self.contents]
        if self.play.kill_every:
            plays.append(self.kill_daemons())
        if self.play.cut:
            plays.append(self.cut_zones())
        tasks = [asyncio.create_task(play) for play in plays]
        await asyncio.sleep(self.play.seconds)
        self.poison_done = True
        self.store.mode = "calm"
        await asyncio.gather(*tasks)
        await asyncio.sleep(5.0)
        self.after = time.monotonic()
        await asyncio.sleep(AFTERWARDS_S)
        self.clients_done = True
        await asyncio.gather(*clients)
        while self.tasks:
            await asyncio.gather(*self.tasks)
        return self.check()

    # Bounds.

    def served(self, kind, begin, end):
        """Returns the ratio of honest requests of a kind sent in [begin, end) that were served."""
        sent = [s for n, s in self.history.sent.items()
                if not n.startswith("p") and s["target"].startswith(f"/{kind}/")
                and begin <= s["at"] < end and "status" in s]
        return sum(s["status"] == 200 for s in sent) / len(sent) if sent else 1.0

    def check(self):
        violations = list(self.history.violations)
        first = min((times[0] for times in self.ends.values()), default=self.play_began)
        play_end = self.play_began + self.play.seconds
        for path in self.deadly:
            ends = self.ends[path]
            late = 0
            if len(ends) >= 3:
                late = sum(at > ends[2] + CONTACT_S for at in self.arrivals[path])
            self.report(f"{path}: {len(ends)} ends, {len(self.arrivals[path])} arrivals, {late} late; ends at "
                        + " ".join(f"{at - first:.2f}" for at in ends[:12]))
            if late > LATE_ARRIVALS_MAX:
                violations.append(f"budget: {late} requests of {path} reach targets after it ended three")
        for kind in ("read", "write"):
            during = self.served(kind, first + SERVED_AFTER_S, play_end)
            early = self.served(kind, first, first + SERVED_AFTER_S)
            after = self.served(kind, self.after, self.after + AFTERWARDS_S)
            self.report(f"/{kind}/ served: first 8 s {early:.2f}, then {during:.3f}, afterwards {after:.3f}")
            if during < SERVED_RATIO:
                violations.append(f"honest: {during:.3f} of /{kind}/ served from 8 s on")
            if after < AFTERWARDS_RATIO:
                violations.append(f"honest: {after:.3f} of /{kind}/ served after the play")
        self.report("answers to poison: " + " ".join(f"{s}={c}" for s, c in sorted(self.answers.items())))
        return violations

    def report(self, line):
        print("  " + line, flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--name", default="poison")
    parser.add_argument("--seed", default=1, type=int)
    parser.add_argument("--seconds", default=30.0, type=float)
    parser.add_argument("--daemons", default=12, type=int)
    parser.add_argument("--route", default="read", choices=["read", "write", "call"])
    parser.add_argument("--contents", default=1, type=int)
    parser.add_argument("--end", default="reset", choices=["reset", "dark", "machine", "machine-dark"])
    parser.add_argument("--same-id", action="store_true")
    parser.add_argument("--chunked", action="store_true")
    parser.add_argument("--store", default="calm")
    parser.add_argument("--kill-every", default=0.0, type=float)
    parser.add_argument("--cut", action="store_true")
    parser.add_argument("--off", default="")
    parser.add_argument("--keep", default="", help="directory that receives the logs")
    arguments = parser.parse_args()
    arguments.faults = ""
    with tempfile.TemporaryDirectory(prefix="poison-") as directory:
        site = PoisonSite(arguments, arguments.seed, directory)
        violations = asyncio.run(site.run())
        print(f"{'not ok' if violations else 'ok'} {arguments.name}", flush=True)
        for line in violations:
            print("  " + line)
        keep = arguments.keep or (os.path.join("out", "soak", arguments.name) if violations else "")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(directory):
                os.replace(os.path.join(directory, name), os.path.join(keep, name))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
