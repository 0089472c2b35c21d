#!/usr/bin/env python3
"""Plays changes of the configuration while daemons hear nothing from the store.

    apply.py --program PATH [--state STATE] [--zones all|one] [--changes N]
             [--plays N] [--seed N] [--daemons N] [--bound S] [--direct] [--keep DIR]

Shortly before each change the daemons that follow the store come into a state:

- calm: nothing happens;
- silent: their connections to the store pass nothing any more, new ones work;
- silent-next: the same for those that would follow next, too;
- silent-all: the same for all daemons;
- peers-silent: the connections between all daemons pass nothing any more;
- everything-silent: these and those of all daemons to the store;
- frozen, frozen-next: they are stopped by a signal until the play ends;
- killed: they are killed, and start again;
- slow: what the store sends them takes 0.3 s longer.

Each change adds a route. A daemon that runs all the while must know it within the
bound, by the time in its log, and must serve it then. With --direct what daemons send
each other does not pass this process, which many daemons would make late. A play of
which this process itself was late is void, is said to be so, and is played again with
the next seed.
"""

import argparse
import asyncio
import contextlib
import os
import re
import shutil
import signal
import statistics
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from history import APPLY_S  # noqa: E402
from lag import Lag, play_until_decided  # noqa: E402
from soak import ZONES, Site  # noqa: E402
from wire import encode, read_message  # noqa: E402

STATES = ["calm", "silent", "silent-next", "silent-all", "peers-silent",
          "everything-silent", "frozen", "frozen-next", "killed", "slow"]
# States in which connections between daemons are silent, which needs relays.
RELAYED = ["peers-silent", "everything-silent"]
# States that all daemons come into.
ALL_AFFECTED = ["silent-all"] + RELAYED
# Time after their start in which daemons come to know each other, and the random time
# after it in which a long poll of the store can begin and end.
START_S = 4.0
POLL_S = 4.0
# Time by which the state begins before the change, and between two changes.
BEFORE_S = 0.2
GAP_S = 0.3
# Time after the last change in which all daemons should know it; longer than the bound.
AFTER_S = 5.0
SLOW_S = 0.3
# Lateness of this process from which on a play is void.
LAG_MAX_S = 0.2
# Number of daemons of a zone that follow the store.
FOLLOWERS = 2
FOLLOWED = re.compile(r"^E763 .* follows=(\d)")


class ApplySite(Site):
    def __init__(self, arguments, seed, directory):
        super().__init__(arguments, seed, directory)
        self.play = arguments
        self.relays_peers = not arguments.direct
        self.changes = []

    def routes(self, moving_service):
        added = [[f"added{i}", "idempotent", 1, "front"] for i in range(len(self.changes))]
        return super().routes(moving_service) + added

    def follows(self, daemon):
        found = [m.group(1) for line in self.log_lines(daemon) if (m := FOLLOWED.match(line))]
        return bool(found) and found[-1] == "1"

    def choose_affected(self):
        """Returns the daemons that come into the state."""
        count = FOLLOWERS * 2 if self.play.state.endswith("-next") else FOLLOWERS
        if self.play.state in ALL_AFFECTED:
            return list(self.daemons)
        chosen = []
        for zone in ZONES if self.play.zones == "all" else ZONES[:1]:
            # The daemons that follow come first, then the others, by name.
            members = sorted((d for d in self.daemons if d.zone == zone),
                             key=lambda d: (not self.follows(d), d.name))
            chosen += members[:count]
        return chosen

    def begin_state(self, daemon):
        state = self.play.state
        if state.startswith("silent") or state == "everything-silent":
            daemon.store_relay.silence_links()
        if state in RELAYED:
            daemon.peer_relay.silence_links()
        if state.startswith("frozen"):
            daemon.signal(signal.SIGSTOP)
        elif state == "killed":
            daemon.signal(signal.SIGKILL)
        elif state == "slow":
            daemon.store_relay.impair(delay=SLOW_S)

    def change(self):
        """Writes a configuration with one more route, which counts as acknowledged now."""
        self.changes.append(None)
        self.configure()
        self.changes[-1] = (time.time(), self.version)

    async def find_unserved(self, daemon, route):
        """Returns why a request of its own does not find this route at a daemon, "" if it does."""
        fields = {"Host": "a.example", "X-Jackdawladder-Attempt-Id": f"p{daemon.name}-{route}",
                  "X-Jackdawladder-Deadline-Ms": 1000}
        with contextlib.suppress(OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.ports["entry"])
            writer.write(encode(f"GET /{route}/x HTTP/1.1", fields))
            answer = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            return "404" if answer.status == 404 else ""
        return "no answer"

    async def run_scenario(self):
        await asyncio.sleep(START_S)
        # The daemons keep the connections on which they fetch this version from each other.
        self.configure()
        await asyncio.sleep(self.random.uniform(BEFORE_S, POLL_S))
        affected = self.choose_affected()
        self.lag = Lag()
        measuring = asyncio.create_task(self.lag.measure())
        for daemon in affected:
            self.begin_state(daemon)
        await asyncio.sleep(BEFORE_S)
        for _ in range(self.play.changes):
            self.change()
            await asyncio.sleep(GAP_S)
        measuring.cancel()
        watched = self.daemons
        if self.play.state.startswith("frozen") or self.play.state == "killed":
            watched = [d for d in self.daemons if d not in affected]
        await asyncio.sleep(self.play.bound)
        last = f"added{len(self.changes) - 1}"
        unserved = [f"{d.name} ({why})" for d in watched if (why := await self.find_unserved(d, last))]
        await asyncio.sleep(AFTER_S - self.play.bound)
        self.delays = [self.apply_delay(daemon, at, version)
                       for at, version in self.changes for daemon in watched]
        violations = [f"apply: {self.play.state}: a change is known after {delay:.2f} s, "
                      f"bound {self.play.bound:.2f}" for delay in self.delays if delay > self.play.bound][:5]
        if unserved:
            violations.append(f"apply: {len(unserved)} daemons do not serve the last route: {unserved}")
        return violations


