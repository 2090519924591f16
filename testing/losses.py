#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
# saltvane: global traffic steering
# Copyright (c) 2026 the saltvane authors
"""Reports where a logged run lost requests: refusals and late responses by time window, route and reason.

Reads request log lines of gateways (docs/LOGS.md, event=request). Each line starts with a time in seconds and the host's
name, as drivers of several processes print them:

    12.3456 host-name time=... module=gateway event=request id=... route=... outcome=not-run reason=no-room ...

usage: losses.py LOG [--window SECONDS] [--late MILLISECONDS] [--from SECONDS] [--to SECONDS]
"""
import argparse
import collections
import re
import sys

LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s+.*module=gateway event=request (.*)$")
FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S*)")


def read_decisions(path):
    """Yields (time, host, fields) of each request line; counts request lines that can't be parsed on standard error."""
    unreadable = 0
    with open(path, encoding="utf-8", errors="replace") as log:
        for line in log:
            if "event=request " not in line:
                continue
            match = LINE.match(line)
            if not match:
                unreadable += 1
                continue
            yield float(match.group(1)), match.group(2), dict(FIELD.findall(match.group(3)))
    if unreadable:
        print(f"{unreadable} request lines could not be parsed", file=sys.stderr)


def kind_of(fields, late_ms):
    """How a request was lost; None if it was answered in time."""
    if fields.get("outcome") != "answered":
        return f"{fields.get('outcome')}:{fields.get('reason')}"
    return "late" if float(fields.get("ms", 0)) > late_ms else None


def print_table(title, counts, totals):
    columns = [kind for kind, _ in collections.Counter(
        {kind: sum(row[kind] for row in counts.values()) for row in counts.values() for kind in row}).most_common()]
    print(f"\n{title:<14} {'requests':>8} " + " ".join(f"{column:>22}" for column in columns))
    for key in sorted(totals):
        print(f"{key!s:<14} {totals[key]:>8} " + " ".join(f"{counts[key][column]:>22}" for column in columns))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--window", type=float, default=2.0, help="seconds covered by each row")
    parser.add_argument("--late", type=float, default=400.0,
                        help="latency in milliseconds above which a response counts as late")
    parser.add_argument("--from", type=float, default=float("-inf"), dest="start")
    parser.add_argument("--to", type=float, default=float("inf"), dest="end")
    options = parser.parse_args()
    by_moment, by_route = collections.defaultdict(collections.Counter), collections.defaultdict(collections.Counter)
    moments, routes = collections.Counter(), collections.Counter()
    for time, _, fields in read_decisions(options.log):
        if not options.start <= time < options.end:
            continue
        moment, route = time // options.window * options.window, fields.get("route", "")
        moments[moment] += 1
        routes[route] += 1
        kind = kind_of(fields, options.late)
        if kind:
            by_moment[moment][kind] += 1
            by_route[route][kind] += 1
    if not moments:
        sys.exit(f"{options.log}: no request line in the selected time range")
    print_table("from second", by_moment, moments)
    print_table("route", by_route, routes)


if __name__ == "__main__":
    main()
