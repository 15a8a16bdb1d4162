"""A worker signs off beside a node that was killed and started again."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

DRAIN = 2.0  # seconds, the bound
CONTACT = 3.0  # seconds, the bound
LATE = 2.5  # seconds by which one heartbeat arrives late
SERVES_ON = 12.0  # seconds that the worker serves after its sign-off
HOST, PATH = "alpha.example", "/jobs/x"


async def case(fleet: standins.Fleet, trouble: bool) -> bool:
    for name, zone in (("c-0", "za"), ("c-1", "zb"), ("c-2", "zc")):
        fleet.add_control(name, zone)
    leaving_node = fleet.add_node("n-0", "za", "alpha")
    staying_node = fleet.add_node("n-1", "zb", "alpha")
    entry_node = fleet.add_node("n-2", "zc", "beta")
    for machine in (*fleet.controls, *fleet.nodes):
        machine.start()
    leaving = standins.Worker(leaving_node, "i-leaving")
    others = [
        standins.Worker(staying_node, "i-staying"),
        standins.Worker(entry_node, "i-entry"),
    ]
    for worker in (leaving, *others):
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
        machine.bootstrap = False
    client = standins.Client(entry_node, "key-of-t")
    await standins.wait_status(client, HOST, PATH, 200)
    await client.press(20, 5, HOST, PATH)
    if not leaving.runs or not others[0].runs:
        raise standins.CouldNotRun("a worker got no request")

    # The disruption: the node beside the worker is killed and restarted.
    leaving.stop_beats()
    restarted_at = time.monotonic()
    if trouble:
        leaving_node.send(signal.SIGKILL)
        await asyncio.sleep(0.3)
        leaving_node.start()
        restarted_at = time.monotonic()
        await standins.wait_ready(leaving_node)

    # The worker's next heartbeat is under way for some seconds. Meanwhile it
    # signs off, as workers do that never report `draining`, and serves on.
    late_beat = leaving.announcement()
    sent_at = time.monotonic()
    fleet.record.write(f"i-leaving sends heartbeat {leaving.sequence}")
    pressing = asyncio.create_task(client.press(20, 14, HOST, PATH))
    await asyncio.sleep(0.2)
    if await leaving.send_delete() != 200:
        raise standins.CouldNotRun("the sign-off was not acknowledged")
    acknowledged_at = time.monotonic()
    await asyncio.sleep(sent_at + LATE - time.monotonic())
    await leaving.send_beat(late_beat)
    await asyncio.sleep(acknowledged_at + SERVES_ON - time.monotonic())
    await pressing
    served = sum(status == 200 for status in client.statuses.values())
    fleet.record.write(f"{served} of {len(client.sent)} requests served")

    # Requests that reached the worker later than `drain` after it, and that
    # clients sent when all machines had been in touch for `contact`.
    counts_from = max(acknowledged_at + DRAIN, restarted_at + CONTACT + 0.5)
    too_late = [
        (ran_at, request_id)
        for ran_at, request_id, _ in leaving.runs
        if client.sent[request_id] > counts_from
    ]
    for ran_at, request_id in too_late:
        fleet.record.write(
            f"broken: {request_id} reached i-leaving"
            f" {ran_at - acknowledged_at:.2f} s after its sign-off"
        )
    for worker in (leaving, *others):
        await worker.end()
    return bool(too_late)


if __name__ == "__main__":
    standins.run(case, HERE)
