#!/usr/bin/env python3
"""Statistics and plots of measured cases.

  report.py figures DIRECTORY...          a line of statistics for each run
  report.py plot OUT.svg DIRECTORY...     goodput and refusals over time

A request is whole if it got its own, complete answer with outcome "done" and a
status below 400. The time of that answer is the request's time. All times come
from the monotonic clock.
"""

import collections
import glob
import json
import os
import sys

BUCKET_US = 100_000
SECOND_US = 1_000_000
# Goodput has recovered once its mean over RECOVERED_WINDOW_US reaches this ratio
# of its mean before the fault.
RECOVERED_RATIO = 0.9
RECOVERED_WINDOW_US = 500_000
PLOT_WIDTH_PX = 900
PLOT_HEIGHT_PX = 260


class Run:
    """The records of one run of a case, from its histories."""

    def __init__(self, directory):
        self.directory = directory
        self.sends = []
        self.answers = []
        self.runs = []
        self.marks = {}
        for path in sorted(glob.glob(os.path.join(directory, "*.jsonl"))):
            for record in read_lines(path):
                self.add(record)
        self.first_us = min((s["at"] for s in self.sends), default=0)

    def add(self, record):
        kind = record.get("t")
        if kind == "send":
            self.sends.append(record)
        elif kind == "answer":
            self.answers.append(record)
        elif kind == "run":
            self.runs.append(record)
        elif kind == "fault" and record["who"] == "case":
            self.marks[record["what"]] = record["at"]

    def whole_times(self, who=None):
        return [a["at"] for a in self.answers if is_whole(a) and is_from(a, who)]

    def goodput(self, begin_us, end_us):
        count = sum(begin_us <= at < end_us for at in self.whole_times())
        return count * SECOND_US / max(end_us - begin_us, 1)

    def share_done(self, kind, begin_us, end_us):
        """Returns how many requests of a kind started, and the share that is whole."""
        names = {
            (s["who"], s["request"])
            for s in self.sends
            if s["kind"] == kind and begin_us <= s["at"] < end_us
        }
        whole = {
            (a["who"], a["request"]) for a in self.answers if is_whole(a)
        }
        return len(names), len(names & whole) / max(len(names), 1)

    def wasted_share(self):
        """Returns the share of target runs whose request is not whole."""
        whole = {a["id"] for a in self.answers if is_whole(a)}
        wasted = sum(run["id"] not in whole for run in self.runs)
        return wasted / max(len(self.runs), 1)

    def recovery_s(self):
        """Returns the time from the end of the fault until goodput has recovered.

        The result is None if goodput does not recover before the last sending.
        """
        begin_us, end_us = self.marks["begin"], self.marks["end"]
        before = self.goodput(begin_us - 3 * SECOND_US, begin_us)
        last_us = max(s["at"] for s in self.sends)
        at = end_us
        while at + RECOVERED_WINDOW_US <= last_us:
            if self.goodput(at, at + RECOVERED_WINDOW_US) >= RECOVERED_RATIO * before:
                return (at - end_us) / SECOND_US
            at += BUCKET_US
        return None


def read_lines(path):
    with open(path, encoding="utf-8") as file:
        for line in file:
            try:
                yield json.loads(line)
            except ValueError:
                continue


def is_whole(answer):
    return (
        answer["outcome"] == "done"
        and answer["status"] < 400
        and answer["whole"]
        and answer["own"]
    )


def is_from(record, who):
    return who is None or record["who"] == who


def latency_ms(answers, share):
    times = sorted(a["latency_us"] for a in answers)
    if not times:
        return 0
    return times[min(int(share * len(times)), len(times) - 1)] / 1000


