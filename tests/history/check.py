#!/usr/bin/env python3
"""Checks histories of callers, targets and faults against the rules.

Prints a table of the request kinds, and each violation with the records that
prove it. The exit status is 1 if a rule is violated, 2 if the histories have
no records to check.
"""

import argparse
import json
import re
import sys

from history import load
from rules import MSEC_US, RULES, SECOND_US, Options
from table import print_table

VIOLATIONS_SHOWN_MAX = 5


def read_kinds(path):
    """Returns the kinds of a configuration document, JSON with comments."""
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


def check_rules(history, options, names):
    """Prints the violations of the named rules and returns their number."""
    total = 0
    for name in names:
        found = list(RULES[name](history, options))
        total += len(found)
        for text, records in found[:VIOLATIONS_SHOWN_MAX]:
            print_violation(name, text, records)
        if len(found) > VIOLATIONS_SHOWN_MAX:
            print(f"violated {name}: {len(found) - VIOLATIONS_SHOWN_MAX} more times")
    return total


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", help="history files, in any order")
    parser.add_argument("--config", help="configuration document in force")
    parser.add_argument("--retries", type=int, default=2,
                        help="retry tokens of a call tree")
    parser.add_argument("--window-ms", type=int, default=SECOND_US // MSEC_US,
                        help="window of the rule importance-order")
    parser.add_argument("--rule", action="append", choices=RULES,
                        help="check only this rule; may be repeated")
    parser.add_argument("--quiet", action="store_true", help="print no table")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    history = load(arguments.files)
    if not (history.runs or history.sendings or history.versions):
        print("no records to check")
        return 2
    if not arguments.quiet:
        print_table(history)
    options = make_options(arguments)
    return 1 if check_rules(history, options, arguments.rule or RULES) else 0


if __name__ == "__main__":
    sys.exit(main())
