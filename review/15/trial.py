"""A worker signs off while the core restarts; then its node is killed, too."""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import fleet as fleet_module  # noqa: E402

LEAVING, OTHER = "node-0", "node-1"  # nodes beside workers of one service
ENTRY = "node-2"
CORE_DOWN = 0.95  # seconds from the kill of the core to its start
LATE = 3.0  # seconds by which the last heartbeat before the DELETE is late
SERVES = 14.0  # seconds for which the worker serves after the DELETE
CONTACT, DRAIN = 3.0, 2.0  # seconds
START = 1.0  # seconds for the processes to start
RATE = 20.0  # requests a second


async def trial(make, record):
    """Returns whether requests reached the worker beyond `drain`."""
    fleet = make(controls=3)
    for vm in fleet.controls:
        fleet.add_control(vm)
    for vm, service in ((LEAVING, "alpha"), (OTHER, "alpha"), (ENTRY, "beta")):
        fleet.add_node(vm, service)
    for worker in fleet.workers:
        await worker.start()
    answer = await fleet.configure(
        fleet_module.configuration(1, ["alpha", "beta"]))
    assert answer.status == 200, answer
    await fleet.wait_ready((LEAVING, OTHER, ENTRY))
    await asyncio.sleep(6.0)

    worker = fleet.workers[0]
    disrupted = fleet_module.trouble()
    killed_at = time.monotonic()
    if disrupted:
        for vm in fleet.controls:
            fleet.signal(vm, signal.SIGKILL)
        for vm in fleet.controls:
            fleet.processes[vm].wait()
    # The last heartbeat before the DELETE is under way for a while.
    worker._beats.cancel()
    worker.sequence += 1
    heartbeat = json.dumps({
        "address": f"127.0.0.1:{worker.port}", "born": worker.born,
        "info": {"service": "alpha", "version": "v1", "zone": "dc-a",
                 "slots": worker.slots},
        "status": {"state": "ready", "sequence": worker.sequence,
                   "cold_remaining": "0ms"}}).encode()
    sent_heartbeat_at = time.monotonic()
    await asyncio.sleep(0.02)
    answer = await worker.leave()
    acknowledged_at = time.monotonic()
    record.write("DELETE answered", answer.status,
                 f"{acknowledged_at - killed_at:.3f} s after the kill")
    assert answer.status == 200, answer
    if disrupted:
        fleet.signal(LEAVING, signal.SIGKILL)
        fleet.processes[LEAVING].wait()
        await asyncio.sleep(
            max(0.0, killed_at + CORE_DOWN - time.monotonic()))
        for vm in (*fleet.controls, LEAVING):
            fleet.start(vm)
    back_at = time.monotonic() + START

    async def deliver():
        await asyncio.sleep(
            max(0.0, sent_heartbeat_at + LATE - time.monotonic()))
        answer = await fleet_module.call(
            worker.node_port, "PUT", f"/-/instances/{worker.id}", heartbeat)
        record.write("late heartbeat answered", answer.status)

    sent, statuses = {}, {}

    async def request(number):
        name = f"q{number}"
        sent[name] = time.monotonic()
        record.write("sent", name)
        vm = LEAVING if number % 2 else ENTRY
        port = fleet.ports[vm]["callers"]
        try:
            answer = await fleet_module.call(
                port, "GET", "/alpha/read/x",
                headers=fleet_module.client_headers(name), timeout=6.0)
            result = answer.status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            result = type(error).__name__
        record.write("answer", name, result)
        statuses[result] = statuses.get(result, 0) + 1

    tasks = [asyncio.create_task(deliver())]
    while time.monotonic() < acknowledged_at + SERVES:
        tasks.append(asyncio.create_task(request(len(tasks))))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    from_at = max(back_at + CONTACT, acknowledged_at + DRAIN)
    late = []
    for run in worker.runs:
        record.write("run", run.request_id, f"{run.began_at - killed_at:.3f}")
        if sent.get(run.request_id, 0.0) > from_at:
            late.append(sent[run.request_id] - acknowledged_at)
    line = f"{len(late)} requests reached the worker that had signed off"
    if late:
        line += f", sent {min(late):.1f} to {max(late):.1f} s after the answer"
    record.write(line, statuses)
    print(line, statuses)
    if fleet.exited():
        raise RuntimeError(f"processes ended: {fleet.exited()}")
    return bool(late)


fleet_module.main(trial, HERE)
