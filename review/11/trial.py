"""A node freezes while it passes long requests on; checks what workers run."""

import asyncio
import hashlib
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import fleet as fleet_module  # noqa: E402

ENTRY, WORKERS = "node-0", ("node-1", "node-2")
SLOTS = 40  # of each worker
WORK = 0.5  # seconds for which a request runs
FREEZE = 1.8  # seconds; 6.2 is the longest node_freeze of the site file
LEADS = (0.25, 0.35, 0.45)  # seconds from a burst of requests to a freeze
PAUSE = 7.0  # seconds until the next burst
BURST = 150  # requests with a body; a third as many without one come beside
SIZE = 200_000  # bytes of a body; the configuration allows 64 MiB
CHUNK = 30_000


async def trial(make, record):
    """Returns whether a worker ran a request with another body."""
    fleet = make()

    async def handler(worker, run, reader, writer):
        if run.target.startswith("/health"):
            return await worker.default_handler(worker, run, reader, writer)
        await asyncio.sleep(WORK)
        await worker.answer(run, writer, 200, b"z" * 30_000)
        return True

    for vm in fleet.controls:
        fleet.add_control(vm)
    fleet.add_node(ENTRY, "beta")
    for vm in WORKERS:
        fleet.add_node(vm, "alpha", handler=handler, slots=SLOTS)
    for worker in fleet.workers:
        await worker.start()
    answer = await fleet.configure(
        fleet_module.configuration(1, ["alpha", "beta"]))
    assert answer.status == 200, answer
    await fleet.wait_ready((ENTRY, *WORKERS))
    await asyncio.sleep(3.0)

    port = fleet.ports[ENTRY]["callers"]
    sent = {}  # digest by request id
    statuses = {}

    async def request(name, method, target, body=b"", headers=()):
        record.write("sent", name, method, target, sent.get(name, ""))
        try:
            answer = await fleet_module.call(
                port, method, target, body, timeout=8.0,
                headers=[*fleet_module.client_headers(name), *headers])
            result = answer.status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            result = type(error).__name__
        statuses[result] = statuses.get(result, 0) + 1
        record.write("answer", name, result)

    def post(number):
        name, body = f"p{number}", os.urandom(SIZE)
        sent[name] = hashlib.sha256(body).hexdigest()[:16]
        parts = (body[at:at + CHUNK] for at in range(0, SIZE, CHUNK))
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        target = f"/alpha/{'write' if number % 2 else 'read'}/x"
        return request(name, "POST", target, chunks + b"0\r\n\r\n",
                       [("Transfer-Encoding", "chunked")])

    tasks = []
    for burst, lead in enumerate(LEADS):
        for number in range(burst * BURST, (burst + 1) * BURST):
            tasks.append(asyncio.create_task(post(number)))
            if number % 3 == 0:
                tasks.append(asyncio.create_task(
                    request(f"g{number}", "GET", "/alpha/read/x")))
        await asyncio.sleep(lead)
        if fleet_module.trouble():
            fleet.signal(ENTRY, signal.SIGSTOP)
            await asyncio.sleep(FREEZE)
            fleet.signal(ENTRY, signal.SIGCONT)
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*tasks)

    ran = changed = 0
    for worker in fleet.workers:
        for run in worker.runs:
            record.write("run", run.request_id, run.method, run.target,
                         run.size, run.digest, run.outcome)
            # A run begins once the worker has the whole request.
            if run.request_id not in sent or not run.whole_at:
                continue
            ran += 1
            if run.digest != sent[run.request_id]:
                changed += 1
                record.write("another body", run.request_id, run.size,
                             "bytes of", SIZE, run.outcome)
    line = f"{ran} runs with a body, {changed} of them with another body"
    record.write(line, statuses)
    print(line, statuses)
    if fleet.exited():
        raise RuntimeError(f"processes ended: {fleet.exited()}")
    return changed > 0


fleet_module.main(trial, HERE)
