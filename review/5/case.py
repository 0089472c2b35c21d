"""A change of the config that splits a route over several services and moves another route."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))

from fleet import Fleet, encode, fields_for, new_number, play, read_message  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S = 2
SERVICES = [f"manifest-{letter}" for letter in "abcdefghi"]
PARTS = SERVICES if TROUBLE else SERVICES[:8]


class Site(Fleet):
    pass


def routes(split):
    """The routes of both versions; the second one splits one route and moves another."""
    parts = [{"service": name, "weight": 100 // len(PARTS)} for name in PARTS]
    return [["manifest-check", "a.example", "/manifest/", "idempotent", 6, 1.5, 2, parts if split else None, 2,
             None if split else SERVICES[0]],
            ["licence-activate", "a.example", "/licence/", "non_idempotent", 6, 1.5, 0, None, 2,
             "manifest-b" if split else "manifest-a"]]


async def send(fleet, daemon):
    number = new_number()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*daemon.entry), 1)
        writer.write(encode("POST /licence/seat HTTP/1.1", fields_for(number, 6), b"seat=1"))
        status = (await asyncio.wait_for(read_message(reader), 7)).status
        writer.close()
    except (OSError, EOFError, asyncio.TimeoutError):
        status = 0
    fleet.record.write(f"{number}: sent to {daemon.name}, answered {status or 'nothing'}")
    return number


async def case():
    places = [("cluj-a" if i % 2 else "cluj-b", name) for i, name in enumerate(SERVICES)]
    async with Site(HERE, places, routes(False), SERVICES) as fleet:
        if not await fleet.until_ready():
            print("the daemons did not become ready")
            return 2
        await asyncio.sleep(4)
        by_id = {daemon.server.id: daemon.service for daemon in fleet.daemons}
        before = [await send(fleet, daemon) for daemon in fleet.daemons]
        if any(by_id[server] != "manifest-a" for number in before for _, server in fleet.runs.get(number, [])):
            return 2
        fleet.routes = routes(True)
        fleet.configure()
        acked = time.monotonic()
        fleet.record.write(f"the store has acknowledged version {fleet.version:08x}")
        await asyncio.sleep(CONFIG_APPLY_S + 3)
        old = 0
        for _ in range(10):
            for daemon in fleet.daemons:
                number = await send(fleet, daemon)
                ran = [by_id[server] for _, server in fleet.runs.get(number, [])]
                if "manifest-a" in ran:
                    old += 1
                    fleet.record.write(f"{number}: run by the old service, {time.monotonic() - acked:.1f} s after the ack")
            await asyncio.sleep(0.5)
        text = f"{10 * len(fleet.daemons)} requests sent later than {CONFIG_APPLY_S} s after the ack; {old} run by the old service"
        fleet.record.write(text)
        print(text)
        return 1 if old else 0


play(case())
