"""Statistics of a history: outcomes of each kind, goodput, recovery time."""

from history import group
from rules import MSEC_US, SECOND_US, is_idempotent, Options

BUCKET_US = 100 * MSEC_US
AVERAGE_BUCKETS = 5
RECOVERED_RATIO = 0.9

COLUMNS = ("asked", "whole", "refused", "unknown", "failed", "doubled")


def final_outcome(sendings):
    """Returns the final result of a request over all its sendings."""
    if any(sending.good for sending in sendings):
        return "whole"
    outcome = sendings[-1].outcome
    return {"not-run": "refused", "done": "failed"}.get(outcome, "unknown")


def count_doubled(history):
    """Counts for each kind the non-idempotent requests that ran more than once."""
    runs = history.runs_by_request()
    doubled = {}
    for request, sendings in history.sendings_by_request().items():
        own = [run for run in runs.get(request, []) if run.hop == "0"]
        if len(own) > 1 and not is_idempotent(own[0], sendings, Options()):
            kind = sendings[0].send["kind"]
            doubled[kind] = doubled.get(kind, 0) + 1
    return doubled


def goodput_buckets(history):
    """Counts complete answers in intervals of BUCKET_US.

    Returns the time of the first sending, at which the buckets start, and the
    buckets.
    """
    start = history.sendings[0].send["at"]
    end = max(s.answer["at"] for s in history.sendings if s.answer)
    buckets = [0] * ((end - start) // BUCKET_US + 1)
    for sending in history.sendings:
        if sending.good:
            buckets[(sending.answer["at"] - start) // BUCKET_US] += 1
    return start, buckets


def moving_average(buckets):
    """Returns the moving average of the buckets."""
    return [
        sum(buckets[n : n + AVERAGE_BUCKETS]) / AVERAGE_BUCKETS
        for n in range(len(buckets) - AVERAGE_BUCKETS + 1)
    ]


def recovery_us(history, fault, until_us):
    """Returns the time from a fault until goodput is back at its level before.

    The result is 0 if goodput never fell, None if it was not back by until_us or
    the history is too short to tell.
    """
    start, buckets = goodput_buckets(history)
    at = (fault["at"] - start) // BUCKET_US
    before = buckets[max(0, at - 2 * AVERAGE_BUCKETS) : at]
    after = moving_average(buckets[at : (until_us - start) // BUCKET_US])
    if not before or not after:
        return None
    wanted = RECOVERED_RATIO * sum(before) / len(before)
    low = [number for number, mean in enumerate(after) if mean < wanted]
    if not low:
        return 0
    back = [n for n in range(low[0], len(after)) if after[n] >= wanted]
    return back[0] * BUCKET_US if back else None


def count_kinds(history):
    """Returns the counters of each kind, by column."""
    doubled = count_doubled(history)
    requests = group(
        history.sendings, lambda sending: (sending.send["who"], sending.send["request"])
    )
    kinds = {}
    for sendings in requests.values():
        kind = sendings[0].send["kind"]
        counts = kinds.setdefault(kind, dict.fromkeys(COLUMNS, 0))
        counts["asked"] += 1
        counts[final_outcome(sendings)] += 1
        counts["doubled"] = doubled.get(kind, 0)
    return kinds


def wasted_runs(history):
    """Counts runs, at any depth, for sendings that got no complete answer."""
    good = {sending.request for sending in history.sendings if sending.good}
    sent = {sending.request for sending in history.sendings}
    failed = sent - good
    return sum(run.request in failed for run in history.runs)


def print_table(history):
    """Prints the statistics."""
    if not any(sending.answer for sending in history.sendings):
        return
    _, buckets = goodput_buckets(history)
    seconds = len(buckets) * BUCKET_US / SECOND_US
    print(f"{'kind':<18}" + "".join(f"{name:>9}" for name in COLUMNS) + "  goodput/s")
    for kind, counts in sorted(count_kinds(history).items()):
        numbers = "".join(f"{counts[name]:>9}" for name in COLUMNS)
        print(f"{kind:<18}{numbers}{counts['whole'] / seconds:>11.1f}")
    wasted = wasted_runs(history)
    share = wasted / max(1, len(history.runs))
    print(f"runs at targets: {len(history.runs)}, wasted: {wasted} ({share:.1%})")
    sent = [sending.send["at"] for sending in history.sendings]
    faults = [fault for fault in history.faults if sent[0] < fault["at"] < sent[-1]]
    ends = [fault["at"] for fault in faults[1:]] + [sent[-1]]
    for fault, until_us in zip(faults, ends):
        time_us = recovery_us(history, fault, until_us)
        text = "not seen" if time_us is None else f"{time_us / SECOND_US:.1f} s"
        print(f"recovery after {fault['what']} of {fault['who']}: {text}")
