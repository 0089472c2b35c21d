"""Clients give uploads up that wait for a server: do these reach the server later?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))
import kit  # noqa: E402

SIZE = 200 << 10
# Uploads that come together, how many such waves, and the time between them.
WAVE, WAVES, WAVE_S = 24, 8, 4.0
# Share of the clients that leave, as give_up in the site file's days, and the time after which they do.
SHARE, LEAVE_S = 0.3, 0.4
# Time after that by which requests reach servers no more.
GONE_S = 0.5
FEW = 5


def site(folder):
    site = kit.Site(folder, ["derby-hall"])
    site.front = site.add("listings-1", "derby-hall", "listings", slots=121)
    site.media = site.add("media-1", "derby-hall", "venue-media", slots=8, work_s=0.5)
    return site


async def play(site):
    body = bytes(SIZE)
    left = {}

    async def upload(leaves):
        status, began, number = await site.request(site.front, "POST", "/upload/plan", body, 2500,
                                                   wait_s=LEAVE_S if leaves else None)
        if leaves and status == 0:
            left[number] = time.monotonic()
        return status, began, number

    await site.start(kit.config([("upload", "upload", "venue-media", 2.5, False)], ["listings", "venue-media"]))
    await site.warm_up(lambda: upload(False))
    for _ in range(WAVES):
        leaving = [kit.trouble() and int((i + 1) * SHARE) > int(i * SHARE) for i in range(WAVE)]
        await asyncio.gather(*[upload(leaves) for leaves in leaving], asyncio.sleep(WAVE_S))
    await asyncio.sleep(3)
    late = [(at - left[number]) for at, _, number, _, _ in site.runs
            if number in left and at > left[number] + GONE_S]
    site.record.say(f"{len(left)} clients have left; {len(late)} of their requests reach the server more than "
                    f"{GONE_S} s later" + (f", {max(late):.2f} s at most" if late else ""))
    return len(late) <= FEW


if __name__ == "__main__":
    kit.play(sys.modules[__name__], FOLDER)
