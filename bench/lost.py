#!/usr/bin/env python3
"""Tells from the nodes' own log lines why requests were lost or late: by route, second and reason.

usage: lost.py OUTPUT [--objective ROUTE=MS ...] [--every SECONDS]

OUTPUT is what the users' bench printed for a play with `--log all`. Only requests that a node logs
count, so play with `complete_one_in = 1` in the settings for shares of all requests.
"""

import argparse
import collections
import json
import pathlib
import re

CALL = re.compile(r"(Prefill|Run) (\S+) ([a-z ]+?) (\d+)ms \(at (\d+)ms, expected (\d+)ms(.*?)\)")


def lines(path):
    """Simulated second, node and fields of each line of a node's log."""
    for text in path.read_text(errors="replace").splitlines():
        match = re.match(r"\s*(-?[\d.]+) (\S+) (\{.*\})$", text)
        if not match:
            continue
        try:
            yield float(match.group(1)), match.group(2), json.loads(match.group(3))
        except ValueError:
            continue


def reason(fields, calls):
    """One word or two for what became of a request."""
    if fields["event"] == 1501:
        return "answered" if len(calls) <= 2 else "answered after repeats"
    last = f"{calls[-1][0]} {calls[-1][2]}" if calls else "no call"
    return f"{fields.get('reason', '?')}: {last}".split("(")[0]


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("output", type=pathlib.Path)
    parser.add_argument("--every", type=float, default=4.0)
    options = parser.parse_args()
    ends = collections.defaultdict(collections.Counter)
    outcomes = collections.Counter()
    errors = collections.defaultdict(list)
    by_time = collections.defaultdict(collections.Counter)
    by_engine = collections.Counter()
    for second, _, fields in lines(options.output):
        if fields.get("event") not in (1501, 1502):
            continue
        calls = CALL.findall(fields.get("calls", ""))
        route = fields.get("route", fields.get("path", "?"))
        why = reason(fields, calls)
        ends[route][why] += 1
        window = second // options.every * options.every
        by_time[window][why] += 1
        for purpose, engine, outcome, took, _, expected, rest in calls:
            outcomes[f"{purpose} {outcome}{' (fetches)' if 'fetches' in rest else ''}"] += 1
            by_time[window][f"- {purpose} {outcome}"] += 1
            if outcome == "refused":
                by_engine[f"{purpose} {engine}"] += 1
            if outcome == "answered":
                errors[purpose].append(int(took) - int(expected))
    for route, counts in ends.items():
        total = sum(counts.values())
        print(f"{route}: {total}")
        for why, count in counts.most_common(12):
            print(f"  {count:6} {why}")
    print("calls:")
    for outcome, count in outcomes.most_common():
        print(f"  {count:6} {outcome}")
    print("refusals by engine:", by_engine.most_common(12))
    for purpose, differences in errors.items():
        differences.sort()
        marks = [differences[int(len(differences) * share)] for share in (0.05, 0.25, 0.5, 0.75, 0.95)]
        print(f"{purpose}: took against expected, ms, 5/25/50/75/95 in 100: {marks}")
    print("by second:")
    for window in sorted(by_time):
        counts = ", ".join(f"{count} {why}" for why, count in by_time[window].most_common(9))
        print(f"  {window:6.0f}  {counts}")


if __name__ == "__main__":
    main()
