"""The invariants of the system: rules that every history must satisfy.

Each rule is a generator that takes a history and yields violations, pairs of a
text and the records that prove it. A rule reports only what the histories
prove: it takes into account callers that gave up and targets that were killed.
"""

from dataclasses import dataclass, field
from math import sqrt

from history import group

SECOND_US = 1_000_000
MSEC_US = 1_000


@dataclass
class Options:
    """Bounds of the rules, and the kinds of the configuration.

    retries: retry tokens of a call tree
    leave_bound_us: how long a target may get new work after it left
    order_window_us: length of the windows of importance_order
    order_requests_min: least number of requests of a kind in a window to be compared
    order_share_tolerance: by how much the refused share of a more important kind may
        exceed that of a less important one
    order_slot_us: time within which decisions on two kinds are compared; the length
        of a control window of the admission level (source/core/level.h)
    order_deviations_min: least distance of the limit of refusals from their mean
        without an order, in standard deviations
    config_bound_us: how long a version may take to reach all daemons
    crashes_max: number of targets that one request may crash
    """

    kinds: list = field(default_factory=list)
    retries: int = 2
    leave_bound_us: int = 3 * SECOND_US
    order_window_us: int = SECOND_US
    order_requests_min: int = 20
    order_share_tolerance: float = 0.1
    order_slot_us: int = 50 * MSEC_US
    order_deviations_min: float = 3
    config_bound_us: int = 15 * SECOND_US
    crashes_max: int = 2

    def kind_of(self, run):
        """Returns the first kind of the configuration that matches a run."""
        for kind in self.kinds:
            method = kind.get("method", "*")
            if method in ("*", run.start["method"]) and run.start["path"].startswith(
                kind["path"]
            ):
                return kind
        return None


def separate_requests(sendings):
    """Returns how many separate requests the sendings of one identifier are.

    Each sending without a key is a request of its own, those with a key are one.
    """
    keyless = [sending for sending in sendings if sending.send["key"] == ""]
    return max(1, len(keyless))


def is_idempotent(run, sendings, options):
    """Whether a run may be repeated.

    Its caller decides for the request itself, the configuration for other calls.
    """
    if run.hop == "0" and sendings:
        return sendings[0].send["idempotent"]
    kind = options.kind_of(run)
    return kind is None or kind["idempotent"]


def runs_by_position(history):
    """Groups runs by request and position in the call tree."""
    return group(history.runs, lambda run: (run.request, run.hop))


def at_most_once(history, options):
    """A request that is not idempotent runs at most once."""
    sendings = history.sendings_by_request()
    for (request, hop), runs in runs_by_position(history).items():
        sent = sendings.get(request, [])
        if is_idempotent(runs[0], sent, options):
            continue
        if len(runs) > separate_requests(sent):
            yield f"{request} hop {hop} ran {len(runs)} times", runs


def whole_own_answers(history, _options):
    """Each answer is complete, belongs to its request, and comes from a run."""
    runs = history.runs_by_request()
    for sending in history.sendings:
        answer = sending.answer
        if answer is None:
            continue
        if answer["whole"] and not answer["own"]:
            yield f"{sending.request} got another request's answer", [sending]
        if answer["outcome"] != "done":
            continue
        if not (answer["whole"] and answer["own"]):
            yield f"{sending.request} is done without a whole answer", [sending]
        if answer["status"] == 200 and sending.request not in runs:
            yield f"{sending.request} is done but ran nowhere", [sending]


def whole_requests(history, _options):
    """Targets get only complete requests."""
    for run in history.runs:
        if not run.start["body_whole"]:
            yield f"{run.request} hop {run.hop} was not whole or not its own", [run]


def not_run_is_final(history, _options):
    """A request answered as not run has not run and will not run."""
    all_runs = history.runs_by_request()
    for request, sendings in history.sendings_by_request().items():
        runs = all_runs.get(request, [])
        if not runs:
            continue
        if separate_requests(sendings) > 1:
            if all(sending.outcome == "not-run" for sending in sendings):
                yield f"{request} ran although no sending ran", [*sendings, *runs]
            continue
        for number, sending in enumerate(sendings):
            if sending.outcome != "not-run":
                continue
            later = [other.send["at"] for other in sendings[number + 1 :]]
            limit = min(later, default=None)
            wrong = [run for run in runs if limit is None or run.at < limit]
            if wrong:
                yield f"{request} ran although it was not run", [*sendings, *wrong]


