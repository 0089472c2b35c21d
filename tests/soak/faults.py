"""Faults that the soak test injects into a site."""

import asyncio
import random
import signal
import time

from deadly import CONTACT_S, LATE_ARRIVALS_MAX
from odd import make_heartbeat, make_row
from target import DRAIN_WAIT_S

# Kinds of faults. Seeds with --faults early choose from the first list, others from both,
# so their plans change if a list does.
EARLY_KINDS = ["kill", "term", "freeze", "hup", "target_crash", "target_leave", "lose", "extra",
               "peer_delay", "peer_reset", "peer_silent", "peer_one_way", "store_cut",
               "target_reset", "store_busy", "store_silent", "store_lost", "store_slow",
               "compact", "configure", "configure", "double_term", "poison", "beacons_lost", "store_restore"]
LATER_KINDS = ["endless", "extra_split", "store_endless", "store_links_silent", "peer_links_silent",
               "refusal_again", "strange_heartbeat", "odd_rows", "head_cut", "peer_cut", "target_limit",
               "target_says_leaving", "term_late"]
# Names of lists of kinds.
KINDS_BY_NAME = {"early": EARLY_KINDS, "all": EARLY_KINDS + LATER_KINDS}
# Kinds of faults that impair no single daemon.
FAULTS_OF_NO_DAEMON = {"poison", "compact", "configure", "store_busy", "store_silent", "store_lost", "store_slow",
                       "store_restore", "store_endless", "strange_heartbeat", "target_limit", "target_says_leaving"}
# Kinds of faults that break no connection of a daemon.
FAULTS_WITHOUT_BREAKS = FAULTS_OF_NO_DAEMON | {"hup", "term", "term_late", "double_term", "beacons_lost", "target_leave"}
# Time for which the beacons of a daemon are lost: longer than others wait for them.
BEACONS_LOST_S = 6.0
# Time from SIGTERM to the first late request, their number and the time between two.
LATE_AFTER_S = 2.4
LATE_REQUESTS = 24
LATE_PAUSE_S = 0.05
# Limits of requests a second that targets name, and the least time for which they do.
LIMITS = [0, 0.3, 2, 6, 15]
LIMIT_S = 8.0
# Most heartbeats and rows of a fault.
HEARTBEATS_MAX = 3
ODD_ROWS_MAX = 12


