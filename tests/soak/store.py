"""Simulated platform store with rows, transactions and a change feed."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

from endless import KINDS, send_without_end
from wire import encode, read_message, reset


# Time for which copies are kept.
COPIES_KEPT_S = 20.0


class Store:
    """Store whose `mode` selects a fault.

    calm: no fault; busy: status 503; silent: no response; lost: requests take
    effect, but the connection is reset; slow: responses take 0.7 s longer; away:
    connections are reset; endless: responses have no end.

    The store keeps copies of its rows and can come back from one of them.
    """

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.compacted_version = 0
        self.mode = "calm"
        self.era = 1
        # Copies after each change, as (time, rows, version).
        self.copies = []
        self.writers = set()
        self.changed = asyncio.Event()

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        return (host, server.sockets[0].getsockname()[1])

    def put(self, table, key, value, part="", **more):
        """Writes a row; `more` are fields that no row should have."""
        self.version += 1
        row = {"table": table, "part": part, "key": key, "value": value, "ver": self.version, **more}
        self.rows[table, part, key] = row
        self.history.append(row)
        now = time.monotonic()
        self.copies = [copy for copy in self.copies if copy[0] > now - COPIES_KEPT_S]
        self.copies.append((now, dict(self.rows), self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def compact(self):
        self.history = []
        self.compacted_version = self.version

    def restore(self, at):
        """Goes back to the last copy before a time; the operator writes its rows again."""
        _, rows, version = max((copy for copy in self.copies if copy[0] <= at),
                               default=(0, {}, 0), key=lambda copy: copy[0])
        written = [row for (table, part, _), row in self.rows.items() if (table, part) == ("op", "")]
        self.rows, self.version = dict(rows), version
        self.compact()
        self.era += 1
        for row in written:
            self.put(row["table"], row["key"], row["value"])

    def reset_connections(self):
        for writer in list(self.writers):
            reset(writer)

    def run_transaction(self, body):
        for row in body["expectedRevision"]:
            present = self.rows.get((row["table"], "", row["key"]))
            if (present["ver"] if present else 0) != row["ver"]:
                return 412, {"rows": [present] if present else []}
        for row in body["puts"]:
            self.put(row["table"], row["key"], row["value"])
        return 200, {}

    def get(self, query):
        rows = [row for (table, part, _), row in sorted(self.rows.items())
                if table == query["table"] and part == query.get("part", "")]
        return 200, {"rows": rows, "morePages": False}

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted_version or after > self.version:
                return 410, {}
            rows = [r for r in self.history if r["ver"] > after and r["table"] == query["table"]]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    async def respond(self, message):
        method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if method == "POST":
            return self.run_transaction(json.loads(message.body))
        if parts.path == "/api/rows-feed":
            return await self.feed(query)
        return self.get(query)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if self.mode == "away":
                    reset(writer)
                    return
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "slow":
                    await asyncio.sleep(0.7)
                if self.mode == "endless":
                    await send_without_end(writer, random.choice(KINDS), False,
                                           "HTTP/1.1 200 X", {"Store-Era": self.era})
                    return
                if self.mode == "busy":
                    writer.write(encode("HTTP/1.1 503 Busy", {"Store-Era": self.era}))
                    continue
                status, document = await self.respond(message)
                if self.mode == "lost":
                    reset(writer)
                    return
                document.update(ver=self.version, nowS=time.monotonic())
                fields = {"Store-Era": self.era}
                writer.write(encode(f"HTTP/1.1 {status} X", fields, json.dumps(document).encode()))
        except (EOFError, OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)
