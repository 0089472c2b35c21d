"""Tests of what faulty targets and writers of odd entries send in the soak test."""

import asyncio
import base64
import random
import sys

from faulty import REFUSAL, RefusalRepeater, cut_short
from odd import FORMS, make_heartbeat, make_row
from wire import read_message

ROUNDS = 300
FIELDS = {"X-Jackdawladder-Attempt-Id": "a1"}


class Writer:
    """A connection that keeps what is written on it."""

    def __init__(self):
        self.packets = []

    def write(self, data):
        self.packets.append(data)

    def is_closing(self):
        return False


async def is_complete(data):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    try:
        await read_message(reader)
    except (EOFError, asyncio.IncompleteReadError):
        return False
    return True


async def cut_responses_end_early():
    choice = random.Random(1)
    cut = [cut_short(choice, "HTTP/1.1 200 X", FIELDS, b"body") for _ in range(ROUNDS)]
    within_head = sum(b"\r\n\r\n" not in data for data in cut)
    return not any([await is_complete(data) for data in cut]) and 0 < within_head < ROUNDS


async def trailers_are_read_to_their_end():
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n"
    return await is_complete(head + b"\r\n") and not await is_complete(head)


async def refusals_are_written_twice():
    """Plays two connections in turn; each carries a refusal, the repeat and a response."""
    repeater = RefusalRepeater(1)
    repeater.ratio = 1.0
    seen = {"same": 0, "nameless": 0, "foreign": 0, "idle": 0, "split": 0}
    for number in range(ROUNDS):
        writer = Writer()
        if not repeater.refuse(writer, {"X-Jackdawladder-Attempt-Id": f"a{number}"}):
            return False
        await asyncio.sleep(0.021 if number % 10 == 0 else 0)
        seen["idle"] += len(writer.packets) > 1
        if repeater.refuse(writer, FIELDS):
            return False
        await repeater.write(writer, ["idle", "arrival"])
        await repeater.write(writer, ["response"])
        text = b"".join(writer.packets).decode()
        if text.count(REFUSAL) != 2:
            return False
        again = text[len(text) - text[::-1].index(REFUSAL[::-1]) - len(REFUSAL):]
        names = "nameless" if "Attempt-Id" not in again else "same" if f": a{number}\r" in again else "foreign"
        seen[names] += 1
        seen["split"] += len(writer.packets) > 2
    return all(seen.values())


async def odd_rows_are_rows():
    choice = random.Random(1)
    rows = [make_row(choice, ["d1", "d2"], ["127.0.0.1:1"]) for _ in range(ROUNDS)]
    for _, _, value, _, _ in rows:
        base64.b64decode(value, validate=True)
    return {row[0] for row in rows} == set(FORMS) and all(len(key) <= 200 for _, key, _, _, _ in rows)


async def strange_heartbeats_name_another_service_or_address():
    choice = random.Random(1)
    own = {"service": "front", "address": "127.0.0.1:80", "state": "ready", "sequence": 1, "born": 1}
    made = [make_heartbeat(choice, own, ["front", "deep"])[2] for _ in range(ROUNDS)]
    named = {(document["service"], document["address"] == own["address"]) for document in made}
    return named == {("deep", True), ("deep", False), ("stranger", True), ("stranger", False), ("front", False)}


TESTS = [cut_responses_end_early, trailers_are_read_to_their_end, refusals_are_written_twice, odd_rows_are_rows,
         strange_heartbeats_name_another_service_or_address]


def main():
    passed = True
    for test in TESTS:
        is_ok = asyncio.run(test())
        print(f"{'ok' if is_ok else 'not ok'} {test.__name__.replace('_', '-')}")
        passed = passed and is_ok
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
