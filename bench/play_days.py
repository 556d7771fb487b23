#!/usr/bin/env python3
"""Plays day files and tells, day by day, which rules were broken and what the day was worth.

usage: play_days.py PROGRAM SITE FOLDER [--jobs N] [--seeds A,B,...] [--why TEXT]

PROGRAM is the users' bench, SITE a site file, FOLDER holds day files (see kind_days.py). Beside each day
file of a broken rule or a fault its output is kept as NAME.SEED.txt. The last lines count by rule.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile


def play(options, day, seed):
    """Plays a day; its report and its output."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [options.program, "run", options.site, str(day), "--seed", str(seed)]
        command += ["--report", report.name, "--why", options.why]
        output = subprocess.run(command, capture_output=True, text=True, check=False)
        told = output.stdout + output.stderr
        try:
            return json.loads(pathlib.Path(report.name).read_text()), told
        except ValueError:
            return None, told


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--why", default="Days with chosen troubles")
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    plays = [(day, seed) for day in sorted(options.folder.glob("*.toml")) for seed in seeds]
    broken = collections.Counter()
    not_played = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda one: play(options, *one), plays)
        for (day, seed), (report, told) in zip(plays, results):
            if report is None:
                not_played += 1
                print(f"{day.stem} seed {seed}: not played: {told.strip()[-300:]}", flush=True)
                continue
            rules = report["breaks"]
            fault = report.get("fault")
            print(f"{day.stem} seed {seed}: worth {report['G']:.3f} served {report['served']:.3f}"
                  f" {rules or ''} {fault or ''}", flush=True)
            broken.update(rules.keys())
            if fault:
                broken["fault"] += 1
            if rules or fault:
                day.with_name(f"{day.stem}.{seed}.txt").write_text(told)
    print(f"{len(plays)} days, {not_played} not played; days with a broken rule: {dict(broken)}")
    sys.exit(1 if broken or not_played else 0)


if __name__ == "__main__":
    main()
