"""A worker that has signed off gets requests after a kill in its zone.

Three controls, four nodes. The worker beside node-0 never reports `draining`:
it sends DELETE, which is acknowledged, and serves on. The control and the node
of its zone are killed at the same moment and are back within a second; the two
other controls go on. A heartbeat that the worker had sent before its DELETE
arrives late.
"""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import trial  # noqa: E402

DRAIN = 2.0  # seconds, bound of the pages
CONTACT = 3.0  # seconds, bound of the pages
LATE = 3.0  # seconds by which the last heartbeat arrives late
SERVES_ON = 13.0  # seconds after the acknowledgement until the worker exits
KEY = "6wsjnbanfqasnmgkcuyj"
RATE = 20  # requests a second at each node


async def main(fleet):
    note = fleet.note
    fleet.add_controls(3)
    controls = list(fleet.ports)
    nodes = [f"node-{n}" for n in range(4)]
    workers = {}
    for number, node in enumerate(nodes):
        zone = fleet.zones[number % 3]
        worker = trial.Worker(fleet, node, zone, "alpha")
        fleet.add_node(node, zone, "alpha", worker.port)
        workers[node] = worker
    for name in [*controls, *nodes]:
        fleet.start(name)
    operator = trial.Operator(fleet, controls)
    document = trial.configuration(
        1,
        {"r-a": trial.route("alpha", "/a/")},
        ["alpha"],
        {"pulo780": {"api_keys": [KEY], "priority": 0}},
    )
    who, answer = await operator.put(document, 0)
    note(f"PUT r1 -> {who} {answer and answer.status}")
    if answer is None or answer.status != 200:
        return trial.NOT_RUN
    for worker in workers.values():
        await worker.start()
    await asyncio.sleep(5.0)

    sent = {}  # request id: (node, sent at)
    answers = {}
    stop = asyncio.Event()

    async def client(node):
        number = 0
        port = fleet.ports[node]["callers"]
        pending = set()

        async def one(request_id):
            connection = trial.Connection("127.0.0.1", port)
            sent[request_id] = (node, time.monotonic())
            answer = await connection.ask(
                "GET",
                "/a/x",
                {
                    "Host": "shop.example",
                    "Request-Id": request_id,
                    "Request-Deadline": "2000",
                    "Authorization": f"Bearer {KEY}",
                },
                timeout=2.2,
            )
            connection.close()
            status = answer.status if answer else 0
            answers[status] = answers.get(status, 0) + 1

        while not stop.is_set():
            number += 1
            task = asyncio.create_task(one(f"{node}-{number}"))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RATE)
        if pending:
            await asyncio.wait(pending, timeout=3)

    clients = [asyncio.create_task(client(node)) for node in nodes]
    await asyncio.sleep(3.0)

    leaver = workers["node-0"]
    if not leaver.runs:
        note(f"the worker beside node-0 got no request before: {answers}")
        return trial.NOT_RUN
    port = fleet.ports["node-0"]["announcements"]
    # The last heartbeat, sent before the DELETE; it is on its way.
    leaver._task.cancel()
    leaver.sequence += 1
    late_beat = json.dumps(
        {
            "address": f"127.0.0.1:{leaver.port}",
            "born": leaver.born,
            "info": {"service": "alpha", "version": "v1",
                     "zone": leaver.zone, "slots": 45},
            "status": {"state": "ready", "sequence": leaver.sequence,
                       "cold_remaining": "0ms"},
        }
    ).encode()
    beat_at = time.monotonic()
    note(f"heartbeat {leaver.sequence} (ready) of i-node-0 sent, is delayed")
    answer = await trial.Connection("127.0.0.1", port).ask(
        "DELETE", f"/-/instances/{leaver.instance}", timeout=1.0
    )
    acked_at = time.monotonic()
    note(f"DELETE of i-node-0 -> {answer and answer.status}")
    if answer is None or answer.status >= 300:
        return trial.NOT_RUN

    await asyncio.sleep(0.3)
    if trial.TROUBLE:
        for name in ["control-0", "node-0"]:
            fleet.kill(name)
        await asyncio.sleep(0.2)
        fleet.write_control("control-0", fleet.zones[0], first_start=False)
        fleet.start("control-0")
        await asyncio.sleep(0.6)
        fleet.start("node-0")
    back_at = time.monotonic()

    await asyncio.sleep(max(0.0, beat_at + LATE - time.monotonic()))
    answer = await trial.Connection("127.0.0.1", port).ask(
        "PUT",
        f"/-/instances/{leaver.instance}",
        {"Content-Type": "application/json"},
        late_beat,
        timeout=1.0,
    )
    note(f"the delayed heartbeat arrives at node-0 -> {answer and answer.status}")

    await asyncio.sleep(max(0.0, acked_at + SERVES_ON - time.monotonic()))
    stop.set()
    await asyncio.gather(*clients)
    # Start-up of a process takes a second at most here; then `contact`.
    calm_at = max(acked_at + DRAIN, back_at + 1.0 + CONTACT)
    after = [r for r in leaver.runs if r[0] > acked_at + DRAIN]
    wrong = [
        r for r in after if r[1] in sent and sent[r[1]][1] > calm_at
    ]
    for at, request_id, _ in after:
        node, sent_at = sent.get(request_id, ("?", 0.0))
        note(
            f"i-node-0 runs {request_id}, {at - acked_at:.2f} s after the "
            f"acknowledgement; sent at {node} {sent_at - acked_at:.2f} s after"
        )
    others = {n: len(w.runs) for n, w in workers.items()}
    note(f"answers by status {answers}; runs by worker {others}")
    note(
        f"{len(after)} requests reached i-node-0 later than drain after the "
        f"acknowledgement, {len(wrong)} of them sent when all were in touch"
    )
    operator.close()
    for worker in workers.values():
        await worker.stop()
    if fleet.dead():
        note(f"ended by themselves: {fleet.dead()}")
    if wrong:
        note("BROKEN: DRAIN")
        return trial.BROKEN
    return trial.HELD


trial.run(main, HERE / "record.txt")
