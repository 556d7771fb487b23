#!/usr/bin/env python3
"""Writes days with a single trouble each, or with two that touch the same thing, from the first
calm day of a site file.

usage: kind_days.py SITE FOLDER [--pairs]

FOLDER, outside the repository, gets for each trouble a day file a strength, in which it comes at
three moments; with --pairs one a pair, the second trouble shortly after the first. Nothing of SITE is
kept here.
"""

import pathlib
import re
import sys

# Name, table of the day, fields of the entry. "SERVICE" stands for the first service.
TROUBLES = [
    ("srv_slow", "faults", 'kind = "srv_slow", share = 0.3, x = 6.0, for_s = 6.0, service = "SERVICE"'),
    ("srv_slow-all", "faults", 'kind = "srv_slow", share = 0.15, x = 4.0, for_s = 5.0'),
    ("srv_cut", "faults", 'kind = "srv_cut", share = 0.2, for_s = 6.0'),
    ("srv_cut-fronts", "faults", 'kind = "srv_cut", share = 0.25, x = 0.3, how = "fronts", for_s = 6.0'),
    ("srv_cut-some", "faults", 'kind = "srv_cut", share = 0.3, x = 0.4, how = "some", for_s = 6.0'),
    ("srv_cut-lossy", "faults", 'kind = "srv_cut", share = 0.3, x = 0.4, how = "some lossy", for_s = 6.0'),
    ("srv_cut-one-way", "faults", 'kind = "srv_cut", share = 0.2, how = "one_way", for_s = 6.0'),
    ("reuse", "faults", 'kind = "replace_with_reuse", share = 0.2'),
    ("reuse-drain", "plan", 'kind = "replace_with_reuse", share = 0.2, how = "drain"'),
    ("reuse-dark", "faults", 'kind = "replace_with_reuse", share = 0.2, how = "dark"'),
    ("scale_out", "plan", 'kind = "scale_out", share = 0.4, gap_s = 1.0'),
    ("node_slow", "faults", 'kind = "node_slow", share = 0.4, x = 8.0, for_s = 6.0'),
    ("reset_conns", "faults", 'kind = "reset_conns", share = 0.5, x = 0.7, for_s = 5.0'),
    ("node_cut", "faults", 'kind = "node_cut", share = 0.2, for_s = 6.0'),
    ("node_cut-all", "faults", 'kind = "node_cut", share = 0.2, how = "all", for_s = 6.0'),
    ("node_cut-servers", "faults", 'kind = "node_cut", share = 0.3, how = "servers", for_s = 6.0'),
    ("core_cut-one-way", "faults", 'kind = "core_cut", count = 2, how = "one_way", for_s = 6.0'),
    ("core_cut-all", "faults", 'kind = "core_cut", count = 2, how = "all race drain", for_s = 6.0'),
    ("freeze", "faults", 'kind = "node_freeze", share = 0.4, for_s = 5.0'),
    ("grey-hang", "faults", 'kind = "srv_grey", share = 0.3, x = 0.4, how = "hang", for_s = 6.0'),
    ("grey-slow", "faults", 'kind = "srv_grey", share = 0.3, x = 0.5, how = "slow", for_s = 6.0'),
    ("grey-shed", "faults", 'kind = "srv_grey", share = 0.4, x = 0.6, how = "shed", for_s = 6.0'),
    ("grey-busy", "faults", 'kind = "srv_grey", share = 0.4, x = 0.6, how = "busy", for_s = 6.0'),
    ("rot", "faults", 'kind = "garble", share = 0.5, x = 0.05, how = "rot", for_s = 6.0'),
    ("early", "faults", 'kind = "garble", share = 0.5, x = 0.1, how = "early", for_s = 6.0'),
    ("spot", "plan", 'kind = "scale_in", share = 0.2, how = "spot"'),
    ("reclaim", "plan", 'kind = "scale_in", share = 0.2, how = "reclaim", for_s = 6.0'),
    ("store-lapse", "faults", 'kind = "platform_down", how = "lapse", for_s = 6.0'),
    ("store-busy", "faults", 'kind = "platform_down", how = "busy", for_s = 8.0'),
    ("store-slow", "faults", 'kind = "platform_slow", x = 400.0, for_s = 6.0'),
    ("store-late", "faults", 'kind = "platform_lost", how = "late", x = 0.6, for_s = 6.0'),
    ("orders-late", "faults", 'kind = "applied_late", how = "all", x = 0.8, for_s = 12.0'),
    ("remove", "plan", 'kind = "roll_term", how = "remove", share = 0.3, gap_s = 2.0'),
    ("herd-power", "faults", 'kind = "herd_kill", how = "power", share = 0.9, for_s = 2.0'),
]

