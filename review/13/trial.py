"""Workers reset part of the connections; counts the repeats that arrive."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import fleet as fleet_module  # noqa: E402

NODES = ("node-0", "node-1", "node-2")
RATE = 200.0  # requests per second
CALM = 12.0  # seconds of traffic before the disruption
TROUBLE = 8.5  # seconds; `for_s` of the longest srv_grey of the site file
X = 0.45  # part of the requests that fail; 0.55 at most in the site file
AFTER = 5.0  # seconds of traffic after the disruption
WORK = 0.02  # seconds for which a request runs
WINDOW, RATIO, SLACK = 10.0, 0.2, 50  # the budget of the rule


async def trial(make, record):
    """Returns whether the budget was exceeded in some window."""
    fleet = make()
    chance = random.Random(12)
    resets = [float("inf"), float("inf")]  # from, until

    async def handler(worker, run, reader, writer):
        if not run.target.startswith("/health"):
            now = time.monotonic()
            if resets[0] <= now < resets[1] and chance.random() < X:
                run.outcome = "reset"
                writer.transport.abort()
                return False
            await asyncio.sleep(WORK)
        return await worker.default_handler(worker, run, reader, writer)

    for vm in fleet.controls:
        fleet.add_control(vm)
    for vm in NODES:
        fleet.add_node(vm, "alpha", handler=handler)
    for worker in fleet.workers:
        await worker.start()
    answer = await fleet.configure(fleet_module.configuration(1, ["alpha"]))
    assert answer.status == 200, answer
    await fleet.wait_ready(NODES)
    await asyncio.sleep(3.0)

    sent = []  # moments
    statuses = {}

    async def request(number):
        sent.append(time.monotonic())
        record.write("sent", f"q{number}")
        port = fleet.ports[NODES[number % len(NODES)]]["callers"]
        try:
            answer = await fleet_module.call(
                port, "GET", "/alpha/read/x", timeout=6.0,
                headers=fleet_module.client_headers(f"q{number}"))
            result = answer.status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            result = type(error).__name__
        statuses[result] = statuses.get(result, 0) + 1
        record.write("answer", f"q{number}", result)

    start = time.monotonic()
    if fleet_module.trouble():
        resets[:] = [start + CALM, start + CALM + TROUBLE]
    end = start + CALM + TROUBLE + AFTER
    tasks = []
    while time.monotonic() < end:
        due = start + len(tasks) / RATE
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(request(len(tasks))))
    await asyncio.gather(*tasks)

    seen, repeats = set(), []
    runs = [run for worker in fleet.workers for run in worker.runs]
    for run in sorted(runs, key=lambda run: run.began_at):
        if run.request_id in seen:
            repeats.append(run.began_at)
        seen.add(run.request_id)
        record.write("arrival", f"{run.began_at - start:.3f}", run.request_id,
                     run.outcome)
    record.write("requests", len(sent), "arrivals", len(runs), "repeats",
                 len(repeats), "answers", statuses)
    worst = (-1e9, None)
    for begin in repeats:
        counted = sum(begin <= at < begin + WINDOW for at in repeats)
        # The window, the one before it, the one half a window before it.
        asked = max(
            sum(begin - shift <= at < begin - shift + WINDOW for at in sent)
            for shift in (0.0, WINDOW, WINDOW / 2))
        allowed = RATIO * asked + SLACK
        worst = max(worst, (counted - allowed, (
            f"window from {begin - start:.2f} s: {counted} repeats, "
            f"{asked} requests, {allowed:.0f} repeats allowed")))
    record.write("worst", worst[1])
    print(worst[1], statuses)
    if fleet.exited():
        raise RuntimeError(f"processes ended: {fleet.exited()}")
    return worst[0] > 0


fleet_module.main(trial, HERE)
