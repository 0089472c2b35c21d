"""Customers of a soak site: their API keys, what they send, and the rules that hold for both."""

import asyncio
import contextlib
import random
import time
from collections import defaultdict

from wire import close, encode, read_message

# Begin of all API keys, which nothing but a client and the store may show.
KEY_PREFIX = "apikey-"
COUNT = 8
# Ratio of the demand of each customer to that of the one before.
DEMAND_RATIO = 0.6
# Total of the usage caps in requests a second, divided by demand, and their least.
CAPS_TOTAL = 65.0
CAP_MIN = 2.0
# Bounds of the rule on caps, as in the settings.
CAP_WINDOW_S = 5.0
CAP_OVER_RATIO = 0.1
CAP_SLACK = 20
# Demand of the customer that exceeds its cap, as a multiple of its usual demand.
SURGE_FACTOR = 8.0
# Ratios of requests with an unknown key, with a malformed field and without a key.
UNKNOWN_RATIO = 0.02
MALFORMED_RATIO = 0.02
NO_KEY_RATIO = 0.02
# Time for which the settings let a daemon go on without news, with --strict.
REVOKE_S = 1.5
# Time by which a request may be read after it was sent, and a version be told before it is
# in force at its daemon.
READ_S = 0.3
PUBLIC_ROUTES = ("/slow/",)


