"""Reads histories: files with one JSON object per line.

All times come from one monotonic clock, in microseconds. Field "t" is the type
of a record. Callers write "send" and "answer"; targets write "start", "run",
"end", "leave" and "stop"; tests and the platform's stand-in write "fault";
watch.py writes "version", site.sh "applied". All files are merged: it does not
matter which file holds a record.

All sendings of a request under one key, and all downstream calls, share the
request's "id". Without a key each sending has an id of its own. "hop" is the
position of a call in its call tree: "0" for the request itself, "0.1" for the
second call that it makes, and so on. A target writes "run" before any work.
"""

import json
from dataclasses import dataclass, field


@dataclass
class Run:
    """One run of one request at one target."""

    start: dict
    end: dict = None

    @property
    def at(self):
        return self.start["at"]

    @property
    def request(self):
        return self.start["id"]

    @property
    def hop(self):
        return self.start["hop"]

    @property
    def process(self):
        return self.start["who"], self.start["pid"]


@dataclass
class Sending:
    """One sending of a request by a caller, and its answer if it got one."""

    send: dict
    answer: dict = None

    @property
    def request(self):
        return self.send["id"]

    @property
    def outcome(self):
        return self.answer["outcome"] if self.answer else ""

    @property
    def good(self):
        """Whether the caller got the complete answer to its own request."""
        answer = self.answer
        return bool(
            answer
            and answer["status"] == 200
            and answer["whole"]
            and answer["own"]
            and answer["outcome"] in ("done", "")
        )


@dataclass
class History:
    """All records, each list in order of time."""

    runs: list = field(default_factory=list)
    sendings: list = field(default_factory=list)
    leaves: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    applied: list = field(default_factory=list)

    def runs_by_request(self):
        return group(self.runs, lambda run: run.request)

    def sendings_by_request(self):
        return group(self.sendings, lambda sending: sending.request)


def group(items, key):
    """Groups items by key; each group keeps the order of the items."""
    groups = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups


def read_lines(paths):
    """Returns the records of all files in order of time.

    Skips an incomplete last line: a crash can cut it off.
    """
    records = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            lines = file.read().split("\n")
        for number, line in enumerate(lines):
            if line.strip() == "" or line.startswith("#"):
                continue
            try:
                records.append(json.loads(line))
            except ValueError:
                if number != len(lines) - 1:
                    raise
    records.sort(key=lambda record: record["at"])
    return records


def load(paths):
    """Loads a history from files."""
    history = History()
    runs = {}
    sendings = {}
    lists = {
        "leave": history.leaves,
        "stop": history.stops,
        "fault": history.faults,
        "version": history.versions,
        "applied": history.applied,
    }
    for record in read_lines(paths):
        kind = record["t"]
        if kind == "run":
            run = Run(record)
            runs[record["who"], record["pid"], record["run"]] = run
            history.runs.append(run)
        elif kind == "end":
            runs[record["who"], record["pid"], record["run"]].end = record
        elif kind == "send":
            sending = Sending(record)
            sendings[record["who"], record["request"], record["sending"]] = sending
            history.sendings.append(sending)
        elif kind == "answer":
            key = record["who"], record["request"], record["sending"]
            sendings[key].answer = record
        elif kind in lists:
            lists[kind].append(record)
    return history
