"""Is a leave that was acknowledged while the store was down still known after all daemons were killed?"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
import kit  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
DOWN_S = 4.5
# Time for which the server goes on after its leave was acknowledged.
SERVES_S = 14.0


def site(folder):
    site = kit.Site(folder, ["derby-hall", "lichfield-hall"])
    site.old = site.add("listings-1", "derby-hall", "listings", heartbeat_s=1.5, work_s=0.1)
    for i, zone in enumerate(["derby-hall", "lichfield-hall", "lichfield-hall"]):
        site.add(f"listings-{i + 2}", zone, "listings", heartbeat_s=1.5, work_s=0.1)
    return site


async def kill_all(site):
    for daemon in site.daemons:
        daemon.signal(signal.SIGKILL)
    await asyncio.gather(*[daemon.restart() for daemon in site.daemons])


async def play(site):
    server = site.old.server

    def read(daemon):
        return site.request(daemon, "GET", "/listing/1", b"", 5000)

    await site.start(kit.config([("listing", "idempotent", "listings", 5, False)], ["listings"]))
    for daemon in site.daemons:
        await site.warm_up(lambda: read(daemon))
    # Two pings that the server sends before it leaves arrive seconds late.
    server.beating.cancel()
    late = [server.document("ready")]
    await asyncio.sleep(0.8)
    if kit.trouble():
        site.store.set_down(True)
    down_at = time.monotonic()
    await asyncio.sleep(server.heartbeat_s - 0.8)
    late.append(server.document("ready"))
    await asyncio.sleep(0.1)
    status = 0
    server.leaves = True
    while status != 200:
        status = await server.tell("DELETE", None)
    acknowledged = time.monotonic()
    site.record.say(f"the leave of {server.id} is acknowledged")
    await asyncio.sleep(0.3)
    if kit.trouble():
        await kill_all(site)
    back_at = time.monotonic()
    await asyncio.sleep(1.0)
    for document in late:
        site.record.say(f"late ping of {server.id}, sequence {document['sequence']}: "
                        f"{await server.tell('PUT', document)}")
        await asyncio.sleep(server.heartbeat_s)
    await asyncio.sleep(max(0, down_at + DOWN_S - time.monotonic()))
    if kit.trouble():
        site.store.set_down(False)
    stable_at = time.monotonic()
    # All machines are in touch from here on. Clients were quiet since the kill.
    judged_from = max(stable_at, back_at) + CONTACT_S + 0.1
    await asyncio.sleep(judged_from - time.monotonic())
    while time.monotonic() < acknowledged + SERVES_S:
        await asyncio.gather(*[read(daemon) for daemon in site.daemons for _ in range(4)])
        await asyncio.sleep(0.2)
    broken = [run for run in site.runs if run[1] is server and run[0] > acknowledged + DRAIN_S
              and run[0] > judged_from]
    site.record.say(f"requests that reach {server.id} later than {DRAIN_S} s after the ack, from daemons in touch: "
                    f"{len(broken)}")
    return not broken


if __name__ == "__main__":
    kit.play(sys.modules[__name__], FOLDER)