class Customers:
    """The customers of a configuration; each has a key that stays and one that is replaced.

    keys: the customer of each key in force; ever: that of each key that ever was; added,
    removed: when a key was put into the store, or was acknowledged as removed.
    """

    def __init__(self, seed, strict, caps):
        self.random = random.Random(f"{seed}-customers")
        self.strict = strict
        self.checks_caps = caps
        demand = [DEMAND_RATIO ** i for i in range(COUNT)]
        self.demand = {f"c{i}": share / sum(demand) for i, share in enumerate(demand)}
        self.rates = {name: max(CAP_MIN, round(CAPS_TOTAL * share)) for name, share in self.demand.items()}
        self.keys, self.ever, self.added, self.removed = {}, {}, {}, {}
        self.numbers = 0
        # When the last configuration was put into the store, without any fault.
        self.settled = float("inf")
        # Of each request: its key, None for none that is valid in form, and whether it needs one.
        self.sent = {}
        for name in self.demand:
            self.add(name)
            self.add(name)
        if caps:
            self.demand[self.random.choice(list(self.demand)[2:4])] *= SURGE_FACTOR

    def add(self, name):
        self.numbers += 1
        key = f"{KEY_PREFIX}{self.numbers}-{self.random.getrandbits(64):016x}"
        self.keys[key] = self.ever[key] = name
        self.added[key] = time.monotonic()

    def permanent(self, name):
        return next(key for key, holder in self.keys.items() if holder == name)

    def replace_keys(self):
        """Replaces the second key of some customers; returns the removed ones."""
        removed = []
        for name in self.demand:
            if self.random.random() < 0.5:
                removed.append([key for key in self.keys if self.keys[key] == name][-1])
                del self.keys[removed[-1]]
                self.add(name)
        return removed

    def acknowledged(self, removed):
        for key in removed:
            self.removed[key] = time.monotonic()

    def table(self):
        columns = ["name", "apiKeys", "priority", "ratePerS", "burst"]
        rows = [[name, [key for key in self.keys if self.keys[key] == name], 0, rate, rate]
                for name, rate in self.rates.items()]
        return {"columns": columns, "rows": rows}

    def fields(self, number, target, choice):
        """Returns the fields that identify a request, or try to."""
        draw = choice.random()
        key, fields = None, {}
        if draw < UNKNOWN_RATIO:
            key = f"{KEY_PREFIX}unknown-{number}"
        elif draw < UNKNOWN_RATIO + MALFORMED_RATIO:
            fields["Authorization"] = f"Basic {choice.choice(list(self.keys))}"
        elif draw > UNKNOWN_RATIO + MALFORMED_RATIO + NO_KEY_RATIO:
            name = choice.choices(list(self.demand), list(self.demand.values()))[0]
            # Customers go on to use removed keys, and use new ones at once.
            key = choice.choice([key for key in self.ever if self.ever[key] == name][:1]
                                + [key for key in self.ever if self.ever[key] == name][-3:])
        if key is not None:
            fields[choice.choice(["Authorization", "AUTHORIZATION", "authorization"])] = f"Bearer {key}"
        if choice.random() < 0.2:
            fields["X-Jackdawladder-Tenant"] = "forged"
        if choice.random() < 0.1:
            fields["Connection"] = "authorization, x-jackdawladder-tenant"
        self.sent[number] = (key, not target.startswith(PUBLIC_ROUTES))
        return fields

    def arrived(self, history, number, fields):
        """Checks a request that reaches a target."""
        if number not in self.sent:
            return
        key, needs_key = self.sent[number]
        at = history.sent[number]["at"]
        name = fields.get("x-jackdawladder-tenant")
        if "authorization" in fields or any(KEY_PREFIX in value for value in fields.values()):
            history.fail("key", f"{number} reaches a target with {fields}")
        if name != self.ever.get(key) and (needs_key or name is not None):
            history.fail("customer", f"{number} of {self.ever.get(key)} runs for {name}")
        if needs_key and key not in self.ever:
            history.fail("unknown", f"{number} reaches a target although no customer has its key")
        revoked = self.removed.get(key)
        if not needs_key or revoked is None:
            return
        if self.strict and at > revoked + REVOKE_S + READ_S:
            history.fail("revoked", f"{number} reaches a target {at - revoked:.1f} s after its key was removed")

    def check_settled(self, history, apply_s):
        """Checks the requests sent while all daemons must know the last configuration."""
        for number, (key, needs_key) in self.sent.items():
            sent = history.sent[number]
            if sent["at"] <= self.settled + apply_s or not needs_key:
                continue
            if sent.get("status") == 401 and key in self.keys:
                history.fail("known", f"{number} at {sent['entry']} gets 401 although its key is in force")
            if key not in self.keys and (history.runs[number] or sent.get("status") not in (401, 0, -1, 503)):
                history.fail("revoked", f"{number} at {sent['entry']} gets {sent.get('status')} without a key in force")

    def check_known(self, history):
        """Checks that no key which is in all versions gets 401, whatever faults there are."""
        for number, (key, _) in self.sent.items():
            if history.sent[number].get("status") == 401 and key in self.ever and key == self.permanent(self.ever[key]):
                history.fail("known", f"{number} gets 401 with a key of all versions")

    def check_caps(self, history):
        times = defaultdict(list)
        for number, (key, _) in self.sent.items():
            if history.runs[number] and key in self.ever:
                times[self.ever[key]].append(history.runs[number][0][0])
        for name, rate in self.rates.items():
            allowed = (rate * CAP_WINDOW_S + rate) * (1 + CAP_OVER_RATIO) + CAP_SLACK
            runs = sorted(times[name])
            first = 0
            for last, at in enumerate(runs):
                while runs[first] < at - CAP_WINDOW_S:
                    first += 1
                if last - first + 1 > allowed:
                    history.fail("cap", f"{last - first + 1} requests of {name} run in {CAP_WINDOW_S} s, {allowed:.0f} allowed")
                    break

    def counts_for_recovery(self, number, sent):
        """Returns whether a request can be expected to succeed."""
        if number not in self.sent:
            return True
        key, needs_key = self.sent[number]
        return (not needs_key or key in self.keys) and sent["status"] != 429

    async def check_pages(self, history, daemon):
        """Checks that the pages of a daemon show no key."""
        for path in ("/metrics", "/state"):
            with contextlib.suppress(OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(daemon.host, daemon.ports["metrics"]), 1)
                writer.write(encode(f"GET {path} HTTP/1.1", {"Host": "x"}))
                page = (await asyncio.wait_for(read_message(reader), 2)).body.decode()
                await close(writer)
                if KEY_PREFIX in page or "customers" not in page:
                    history.fail("key", f"{path} of {daemon.name} shows a key, or no customers")

    def check_logs(self, history, daemons, lines):
        for daemon in daemons:
            if any(KEY_PREFIX in line for line in lines(daemon)):
                history.fail("key", f"the log of {daemon.name} shows a key")
            if daemon.peer_relay.seen or daemon.target_relay.seen:
                history.fail("key", f"a connection or datagram to {daemon.name} or its target shows a key")

    def check(self, history, apply_s):
        self.check_known(history)
        self.check_settled(history, apply_s)
        if self.checks_caps:
            self.check_caps(history)
