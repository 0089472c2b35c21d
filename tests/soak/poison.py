#!/usr/bin/env python3
"""Plays requests that end each target that begins to run them.

    poison.py --program PATH [--seed N] [--seconds N] [--route read|write|call|both|moving]
              [--contents N] [--end reset|dark|machine|machine-dark] [--same-id]
              [--chunked] [--store silent] [--kill-every S] [--cut] [--daemons N]
              [--crash rack|rolling|release] [--off NAME] [--rate N] [--body-bytes N]
              [--back-s S] [--run-s S] [--front-s S] [--every N] [--weight N]
              [--move-every S] [--join-at S] [--lose-rows-at S] [--pause S]

Each content is sent several times a second by clients at random daemons, always
with the same path and body. Honest clients send other requests meanwhile. The
play ends with a line "ok NAME" or "not ok NAME" and the violated bounds:

- at most 3 requests of a content reach targets later than 3 s after it ended the
  third target;
- 9 in 10 honest requests of each service are served from 8 s after the first
  end on, and nearly all after the play, also those for a popular path, which
  is in progress whenever a target ends;
- with --contents 0, where targets crash for other reasons (--crash), no request
  is refused for its content;
- the rules of history.py that hold at any time.

A play of which this process itself was late shows nothing of the served honest
requests, nor of late responses: it is void, and is played again with another seed.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from deadly import BACK_S, LATE_ARRIVALS_MAX, RATE, RUN_S, DeadlyContents  # noqa: E402
from history import LATE_RESPONSE_S  # noqa: E402
from lag import Lag, play_until_decided  # noqa: E402
from soak import RESTART_S, SERVICES, ZONES, Daemon, Site  # noqa: E402

# Time from the first end of a target after which honest requests are served.
SERVED_AFTER_S = 8.0
SERVED_RATIO = 0.9
AFTERWARDS_RATIO = 0.97
HONEST_CLIENTS = 20
# Ratio of the honest reads that are for the popular path.
POPULAR_RATIO = 0.4
# Bodies of refusals for a request's content.
CONTENT_REFUSALS = (b"poison", b"suspect")
AFTERWARDS_S = 6.0
# Time for which the sources of new connections are collected before they are searched for.
SEARCH_DELAY_S = 0.05
# Lateness of this process, in 99 of 100 measurements, from which on a play is void: a
# request passes it about ten times, and has 2 s.
LAG_MAX_S = 0.1
# Beginnings of violations that such a play cannot decide.
TIMED = ("honest:", "late:")


def find_hosts_of_ports(processes):
    """Returns the address of the process that uses each local TCP port, by port.

    processes: address and process id of each; a process may end meanwhile.
    """
    host_of_inode = {}
    for host, process_id in processes:
        directory = f"/proc/{process_id}/fd"
        try:
            names = os.listdir(directory)
        except OSError:
            continue
        for name in names:
            try:
                link = os.readlink(f"{directory}/{name}")
            except OSError:
                continue
            if link.startswith("socket:["):
                host_of_inode[link[8:-1]] = host
    host_of_port = {}
    with open("/proc/net/tcp") as file:
        for line in file.readlines()[1:]:
            words = line.split()
            if words[9] in host_of_inode:
                host_of_port[int(words[1].rpartition(":")[2], 16)] = host_of_inode[words[9]]
    return host_of_port


class PoisonSite(Site):
    def __init__(self, arguments, seed, directory):
        super().__init__(arguments, seed, directory)
        self.play = arguments
        self.content_refusals = 0
        self.search = None
        self.lag = Lag()
        end = self.history.end

        def count_refusals(number, status, fields, body):
            if body in CONTENT_REFUSALS and not number.startswith("p"):
                self.content_refusals += 1
            end(number, status, fields, body)

        self.history.end = count_refusals

    def routes(self, moving_service):
        return super().routes(moving_service) + [
            ["call", "idempotent", 1, "front"],
            ["deep", "idempotent", 1, "deep"],
            ["both", "idempotent", 1, {"front": self.play.weight, "deep": 100 - self.play.weight}],
        ]

    def choose_target(self, kind, choice):
        if kind == "read" and choice.random() < POPULAR_RATIO:
            return "/read/popular"
        return super().choose_target(kind, choice)

    def send_poison(self, number):
        """Returns the coroutine that sends a content during the play."""
        path = f"/{self.play.route}/poison-{number}"
        # A target that runs the path of a call sends the call, which ends the next target.
        self.deadly.paths.add(path.replace("/call/", "/deep/"))
        body = b"p" * self.play.body_bytes if self.play.route == "write" else b""
        return self.deadly.send_again_and_again(
            path, body, self.play.route != "write", random.Random(f"{self.seed}-{path}"),
            self.is_over, self.play.chunked, self.play.rate, self.is_paused)

    async def end_target(self, daemon):
        target = daemon.target
        if self.play.end.startswith("machine"):
            daemon.hold_until = time.monotonic() + self.play.back_s
        if self.play.end == "machine":
            daemon.signal(signal.SIGKILL)
        elif self.play.end == "machine-dark":
            daemon.signal(signal.SIGSTOP)
            freeze = self.history.freeze(daemon.name)
            daemon.peer_relay.impair(silent=True)
        if self.play.end.endswith("dark"):
            target.go_dark(daemon.target_relay)
        else:
            target.crash()
        await asyncio.sleep(self.play.back_s)
        if self.play.end == "machine-dark":
            daemon.signal(signal.SIGKILL)
            freeze[1] = time.monotonic()
            daemon.peer_relay.clear_faults()
            daemon.peer_relay.reset_all()
        if self.play.end.endswith("dark"):
            target.crash()
            daemon.target_relay.clear_faults()
            daemon.target_relay.reset_all()
        await target.start(target.announce, target.id if self.play.same_id else None)

    async def crash(self, daemon, back_s):
        async with daemon.target.lock:
            daemon.target.crash()
            await asyncio.sleep(back_s)
            await daemon.target.start(daemon.target.announce)

    async def replace(self, daemon):
        async with daemon.target.lock:
            await daemon.target.leave()
            await daemon.target.start(daemon.target.announce)

    async def crash_targets(self):
        """Ends targets for reasons that no request has."""
        choice = random.Random(f"{self.seed}-crash")
        while not self.poison_done:
            free = [d for d in self.daemons if not d.target.lock.locked()]
            if self.play.crash == "rack":
                for daemon in choice.sample(free, min(3, len(free))):
                    self.deadly.spawn(self.crash(daemon, self.play.back_s))
                await asyncio.sleep(choice.uniform(3, 5))
            elif self.play.crash == "rolling":
                self.deadly.spawn(self.crash(choice.choice(free), 1.5))
                await asyncio.sleep(0.8)
            else:
                self.deadly.spawn(self.replace(choice.choice(free)))
                await asyncio.sleep(1.5)

    async def kill_daemons(self):
        choice = random.Random(f"{self.seed}-kill")
        while not self.poison_done:
            await asyncio.sleep(self.play.kill_every)
            daemon = choice.choice(self.daemons)
            daemon.signal(signal.SIGKILL)
            now = time.monotonic()
            self.impairments[daemon.name].append([now, now + RESTART_S])

    async def move_route(self):
        """Moves the route 'moving' between the services."""
        while not self.poison_done:
            await asyncio.sleep(self.play.move_every)
            self.configure()

    async def join_daemons(self):
        """Adds a daemon and a target of each service in each zone."""
        await asyncio.sleep(self.play.join_at)
        for number in range(self.count, self.count + len(ZONES) * len(SERVICES)):
            daemon = Daemon(self, number)
            await daemon.prepare()
            self.deadly.watch(daemon)
            daemon.supervisor = asyncio.create_task(daemon.supervise())
            self.daemons.append(daemon)

    async def lose_rows(self):
        """Removes what the daemons have written on contents, and restarts two of them."""
        await asyncio.sleep(self.play.lose_rows_at)
        for row in list(self.store.rows):
            if row[-1].startswith("refused/"):
                del self.store.rows[row]
        self.store.compact()
        for daemon in random.Random(f"{self.seed}-rows").sample(self.daemons, 2):
            daemon.signal(signal.SIGKILL)

    def is_over(self):
        return self.poison_done

    def is_paused(self):
        since_third = time.monotonic() - self.play_began - self.play.seconds / 3
        return 0 < since_third < self.play.pause

    async def cut_zones(self):
        """Cuts the zones off from each other for the middle of the play."""
        await asyncio.sleep(0.2)
        for daemon in self.daemons:
            daemon.peer_relay.impair(cut=self.is_other_zone(daemon))
        await asyncio.sleep(self.play.seconds * 2 / 3)
        for daemon in self.daemons:
            daemon.peer_relay.impair(cut=None)

    async def find_source(self, port):
        """Returns the address of the daemon that has a connection from a local port.

        Connections that are new at about the same time share one search.
        """
        if self.search is None:
            self.search = asyncio.create_task(self.search_later())
        hosts = await asyncio.shield(self.search)
        return hosts.get(port, "")

    async def search_later(self):
        await asyncio.sleep(SEARCH_DELAY_S)
        self.search = None
        processes = [(daemon.host, daemon.process.pid) for daemon in self.daemons
                     if daemon.process is not None and daemon.process.returncode is None]
        return await asyncio.to_thread(find_hosts_of_ports, processes)

    def is_other_zone(self, daemon):
        hosts = {d.host for d in self.daemons if d.zone != daemon.zone}
        return lambda host: host in hosts

    async def run_scenario(self):
        self.poison_done = False
        measuring = asyncio.create_task(self.lag.measure())
        survivors = [daemon.target for daemon in self.daemons
                     if self.play.route == "both" and daemon.service != "front"]
        self.deadly = DeadlyContents(self, self.end_target, self.play.run_s, self.play.every, survivors)
        for daemon in self.daemons:
            daemon.target_relay.reset_delay = self.play.front_s
            daemon.peer_relay.find_source = self.find_source if self.play.cut else None
        await asyncio.sleep(2.5)
        clients = [asyncio.create_task(self.client(self.random.choice(self.daemons), index))
                   for index in range(HONEST_CLIENTS)]
        await asyncio.sleep(2.0)
        self.play_began = time.monotonic()
        if self.play.store != "calm":
            self.store.mode = self.play.store
        plays = [self.send_poison(number) for number in range(self.play.contents)]
        if self.play.kill_every:
            plays.append(self.kill_daemons())
        if self.play.move_every:
            plays.append(self.move_route())
        if self.play.join_at:
            plays.append(self.join_daemons())
        if self.play.lose_rows_at:
            plays.append(self.lose_rows())
        if self.play.cut:
            plays.append(self.cut_zones())
        if self.play.crash:
            plays.append(self.crash_targets())
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
        await self.deadly.finish()
        measuring.cancel()
        return self.check()

    # Bounds.

    def served(self, kind, begin, end):
        """Returns the ratio of honest requests of a kind sent in [begin, end) that were served."""
        sent = [s for n, s in self.history.sent.items()
                if not n.startswith("p") and s["target"].startswith(f"/{kind}")
                and begin <= s["at"] < end and "status" in s]
        return sum(s["status"] == 200 for s in sent) / len(sent) if sent else 1.0

    def slowest(self, kind, begin, end):
        """Returns the time in ms that 99 of 100 of these requests that were served took at most."""
        times = sorted(s["ended"] - s["at"] for n, s in self.history.sent.items()
                       if not n.startswith("p") and s["target"].startswith(f"/{kind}")
                       and begin <= s["at"] < end and s.get("status") == 200)
        return times[len(times) * 99 // 100] * 1000 if times else 0

    def check(self):
        violations = list(self.history.violations)
        ends = self.deadly.ends
        first = min((times[0] for times in ends.values()), default=self.play_began)
        play_end = self.play_began + self.play.seconds
        for path in sorted(self.deadly.paths):
            late = self.deadly.late_arrivals(path)
            self.report(f"{path}: {len(ends[path])} ends, {len(self.deadly.arrivals[path])} arrivals; "
                        "ends at " + " ".join(f"{at - first:.2f}" for at in ends[path][:12]))
            self.report_late(late, first)
            if len(late) > LATE_ARRIVALS_MAX:
                violations.append(f"budget: {len(late)} requests of {path} reach targets after it ended three")
        for kind in ("read", "write", "read/popular"):
            during = self.served(kind, first + SERVED_AFTER_S, play_end)
            early = self.served(kind, first, first + SERVED_AFTER_S)
            after = self.served(kind, self.after, self.after + AFTERWARDS_S)
            slowest = self.slowest(kind, first, play_end)
            self.report(f"/{kind}/ served: first 8 s {early:.2f}, then {during:.3f}, afterwards {after:.3f}; "
                        f"99 in 100 within {slowest:.0f} ms")
            if during < SERVED_RATIO:
                violations.append(f"honest: {during:.3f} of /{kind}/ served from 8 s on")
            if after < AFTERWARDS_RATIO:
                violations.append(f"honest: {after:.3f} of /{kind}/ served after the play")
        refused = self.content_refusals
        self.report(f"honest requests refused for their content: {refused}")
        if refused and not self.play.contents:
            violations.append(f"innocent: {refused} requests refused for their content")
        self.report(f"this process was late by at most {self.lag.mostly_s() * 1000:.0f} ms in 99 of 100 "
                    f"measurements, {self.lag.most_s() * 1000:.0f} ms in all")
        self.report("answers to poison: " + " ".join(f"{s}={c}" for s, c in sorted(self.deadly.answers.items())))
        return violations

    def report_late(self, late, first):
        """Prints late arrivals, and which of them passed only daemons in touch."""
        by_target = {daemon.target: daemon.name for daemon in self.daemons}
        texts = []
        in_touch = 0
        for at, number, target in late:
            entry, guard = self.history.sent[number]["entry"], by_target[target]
            calm = self.is_in_touch(entry, at) and self.is_in_touch(guard, at)
            in_touch += calm
            texts.append(f"{at - first:.2f} {number} {entry}-{guard}{'' if calm else ' (not in touch)'}")
        self.report(f"  {len(late)} late, {in_touch} of them from daemons in touch: " + "; ".join(texts))

    def report(self, line):
        print("  " + line, flush=True)


def is_void(violations, lag):
    """Returns whether this process was too late for a play to show what it violates.

    A late play counts if it violates more than the bounds on served honest requests and
    on the time of responses. If only responses were late, one stretch of lateness is
    enough, which 99 of 100 measurements do not show.
    """
    if any(not line.startswith(TIMED) for line in violations):
        return False
    only_responses = violations and all(line.startswith("late:") for line in violations)
    return lag.mostly_s() > LAG_MAX_S or bool(only_responses and lag.most_s() > LATE_RESPONSE_S / 2)


def run_play(arguments, seed):
    """Returns whether the play counts, the lateness of this process, and the violations."""
    with tempfile.TemporaryDirectory(prefix="poison-") as directory:
        site = PoisonSite(arguments, seed, directory)
        violations = asyncio.run(site.run())
        late_s = site.lag.mostly_s()
        counts = not is_void(violations, site.lag)
        if arguments.expect_failure:
            seen = any(line.startswith(arguments.expect_failure + ":") for line in violations)
            violations = [] if seen else [f"expected: a violation of {arguments.expect_failure}"]
        keep = arguments.keep or (os.path.join("out", "soak", arguments.name) if violations else "")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(directory):
                os.replace(os.path.join(directory, name), os.path.join(keep, name))
        return counts, late_s, violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--name", default="poison")
    parser.add_argument("--seed", default=1, type=int)
    parser.add_argument("--seconds", default=30.0, type=float)
    parser.add_argument("--daemons", default=12, type=int)
    parser.add_argument("--route", default="read", choices=["read", "write", "call", "both", "moving"])
    parser.add_argument("--contents", default=1, type=int)
    parser.add_argument("--rate", default=RATE, type=float, help="requests of each content per second")
    parser.add_argument("--body-bytes", default=3000, type=int, help="size of a body on the route write")
    parser.add_argument("--end", default="reset", choices=["reset", "dark", "machine", "machine-dark"])
    parser.add_argument("--back-s", default=BACK_S, type=float, help="time after which a target is back")
    parser.add_argument("--run-s", default=RUN_S, type=float, help="time for which a target runs a content")
    parser.add_argument("--front-s", default=0.0, type=float,
                        help="time for which connections to a target that has ended stay open")
    parser.add_argument("--every", default=1, type=int, help="a content ends only each N-th target that runs it")
    parser.add_argument("--weight", default=50, type=int,
                        help="share in percent of the route 'both' that goes to the service whose targets end")
    parser.add_argument("--move-every", default=0.0, type=float,
                        help="period at which the route 'moving' is moved to a random service")
    parser.add_argument("--join-at", default=0.0, type=float, help="time at which daemons with new targets are added")
    parser.add_argument("--lose-rows-at", default=0.0, type=float,
                        help="time at which the store loses the rows on contents, and two daemons are killed")
    parser.add_argument("--pause", default=0.0, type=float,
                        help="time for which no content is sent, after the first third of the play")
    parser.add_argument("--same-id", action="store_true")
    parser.add_argument("--chunked", action="store_true")
    parser.add_argument("--store", default="calm")
    parser.add_argument("--kill-every", default=0.0, type=float)
    parser.add_argument("--cut", action="store_true")
    parser.add_argument("--crash", default="", choices=["", "rack", "rolling", "release"])
    parser.add_argument("--off", default="")
    parser.add_argument("--expect-failure", default="", help="succeed only if this bound is violated")
    parser.add_argument("--keep", default="", help="directory that receives the logs")
    arguments = parser.parse_args()
    arguments.faults = ""
    violations, void = play_until_decided(lambda seed: run_play(arguments, seed), arguments.seed)
    if violations is None:
        violations = [f"void: {void} plays in a row"]
    print(f"{'not ok' if violations else 'ok'} {arguments.name}", flush=True)
    for line in violations:
        print("  " + line)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
