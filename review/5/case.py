"""A control is killed while the fleet starts for the first time."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

HOST, PATH = "alpha.example", "/work/x"
APART = 0.3  # seconds within which all machines start, DEPLOY.md
KILLED_AT = 0.5  # seconds after the first start
DOWN = 1.0  # seconds until the platform starts it again
RECOVERY = 15.0  # seconds, the bound
PATIENCE = 60.0  # seconds that the operator goes on sending
LEAD = 10.0  # seconds from the start of the machines to that of the traffic


async def case(fleet: standins.Fleet, trouble: bool) -> bool:
    for name, zone in (("c-0", "za"), ("c-1", "zb"), ("c-2", "zc")):
        fleet.add_control(name, zone)
    node = fleet.add_node("n-0", "za", "alpha")
    first, *others = fleet.controls
    began_at = time.monotonic()
    first.start()
    node.start()
    await asyncio.sleep(APART - 0.05)
    for machine in others:
        machine.start()
    worker = standins.Worker(node, "i-0")
    await worker.start()
    await asyncio.sleep(began_at + KILLED_AT - time.monotonic())
    if trouble:
        first.send(signal.SIGKILL)
        await asyncio.sleep(DOWN)
        # It is not the first start of the whole system any more.
        first.bootstrap = False
        first.start()
    back_at = time.monotonic()

    operator = standins.Operator(fleet)
    acknowledged_at = None
    try:
        acknowledged_at = await operator.put(
            standins.configuration(
                "r1",
                {"r-alpha": standins.route(HOST, "/work/", service="alpha")},
                ("alpha",),
                {"t": {"api_keys": ["key-of-t"], "priority": 1}},
            ),
            "0",
            PATIENCE,
        )
    except standins.CouldNotRun as error:
        fleet.record.write(str(error))
    await asyncio.sleep(max(0.0, began_at + LEAD - time.monotonic()))
    client = standins.Client(node, "key-of-t")
    await client.press(10, 10, HOST, PATH)
    served = sum(status == 200 for status in client.statuses.values())
    fleet.record.write(f"{served} of {len(client.sent)} requests served")
    for machine in fleet.controls:
        fleet.record.write(f"{machine.name} runs: {machine.is_running}")
    await worker.end()
    if acknowledged_at is None:
        return True
    return acknowledged_at > back_at + RECOVERY or not served


if __name__ == "__main__":
    standins.run(case, HERE)