class Faults:
    """Part of a site: injects faults and keeps the times at which they disturb daemons."""

    async def inject_fault(self):
        """Injects a random fault for a random time; faults may overlap."""
        daemon = self.random.choice(self.daemons)
        duration_s = self.random.uniform(0.3, 4)
        kind = self.random.choice(self.kinds)
        self.faults.append(f"{time.monotonic() - self.started_at:.1f} {kind} {daemon.name} {duration_s:.1f}")
        span = [time.monotonic(), float("inf")]
        if kind not in FAULTS_OF_NO_DAEMON:
            self.impairments[daemon.name].append(span)
        if kind not in FAULTS_WITHOUT_BREAKS:
            self.breaks["all" if kind.startswith("target_") else daemon.name].append(span)
        await getattr(self, "do_" + kind)(daemon, duration_s)
        span[1] = time.monotonic()

    async def do_kill(self, daemon, duration_s):
        daemon.signal(signal.SIGKILL)

    async def do_term(self, daemon, duration_s):
        daemon.signal(signal.SIGTERM)

    async def do_term_late(self, daemon, duration_s):
        """Sends long requests of a route that nobody else uses late in a planned stop."""
        daemon.signal(signal.SIGTERM)
        await asyncio.sleep(LATE_AFTER_S)
        sending = []
        for _ in range(LATE_REQUESTS):
            sending.append(asyncio.create_task(self.send_once(daemon, "late")))
            await asyncio.sleep(LATE_PAUSE_S)
        await asyncio.gather(*sending)

    async def do_double_term(self, daemon, duration_s):
        daemon.signal(signal.SIGTERM)
        await asyncio.sleep(duration_s)
        daemon.signal(signal.SIGTERM)

    async def do_beacons_lost(self, daemon, duration_s):
        """Loses the beacons of a daemon, and stops another one while it waits for them."""
        daemon.peer_relay.impair(no_datagrams=True)
        await asyncio.sleep(BEACONS_LOST_S * 0.8)
        self.random.choice([d for d in self.daemons if d is not daemon]).signal(signal.SIGTERM)
        await asyncio.sleep(BEACONS_LOST_S * 0.2)
        daemon.peer_relay.impair(no_datagrams=False)

    async def do_freeze(self, daemon, duration_s):
        daemon.signal(signal.SIGSTOP)
        freeze = self.history.freeze(daemon.name)
        await asyncio.sleep(duration_s)
        daemon.signal(signal.SIGCONT)
        freeze[1] = time.monotonic()

    async def do_hup(self, daemon, duration_s):
        daemon.signal(signal.SIGHUP)

    async def do_target_crash(self, daemon, duration_s):
        if daemon.target.lock.locked():
            return
        async with daemon.target.lock:
            daemon.target.crash()
            await asyncio.sleep(duration_s)
            await daemon.target.start(daemon.target.announce)

    async def do_target_leave(self, daemon, duration_s):
        if daemon.target.lock.locked():
            return
        async with daemon.target.lock:
            await daemon.target.leave()
            await asyncio.sleep(duration_s / 2)
            await daemon.target.start(daemon.target.announce)

    async def do_target_leave_kill(self, daemon, duration_s):
        """Needs a working store and is thus not among the randomly chosen kinds."""
        if daemon.target.lock.locked():
            return
        async with daemon.target.lock:
            await daemon.target.leave_and_kill_daemon(lambda: daemon.signal(signal.SIGKILL))
            await asyncio.sleep(duration_s / 2)
            await daemon.target.start(daemon.target.announce)

    async def do_target_limit(self, daemon, duration_s):
        """This target and some others name a limit, each its own, also after a start meanwhile."""
        limited = [other.target for other in self.daemons if other is daemon or self.random.random() < 0.2]
        for target in limited:
            target.limit = self.random.choice(LIMITS)
        await asyncio.sleep(LIMIT_S + duration_s)
        for target in limited:
            target.limit = None

    async def do_target_says_leaving(self, daemon, duration_s):
        """Leaves without another word than that of its answers."""
        if daemon.target.lock.locked():
            return
        async with daemon.target.lock:
            daemon.target.says_leaving = True
            await asyncio.sleep(DRAIN_WAIT_S + duration_s)
            daemon.target.crash()
            await asyncio.sleep(duration_s / 2)
            await daemon.target.start(daemon.target.announce)

    async def do_lose(self, daemon, duration_s):
        daemon.target.lost_response_ratio = 0.2
        await asyncio.sleep(duration_s)
        daemon.target.lost_response_ratio = 0

    async def do_extra(self, daemon, duration_s):
        daemon.target.repeated_response_ratio = 0.3
        await asyncio.sleep(duration_s)
        daemon.target.repeated_response_ratio = 0

    async def do_extra_split(self, daemon, duration_s):
        daemon.target.split_repeated_responses = True
        await self.do_extra(daemon, duration_s)
        daemon.target.split_repeated_responses = False

    async def do_endless(self, daemon, duration_s):
        daemon.target.endless_response_ratio = 0.3
        await asyncio.sleep(duration_s)
        daemon.target.endless_response_ratio = 0

    async def do_refusal_again(self, daemon, duration_s):
        """This target and some others refuse requests, and write these refusals once more."""
        faulty = [other for other in self.daemons if other is daemon or self.random.random() < 0.5]
        now = time.monotonic()
        for other in faulty:
            other.target.refusals.ratio = 0.3
            self.breaks[other.name].append([now, now + duration_s])
        await asyncio.sleep(duration_s)
        for other in faulty:
            other.target.refusals.ratio = 0.0

    async def do_head_cut(self, daemon, duration_s):
        daemon.target.cut_response_ratio = 0.2
        await asyncio.sleep(duration_s)
        daemon.target.cut_response_ratio = 0.0

    async def do_strange_heartbeat(self, daemon, duration_s):
        """A daemon gets heartbeats of a target of another machine, or of an earlier one at its own address."""
        target = daemon.target
        for _ in range(self.random.randint(1, HEARTBEATS_MAX)):
            if target.earlier is not None and self.random.random() < 0.5:
                await target.announce_state("PUT", target.earlier[1], target.earlier[0])
            else:
                method, instance, document = make_heartbeat(
                    self.random, target.state("ready"), sorted(set(self.history.services.values())))
                if await target.announce_state(method, document, instance) and method == "PUT":
                    self.history.fail("strange", f"{daemon.name} acknowledges a heartbeat of {document}")
            await asyncio.sleep(duration_s / HEARTBEATS_MAX)

    async def do_odd_rows(self, daemon, duration_s):
        """Another writer puts odd rows into the store; in half of the cases a daemon starts meanwhile."""
        names = [other.name for other in self.daemons]
        peers = [other.advertise for other in self.daemons]
        if self.random.random() < 0.5:
            daemon.signal(signal.SIGKILL)
        for _ in range(self.random.randint(1, ODD_ROWS_MAX)):
            table, key, value, part, more = make_row(self.random, names, peers)
            self.store.put(table, key, value, part, **more)
            await asyncio.sleep(duration_s / ODD_ROWS_MAX)

    async def apply_relay_fault(self, relay, name, value, duration_s):
        relay.impair(**{name: value})
        await asyncio.sleep(duration_s)
        relay.clear_faults()

    async def do_peer_delay(self, daemon, duration_s):
        await self.apply_relay_fault(daemon.peer_relay, "delay", 0.15, duration_s)

    async def do_peer_reset(self, daemon, duration_s):
        daemon.peer_relay.reset_all()

    async def do_peer_silent(self, daemon, duration_s):
        await self.apply_relay_fault(daemon.peer_relay, "silent", True, duration_s)

    async def do_peer_one_way(self, daemon, duration_s):
        await self.apply_relay_fault(daemon.peer_relay, "one_way", True, duration_s)

    async def do_peer_cut(self, daemon, duration_s):
        await self.apply_relay_fault(daemon.peer_relay, "cut_ratio", 0.1, duration_s)

    async def do_store_cut(self, daemon, duration_s):
        daemon.store_relay.reset_all()
        await self.apply_relay_fault(daemon.store_relay, "refuse", True, duration_s)

    async def do_peer_links_silent(self, daemon, duration_s):
        daemon.peer_relay.silence_links()

    async def do_store_links_silent(self, daemon, duration_s):
        """Lets nothing pass on the present connections to the store, of this and of some other daemons."""
        for other in self.daemons:
            if other is daemon or self.random.random() < 0.5:
                other.store_relay.silence_links()

    async def do_target_reset(self, daemon, duration_s):
        daemon.target_relay.reset_all()

    async def apply_store_fault(self, mode, duration_s):
        self.store.mode = mode
        await asyncio.sleep(duration_s)
        self.store.mode = "calm"

    async def do_store_busy(self, daemon, duration_s):
        await self.apply_store_fault("busy", duration_s)

    async def do_store_silent(self, daemon, duration_s):
        await self.apply_store_fault("silent", duration_s)

    async def do_store_lost(self, daemon, duration_s):
        await self.apply_store_fault("lost", duration_s)

    async def do_store_endless(self, daemon, duration_s):
        await self.apply_store_fault("endless", duration_s)

    async def do_store_slow(self, daemon, duration_s):
        await self.apply_store_fault("slow", duration_s)

    async def do_store_restore(self, daemon, duration_s):
        """The store is away for a moment and comes back from a copy some seconds old."""
        at = time.monotonic() - self.random.uniform(0.5, 6)
        self.store.mode = "away"
        self.store.reset_connections()
        await asyncio.sleep(duration_s / 4)
        self.store.restore(at)
        self.store.mode = "calm"

    async def do_restore_leave_kill(self, daemon, duration_s):
        """The store loses a leave that was acknowledged, and the daemon is killed at that moment."""
        if daemon.target.lock.locked():
            return
        async with daemon.target.lock:
            at = time.monotonic()

            def restore_and_kill():
                self.store.reset_connections()
                self.store.restore(at)
                daemon.signal(signal.SIGKILL)

            await daemon.target.leave_and_kill_daemon(restore_and_kill)
            await asyncio.sleep(duration_s / 2)
            await daemon.target.start(daemon.target.announce)

    async def do_poison(self, daemon, duration_s):
        """Sends a content that ends targets, for much longer than other faults last."""
        number = len(self.deadly.paths)
        path = f"/{self.random.choice(['read', 'write'])}/poison-{number}"
        self.deadly.paths.add(path)
        body = b"poison" * 100 if path.startswith("/write/") else b""
        end = time.monotonic() + 2 * duration_s
        await self.deadly.send_again_and_again(
            path, body, not body, random.Random(f"{self.seed}-{path}"), lambda: time.monotonic() > end)
        await self.deadly.finish()

    def is_in_touch(self, name, at):
        """Returns whether no fault was injected at a daemon for CONTACT_S."""
        return not any(begin <= at and end > at - CONTACT_S for begin, end in self.impairments[name])

    def check_poison(self):
        """Checks that contents which ended three targets reach no further ones, from daemons in touch."""
        by_target = {daemon.target: daemon.name for daemon in self.daemons}
        for path in self.deadly.paths:
            late = [number for at, number, target in self.deadly.late_arrivals(path)
                    if self.is_in_touch(self.history.sent[number]["entry"], at)
                    and self.is_in_touch(by_target[target], at)]
            if len(late) > LATE_ARRIVALS_MAX:
                self.history.fail("poison", f"{len(late)} requests of {path} reach targets after it ended three: {late}")

    def is_undisturbed(self, name, at):
        """Returns whether no fault has broken connections of a daemon, or of targets, for CONTACT_S."""
        return not any(begin <= at and end > at - CONTACT_S
                       for begin, end in self.breaks[name] + self.breaks["all"])

    async def do_compact(self, daemon, duration_s):
        self.store.compact()

    async def do_configure(self, daemon, duration_s):
        self.configure()
