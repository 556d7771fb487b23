#!/usr/bin/env python3
"""Writes variants of a site file, to play deployments that nobody has tuned for.

usage: vary_site.py SITE FOLDER

SITE is the path of a site file; FOLDER, outside the repository, gets one file a variant and copies
of the files beside SITE that its plays need. Nothing of SITE is kept here.
"""

import pathlib
import re
import shutil
import sys


def scaled(text, field, factor, whole=False):
    """Multiplies each value of a field."""

    def value(match):
        number = float(match.group(2)) * factor
        return match.group(1) + (str(max(1, round(number))) if whole else f"{number:g}")

    return re.sub(rf"(\b{field} = )([0-9.]+)", value, text)


def set_to(text, field, value):
    """Sets each value of a field."""
    return re.sub(rf"(\b{field} = )[^,\s}}]+", rf"\g<1>{value}", text)


VARIANTS = {
    "small-memory": lambda text: scaled(text, "kv_tokens", 0.35, whole=True),
    "few-slots": lambda text: scaled(scaled(text, "batch", 0.4, whole=True), "slots", 0.5, whole=True),
    "slow-role-change": lambda text: set_to(text, "switch_s", "4.0"),
    "little-prefill": lambda text: set_to(text, "prefill", "0.15"),
    "much-prefill": lambda text: set_to(text, "prefill", "0.8"),
    "far-zones": lambda text: set_to(text, "cross_zone_ms", "12.0"),
    "poor-store": lambda text: set_to(set_to(text, "writes_per_s", "60.0"), "reads_per_s", "200.0"),
    "tiny-machines": lambda text: set_to(set_to(text, "cpu_share", "0.08"), "memory_mb", "64"),
    "few-connections": lambda text: scaled(text, "conn_cap", 0.3, whole=True),
    "short-handles": lambda text: set_to(text, "handle_s", "1.0"),
    "no-model": lambda text: re.sub(r", llm = \{[^{}]*\}", "", text),
}


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    site, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    wire = re.search(r'^wire = "([^"]+)"', text, re.M)
    if wire:
        shutil.copy(site.parent / wire.group(1), folder)
    for name, change in VARIANTS.items():
        changed = change(text)
        if changed == text:
            print(f"{name}: changes nothing in this site")
            continue
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(changed)
        print(path)


if __name__ == "__main__":
    main()