def bounded_runs(history, options):
    """The number of runs is bounded at each position of a call tree."""
    sendings = history.sendings_by_request()
    for (request, hop), runs in runs_by_position(history).items():
        bound = (1 + options.retries) * separate_requests(sendings.get(request, []))
        if len(runs) > bound:
            yield f"{request} hop {hop} ran {len(runs)} times, at most {bound}", runs


def bounded_crashes(history, options):
    """A request that crashes targets crashes a bounded number of them."""
    crashes = [run for run in history.runs if run.start.get("crash")]
    for request, runs in group(crashes, lambda run: run.request).items():
        targets = {run.process for run in runs}
        if len(targets) > options.crashes_max:
            yield f"{request} crashed {len(targets)} targets", runs


OVERLOAD_REASONS = ("overload", "downstream")


def is_shed(sending):
    return (
        sending.outcome == "not-run" and sending.answer["reason"] in OVERLOAD_REASONS
    )


def services_of_kinds(history):
    """Returns for each kind the services at which its requests ran, at any depth."""
    kinds = {sending.request: sending.send["kind"] for sending in history.sendings}
    services = {}
    for run in history.runs:
        kind = kinds.get(run.request)
        services.setdefault(kind, set()).add(run.start["service"])
    return services


def repeats_refusal(sending, earlier):
    """Whether a sending repeats a refused one before the caller was to come back.

    Its answer is the refusal of that one, not another decision.
    """
    return any(
        is_shed(other)
        and sending.send["at"]
        < other.answer["at"] + other.answer.get("retry_after_ms", 0) * MSEC_US
        for other in earlier
    )


def decided_sendings(history, identity):
    """Returns the answered sendings without those that repeat a refusal.

    identity returns what sendings of one request have in common.
    """
    decided = []
    for sendings in group(history.sendings, identity).values():
        for number, sending in enumerate(sendings):
            if sending.answer and not repeats_refusal(sending, sendings[:number]):
                decided.append(sending)
    return decided


def caller_request(sending):
    """Returns what identifies a caller's request, also if each sending has an id."""
    return sending.send["who"], sending.send["request"]


def run_starts(history):
    """Returns the times at which runs of each request started, without its calls."""
    runs = group(filter(lambda run: run.hop == "0", history.runs), lambda run: run.request)
    return {request: [run.at for run in found] for request, found in runs.items()}