# Further troubles, which the sites' own days have too.
OTHERS = [
    ("store-nodes", "faults", 'kind = "platform_down", how = "nodes", share = 0.5, for_s = 6.0'),
    ("store-nodes-busy", "faults", 'kind = "platform_down", how = "nodes busy leader", share = 0.5, for_s = 6.0'),
    ("store-nodes-many", "faults", 'kind = "platform_down", how = "nodes many leader", share = 0.5, for_s = 6.0'),
    ("store-nodes-reset", "faults", 'kind = "platform_down", how = "nodes reset revoke", share = 0.5, for_s = 6.0'),
    ("store-lost", "faults", 'kind = "platform_lost", x = 0.6, for_s = 6.0'),
    ("store-compact", "faults", 'kind = "platform_compact", how = "drain", x = 5.0, for_s = 6.0'),
    ("crash", "faults", 'kind = "srv_crash", service = "SERVICE", share = 0.2, for_s = 4.0'),
    ("crash-dark", "faults", 'kind = "srv_crash", how = "dark", share = 0.2, for_s = 4.0'),
    ("answers-lost", "faults", 'kind = "answer_lost", x = 0.3, share = 0.6, for_s = 6.0'),
    ("unframed", "faults", 'kind = "garble", how = "unframed extra", share = 0.5, x = 0.05, for_s = 6.0'),
    ("retry-abuse", "faults", 'kind = "retry_abuse", share = 0.4, x = 3.0, for_s = 6.0'),
    ("burst", "faults", 'kind = "burst", x = 2.2, for_s = 6.0'),
    ("lossy", "faults", 'kind = "lossy", x = 0.05, for_s = 6.0'),
    ("leader-cut", "faults", 'kind = "core_cut", count = 1, how = "leader race drain hard", for_s = 5.0'),
    ("leader-kill", "faults", 'kind = "node_kill", on = "core", count = 1, how = "leader race hard", for_s = 3.0'),
    ("release", "plan", 'kind = "release", share = 0.5, gap_s = 1.0'),
    ("scale-in", "plan", 'kind = "scale_in", share = 0.2'),
    ("roll-busy", "plan", 'kind = "roll_term", share = 0.6, gap_s = 1.0, how = "busy"'),
    ("storm", "plan", 'kind = "config_storm", gap_s = 0.06, for_s = 4.0, how = "route"'),
    ("hup", "plan", 'kind = "hup", share = 0.6, gap_s = 1.0'),
    ("ack-kill", "faults", 'kind = "after_ack_kill", how = "timed", for_s = 3.0'),
    ("handle-short", "faults", 'kind = "handle_short", service = "SERVICE", share = 0.5, for_s = 5.0'),
    ("moves-slow", "faults", 'kind = "kv_slow", service = "SERVICE", share = 0.5, for_s = 5.0'),
    ("clock", "faults", 'kind = "clock_step", share = 0.6, how = "back", x = 4000, for_s = 5.0'),
]

