"""Two of five controls lose their disks, as the large deployment tolerates."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

HOST, PATH = "alpha.example", "/jobs/x"
CATCH_UP = 6.0  # seconds, the bound of the large deployment
RECOVERY = 15.0  # seconds, the bound
CONTACT = 4.0  # seconds, the bound of the large deployment
DOWN = 3.0  # seconds, `for_s` of `after_ack_wipe` in the site file
WATCHED = 20.0  # seconds in which requests and reads are judged


def document(version: str, timeout: str) -> dict:
    route = standins.route(HOST, "/jobs/", service="alpha", timeout=timeout)
    return standins.configuration(
        version,
        {"r-alpha": route},
        ("alpha",),
        {"t": {"api_keys": ["key-of-t"], "priority": 1}},
    )


async def case(fleet: standins.Fleet, trouble: bool) -> bool:
    fleet.tolerance = {"machines": 2, "zones": 1, "regions": 0}
    fleet.bounds |= {
        "contact": "4000ms",
        "catch_up": "6s",
        "drain": "2500ms",
        "grace": "10s",
        "config_apply": "2500ms",
        "max_skew": "6000ms",
        "retry_budget_slack": 209,
    }
    for number in range(5):
        fleet.add_control(f"c-{number}", f"z{number}")
    for number in range(2):
        fleet.add_node(f"n-{number}", f"z{3 + number}", "alpha")
    for machine in (*fleet.controls, *fleet.nodes):
        machine.start()
    workers = [standins.Worker(node, f"i-{node.name}") for node in fleet.nodes]
    for worker in workers:
        await worker.start()
    operator = standins.Operator(fleet)
    await operator.put(document("r1", "5000ms"), "0")
    for machine in (*fleet.controls, *fleet.nodes):
        machine.bootstrap = False
    for machine in fleet.nodes:
        await standins.wait_ready(machine)
    client = standins.Client(fleet.nodes[0], "key-of-t")
    await standins.wait_status(client, HOST, PATH, 200)
    # All controls have had time to catch up.
    await client.press(10, CATCH_UP + 2.0, HOST, PATH)

    # A change is acknowledged; the control that acknowledged it and one more
    # lose power within milliseconds, and their disks with it.
    await operator.put(document("r2", "4000ms"), "r1")
    acknowledged_by = operator.acknowledged_by
    if trouble:
        other = next(
            machine
            for machine in fleet.controls[:3]
            if machine is not acknowledged_by
        )
        lost = (acknowledged_by, other)
        for machine in lost:
            machine.send(signal.SIGKILL)
        for machine in lost:
            machine.lose_disk()
        await asyncio.sleep(DOWN)
        for machine in lost:
            machine.start()
    back_at = time.monotonic()
    await client.press(10, RECOVERY, HOST, PATH)

    # Later than `recovery` after the machines are back.
    before = len(client.sent)
    pressing = asyncio.create_task(client.press(10, WATCHED, HOST, PATH))
    reads: list[str] = []
    while time.monotonic() < back_at + RECOVERY + WATCHED:
        for machine in fleet.controls:
            reads.append(await operator.read(machine))
        await asyncio.sleep(0.5)
    await pressing
    late = list(client.sent)[before:]
    served = sum(client.statuses[request] == 200 for request in late)
    fleet.record.write(
        f"later than `recovery`: {served} of {len(late)} requests served, "
        f"reads {({read: reads.count(read) for read in reads})}"
    )
    try:
        await operator.put(document("r3", "3000ms"), "r2", CONTACT)
        fleet.record.write("a further change was acknowledged")
    except standins.CouldNotRun as error:
        fleet.record.write(f"a further change: {error}")
    for worker in workers:
        await worker.end()
    return "r2" not in reads or served < len(late) / 4


if __name__ == "__main__":
    standins.run(case, HERE)
