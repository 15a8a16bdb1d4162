"""The weights of a route change while it is in use."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

HOST, PATH = "alpha.example", "/jobs/x"
CONFIG_APPLY = 2.0  # seconds, the bound
OFF = 0.2  # by which a share may lie off its weight's


def document(version: str, alpha: int, beta: int) -> dict:
    targets = [
        {"service": "alpha", "weight": alpha},
        {"service": "beta", "weight": beta},
    ]
    return standins.configuration(
        version,
        {"r-1": standins.route(HOST, "/jobs/", weighted_targets=targets)},
        ("alpha", "beta"),
        {"t": {"api_keys": ["key-of-t"], "priority": 1}},
    )


async def case(fleet: standins.Fleet, trouble: bool) -> bool:
    for name, zone in (("c-0", "za"), ("c-1", "zb"), ("c-2", "zc")):
        fleet.add_control(name, zone)
    services = ("alpha", "alpha", "beta", "beta")
    for number, service in enumerate(services):
        zone = ("za", "zb", "zc", "za")[number]
        fleet.add_node(f"n-{number}", zone, service)
    for machine in (*fleet.controls, *fleet.nodes):
        machine.start()
    workers = [
        standins.Worker(node, f"i-{node.name}") for node in fleet.nodes
    ]
    for worker in workers:
        await worker.start()
    operator = standins.Operator(fleet)
    await operator.put(document("r1", 90, 10), "0")
    for machine in fleet.nodes:
        await standins.wait_ready(machine)
    clients = [standins.Client(node, "key-of-t") for node in fleet.nodes]
    for client in clients:
        await standins.wait_status(client, HOST, PATH, 200)

    async def press(seconds: float) -> float:
        """Presses in steady state and returns the share of `beta`."""
        before = [len(worker.runs) for worker in workers]
        sent_before = [len(client.sent) for client in clients]
        async with asyncio.TaskGroup() as group:
            for client in clients:
                group.create_task(client.press(10, seconds, HOST, PATH))
        runs = [
            len(worker.runs) - count
            for worker, count in zip(workers, before, strict=True)
        ]
        share = sum(runs[2:]) / max(1, sum(runs))
        failed = sum(
            client.statuses[request_id] != 200
            for client, count in zip(clients, sent_before, strict=True)
            for request_id in list(client.sent)[count:]
        )
        fleet.record.write(
            f"{sum(runs)} runs, share of beta {share:.3f}, {failed} not served"
        )
        if failed:
            raise standins.CouldNotRun("a part turned requests away")
        return share

    weight = 0.1
    share = await press(20)
    if abs(share - weight) > OFF:
        raise standins.CouldNotRun(f"share {share:.2f} before the change")
    if trouble:
        weight = 0.5
        await operator.put(document("r2", 50, 50), "r1")
    await asyncio.sleep(CONFIG_APPLY + 1.0)
    shares = [await press(6), await press(6)]
    for worker in workers:
        await worker.end()
    return any(abs(share - weight) > OFF for share in shares)


if __name__ == "__main__":
    standins.run(case, HERE)
