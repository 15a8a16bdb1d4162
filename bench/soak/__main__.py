"""Command line of the fault soak."""

from __future__ import annotations

import argparse
import collections
import pathlib
import signal
import sys
import tempfile

import trio

from bench.soak import model
from bench.soak import parts
from bench.soak import planner
from bench.soak import soak


def _make_plan(options: argparse.Namespace, seed: int) -> model.Plan:
    if options.cuts:
        return planner.make_cut_plan(
            seed=seed,
            nodes=options.nodes,
            cuts=options.cuts,
            controls=options.controls,
        )
    return planner.make_plan(
        seed=seed,
        nodes=options.nodes,
        seconds=options.seconds,
        connections=options.connections,
        basic=options.basic,
        wide=options.wide,
        parts=options.parts,
        calm=options.calm,
    )


def _describe_lateness(lateness: tuple[model.Lateness, ...]) -> str:
    """Returns how late nodes applied configurations."""
    if not lateness:
        return "no configuration applied"
    median, most = lateness[len(lateness) // 2], lateness[-1]
    high = lateness[-len(lateness) // 100]
    return (
        f"applied {median.seconds:.2f} s after the acknowledgement (median), "
        f"{high.seconds:.2f} s (p99), {most.seconds:.2f} s (maximum, "
        f"r{most.version} at {most.vm})"
    )


def main() -> int:
    """Runs soaks; the exit status is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seed", type=int, help="runs this seed only")
    parser.add_argument(
        "--seeds", default="1..1", metavar="A..B", help="first and last seed"
    )
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--connections", type=int, default=10)
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="length of one plan"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder for the logs of each seed"
    )
    parser.add_argument(
        "--basic", action="store_true", help="no storage faults or slow callers"
    )
    parser.add_argument(
        "--wide",
        action="store_true",
        help="five controls that lose two disks at once, upstreams that "
        "restart, changed weights",
    )
    parser.add_argument(
        "--parts",
        nargs="+",
        default=(),
        choices=parts.PARTS,
        help="added to the plan, each by a draw of its own",
    )
    parser.add_argument(
        "--calm", action="store_true", help="no faults other than of --parts"
    )
    parser.add_argument(
        "--cuts",
        type=int,
        default=0,
        metavar="N",
        help="in place of other faults: N times, controls are cut off from the "
        "others while routes change, after one was lost for good",
    )
    parser.add_argument(
        "--controls", type=int, default=3, help="of plans with cuts"
    )
    options = parser.parse_args()
    # The processes of a soak that is stopped are stopped as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first, last = map(int, options.seeds.split(".."))
    seeds = range(first, last + 1)
    if options.seed is not None:
        seeds = range(options.seed, options.seed + 1)
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
    broken = 0
    for seed in seeds:
        plan = _make_plan(options, seed)
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.logs)
        )
        result = trio.run(soak.Soak(plan=plan, folder=folder).run)
        rules = collections.Counter(v.rule for v in result.violations)
        broken += bool(rules)
        print(
            f"seed {seed}: {dict(rules) or 'no promise broken'}; "
            f"{result.counts}; own delay {result.max_delay:.2f} s; "
            f"{_describe_lateness(result.lateness)}; {folder}",
            flush=True,
        )
    print(f"{broken} of {len(seeds)} seeds broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
