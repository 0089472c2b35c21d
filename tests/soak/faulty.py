"""Faulty targets: refusals that are written once more, and responses that are cut short."""

import asyncio
import random

from wire import encode

# When a refusal is written once more: while the connection is idle, when the next
# request arrives, or in front of the response to it.
TIMES = ["idle", "arrival", "response"]
# Which refusal that is: the same bytes, without an identifier, or the last one of
# another connection.
CONTENTS = ["same", "nameless", "foreign"]
SPLIT_RATIO = 0.3
# Pause between two packets, and the longest pause before a repeat on an idle connection.
PACKETS_S = 0.005
IDLE_S = 0.02
REFUSAL = "HTTP/1.1 503 Full"
NOT_EXECUTED = {"X-Jackdawladder-Not-Executed": "1"}


class RefusalRepeater:
    """Refuses some requests, and writes each refusal once more on the kept connection.

    The next request on that connection runs. ratio: ratio of the requests that are refused.
    """

    def __init__(self, seed):
        self.random = random.Random(f"{seed}-refusals")
        self.ratio = 0.0
        # For each connection, the time and the packets of what is to be written on it.
        self.due = {}
        # The last refusal of each connection, by age.
        self.last = {}

    def choose_packets(self, writer, refusal):
        content = self.random.choice(CONTENTS)
        others = [past for other, past in self.last.items() if other is not writer]
        if content == "nameless":
            refusal = encode(REFUSAL, NOT_EXECUTED)
        elif content == "foreign" and others:
            refusal = others[-1]
        cut = self.random.randrange(1, len(refusal)) if self.random.random() < SPLIT_RATIO else 0
        return [packet for packet in (refusal[:cut], refusal[cut:]) if packet]

    def refuse(self, writer, echo):
        """Refuses a request if it chooses to; returns whether it did."""
        if not self.ratio or writer in self.due or self.random.random() >= self.ratio:
            return False
        refusal = encode(REFUSAL, {**echo, **NOT_EXECUTED})
        writer.write(refusal)
        packets = self.choose_packets(writer, refusal)
        self.last[writer] = refusal
        when = self.random.choice(TIMES)
        self.due[writer] = (when, packets)
        if when == "idle":
            pause = self.random.uniform(0, IDLE_S)
            asyncio.get_running_loop().call_later(pause, self.write_idle, writer, packets)
        return True

    def write_idle(self, writer, packets):
        """Writes the first packet; the second one comes with the next request."""
        if self.due.get(writer) != ("idle", packets) or writer.is_closing():
            return
        writer.write(packets[0])
        self.due[writer] = ("arrival", packets[1:])

    async def write(self, writer, times):
        """Writes what is due at one of these times."""
        when, packets = self.due.get(writer, ("", []))
        if when not in times:
            return
        del self.due[writer]
        for number, packet in enumerate(packets):
            if number:
                await asyncio.sleep(PACKETS_S)
            writer.write(packet)

    def forget(self, writer):
        self.due.pop(writer, None)
        self.last.pop(writer, None)


def cut_short(choice, first, fields, body):
    """Returns a part of a response that ends within its head, or after its last chunk."""
    if choice.random() < 0.5:
        message = encode(first, fields)
        return message[:choice.randrange(1, len(message))]
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()] + ["Transfer-Encoding: chunked"]
    chunk = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + b"%x\r\n%s\r\n" % (len(body), body)
    trailers = b"0\r\nX-Checked: yes\r\nX-Sum: 1\r\n\r\n"
    return chunk + trailers[:choice.randrange(len(trailers))]