def order_windows(sendings, options):
    """Yields the sendings of each window; the windows overlap by half."""
    half = options.order_window_us // 2
    halves = group(sendings, lambda sending: sending.send["at"] // half)
    for number in sorted(halves):
        yield halves[number] + halves.get(number + 1, [])


def compared_kinds(window, services):
    """Yields the sendings of each two kinds of which the second must give way.

    It is less important and needs all services of the first. Kinds that need only
    some of the services may still be served: refusing them need not free the
    capacity that the refused kind lacked.
    """
    kinds = group(window, lambda sending: sending.send["kind"])
    for kind, sendings in sorted(kinds.items()):
        if kind not in services or not any(map(is_shed, sendings)):
            continue
        for other, others in kinds.items():
            if (
                others[0].send["importance"] > sendings[0].send["importance"]
                and services.get(other, set()) >= services[kind]
            ):
                yield sendings, others


def importance_order(history, options):
    """More important requests are refused only if less important ones are.

    In each window, a kind may be refused for overload only if every less important
    kind that competes with it was refused too, with at least the same share; see
    check_share(). Of two kinds the less important one gives way first, so a kind
    must also be refused clearly less often than chance would have it; see
    check_chance().

    A request that is sent again before its Retry-After has passed counts once, with
    its first refusal. For shares, each sending without a key is a request of its
    own. For chance it is one with the caller's other sendings of that request, so
    that kinds with and without keys are counted alike.
    """
    services = services_of_kinds(history)
    decided = decided_sendings(history, lambda sending: sending.request)
    for window in order_windows(decided, options):
        for sendings, others in compared_kinds(window, services):
            yield from check_share(sendings, others, options)
    starts = run_starts(history)
    decided = decided_sendings(history, caller_request)
    for window in order_windows(decided, options):
        for sendings, others in compared_kinds(window, services):
            yield from check_chance(sendings, others, starts, options)


def share_of(predicate, sendings):
    return sum(map(predicate, sendings)) / len(sendings)


def is_failed(sending):
    """Whether a sending failed, by its own refusal or that of a downstream call."""
    return not sending.good


def check_share(sendings, others, options):
    """A kind is not refused with a larger share than a less important one."""
    if len(others) < options.order_requests_min:
        return
    share = (
        share_of(is_shed, sendings)
        if len(sendings) >= options.order_requests_min
        else 0
    )
    other_share = share_of(is_failed, others)
    if other_share == 0 or share > other_share + options.order_share_tolerance:
        yield (
            f"{sendings[0].send['kind']} was refused ({share:.0%}) "
            f"while {others[0].send['kind']} was less ({other_share:.0%})",
            list(filter(is_shed, sendings))[:3],
        )


@dataclass
class OrderCount:
    """Refusals of a kind beside a less important one.

    refused, other_refused: what was seen
    in_order: refusals if the kind is refused only once all of the other one is
    by_chance, variance: mean and variance if all decisions are refused alike, by
        the hypergeometric distribution
    """

    refused: int = 0
    other_refused: int = 0
    in_order: int = 0
    by_chance: float = 0
    variance: float = 0

    def add(self, sendings, others):
        """Adds decisions on both kinds at about the same time."""
        count, other_count = len(sendings), len(others)
        total = count + other_count
        refused = sum(map(is_shed, sendings))
        other_refused = sum(map(is_failed, others))
        share = (refused + other_refused) / total
        self.refused += refused
        self.other_refused += other_refused
        self.in_order += max(0, refused + other_refused - other_count)
        self.by_chance += share * count
        self.variance += share * (1 - share) * count * other_count / max(1, total - 1)


def open_at(sendings, at_us, starts):
    """Returns the sendings without those that were served and ran before a time.

    A target keeps what it has admitted, also when more important requests come.
    """
    return [
        sending
        for sending in sendings
        if not sending.good
        or all(start >= at_us for start in starts.get(sending.request, []))
    ]


def count_order(sendings, others, starts, options):
    """Counts the decisions on a kind, and on a less important one beside it.

    Decisions are compared within short slots, since at different times different
    loads are refused, and from the first refusal of the more important kind on.
    """

    def slot(sending):
        return sending.send["at"] // options.order_slot_us

    count = OrderCount()
    other_slots = group(others, slot)
    for number, in_slot in group(sendings, slot).items():
        shed = filter(is_shed, in_slot)
        first_us = min((sending.answer["at"] for sending in shed), default=0)
        compared = open_at(in_slot, first_us, starts)
        compared_others = open_at(other_slots.get(number, []), first_us, starts)
        if compared and compared_others:
            count.add(compared, compared_others)
    return count


def check_chance(sendings, others, starts, options):
    """A kind is refused clearly less often than by refusals without an order.

    It breaks the rule if its refusals are nearer to their mean without an order
    than to their number in order. A window counts only if the limit between both
    is order_deviations_min standard deviations or more from the mean, so that
    chance does not decide.
    """
    count = count_order(sendings, others, starts, options)
    distance = (count.by_chance - count.in_order) / 2
    if (
        distance >= options.order_deviations_min * sqrt(count.variance)
        and count.refused > count.in_order + distance
    ):
        yield (
            f"{sendings[0].send['kind']} was refused {count.refused} times beside "
            f"{others[0].send['kind']} {count.other_refused} times, as if without "
            f"order ({count.in_order} in order, {count.by_chance:.0f} by chance)",
            list(filter(is_shed, sendings))[:3],
        )


def nothing_after_leaving(history, options):
    """A target that left gets no new work once leave_bound_us have passed."""
    left = {(leave["who"], leave["pid"]): leave["at"] for leave in history.leaves}
    for run in history.runs:
        at = left.get(run.process)
        if at is not None and run.at > at + options.leave_bound_us:
            late_us = run.at - at
            yield f"{run.request} ran {late_us // MSEC_US} ms after a leave", [run]


def graceful_shutdowns(history):
    """Returns the time of each graceful shutdown, by the name of the process."""
    shutdowns = {fault["who"]: fault["at"] for fault in history.faults
             if fault["what"] == "drain"}
    for leave in history.leaves:
        shutdowns.setdefault(leave["who"], leave["at"])
    return shutdowns


def timed_out(sendings, at_us):
    """Whether a caller had timed out at the given time."""
    return any(
        sending.answer
        and "imeout" in sending.answer["error"]
        and sending.answer["at"] <= at_us
        for sending in sendings
    )


def drain_cuts_nothing(history, _options):
    """A graceful shutdown interrupts no request in progress."""
    shutdowns = graceful_shutdowns(history)
    killed = {fault["who"] for fault in history.faults if fault["what"] == "kill"}
    all_sendings = history.sendings_by_request()
    for run in history.runs:
        who = run.start["who"]
        sendings = all_sendings.get(run.request, [])
        if who not in shutdowns or who in killed:
            continue
        if run.end is not None and run.end["at"] < shutdowns[who]:
            continue
        if run.end is None:
            yield f"{run.request} at {who} never ended", [run]
        elif run.end["cut"] and not timed_out(sendings, run.end["at"]):
            yield f"{run.request} at {who} was cut off", [run]
    yield from drain_answers(history, killed)


# Parts of libcurl's messages for errors before a whole request was received.
NOT_RECEIVED_ERRORS = ("connect", "Failed sending")


def lost_answer(sending):
    """Whether a connection was closed after the request, without an answer."""
    error = sending.answer["error"] if sending.answer else ""
    return error != "" and not any(
        part in error for part in (*NOT_RECEIVED_ERRORS, "imeout")
    )


def drain_answers(history, killed):
    """A daemon answers requests accepted before or during its graceful shutdown."""
    drains = {fault["entry"]: fault for fault in history.faults
              if fault["what"] == "drain" and fault["who"] not in killed}
    for sending in history.sendings:
        drain = drains.get(sending.send["entry"])
        if drain is None or not lost_answer(sending):
            continue
        if sending.answer["at"] > drain["at"]:
            yield (
                f"{sending.request} lost its answer in a graceful shutdown",
                [sending],
            )


def config_never_reverts(history, options):
    """Versions never decrease, have one text each, and reach all daemons in time."""
    incarnations = group(history.versions, lambda seen: (seen["who"], seen["life"]))
    digests = {}
    for (who, _), samples in incarnations.items():
        highest = 0
        for sample in samples:
            version = sample["version"]
            if version < highest:
                yield f"{who} went from version {highest} to {version}", [sample]
            highest = max(highest, version)
            if sample["digest"] == "":
                continue
            digest = digests.setdefault(version, sample["digest"])
            if version > 0 and sample["digest"] != digest:
                yield f"{who} has another text as version {version}", [sample]
            yield from late_version(sample, samples[0]["at"], history, options)


def late_version(sample, incarnation_start, history, options):
    """A daemon has an applied version no later than config_bound_us.

    The time starts with the apply, or with the first sample of the daemon's
    incarnation if that is later.
    """
    for applied in history.applied:
        since = max(applied["at"], incarnation_start) + options.config_bound_us
        if sample["at"] > since and sample["version"] < applied["version"]:
            yield (
                f"{sample['who']} has version {sample['version']} long after "
                f"{applied['version']} was applied",
                [sample],
            )


RULES = {
    "at-most-once": at_most_once,
    "whole-own-answers": whole_own_answers,
    "whole-requests": whole_requests,
    "not-run-is-final": not_run_is_final,
    "bounded-runs": bounded_runs,
    "bounded-crashes": bounded_crashes,
    "importance-order": importance_order,
    "nothing-after-leaving": nothing_after_leaving,
    "drain-cuts-nothing": drain_cuts_nothing,
    "config-never-reverts": config_never_reverts,
}
