#!/usr/bin/env python3
"""Writes days with a single trouble each, from the first calm day of a site file.

usage: kind_days.py SITE FOLDER

FOLDER, outside the repository, gets one day file a trouble. Nothing of SITE is kept here.
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

# Seconds from the start of traffic at which the trouble comes.
MOMENTS = (4.0, 14.0)


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    text = pathlib.Path(sys.argv[1]).read_text()
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    service = re.search(r"services = \[\s*\{ name = \"([^\"]+)\"", text).group(1)
    day = re.search(r"\[\[day\]\]\nname = \"quiet-1\".*?(?=\n\[\[day\]\]|\Z)", text, re.S).group(0)
    day = re.sub(r"^\[\[day\]\]\n", "", day)
    day = re.sub(r"^(plan|faults) = \[.*?^\]\n", "", day, flags=re.S | re.M)
    head, traffic = day.split("traffic = [", 1)
    for name, table, fields in TROUBLES:
        fields = fields.replace("SERVICE", service)
        entries = "".join(f"  {{ at = {at}, {fields} }},\n" for at in MOMENTS)
        other = "faults" if table == "plan" else "plan"
        troubles = f"{table} = [\n{entries}]\n{other} = []\n"
        path = folder / f"{name}.toml"
        path.write_text(f"{head}{troubles}traffic = [{traffic}")
        print(path)


if __name__ == "__main__":
    main()