def keep_logs(directory, keep):
    os.makedirs(keep, exist_ok=True)
    for name in os.listdir(directory):
        shutil.copy(os.path.join(directory, name), keep)


def run_play(arguments, seed):
    """Returns whether the play counts, the lateness of this process, and the violations and delays."""
    with tempfile.TemporaryDirectory(prefix="apply-") as directory:
        site = ApplySite(arguments, seed, directory)
        violations = asyncio.run(site.run())
        if arguments.keep:
            keep_logs(directory, arguments.keep)
        late_s = site.lag.most_s()
        return late_s <= LAG_MAX_S, late_s, ([f"{line} (seed {seed})" for line in violations], site.delays)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", required=True)
    parser.add_argument("--name", default="apply")
    parser.add_argument("--state", default="silent", choices=STATES)
    parser.add_argument("--zones", default="all", choices=["all", "one"])
    parser.add_argument("--changes", default=1, type=int, help="changes in a row")
    parser.add_argument("--plays", default=1, type=int)
    parser.add_argument("--seed", default=1, type=int)
    parser.add_argument("--daemons", default=12, type=int)
    parser.add_argument("--bound", default=APPLY_S, type=float, help="seconds from the ack")
    parser.add_argument("--direct", action="store_true", help="relay nothing between daemons")
    parser.add_argument("--off", default="")
    parser.add_argument("--expect-failure", action="store_true", help="succeed only if a change is late")
    parser.add_argument("--keep", default="", help="directory that receives the logs")
    arguments = parser.parse_args()
    if arguments.direct and arguments.state in RELAYED:
        parser.error(f"--state {arguments.state} needs relays between daemons")
    arguments.faults = ""
    arguments.seconds = 0
    delays, violations, void = [], [], 0
    for seed in range(arguments.seed, arguments.seed + arguments.plays):
        result, repeated = play_until_decided(lambda seed: run_play(arguments, seed), seed)
        void += repeated
        found, measured = result or ([f"void: {repeated} plays in a row"], [])
        delays += measured
        violations += found
    if arguments.expect_failure:
        violations = [] if violations else ["expected: a change that is late"]
    print(f"{'not ok' if violations else 'ok'} {arguments.name}", flush=True)
    print(f"  {arguments.state}: {arguments.plays} plays, {void} void; ack to in force: median "
          f"{statistics.median(delays or [0]):.2f} s, maximum {max(delays or [0]):.2f} s")
    for line in violations[:20]:
        print("  " + line)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
