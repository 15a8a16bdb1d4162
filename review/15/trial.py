"""A new version raises max_header_bytes; kept connections send longer heads."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import fleet as fleet_module  # noqa: E402

NODES = ("node-0", "node-1")
CONNECTIONS = 20
BEFORE, AFTER = 16384, 32768  # max_header_bytes of the two versions
HEAD = 24_000  # bytes of the longer heads, about
WAIT = 5.0  # seconds from the acknowledgement; config_apply is 2 s
REQUESTS = 3  # before the change, and after it, on each connection


def limits(head_bytes):
    return {"max_header_bytes": head_bytes, "max_body_bytes": 67108864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"}


async def trial(make, record):
    """Returns whether more proper requests were denied than the rule lets."""
    fleet = make()
    for vm in fleet.controls:
        fleet.add_control(vm)
    for vm in NODES:
        fleet.add_node(vm, "alpha")
    for worker in fleet.workers:
        await worker.start()
    answer = await fleet.configure(fleet_module.configuration(
        1, ["alpha"], limits=limits(BEFORE)))
    assert answer.status == 200, answer
    await fleet.wait_ready(NODES)
    await asyncio.sleep(3.0)

    results = []

    async def request(number, part, connection, headers=()):
        name = f"c{number}-{part}"
        reader, writer = connection
        record.write("sent", name, sum(len(v) for _, v in headers))
        try:
            writer.write(fleet_module.request_bytes(
                "GET", "/alpha/read/x", b"",
                [*fleet_module.client_headers(name), *headers]))
            result = (await asyncio.wait_for(
                fleet_module.read_answer(reader), 6.0)).status
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            result = type(error).__name__
        record.write("answer", name, result)
        results.append(result)
        return result

    connections = []
    for number in range(CONNECTIONS):
        port = fleet.ports[NODES[number % len(NODES)]]["callers"]
        connections.append(await asyncio.open_connection("127.0.0.1", port))
        for part in range(REQUESTS):
            await request(number, f"short-{part}", connections[-1])

    # Without the disruption, the version changes as well, but not the limit,
    # and the heads stay within it.
    after = AFTER if fleet_module.trouble() else BEFORE
    answer = await fleet.configure(fleet_module.configuration(
        2, ["alpha"], limits=limits(after)), base=1)
    assert answer.status == 200, answer
    await asyncio.sleep(WAIT)

    size = HEAD if fleet_module.trouble() else BEFORE // 2
    cookies = [("Cookie", "c=" + "y" * 2000)] * (size // 2000)
    for number, connection in enumerate(connections):
        for part in range(REQUESTS):
            result = await request(
                number, f"long-{part}", connection, cookies)
            if result != 200:
                break  # It ends the connection, and clients don't retry.
    denied = sum(isinstance(r, int) and 300 <= r < 500
                 and r not in (408, 421, 429) for r in results)
    allowed = 5 + len(results) / 500
    line = f"{denied} of {len(results)} requests denied, {allowed:.2f} allowed"
    record.write(line)
    print(line, {r: results.count(r) for r in set(results)})
    if fleet.exited():
        raise RuntimeError(f"processes ended: {fleet.exited()}")
    return denied > allowed


fleet_module.main(trial, HERE)
