"""Two routes share host and prefix; one writes the host in capital letters."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

import fleet as fleet_module  # noqa: E402

NODES = ("node-0", "node-1")
REQUESTS = 10  # on each route


def routes(second_host):
    common = {"path_prefix": "/orders/", "route_type": "idempotent",
              "timeout": "6000ms", "target_latency": "1500ms", "priority": 1,
              "max_attempts": 2, "public": False}
    return {"r-first": {**common, "host": "hulo84.example",
                        "service": "alpha"},
            "r-second": {**common, "host": second_host, "service": "beta"}}


async def trial(make, record):
    """Returns whether the invalid configuration was acknowledged."""
    fleet = make()
    for vm in fleet.controls:
        fleet.add_control(vm)
    for vm, service in zip(NODES, ("alpha", "beta")):
        fleet.add_node(vm, service)
    for worker in fleet.workers:
        await worker.start()
    services = ("alpha", "beta")
    answer = await fleet.configure(fleet_module.configuration(
        1, services, routes=routes("jepu9.example")))
    assert answer.status == 200, answer
    await fleet.wait_ready(NODES)

    # Without the disruption, the second route keeps a host of its own.
    second = "HULO84.example" if fleet_module.trouble() else "Jepu9.example"
    answer = await fleet.configure(fleet_module.configuration(
        2, services, routes=routes(second)), base=1)
    acknowledged = answer.status == 200
    await asyncio.sleep(4.0)

    port = fleet.ports[NODES[0]]["callers"]
    for host in ("hulo84.example", second):
        for number in range(REQUESTS):
            name = f"{host}-{number}"
            answer = await fleet_module.call(
                port, "GET", "/orders/x",
                headers=fleet_module.client_headers(name, host=host))
            record.write("sent", name, "answer", answer.status)
    ran = {}
    for worker in fleet.workers:
        for run in worker.runs:
            record.write("run", run.request_id, worker.service)
            key = (run.header("host"), worker.service)
            ran[key] = ran.get(key, 0) + 1
    line = f"acknowledged: {acknowledged}; runs by host and service: {ran}"
    record.write(line)
    print(line)
    if fleet.exited():
        raise RuntimeError(f"processes ended: {fleet.exited()}")
    return fleet_module.trouble() and acknowledged


fleet_module.main(trial, HERE)
