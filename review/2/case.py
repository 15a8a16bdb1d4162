"""A worker signs off, starts again under its id, and leaves once more."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

DRAIN = 2.0  # seconds, the bound
SERVES_ON = 8.0  # seconds that the worker serves after `draining`
HOST, PATH = "alpha.example", "/jobs/x"


async def sign_off(worker: standins.Worker) -> float:
    """Reports `draining`, and goes on reporting it.

    Returns the time of the first acknowledgement.
    """
    worker.state = "draining"
    if await worker.send_beat(worker.announcement()) != 200:
        raise standins.CouldNotRun("`draining` was not acknowledged")
    return time.monotonic()


async def leave(worker: standins.Worker) -> None:
    """Signs off, serves on for a while, says DELETE and exits."""
    await sign_off(worker)
    await asyncio.sleep(DRAIN + 0.5)
    worker.stop_beats()
    if await worker.send_delete() != 200:
        raise standins.CouldNotRun("DELETE was not acknowledged")
    await worker.end()


async def case(fleet: standins.Fleet, trouble: bool) -> bool:
    for name, zone in (("c-0", "za"), ("c-1", "zb"), ("c-2", "zc")):
        fleet.add_control(name, zone)
    nodes = [
        fleet.add_node("n-0", "za", "alpha"),
        fleet.add_node("n-1", "zb", "alpha"),
        fleet.add_node("n-2", "zc", "beta"),
    ]
    for machine in (*fleet.controls, *fleet.nodes):
        machine.start()
    first = standins.Worker(nodes[0], "i-first")
    others = [
        standins.Worker(nodes[1], "i-other"),
        standins.Worker(nodes[2], "i-entry"),
    ]
    for worker in (first, *others):
        await worker.start()
    operator = standins.Operator(fleet)
    await operator.put(
        standins.configuration(
            "r1",
            {"r-alpha": standins.route(HOST, "/jobs/", service="alpha")},
            ("alpha", "beta"),
            {"t": {"api_keys": ["key-of-t"], "priority": 1}},
        ),
        "0",
    )
    for machine in fleet.nodes:
        await standins.wait_ready(machine)
    client = standins.Client(nodes[2], "key-of-t")
    await standins.wait_status(client, HOST, PATH, 200)
    await client.press(20, 4, HOST, PATH)

    # The worker is replaced: it leaves as planned, and starts again, under
    # its id (the disruption) or under another one.
    await leave(first)
    await asyncio.sleep(1.0)
    again = standins.Worker(nodes[0], "i-first" if trouble else "i-second")
    await again.start()
    fleet.record.write(f"{again.identity} has started again")
    await client.press(20, 2, HOST, PATH)
    if not again.runs:
        raise standins.CouldNotRun("the new run got no request")

    # It leaves once more.
    acknowledged_at = await sign_off(again)
    await client.press(20, SERVES_ON, HOST, PATH)
    too_late = [
        (ran_at, request_id)
        for ran_at, request_id, _ in again.runs
        if client.sent[request_id] > acknowledged_at + DRAIN
    ]
    for ran_at, request_id in too_late:
        fleet.record.write(
            f"broken: {request_id} reached {again.identity}"
            f" {ran_at - acknowledged_at:.2f} s after it signed off"
        )
    await again.end()

    # Not judged: the other worker starts again as well, and stays ready. How
    # many of the requests are served while it is the only one?
    await leave(others[0])
    identity = "i-other" if trouble else "i-third"
    last = standins.Worker(nodes[1], identity)
    await last.start()
    for number in range(4):
        before = list(client.sent)
        await client.press(20, 5, HOST, PATH)
        statuses = [
            status
            for request_id, status in client.statuses.items()
            if request_id not in before
        ]
        fleet.record.write(
            f"{5 * number} to {5 * number + 5} s after the start of {identity},"
            f" which reports `ready`: {statuses.count(200)} of"
            f" {len(statuses)} requests served"
        )
    for worker in (last, others[1]):
        await worker.end()
    return bool(too_late)


if __name__ == "__main__":
    standins.run(case, HERE)
