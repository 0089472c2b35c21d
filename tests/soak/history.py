"""Records what clients and targets observe, and checks it against the guarantees."""

import time
from collections import defaultdict

# Time in which requests may still reach a target after its draining was acknowledged.
DRAIN_S = 1.0
# Time in which an acknowledged configuration must be in force at all daemons.
APPLY_S = 2.0
# Time by which a response may exceed the request's deadline.
LATE_RESPONSE_S = 0.7
# Retry budget of a window: a ratio of the first attempts plus a constant.
RETRY_RATIO = 0.2
RETRY_SLACK = 30
RETRY_WINDOW_S = 10
# Time after a 502 from which on a target's answer shows that the request was given up.
GIVEN_UP_S = 0.02
# Time before the end of a planned stop in which a request may meet the closing of
# its connection.
CLOSING_S = 0.05
# A target may get, in any span of LIMIT_SPAN_S that begins later than LIMIT_AFTER_S after it
# named its limit first, LIMIT_FACTOR times what the limit allows and LIMIT_SLACK more, from
# daemons that passed its answer on LIMIT_TOLD_S before or earlier.
LIMIT_SPAN_S = 4.0
LIMIT_AFTER_S = 3.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
# Time after the begin of a planned stop from which on a request that is taken must be answered,
# and time by which the daemon has ended.
LATE_IN_STOP_S = 2.5
# Grace period of a planned stop, and its first part, of whose requests some may last longer.
GRACE_S = 4.0
TAKEN_IN_STOP_S = 3.0
STOP_MAX_S = 4.5
# Violations of a rule that are kept.
VIOLATIONS_MAX = 20
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Minimum ratio of successful requests after the last fault.
RECOVERED_RATIO = 0.9


class Limits:
    """What answers have said of their targets, and to which run of which daemon's process."""

    def __init__(self):
        self.arrivals = defaultdict(list)
        # For each target, the spans in which it named a limit: begin, end, the highest limit,
        # and whether the span lasts.
        self.spans = defaultdict(list)
        # By target, daemon and its run: when answers that name a limit were passed on, and the
        # first one that says that the target leaves.
        self.told = defaultdict(list)
        self.leaving = {}

    def named(self, target, limit):
        """Records that an answer names a limit, or none."""
        spans = self.spans[target]
        now = time.monotonic()
        lasts = bool(spans) and spans[-1][3]
        if limit is not None and not lasts:
            spans.append([now, now, limit, True])
        elif limit is not None:
            spans[-1][1:3] = now, max(limit, spans[-1][2])
        elif lasts:
            spans[-1][3] = False

    def arrived(self, target, number):
        self.arrivals[target].append((time.monotonic(), number))

    def passed_on(self, sent, fields):
        target = fields.get("x-jackdawladder-server-seal", "").partition(".")[0]
        for prefix in ("", "x-jackdawladder-"):
            if prefix + "server-limit" in fields:
                self.told[target, sent["entry"], sent["run"]].append(sent["ended"])
            if prefix + "server-leaving" in fields:
                self.leaving.setdefault((target, sent["entry"], sent["run"]), sent["ended"])

    def counts(self, target, at, sent, impairments):
        """Returns whether the daemon of a request knew the limit, with no fault there since."""
        since = 0.0
        for begin, end in impairments[sent["entry"]]:
            if begin <= at:
                since = max(since, min(end, at))
        return any(since < told <= at - LIMIT_TOLD_S
                   for told in self.told[target, sent["entry"], sent["run"]])

    def exceeded(self, sent, impairments):
        """Yields a line for each target that got more than its limit allows."""
        for target, (first, last, limit, _) in [(target, span) for target in self.spans for span in self.spans[target]]:
            allowed = LIMIT_FACTOR * limit * LIMIT_SPAN_S + LIMIT_SLACK
            times = [at for at, number in self.arrivals[target]
                     if first + LIMIT_AFTER_S <= at <= last and number in sent
                     and self.counts(target, at, sent[number], impairments)]
            for start in times:
                count = sum(start <= at < start + LIMIT_SPAN_S for at in times)
                if count > allowed:
                    yield f"{target} got {count} requests in {LIMIT_SPAN_S:.0f} s, {allowed:.0f} allowed, limit {limit}"
                    break

    def after_leaving(self, sent, freezes):
        """Yields a line for each request that reached a target after its daemon knew that it leaves."""
        for target, arrivals in self.arrivals.items():
            for at, number in arrivals:
                request = sent.get(number)
                told = request and self.leaving.get((target, request["entry"], request["run"]))
                if not told or request["at"] <= told + DRAIN_S:
                    continue
                if not any(begin <= at and end > told for begin, end in freezes[request["entry"]]):
                    yield f"{number} from {request['entry']} reaches {target} {at - told:.1f} s after it said it leaves"


