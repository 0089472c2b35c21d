"""Two servers of a zone drain, and the third machine is cut off: who issues the zone's usage caps?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
import cut  # noqa: E402
import kit  # noqa: E402

RATE = BURST = 30
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20
CUT_S = 5.5
# Time for which the draining servers go on.
DRAINS_S = 10.0
# Requests a second that the tenant sends on the machine that is cut off, and on each other one.
PRESS_CUT, PRESS = 24, 12
FEATURES = ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure", "tenants", "quota",
            "platform")
KEY = "rcpihhacruddedev3nax"


def site(folder):
    site = kit.Site(folder, ["lima-a", "lima-b"], FEATURES)
    for zone in ("lima-a", "lima-b"):
        for i in range(3):
            site.add(f"portal-{zone}-{i + 1}", zone, "report-portal", slots=68, work_s=0.02, heartbeat_s=1.5)
    return site


def most_in_window(times):
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


async def press(site, daemon, per_s, until):
    fields = {"Authorization": f"Bearer {KEY}"}
    while time.monotonic() < until:
        asyncio.create_task(site.request(daemon, "GET", "/report/1", b"", 3000, fields))
        await asyncio.sleep(1 / per_s)


async def drain(server):
    server.beating.cancel()
    server.leaves = True
    while await server.tell("PUT", server.document("draining")) != 200:
        await asyncio.sleep(0.1)
    server.record.say(f"the draining of {server.id} beside {server.daemon.name} is acknowledged")


async def keep_draining(server, until):
    while time.monotonic() < until:
        await asyncio.sleep(server.heartbeat_s)
        await server.tell("PUT", server.document("draining"))


async def play(site):
    network = cut.Network(site)
    await network.start()
    await site.start(kit.config([("report", "idempotent", "report-portal", 5, False),
                                 ("open", "idempotent", "report-portal", 5, True)],
                                ["report-portal"], tenants=[["pulo780", [KEY], 1, RATE, BURST]]))
    for daemon in site.daemons:
        await site.warm_up(lambda: site.request(daemon, "GET", "/open/1"))
    await asyncio.sleep(4)
    began = time.monotonic()
    until = began + 4 + DRAINS_S
    first, second, third = site.daemons[:3]
    pressing = [asyncio.create_task(press(site, daemon, PRESS_CUT if daemon is third else PRESS, until))
                for daemon in site.daemons]
    await asyncio.sleep(4)
    await asyncio.gather(drain(first.server), drain(second.server))
    draining = [asyncio.create_task(keep_draining(daemon.server, until)) for daemon in (first, second)]
    await asyncio.sleep(0.5)
    if kit.trouble():
        network.cut_off(third)
    await asyncio.sleep(CUT_S)
    if kit.trouble():
        network.heal(third)
    await asyncio.gather(*pressing, *draining)
    await asyncio.sleep(1)
    times = [run[0] for run in site.runs if run[4].get("x-jackdawladder-tenant") == "pulo780"]
    most = most_in_window(times)
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
    site.record.say(f"most requests of the tenant that run in {WINDOW_S} s: {most}; allowed: {allowed:.0f}")
    return most <= allowed


if __name__ == "__main__":
    kit.play(sys.modules[__name__], FOLDER)
