"""A valid config with a split of nine services is refused as a whole; the one before stays in force."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))
from stand import *  # noqa: E402, F403

APPLY_S = 2.0
PARTS = 9 if TROUBLE else 8


async def play(log):
    site = Site(log)
    services = ["old"] + [f"part{number}" for number in range(9)]
    machines = [site.add("z1", service, slots=40) for service in services]
    entries = machines[:3]
    sending = []

    def version(number, moved_to, split):
        """The route moved has one service, the route shared one service or a split."""
        document = config(number, [{"name": "moved", "prefix": "/moved/", "service": moved_to},
                                   {"name": "shared", "prefix": "/shared/", "service": "old"}], services)
        document["routes"]["columns"].append("split")
        for row in document["routes"]["rows"]:
            row.append(split if row[0] == "shared" else None)
            if row[-1]:
                row[8] = None
        return document

    async def send(seconds):
        until = now() + seconds
        while now() < until:
            for path in ("/moved/1", "/shared/1"):
                sending.append((now(), path, asyncio.create_task(site.request(random.choice(entries), path))))
            await asyncio.sleep(0.05)

    try:
        await site.start(version(3, "old", None))
        await send(2)
        site.store.put_config(version(7, "part0", [{"service": f"part{number}", "weight": 10} for number in range(PARTS)]))
        acked_at = now()
        log(f"the store has acknowledged version 7: moved goes to part0, shared to {PARTS} services in equal parts")
        await send(12)
        judged = {}
        for at, path, task in sending:
            number, status = await task
            if at > acked_at + APPLY_S:
                judged[number] = (at - acked_at, path, status)
        old = [number for _, number, _, _ in machines[0].server.runs if number in judged]
        for number in old:
            log(f"wrong: {number} {judged[number][1]}, sent {judged[number][0]:.2f} s after the acknowledgement, "
                f"has run at old, to which only version 3 sends it")
        print(f"{len(old)} of {len(judged)} requests sent later than configApplyS after the ack ran by version 3 only")
        return BROKEN if old else HELD
    finally:
        await site.stop()


main(FOLDER, play)