class History:
    """Observations of one seed; `violations` holds the first 20 of each rule."""

    def __init__(self):
        self.runs = defaultdict(list)
        self.arrivals = defaultdict(list)
        # The service of each daemon's machine, and the time of the last arrival at each target.
        self.services = {}
        self.last_arrivals = {}
        self.limits = Limits()
        self.answers = defaultdict(dict)
        # Time at which a target completed each request last, and the daemon beside it.
        self.completed = {}
        self.drain_acks = {}
        self.sent = {}
        self.versions = []
        self.freezes = defaultdict(list)
        # Times at which each daemon was told to stop.
        self.terms = defaultdict(list)
        # Times at which each daemon ended a planned stop with nothing in progress.
        self.stops = defaultdict(list)
        self.violations = []
        # Of a site with customers, see customers.py.
        self.customers = None
        self.violated = defaultdict(int)
        self.counts = defaultdict(int)

    def fail(self, rule, text):
        self.violated[rule] += 1
        if self.violated[rule] <= VIOLATIONS_MAX:
            self.violations.append(f"{rule}: {text}")

    def draining_acknowledged(self, target):
        self.drain_acks[target] = time.monotonic()

    def arrived(self, number, target, service, host, fields):
        now = time.monotonic()
        self.limits.arrived(target, number)
        self.arrivals[service].append((now, number))
        self.last_arrivals[host] = now
        if self.customers is not None:
            self.customers.arrived(self, number, fields)
        sent = self.sent.get(number)
        caller = fields.get("x-jackdawladder-caller-service")
        if sent is not None and caller != self.services[sent["entry"]]:
            self.fail("unasked", f"{number} from {sent['entry']} arrives in the name of service {caller}")

    def ran(self, number, target, service, message):
        now = time.monotonic()
        self.runs[number].append((now, target, service))
        sent = self.sent.get(number)
        if sent is None:
            self.fail("unasked", f"{number} runs, but no client sent it")
            return
        if not sent["idempotent"] and len(self.runs[number]) > 1:
            self.fail("twice", f"{number} runs at {self.runs[number]}")
        if sent["body"] != message.body or message.first.split(" ")[1] != sent["target"]:
            self.fail("unasked", f"{number} runs with another body or target")
        if target in self.drain_acks and now > self.drain_acks[target] + DRAIN_S:
            since = now - self.drain_acks[target]
            self.fail("drain", f"{number} reaches {target} {since:.1f} s after its draining was acknowledged")
        if sent.get("reported_not_run"):
            self.fail("refused", f"{number} runs after its client was told that it did not run")

    def answered(self, number, seal, body, daemon):
        self.answers[number][seal] = body
        self.completed[number] = (time.monotonic(), daemon)

    def freeze(self, entry):
        """Records that the process is stopped from now on; the caller sets the end, span[1]."""
        span = [time.monotonic(), float("inf")]
        self.freezes[entry].append(span)
        return span

    def was_frozen(self, sent):
        """Returns whether the entry was stopped during the request and thus may respond late."""
        return any(b < sent["ended"] and e > sent["at"] for b, e in self.freezes[sent["entry"]])

    def begin(self, number, idempotent, target, body, entry, run, deadline):
        self.sent[number] = {
            "idempotent": idempotent,
            "target": target,
            "body": body,
            "at": time.monotonic(),
            "entry": entry,
            "run": run,
            "deadline": deadline,
        }

    def end(self, number, status, fields, body):
        """Records the result of a request: a status, 0 for a broken connection, -1 for a timeout."""
        sent = self.sent[number]
        sent["status"] = status
        sent["ended"] = time.monotonic()
        self.counts[status] += 1
        took = sent["ended"] - sent["at"]
        if status and took > sent["deadline"] + LATE_RESPONSE_S and not self.was_frozen(sent):
            self.fail("late", f"{number} at {sent['entry']} gets status {status} after {took:.1f} s")
        self.limits.passed_on(sent, fields)
        if status == 200:
            self.check_success(number, fields, body)
        if status in PROMISES:
            sent["reported_not_run"] = True
            if not sent["idempotent"] and self.runs[number]:
                self.fail("refused", f"{number} was reported as not run, but ran at {self.runs[number]}")

    def check_success(self, number, fields, body):
        seal = fields.get("x-jackdawladder-server-seal")
        if self.answers[number].get(seal) != body:
            self.fail("mixed", f"{number} gets a response that no target sent for it")
        if fields.get("x-jackdawladder-attempt-id") != number:
            self.fail("mixed", f"{number} gets the response to another request")

    def configured(self, version, service, calm):
        """Records an acknowledged configuration; `calm` says that no fault is active."""
        self.versions.append((time.monotonic(), version, service, calm))

    def check_configuration(self):
        """Checks that each change of the moving route takes effect in time and is never undone."""
        newest = defaultdict(int)
        for number, sent in sorted(self.sent.items(), key=lambda item: item[1]["at"]):
            if not sent["target"].startswith("/moving/") or sent.get("status") != 200:
                continue
            if not self.runs[number]:
                # check_success() reports a response that no target sent.
                continue
            service = self.runs[number][-1][2]
            possible = [i for i, v in enumerate(self.versions) if v[2] == service and v[0] <= sent["ended"]]
            if not possible:
                self.fail("route", f"{number} ran at {service}, which no version of the route names")
                continue
            floor = newest[sent["entry"], sent["run"]]
            if possible[-1] < floor:
                self.fail("order", f"{number} at {sent['entry']} uses a version older than {floor}")
            due = [i for i, v in enumerate(self.versions) if v[3] and v[0] + APPLY_S < sent["at"]]
            if due and possible[-1] < due[-1]:
                self.fail("apply", f"{number} at {sent['entry']} does not know version {due[-1]}")
            if len(possible) == 1:
                newest[sent["entry"], sent["run"]] = max(floor, possible[0])

    def check_budget(self):
        """Checks that each service's retries stay within the retry budget in each window."""
        for service, arrivals in self.arrivals.items():
            times = defaultdict(list)
            for at, number in arrivals:
                times[number].append(at)
            retries = sorted(t for attempts in times.values() for t in attempts[1:])
            firsts = sorted(attempts[0] for attempts in times.values())
            for start in retries:
                retried = sum(start <= t < start + RETRY_WINDOW_S for t in retries)
                requested = sum(start - RETRY_WINDOW_S <= t < start + RETRY_WINDOW_S for t in firsts)
                if retried > RETRY_RATIO * requested + RETRY_SLACK:
                    self.fail("budget", f"{service}: {retried} retries, {requested} requests")
                    break

    def stops_begun(self, entry):
        """Returns when planned stops of a daemon began: a frozen process gets the signal when it goes on."""
        return [max([term] + [end for begin, end in self.freezes[entry] if begin <= term < end])
                for term in self.terms[entry]]

    def ends_with_grace(self, sent):
        """Returns whether a request was sent early in a planned stop and lasted until the end of its grace.

        Nobody can await it any longer then; the users' rule counts it neither.
        """
        return any(sent["at"] <= term + TAKEN_IN_STOP_S and sent["ended"] >= term + GRACE_S * 5 / 6
                   for term in self.stops_begun(sent["entry"]) if term < sent["ended"] < term + STOP_MAX_S)

    def check_given_up(self, is_undisturbed):
        """Checks that no request is failed while its target works on it and answers later.

        is_undisturbed: whether nothing has broken connections at a daemon until a time.
        """
        for number, sent in self.sent.items():
            if sent.get("status") != 502 or number not in self.completed:
                continue
            completed, daemon = self.completed[number]
            late = completed - sent["ended"]
            if self.ends_with_grace(sent):
                continue
            if late > GIVEN_UP_S and all(is_undisturbed(name, sent["ended"]) for name in (sent["entry"], daemon)):
                self.fail("given-up", f"{number} at {sent['entry']} got 502 {late:.2f} s before its target answered")

    def check_cut(self, is_undisturbed):
        """Checks that no request is cut off by a planned stop of its entry.

        is_undisturbed: whether nothing else has broken connections at a daemon until a time.
        """
        for number, sent in self.sent.items():
            if sent.get("status") != 0 or not is_undisturbed(sent["entry"], sent["ended"]):
                continue
            if self.runs[number] and any(term + LATE_IN_STOP_S < sent["at"] < term + STOP_MAX_S
                                         for term in self.stops_begun(sent["entry"])):
                self.fail("cut", f"{number} at {sent['entry']} came late in a planned stop, ran and got no answer")
            if any(sent["at"] < stop - CLOSING_S and sent["ended"] > stop - CLOSING_S
                   for stop in self.stops[sent["entry"]]):
                self.fail("cut", f"{number} at {sent['entry']} is cut off by a planned stop")

    def check_limits(self, impairments):
        """Checks what reached targets after daemons had passed on answers that name a limit, or a leave.

        impairments: of each daemon, the spans of its faults.
        """
        for text in self.limits.exceeded(self.sent, impairments):
            self.fail("limit", text)
        for text in self.limits.after_leaving(self.sent, self.freezes):
            self.fail("leaving", text)

    def check_served(self, hosts, since):
        """Checks that each of these targets has got requests since a time."""
        for host in hosts:
            if self.last_arrivals.get(host, 0.0) < since:
                self.fail("served", f"the target at {host} gets no request after the faults")

    def check_recovery(self, since):
        finished = [s for number, s in self.sent.items() if s["at"] >= since and "status" in s
                    and (self.customers is None or self.customers.counts_for_recovery(number, s))]
        successful = sum(s["status"] == 200 for s in finished)
        if not finished or successful < RECOVERED_RATIO * len(finished):
            self.fail("recovery", f"{successful} of {len(finished)} requests successful after the faults")

    def finish(self, calm_since):
        self.check_configuration()
        self.check_budget()
        if self.customers is not None:
            self.customers.check(self, APPLY_S)
        self.check_recovery(calm_since)
        return self.violations
