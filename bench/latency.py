"""Added latency through one node and through two, against a direct call.

Also what a process costs while nothing happens: memory, processor time and
bytes on the loopback device.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
import tempfile
import time

from hdrh import histogram
import psutil
import trio

from bench import caller as caller_module
from bench import fleet as fleet_module
from sassafrashall import reports
from sassafrashall.decisions import fleet_commands

REQUESTS = 2000
WARM_UP = 200  # requests
PAUSE = 0.002  # seconds between requests: light load
IDLE_TIME = 10.0  # seconds
LIMIT_US = 60_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Idle:
    """What one process costs while nothing happens.

    Attributes:
      cpu: Part of one core.
      memory: Resident megabytes.
    """

    name: str
    cpu: float
    memory: float


def plan() -> tuple[fleet_module.WorkerPlan, ...]:
    """Returns one worker for each of two services in one data centre."""
    behaviour = {"service_time": 0.0, "slots": 64}
    return tuple(
        fleet_module.WorkerPlan(
            vm=f"{service}-vm",
            data_centre="amman",
            service=service,
            behaviour=behaviour,
        )
        for service in ("near", "far")
    )


async def measure(
    callers: dict[str, caller_module.Caller], targets: dict[str, str]
) -> dict[str, histogram.HdrHistogram]:
    """Sends in turn on each way, so that all see the same machine."""
    found = {name: histogram.HdrHistogram(1, LIMIT_US, 3) for name in callers}
    for count in range(REQUESTS + WARM_UP):
        for name, caller in callers.items():
            sent = await caller.send(targets[name])
            if not sent.whole:
                raise SystemExit(f"{name}: {sent}")
            if count >= WARM_UP:
                found[name].record_value(int(sent.latency * 1e6))
        await trio.sleep(PAUSE)
    return found


async def idle_costs(fleet: fleet_module.Fleet) -> tuple[list[Idle], float]:
    """Returns the costs of each process and loopback bytes a second."""
    names = [*fleet.controls, *fleet.ports]
    processes = {name: psutil.Process(fleet.pid(name)) for name in names}

    def times() -> dict[str, float]:
        return {
            name: sum(process.cpu_times()[:2])
            for name, process in processes.items()
        }

    before, bytes_before = times(), _loopback_bytes()
    await trio.sleep(IDLE_TIME)
    after, bytes_after = times(), _loopback_bytes()
    costs = [
        Idle(
            name=name,
            cpu=(after[name] - before[name]) / IDLE_TIME,
            memory=process.memory_info().rss / 1e6,
        )
        for name, process in processes.items()
    ]
    return costs, (bytes_after - bytes_before) / IDLE_TIME


def _loopback_bytes() -> int:
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


async def run(fleet: fleet_module.Fleet) -> dict:
    """Runs the measurement and returns its figures."""
    with fleet.client() as client:
        await fleet.wait_ready(client)
        await client.submit(
            fleet_commands.CreateOrganisation(
                change_id="c1",
                name="bench",
                template="web-api",
                assignments=(("rate", "100000"), ("burst", "100000")),
            )
        )
        _, key = await client.issue_key("bench", "k", "c2")
        await client.wait_in_force(2, 10.0)
    near = fleet.ports["near-vm"]
    callers = {
        "direct": caller_module.Caller(address=near.upstream, key=""),
        "one node": caller_module.Caller(address=near.callers, key=key),
        "two nodes": caller_module.Caller(address=near.callers, key=key),
    }
    targets = {
        "direct": "/near/x",
        "one node": "/near/x",
        "two nodes": "/far/x",
    }
    found = await measure(callers, targets)
    for caller in callers.values():
        await caller.close()
    direct = found["direct"]
    rows = []
    for name, values in found.items():
        row = {"way": name}
        for percentile in (50, 99):
            value = values.get_value_at_percentile(percentile)
            base = direct.get_value_at_percentile(percentile)
            row[f"p{percentile} ms"] = round(value / 1000, 3)
            row[f"added p{percentile} ms"] = round((value - base) / 1000, 3)
        rows.append(row)
    idle, loopback = await idle_costs(fleet)
    return {
        "latency": rows,
        "idle": [dataclasses.asdict(cost) for cost in idle],
        "loopback bytes a second": loopback,
    }


def main() -> int:
    """Prints the figures as tables, and as JSON with `--json`."""
    with tempfile.TemporaryDirectory(prefix="sassafrashall-") as folder:
        fleet = fleet_module.Fleet(
            folder=pathlib.Path(folder),
            data_centres=("amman",),
            workers=plan(),
        )
        try:
            fleet.start_all()
            figures = trio.run(run, fleet)
        finally:
            fleet.close()
    if "--json" in sys.argv:
        print(json.dumps(figures))
        return 0
    rows = figures["latency"]
    print(reports.table(tuple(rows[0]), [tuple(r.values()) for r in rows]))
    print()
    print(
        reports.table(
            ("PROCESS", "CPU %", "MEMORY MB"),
            [
                (c["name"], f"{c['cpu'] * 100:.2f}", f"{c['memory']:.0f}")
                for c in figures["idle"]
            ],
        )
    )
    print(f"loopback: {figures['loopback bytes a second']:.0f} bytes a second")
    print(time.strftime("measured %Y-%m-%d"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
