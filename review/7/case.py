"""A server whose leave was acknowledged gets requests again: nobody remembers the leave."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))
from stand import *  # noqa: E402, F403

DRAIN_S = 2.0
CONTACT_S = 3.0
# Requests a second at each machine, and the time that one takes.
RATE, WORK_S = 20.0, 0.2
DOWN_S = 4.5
RESTART_S = 0.4
# Time for which the server yet serves when the clients go on.
SERVES_YET_S = 0.15
# Delay of the last ping that the server has sent before it left.
LATE_S = 2.5


async def play(log):
    """Plays twice: one process is killed, in a zone of its own; all processes are killed, in two equal zones."""
    one = await play_once(log, "z2", 1)
    all_of_them = await play_once(log, "z1", 4)
    return max(one, all_of_them)


async def play_once(log, second_zone, killed):
    """second_zone: zone of the second machine; killed: number of machines whose daemons are killed."""
    site = Site(log, zones=("z1", "z2"))
    leaving = site.add("z1", "bookings", slots=40, work_s=WORK_S)
    site.add(second_zone, "listings", slots=40, work_s=WORK_S)
    site.add("z2", "bookings", slots=40, work_s=WORK_S)
    site.add("z2", "listings", slots=40, work_s=WORK_S)
    log(f"play with {killed} killed")
    routes = [{"name": "book", "prefix": "/book/", "kind": "non_idempotent", "service": "bookings"}]
    sent = {}
    sending = []

    async def send_all():
        while True:
            for machine in site.machines:
                at = now()
                task = asyncio.create_task(site.request(machine, "/book/1", "POST", body=b"seat"))
                sending.append((at, task))
                await asyncio.sleep(1 / RATE / len(site.machines))

    async def restart(machine):
        machine.signal(signal.SIGKILL)
        await machine.process.wait()
        await asyncio.sleep(RESTART_S)
        await machine.start()

    try:
        await site.start(config(1, routes, ["bookings", "listings"]))
        clients = asyncio.create_task(send_all())
        await asyncio.sleep(2)
        clients.cancel()
        log("the clients are quiet")
        server = leaving.server
        if TROUBLE:
            site.store.set_down(True)
            log("the store is down")
        down_at = now()
        await asyncio.sleep(0.3)
        server.pinging.cancel()
        late = server.next_ping()
        late_at = now() + LATE_S
        log(f"{server.id} sends a ping that will arrive {LATE_S} s late, and then that it leaves")
        status = await server.tell("DELETE", {})
        acked_at = now()
        server.leaving = True
        log(f"the leave of {server.id} is answered with {status}")
        if status != 200:
            return NOT_RUN
        await asyncio.sleep(0.3)
        restarting = []
        if TROUBLE:
            log(f"daemons of {killed} machines are killed")
            restarting = [asyncio.create_task(restart(machine)) for machine in site.machines[:killed]]
        await asyncio.sleep(late_at - now())
        log(f"the late ping arrives: {await server.tell('PUT', late)}")
        await asyncio.sleep(down_at + DOWN_S - now())
        site.store.set_down(False)
        log("the store is back")
        in_touch_at = now() + CONTACT_S
        await asyncio.sleep(in_touch_at + 0.5 - now())
        log("the clients go on")
        clients = asyncio.create_task(send_all())
        await asyncio.sleep(SERVES_YET_S)
        log(f"{server.id} ends, {now() - acked_at:.2f} s after the acknowledgement")
        server.end()
        await asyncio.sleep(1.5)
        clients.cancel()
        await asyncio.gather(*restarting)
        sent = {number: at for at, task in sending for number, _ in [await task]}
        served = sum(1 for _, task in sending if task.result()[1] == 200)
        status_of = dict(task.result() for _, task in sending)
        late_runs = [(sent[number] - acked_at, at - acked_at, number) for at, number, _, _ in server.runs
                     if sent[number] > acked_at + DRAIN_S]
        # Only machines in touch are judged: for contactS the processes ran and the store was stable.
        wrong = [run for run in late_runs if run[0] > in_touch_at - acked_at]
        lost = sum(1 for _, _, number in wrong if status_of[number] != 200)
        for since, ran, number in wrong:
            log(f"wrong: {number}, sent {since:.2f} s after the acknowledgement, runs at {server.id} after {ran:.2f} s, "
                f"client gets {status_of[number]}")
        log(f"{len(late_runs)} requests sent later than drainS after the acknowledgement reached {server.id}, "
            f"{len(wrong)} of them sent when all machines were in touch")
        print(f"{killed} killed: {served} of {len(sent)} served; {len(late_runs)} late requests reached the server that has left, "
              f"{len(wrong)} of them from machines in touch, {lost} of these lost"
              + (f", from {wrong[0][0]:.2f} to {wrong[-1][0]:.2f} s after the acknowledgement" if wrong else ""))
        return BROKEN if wrong else HELD
    finally:
        await site.stop()


main(FOLDER, play)