def figures(run):
    begin_us, end_us = run.marks["begin"], run.marks["end"]
    loads = [s for s in run.sends if s["who"] != "warm"]
    first = {(s["who"], s["request"]) for s in loads}
    refused = [a for a in run.answers if a["outcome"] == "not-run"]
    whole = [a for a in run.answers if is_whole(a)]
    parts = [
        f"goodput {run.goodput(begin_us, end_us):.0f}/s",
        f"asked {len(first)}",
        f"caller sends {len(loads)}",
        f"target runs {len(run.runs)}",
        f"wasted runs {100 * run.wasted_share():.1f}%",
    ]
    for kind in ("reserve", "amend", "tours", "browse", "upload"):
        count, share = run.share_done(kind, begin_us, end_us)
        if count:
            parts.append(f"{kind} {100 * share:.1f}% of {count}")
    recovery = run.recovery_s()
    parts.append(
        "recovery " + ("none" if recovery is None else f"{recovery:.1f} s")
    )
    parts.append(f"whole 99% {latency_ms(whole, 0.99):.0f} ms")
    parts.append(f"refusal 99% {latency_ms(refused, 0.99):.0f} ms")
    return ", ".join(parts)


def buckets(times, first_us, count):
    values = [0] * count
    for at in times:
        index = (at - first_us) // BUCKET_US
        if 0 <= index < count:
            values[index] += SECOND_US // BUCKET_US
    return values


def polyline(values, top, colour, x_step):
    points = " ".join(
        f"{40 + i * x_step:.1f},{20 + PLOT_HEIGHT_PX * (1 - v / top):.1f}"
        for i, v in enumerate(values)
    )
    return f'<polyline fill="none" stroke="{colour}" points="{points}"/>'


def series_of(run, count):
    refused = collections.defaultdict(list)
    for answer in run.answers:
        if answer["outcome"] == "not-run":
            refused[answer["kind"]].append(answer["at"])
    name = os.path.basename(run.directory)
    result = [(f"{name}: whole", run.whole_times())]
    for kind in ("reserve", "browse"):
        result.append((f"{name}: {kind} refused", refused[kind]))
    return [(n, buckets(t, run.first_us, count)) for n, t in result]


def plot(path, runs):
    colours = ["#1b6", "#c33", "#e94", "#36c", "#939", "#999", "#333", "#aa3"]
    count = max(
        (max(s["at"] for s in r.sends) - r.first_us) // BUCKET_US + 1
        for r in runs
    )
    series = [s for run in runs for s in series_of(run, count)]
    top = max(max(values) for _, values in series) or 1
    x_step = PLOT_WIDTH_PX / max(count, 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH_PX + 60}" '
        f'height="{PLOT_HEIGHT_PX + 60 + 16 * len(series)}" '
        'font-family="sans-serif" font-size="11">',
        f'<rect x="40" y="20" width="{PLOT_WIDTH_PX}" height="{PLOT_HEIGHT_PX}" '
        'fill="none" stroke="#ccc"/>',
        f'<text x="2" y="28">{top}/s</text><text x="20" '
        f'y="{24 + PLOT_HEIGHT_PX}">0</text>',
    ]
    for what, at in runs[0].marks.items():
        x = 40 + (at - runs[0].first_us) / BUCKET_US * x_step
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="20" '
            f'y2="{20 + PLOT_HEIGHT_PX}" stroke="#bbb"/>'
            f'<text x="{x + 2:.1f}" y="16">{what}</text>'
        )
    for i, (name, values) in enumerate(series):
        colour = colours[i % len(colours)]
        y = PLOT_HEIGHT_PX + 44 + 16 * i
        parts.append(polyline(values, top, colour, x_step))
        parts.append(f'<text x="40" y="{y}" fill="{colour}">{name}</text>')
    parts.append("</svg>")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(parts) + "\n")


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    if sys.argv[1] == "plot":
        plot(sys.argv[2], [Run(d) for d in sys.argv[3:]])
        return
    for directory in sys.argv[2:]:
        print(f"{os.path.basename(directory)}: {figures(Run(directory))}")


main()
