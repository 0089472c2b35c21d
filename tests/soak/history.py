"""What callers and targets saw, and the promises that it must keep."""

import time
from collections import defaultdict

DRAIN_S = 1.0
APPLY_S = 2.0
ANSWER_S = 0.7
RETRY_RATIO = 0.2
RETRY_SLACK = 30
RETRY_WINDOW_S = 10
RECOVERED_SHARE = 0.9


class History:
    def __init__(self):
        self.runs = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.answers = defaultdict(dict)
        self.acks = {}
        self.sent = {}
        self.versions = []
        self.freezes = defaultdict(list)
        self.broken = []
        self.counts = defaultdict(int)

    def fail(self, rule, text):
        if len(self.broken) < 20:
            self.broken.append(f"{rule}: {text}")

    def acknowledged(self, target):
        self.acks[target] = time.monotonic()

    def arrived(self, number, service):
        self.arrivals[service].append((time.monotonic(), number))

    def ran(self, number, target, service, message):
        now = time.monotonic()
        self.runs[number].append((now, target, service))
        sent = self.sent.get(number)
        if sent is None:
            self.fail("unasked", f"{number} runs, and no client sent it")
            return
        if not sent["repeatable"] and len(self.runs[number]) > 1:
            self.fail("twice", f"{number} runs at {self.runs[number]}")
        if sent["body"] != message.body or message.first.split(" ")[1] != sent["target"]:
            self.fail("unasked", f"{number} runs with another body or target")
        if target in self.acks and now > self.acks[target] + DRAIN_S:
            self.fail("drain", f"{number} reaches {target} {now - self.acks[target]:.1f} s after its leaving")
        if sent.get("told_not_run"):
            self.fail("refused", f"{number} runs after it was told not run")

    def answered(self, number, proof, body):
        self.answers[number][proof] = body

    def freeze(self, entry):
        """The process stands still from now on; the caller notes the end."""
        span = [time.monotonic(), float("inf")]
        self.freezes[entry].append(span)
        return span

    def was_frozen(self, sent):
        """A process that stood still cannot answer in time."""
        return any(b < sent["ended"] and e > sent["at"] for b, e in self.freezes[sent["entry"]])

    def begin(self, number, repeatable, target, body, entry, life, deadline):
        self.sent[number] = {
            "repeatable": repeatable,
            "target": target,
            "body": body,
            "at": time.monotonic(),
            "entry": entry,
            "life": life,
            "deadline": deadline,
        }

    def end(self, number, status, fields, body):
        """A client got an answer, or status 0 for a broken connection."""
        sent = self.sent[number]
        sent["status"] = status
        sent["ended"] = time.monotonic()
        self.counts[status] += 1
        took = sent["ended"] - sent["at"]
        if status and took > sent["deadline"] + ANSWER_S and not self.was_frozen(sent):
            self.fail("late", f"{number} at {sent['entry']} is answered {status} after {took:.1f} s")
        if status == 200:
            self.check_success(number, fields, body)
        if status in (429, 503):
            sent["told_not_run"] = True
            if not sent["repeatable"] and self.runs[number]:
                self.fail("refused", f"{number} was told not run, and ran at {self.runs[number]}")

    def check_success(self, number, fields, body):
        proof = fields.get("x-jackdawladder-server-seal")
        if self.answers[number].get(proof) != body:
            self.fail("mixed", f"{number} gets an answer that no target gave to it")
        if fields.get("x-jackdawladder-attempt-id") != number:
            self.fail("mixed", f"{number} gets the answer to another request")

    def configured(self, version, service, calm):
        """The operator's change was acknowledged; `calm`: the store is well."""
        self.versions.append((time.monotonic(), version, service, calm))

    def check_configuration(self):
        """The moving route: bound after an acknowledgement, and never back."""
        newest = defaultdict(int)
        for number, sent in sorted(self.sent.items(), key=lambda item: item[1]["at"]):
            if not sent["target"].startswith("/moving/") or sent.get("status") != 200:
                continue
            if not self.runs[number]:
                # An answer that no target gave is reported as such.
                continue
            service = self.runs[number][-1][2]
            possible = [i for i, v in enumerate(self.versions) if v[2] == service and v[0] <= sent["ended"]]
            if not possible:
                self.fail("route", f"{number} ran at {service}, where no version sent it")
                continue
            floor = newest[sent["entry"], sent["life"]]
            if possible[-1] < floor:
                self.fail("order", f"{number} at {sent['entry']} is back before version {floor}")
            due = [i for i, v in enumerate(self.versions) if v[3] and v[0] + APPLY_S < sent["at"]]
            if due and possible[-1] < due[-1]:
                self.fail("apply", f"{number} at {sent['entry']} does not know version {due[-1]}")
            if len(possible) == 1:
                newest[sent["entry"], sent["life"]] = max(floor, possible[0])

    def check_budget(self):
        for service, arrivals in self.arrivals.items():
            times = defaultdict(list)
            for at, number in arrivals:
                times[number].append(at)
            repeats = sorted(t for list_ in times.values() for t in list_[1:])
            firsts = sorted(list_[0] for list_ in times.values())
            for start in repeats:
                spent = sum(start <= t < start + RETRY_WINDOW_S for t in repeats)
                asked = sum(start - RETRY_WINDOW_S <= t < start + RETRY_WINDOW_S for t in firsts)
                if spent > RETRY_RATIO * asked + RETRY_SLACK:
                    self.fail("budget", f"{service}: {spent} repeats, {asked} requests")
                    break

    def check_recovery(self, since):
        tried = [s for s in self.sent.values() if s["at"] >= since and "status" in s]
        good = sum(s["status"] == 200 for s in tried)
        if not tried or good < RECOVERED_SHARE * len(tried):
            self.fail("recovery", f"{good} of {len(tried)} served after the faults")

    def finish(self, calm_since):
        self.check_configuration()
        self.check_budget()
        self.check_recovery(calm_since)
        return self.broken
