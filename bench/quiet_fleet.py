"""What the processes of a routed fleet cost without requests.

Three controls and one node run as real processes with the policies of the
templates. This process plays the other nodes: each sends a heartbeat with its
demand every 0.5 s to one of the controls, and a question to another one.

    python -m bench.quiet_fleet [--nodes N] [--seconds S] [--churn RATE]

With `--churn` so many records of nodes change in a second, as they do when
upstreams start, drain or become ready.

Prints the processor time until each process listens, and then, for the node and
the mean control, the share of a core and the wake-ups in a second.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import tempfile

import psutil
from ruamel import yaml
import trio

from bench import fleet as fleet_module
from bench import hot_path
from bench import routed
from bench.soak import fleet as soak_fleet
from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import demand
from sassafrashall.transport import rpc

CONTROLS = 3
SERVICES = 5
DATA_CENTRES = 3
SLOTS = 27
INTERVAL = 0.5  # seconds between the heartbeats of a node
START_TIMEOUT = 20.0  # seconds
SETTLE_TIME = 3.0  # seconds until the fleet is founded and known


class Process:
    """A daemon that runs as a process of its own."""

    def __init__(self, *, folder: pathlib.Path, document: dict) -> None:
        self.document = document
        path = folder / f"{document['vm']}.yaml"
        with path.open("w", encoding="utf-8") as file:
            yaml.YAML().dump(document, file)
        self._log = (folder / f"{document['vm']}.log").open("wb")
        self._process = subprocess.Popen(
            [sys.executable, soak_fleet.PROGRAM, "--settings", path],
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._status = psutil.Process(self._process.pid)

    def usage(self) -> tuple[float, int]:
        """Returns the processor seconds and the wake-ups so far."""
        times = self._status.cpu_times()
        switches = self._status.num_ctx_switches()
        return times.user + times.system, switches.voluntary

    async def wait_listening(self, address: model.Address) -> float:
        """Returns the processor seconds until a listener is open."""
        with trio.fail_after(START_TIMEOUT):
            while True:
                try:
                    stream = await trio.open_tcp_stream(
                        address.host, address.port
                    )
                except OSError:
                    await trio.sleep(0.01)
                    continue
                await stream.aclose()
                return self.usage()[0]

    def close(self) -> None:
        """Ends the process."""
        self._process.terminate()
        self._process.wait()
        self._log.close()


class OtherNode:
    """Heartbeats and questions of a node that is played."""

    def __init__(
        self, *, number: int, clients: list[rpc.RpcClient], churn: float
    ) -> None:
        self._number = number
        self._clients = clients
        self._churn = churn  # changes of its record in a second
        self._changes = 0.0
        self._source, self._version, self._rounds = "", 0, 0

    async def run(self) -> None:
        """Sends them until it is cancelled."""
        await trio.sleep(INTERVAL * (self._number % 100) / 100)
        while True:
            started = trio.current_time()
            self._rounds += 1
            self._changes += self._churn * INTERVAL
            await self._send()
            await trio.sleep_until(started + INTERVAL)

    async def _send(self) -> None:
        heartbeat = self._heartbeat()
        own, asked = self._number % CONTROLS, (self._number + 1) % CONTROLS
        try:
            reply = await self._clients[own].call(heartbeat, 2.0)
            self._source = reply.directory_source
            self._version = reply.directory_version
            ping = protocol.Ping(
                vm=heartbeat.record.vm,
                incarnation=1,
                counter=heartbeat.record.counter,
            )
            await self._clients[asked].call(ping, 2.0)
        except exceptions.RpcError as error:
            print(f"a call failed: {error}", file=sys.stderr)

    def _heartbeat(self) -> protocol.Heartbeat:
        address = model.Address(host="127.0.0.1", port=1 + self._number)
        service = f"service-{self._number % SERVICES}"
        route = f"r-{service}"
        return protocol.Heartbeat(
            record=model.NodeRecord(
                vm=f"other-{self._number}",
                data_centre=f"dc-{self._number % DATA_CENTRES}",
                incarnation=1,
                counter=1 + int(self._changes),
                peer_address=address,
                ops_address=address,
                upstream=model.Upstream(
                    service=service,
                    address=address,
                    slots=SLOTS,
                    connection_limit=100,
                    state=model.UpstreamState.READY,
                ),
            ),
            directory_source=self._source,
            directory_version=self._version,
            withdrawn_count=0,
            load=model.NodeLoad(
                level=3.0,
                shed_per_second=0.0,
                load=(37 * self._number + 101 * self._rounds) % 1000,
            ),
            demand=demand.Demand(
                routes=(
                    *(
                        demand.RouteDemand(
                            route=f"r-service-{index}",
                            roots=(0.1, 0.5, 0.25),
                        )
                        for index in range(SERVICES)
                    ),
                    demand.RouteDemand(
                        route=route,
                        service=service,
                        started=310.5,
                        ended=309.1,
                        busy_s=40.2 + self._number % 7,
                        calls=(
                            demand.Calls(route="r-service-0", count=99.5),
                            demand.Calls(route="r-service-1", count=61.0),
                        ),
                    ),
                ),
                services=(
                    demand.ServiceSlots(
                        service=service, slots=SLOTS, busy=7, completions=61.5
                    ),
                ),
                sheds=(demand.Sheds(service="service-1", per_second=0.25),),
            ),
        )


def _documents(folder: pathlib.Path) -> list[dict]:
    """Returns the settings of the controls, and of the node at the end."""
    addresses = fleet_module.free_addresses(3 * CONTROLS + 6)
    rpc_addresses = [str(address) for address in addresses[:CONTROLS]]
    policy, depth = hot_path.template_settings()
    common = {"fleet_secret": soak_fleet.SECRET, "seeds": rpc_addresses}
    controls = [
        common
        | {
            "role": "control",
            "vm": f"control-{index}",
            "data_centre": f"dc-{index % DATA_CENTRES}",
            "operator_secret": f"{soak_fleet.SECRET}-operator",
            "data_folder": str(folder / f"data-{index}"),
            "listen": {
                "rpc": rpc_addresses[index],
                "ops": str(addresses[CONTROLS + 2 * index]),
                "operators": str(addresses[CONTROLS + 2 * index + 1]),
            },
            "routed": {
                "first_start": True,
                "regions": {f"dc-{i}": "r" for i in range(DATA_CENTRES)},
            },
            "policy": {"tree_admission": "narrowest-service"},
        }
        for index in range(CONTROLS)
    ]
    names = ("callers", "peers", "readiness", "announcements", "ops")
    listen = dict(zip(names, map(str, addresses[-6:-1]), strict=True))
    node = common | {
        "role": "node",
        "vm": "node-0",
        "data_centre": "dc-0",
        "listen": listen,
        "policy": dataclasses.asdict(policy),
        "routed": {
            "service": "service-0",
            "upstream": str(addresses[-1]),
            "strict_withdrawal": True,
            "pipeline_depth": depth,
            "evacuation": "5000ms",
            **hot_path.COLD_BOUNDS,
        },
    }
    return [*controls, node]


async def _announce(document: dict) -> None:
    """Sends heartbeats of the node's upstream."""
    upstream = routed.Upstream(
        service="service-0",
        address=_address(document["routed"]["upstream"]),
        announce_to=_address(document["listen"]["announcements"]),
        slots=SLOTS,
    )
    while True:
        with contextlib.suppress(Exception):  # the node is not up yet
            await upstream.announce()
        await trio.sleep(1.5)


