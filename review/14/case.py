"""One machine of a zone is lost for good: are the zone's tenants still served within their usage caps?"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
import kit  # noqa: E402

FEATURES = ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure", "tenants", "quota",
            "platform")
# Of each tenant: its key, its cap, and the requests a second that it sends.
TENANTS = {"uni-a": ("rcpihhacruddedev3nax", 60, 25), "uni-b": ("7u27gxprymh2rrytapjs", 60, 25)}
# Time from the loss to the requests that are judged, and for how long they are.
CALM_S = 20
JUDGED_S = 30


def site(folder):
    site = kit.Site(folder, ["lima-a", "lima-b"], FEATURES)
    for zone in site.zones:
        for i in range(2):
            site.add(f"portal-{zone}-{i + 1}", zone, "report-portal", slots=68, work_s=0.02, heartbeat_s=1.5)
    return site


async def send(site, name, daemon, results, until):
    """A tenant's clients at one machine send well below the tenant's cap, and don't come back."""
    key, _, per_s = TENANTS[name]
    sending = []
    while time.monotonic() < until:
        sending.append(asyncio.create_task(
            site.request(daemon, "GET", "/report/1", b"", 3000, {"Authorization": f"Bearer {key}"})))
        await asyncio.sleep(1 / per_s)
    results[name] = [(began, status) for status, began, _ in await asyncio.gather(*sending)]


async def play(site):
    await site.start(kit.config([("report", "idempotent", "report-portal", 5, False),
                                 ("open", "idempotent", "report-portal", 5, True)], ["report-portal"],
                                tenants=[[name, [key], 1, cap, cap] for name, (key, cap, _) in TENANTS.items()]))
    for daemon in site.daemons:
        await site.warm_up(lambda: site.request(daemon, "GET", "/open/1"))
    await asyncio.sleep(3)
    stays, lost, other, _ = site.daemons
    results = {}
    until = time.monotonic() + 5 + CALM_S + JUDGED_S
    sending = [asyncio.create_task(send(site, name, daemon, results, until))
               for name, daemon in (("uni-a", stays), ("uni-b", other))]
    await asyncio.sleep(5)
    if kit.trouble():
        lost.signal(signal.SIGKILL)
        lost.server.end()
        site.record.say(f"the machine {lost.name} is lost for good")
    lost_at = time.monotonic()
    await asyncio.gather(*sending)
    served, all_sent, all_served = {}, 0, 0
    for name, answers in results.items():
        judged = [status for began, status in answers if began > lost_at + CALM_S]
        served[name] = judged.count(200) / len(judged)
        all_sent, all_served = all_sent + len(judged), all_served + judged.count(200)
        kinds = {status: judged.count(status) for status in sorted(set(judged))}
        site.record.say(f"{name}, from {CALM_S} s after that: {len(judged)} sent, answers {kinds}")
    return all(share >= all_served / all_sent / 4 for share in served.values())


if __name__ == "__main__":
    kit.play(sys.modules[__name__], FOLDER)