# Troubles that touch the same thing, by name; the second comes while the first lasts.
PAIRS = [
    ("store-nodes", "scale-in"),
    ("store-nodes", "storm"),
    ("store-nodes-busy", "release"),
    ("store-nodes-many", "roll-busy"),
    ("store-nodes-reset", "leader-kill"),
    ("store-lapse", "leader-kill"),
    ("store-busy", "release"),
    ("store-slow", "scale-in"),
    ("store-late", "leader-cut"),
    ("store-lost", "leader-kill"),
    ("store-compact", "freeze"),
    ("release", "roll-busy"),
    ("release", "crash"),
    ("scale-in", "freeze"),
    ("scale-in", "orders-late"),
    ("freeze", "storm"),
    ("freeze", "leader-cut"),
    ("storm", "roll-busy"),
    ("storm", "ack-kill"),
    ("burst", "crash"),
    ("burst", "release"),
    ("burst", "herd-power"),
    ("burst", "orders-late"),
    ("answers-lost", "retry-abuse"),
    ("answers-lost", "unframed"),
    ("crash-dark", "retry-abuse"),
    ("grey-shed", "burst"),
    ("grey-hang", "crash-dark"),
    ("lossy", "roll-busy"),
    ("lossy", "reset_conns"),
    ("node_cut", "leader-kill"),
    ("srv_cut", "release"),
    ("reuse", "freeze"),
    ("reuse-drain", "store-slow"),
    ("handle-short", "moves-slow"),
    ("handle-short", "orders-late"),
    ("clock", "leader-cut"),
    ("hup", "roll-busy"),
    ("node_slow", "roll-busy"),
    ("scale_out", "crash"),
]

# Seconds from the start of traffic at which a single trouble comes.
MOMENTS = (1.0, 9.0, 20.0)

# Seconds at which the two of a pair come.
PAIR_MOMENTS = ((4.0, 5.5), (16.0, 18.0))

# Factors of a trouble's share, where it has one.
STRENGTHS = {"weak": 0.5, "as-is": 1.0, "strong": 2.0}


def strengthened(fields, factor):
    """The fields with the share multiplied, at most to 1."""

    def value(match):
        return f"share = {min(1.0, float(match.group(1)) * factor):g}"

    return re.sub(r"share = ([0-9.]+)", value, fields)


class CalmDay:
    """The first calm day of a site, without its troubles."""

    def __init__(self, text):
        self.service = re.search(r"services = \[\s*\{ name = \"([^\"]+)\"", text).group(1)
        day = re.search(r"\[\[day\]\]\nname = \"quiet-1\".*?(?=\n\[\[day\]\]|\Z)", text, re.S).group(0)
        day = re.sub(r"^\[\[day\]\]\n", "", day)
        day = re.sub(r"^(plan|faults) = \[.*?^\]\n", "", day, flags=re.S | re.M)
        self.head, self.traffic = day.split("traffic = [", 1)

    def write(self, path, entries):
        """Writes the day with entries of (moment, table, fields)."""
        tables = ""
        for table in ("plan", "faults"):
            lines = "".join(
                f"  {{ at = {at}, {fields.replace('SERVICE', self.service)} }},\n"
                for at, place, fields in entries
                if place == table
            )
            tables += f"{table} = [\n{lines}]\n"
        path.write_text(f"{self.head}{tables}traffic = [{self.traffic}")
        print(path)


def main():
    arguments = [argument for argument in sys.argv[1:] if argument != "--pairs"]
    if len(arguments) != 2:
        sys.exit(__doc__)
    day = CalmDay(pathlib.Path(arguments[0]).read_text())
    folder = pathlib.Path(arguments[1])
    folder.mkdir(parents=True, exist_ok=True)
    if "--pairs" in sys.argv:
        known = {name: (table, fields) for name, table, fields in TROUBLES + OTHERS}
        for first, second in PAIRS:
            entries = []
            for at, then in PAIR_MOMENTS:
                entries += [(at, *known[first]), (then, *known[second])]
            day.write(folder / f"{first}+{second}.toml", entries)
        return
    for name, table, fields in TROUBLES + OTHERS:
        for strength, factor in STRENGTHS.items():
            if strength != "as-is" and "share = " not in fields:
                continue
            entries = [(at, table, strengthened(fields, factor)) for at in MOMENTS]
            day.write(folder / f"{name}.{strength}.toml", entries)


if __name__ == "__main__":
    main()