def _address(text: str) -> model.Address:
    host, _, port = text.rpartition(":")
    return model.Address(host=host, port=int(port))


async def _measure(
    folder: pathlib.Path, count: int, seconds: float, churn: float
) -> None:
    processes: list[Process] = []
    documents = _documents(folder)
    clients = [
        rpc.RpcClient(
            address=_address(text),
            secret=soak_fleet.SECRET,
            hybrid_clock=clock.HybridClock(),
        )
        for text in documents[-1]["seeds"]
    ]
    try:
        starts = []
        for document in documents:
            processes.append(Process(folder=folder, document=document))
            listen = document["listen"]
            first = listen.get("rpc") or listen["peers"]
            starts.append(await processes[-1].wait_listening(_address(first)))
        *controls, node = processes
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_announce, node.document)
            await trio.sleep(SETTLE_TIME)
            for number in range(count):
                other = OtherNode(
                    number=number, clients=clients, churn=churn / count
                )
                nursery.start_soon(other.run)
            await trio.sleep(SETTLE_TIME)
            before = [process.usage() for process in processes]
            await trio.sleep(seconds)
            after = [process.usage() for process in processes]
            nursery.cancel_scope.cancel()
    finally:
        for client in clients:
            client.close()
        for process in processes:
            process.close()
    shares = [
        (a[0] - b[0]) / seconds for a, b in zip(after, before, strict=True)
    ]
    wakes = [
        (a[1] - b[1]) / seconds for a, b in zip(after, before, strict=True)
    ]
    print(
        f"{count} nodes: node {100 * shares[-1]:.2f}% of a core, "
        f"{wakes[-1]:.0f} wake-ups a second, start {starts[-1]:.2f} s; "
        f"control {100 * sum(shares[:-1]) / len(controls):.2f}%, "
        f"{sum(wakes[:-1]) / len(controls):.0f}, "
        f"{sum(starts[:-1]) / len(controls):.2f} s"
    )


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(prog="python -m bench.quiet_fleet")
    parser.add_argument("--nodes", type=int, default=63)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--churn", type=float, default=0.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="quiet-") as folder:
        trio.run(
            _measure,
            pathlib.Path(folder),
            options.nodes,
            options.seconds,
            options.churn,
        )


if __name__ == "__main__":
    main()
