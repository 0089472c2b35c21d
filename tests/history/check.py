#!/usr/bin/env python3
"""Judges histories of callers, targets and faults.

Prints a table for each kind of request, and each violation with the records
that prove it. Exit status 1 when a rule was violated, 2 when there was
nothing to judge.
"""

import argparse
import json
import re
import sys

from history import load
from rules import MSEC_US, RULES, SECOND_US, Options
from table import print_table

SHOWN_MAX = 5


def read_kinds(path):
    """Kinds of a configuration document, which is JSON with comments."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    tokens = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
    plain = tokens.sub(
        lambda match: match[0] if match[0].startswith('"') else " ", text
    )
    return json.loads(plain)["kinds"]


def make_options(arguments):
    options = Options(
        retries=arguments.retries, order_window_us=arguments.window_ms * MSEC_US
    )
    if arguments.config:
        options.kinds = read_kinds(arguments.config)
    return options


def print_violation(name, text, records):
    print(f"violated {name}: {text}")
    for record in records:
        parts = [record] if isinstance(record, dict) else vars(record).values()
        for part in parts:
            if part is not None:
                print(f"    {json.dumps(part)}")


def judge(history, options, names):
    """Number of violations."""
    total = 0
    for name in names:
        found = list(RULES[name](history, options))
        total += len(found)
        for text, records in found[:SHOWN_MAX]:
            print_violation(name, text, records)
        if len(found) > SHOWN_MAX:
            print(f"violated {name}: {len(found) - SHOWN_MAX} more times")
    return total


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", help="histories, in any order")
    parser.add_argument("--config", help="the configuration document in force")
    parser.add_argument("--retries", type=int, default=2, help="tokens of a tree")
    parser.add_argument("--window-ms", type=int, default=SECOND_US // MSEC_US)
    parser.add_argument("--rule", action="append", choices=RULES, help="only these")
    parser.add_argument("--quiet", action="store_true", help="no table")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    history = load(arguments.files)
    if not (history.runs or history.sendings or history.versions):
        print("no records to judge")
        return 2
    if not arguments.quiet:
        print_table(history)
    options = make_options(arguments)
    return 1 if judge(history, options, arguments.rule or RULES) else 0


if __name__ == "__main__":
    sys.exit(main())
