"""Runs every measurement, one after the other; `--only NAME` runs one."""

from __future__ import annotations

import argparse
import subprocess
import sys

BENCHES = {
    "latency": (),
    "quota": (),
    "claims": (),
    "restart": (),
    "policy": ("--seeds", "3"),
    "capacity": (),
}


def main() -> int:
    """Returns 1 if one of them failed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", choices=tuple(BENCHES))
    options = parser.parse_args()
    failed = 0
    for name, arguments in BENCHES.items():
        if options.only in (None, name):
            print(f"\n== {name}", flush=True)
            command = [sys.executable, "-m", f"bench.{name}", *arguments]
            failed |= subprocess.run(command, check=False).returncode
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
