"""Scores sites on the users' bench and compares the scores with deploy/levels.toml; see scripts/replay."""

import os
import re
import subprocess
import sys
import tomllib

ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s")
WHY = "Regression: levels that must hold"


def play(bench, site, options):
    """Scores a site; returns the worth of each day and the bench's line about the gate."""
    command = [bench, "score", site, *options, "--why", WHY]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    lines = run.stdout.splitlines()
    rows = [match.groups() for match in map(ROW.match, lines) if match]
    gate = next((line for line in lines if line.startswith("GATE")), "no gate")
    if not rows:
        print(run.stdout[-2000:], run.stderr[-2000:], file=sys.stderr)
    return {day: float(worth) for day, worth in rows}, gate


def compare(level, worths, gate, noise):
    """Prints the worth and the level of each day; returns how many are below their level."""
    fallen = 0
    for day, least in level["days"].items():
        worth = worths.get(day)
        low = worth is None or worth < least - noise
        fallen += low
        print(f"  {day:12} {worth} level {least}{'  BELOW LEVEL' if low else ''}")
    if level.get("gate") and not gate.startswith("GATE passed"):
        fallen += 1
        print(f"  {gate}  NOT PASSED")
    return fallen


def main():
    """Scores the sites given on the command line, or all sites."""
    bench, names = sys.argv[1], sys.argv[2:]
    with open("deploy/levels.toml", "rb") as file:
        levels = tomllib.load(file)
    root = os.environ.get("RATTANARCH_SITES", "../given/kit/more/system")
    fallen = 0
    for name, level in levels["sites"].items():
        if names and name not in names:
            continue
        print(name, flush=True)
        worths, gate = play(bench, os.path.join(root, level["file"]), level.get("options", []))
        fallen += compare(level, worths, gate, levels["noise"])
    print(f"{fallen} below their level")
    sys.exit(1 if fallen else 0)


main()
