"""Contents that end each target that begins to run them."""

import asyncio
import time
from collections import defaultdict

from wire import close, encode, encode_chunked, read_message

# Requests of a content that may still reach targets after it ended the third
# target and CONTACT_S passed.
LATE_ARRIVALS_MAX = 3
CONTACT_S = 3.0
# Time after which a target that ended is started again.
BACK_S = 3.0
# Time for which a target runs such a request before it ends.
RUN_S = 0.02
# Requests of each content per second.
RATE = 4.0
DEADLINE_S = 2.0


class DeadlyContents:
    """Sends such requests, ends the targets that run them and counts both.

    end: a coroutine function that ends a target and starts it again; by default
    the target resets its connections. run_s: time for which a target runs such a
    request before it ends. every: a content ends only each so many-th target that
    runs it. survivors: targets that answer such requests.
    """

    def __init__(self, site, end=None, run_s=RUN_S, every=1, survivors=()):
        self.site = site
        self.end = end or self.reset
        self.run_s = run_s
        self.every = every
        self.survivors = survivors
        self.runs_of = defaultdict(int)
        self.paths = set()
        self.ends = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.answers = defaultdict(int)
        self.tasks = set()
        for daemon in site.daemons:
            self.watch(daemon)

    def watch(self, daemon):
        daemon.target.on_arrival = self.arrived
        daemon.target.on_run = self.runs

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self):
        while self.tasks:
            await asyncio.gather(*self.tasks)

    def arrived(self, target, path, number):
        if path in self.paths:
            self.arrivals[path].append((time.monotonic(), number, target))

    def runs(self, target, path):
        """Returns whether the request ends the target, which then never answers it."""
        if path not in self.paths or target in self.survivors:
            return False
        self.runs_of[path] += 1
        if self.runs_of[path] % self.every != 0:
            return False
        self.spawn(self.end_after_run(target, path))
        return True

    async def end_after_run(self, target, path):
        life = target.born
        await asyncio.sleep(self.run_s)
        async with target.lock:
            if target.born != life:
                return
            self.ends[path].append(time.monotonic())
            daemon = next(d for d in self.site.daemons if d.target is target)
            await self.end(daemon)

    async def reset(self, daemon):
        daemon.target.crash()
        await asyncio.sleep(BACK_S)
        await daemon.target.start(daemon.target.announce)

    async def send_again_and_again(self, path, body, idempotent, choice, is_over, chunked=False, rate=RATE,
                                   is_paused=lambda: False):
        """Sends a content as a new attempt each time, at random daemons."""
        await asyncio.sleep(choice.uniform(0, 1 / rate))
        while not is_over():
            daemon = choice.choice(self.site.daemons)
            if not is_paused():
                self.spawn(self.send(daemon, path, body, idempotent, chunked))
            await asyncio.sleep(1 / rate)

    async def send(self, daemon, path, body, idempotent, chunked):
        site = self.site
        site.number += 1
        number = f"p{site.number:x}"
        site.history.begin(number, idempotent, path, body, daemon.name, daemon.run, DEADLINE_S)
        fields = {"Host": "a.example", "X-Jackdawladder-Attempt-Id": number,
                  "X-Jackdawladder-Deadline-Ms": int(DEADLINE_S * 1000)}
        if site.customers is not None:
            fields["Authorization"] = f"Bearer {site.customers.permanent('c0')}"
        first = f"{'POST' if body else 'GET'} {path} HTTP/1.1"
        message = encode_chunked(first, fields, body) if chunked else encode(first, fields, body)
        status, answer_fields, answer_body = 0, {}, b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(daemon.host, daemon.ports["entry"]), 1)
            writer.write(message)
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_S + 2)
            status, answer_fields, answer_body = answer.status, answer.fields, answer.body
            await close(writer)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        site.history.end(number, status, answer_fields, answer_body)
        self.answers[status] += 1

    def late_arrivals(self, path):
        """Returns the arrivals later than CONTACT_S after the third end, as (time, number, target)."""
        ends = self.ends[path]
        if len(ends) < 3:
            return []
        return [arrival for arrival in self.arrivals[path]
                if arrival[0] > ends[2] + CONTACT_S and arrival[2] not in self.survivors]
