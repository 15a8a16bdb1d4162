"""Memory of nodes whose callers leave long answers unread, as real processes.

Callers of one node ask for endless answers of the upstream beside another one,
so that both nodes hold parts of them, and read slowly or not at all.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import socket
import sys
import tempfile

import trio

from bench import fleet as fleet_module
from bench.soak import callers
from bench.soak import fleet
from bench.soak import model as soak_model
from bench.soak import operators
from sassafrashall import model

TIMEOUT = 4.0  # seconds, of the route
PIECE = b"a" * 65536
SMALL_BUFFER = 4096  # bytes of the receive buffer of a caller
READ_INTERVAL = 0.2  # seconds between the reads of a slow caller
HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class EndlessUpstream:
    """Sends chunks to each request until its connection closes."""

    def __init__(self, *, address: model.Address, slots: int) -> None:
        self._address = address
        self._slots = slots
        self._sequence = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Listens in `nursery`."""
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(65536)
                if not part:
                    return
                data += part
            fields = dict(
                line.lower().split(b": ", 1)
                for line in data.split(b"\r\n")
                if b": " in line
            )
            request_id = fields.get(b"request-id", b"")
            if not request_id:
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
                return
            await stream.send_all(HEAD % request_id)
            while True:
                await stream.send_all(b"10000\r\n" + PIECE + b"\r\n")
                await trio.sleep(0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()

    async def announce(self, to: model.Address, service: str) -> None:
        """Sends heartbeats until it is cancelled."""
        while True:
            self._sequence += 1
            body = {
                "address": str(self._address),
                "born": 1000,
                "info": {
                    "service": service,
                    "version": "v1",
                    "zone": "z",
                    "slots": self._slots,
                },
                "status": {
                    "state": "ready",
                    "sequence": self._sequence,
                    "cold_remaining": "0ms",
                },
            }
            with trio.move_on_after(1.0):
                await callers.send_once(
                    to,
                    "PUT",
                    f"/-/instances/i-{service}",
                    body=json.dumps(body).encode(),
                )
            await trio.sleep(1.0)


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


async def _call(address: model.Address, number: int, slow: bool) -> None:
    stream = await trio.open_tcp_stream(address.host, address.port)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    async with stream:
        await stream.send_all(
            b"GET /x HTTP/1.1\r\nHost: alpha.example\r\n"
            b"Request-Id: r-%d\r\n\r\n" % number
        )
        with trio.move_on_after(TIMEOUT + 1.0):
            while slow:
                await trio.sleep(READ_INTERVAL)
                if not await stream.receive_some(SMALL_BUFFER):
                    return
            await trio.sleep_forever()


def document() -> dict[str, object]:
    """Returns a configuration with one route, to service `alpha`."""
    route = {
        "host": "alpha.example",
        "path_prefix": "/",
        "route_type": "idempotent",
        "timeout": f"{int(TIMEOUT * 1000)}ms",
        "target_latency": "1s",
        "priority": 1,
        "service": "alpha",
        "max_attempts": 2,
        "public": True,
    }
    return {
        "version": "r1",
        "routes": {"r-alpha": route},
        "services": {
            name: {"health_path": "/health", "max_connections": 1000}
            for name in ("alpha", "beta")
        },
        "limits": operators.LIMITS | {"idle_timeout": "15000ms"},
    }


class Measurement:
    """One control, two nodes and their upstreams."""

    def __init__(self, *, folder: pathlib.Path, slots: int) -> None:
        self._slots = slots
        self._daemons = fleet.Daemons(folder=folder, report=lambda _: None)
        self._addresses = iter(fleet_module.free_addresses(16))
        self._peak: dict[str, float] = {}

    async def run(self, count: int, rounds: int, *, slow: bool) -> float:
        """Plays the rounds; returns the highest memory of a node in MB."""
        try:
            async with trio.open_nursery() as nursery:
                entry = await self._start(nursery)
                nursery.start_soon(self._watch)
                for index in range(rounds):
                    async with trio.open_nursery() as calls:
                        for number in range(count):
                            calls.start_soon(
                                _call, entry, index * count + number, slow
                            )
                    await trio.sleep(1.0)
                    print(f"round {index + 1}: {self._memory()}", flush=True)
                nursery.cancel_scope.cancel()
        finally:
            self._daemons.close()
        return max(self._peak.values())

    async def _start(self, nursery: trio.Nursery) -> model.Address:
        """Starts everything; returns the address of the entry node."""
        rpc, ops, operator = (next(self._addresses) for _ in range(3))
        self._daemons.write_control(
            "control-0",
            listen={"rpc": rpc, "ops": ops, "operators": operator},
            seeds=[rpc],
        )
        entries = {}
        for vm, service in (("node-0", "alpha"), ("node-1", "beta")):
            upstream = next(self._addresses)
            names = ("callers", "peers", "readiness", "announcements", "ops")
            listen = {name: next(self._addresses) for name in names}
            self._daemons.write_node(
                vm,
                listen=listen,
                seeds=[rpc],
                service=service,
                upstream=upstream,
            )
            server = EndlessUpstream(address=upstream, slots=self._slots)
            await server.start(nursery)
            nursery.start_soon(
                server.announce, listen["announcements"], service
            )
            entries[vm] = listen
        for vm in ("control-0", "node-0", "node-1"):
            self._daemons.start(vm)
        body = json.dumps(document()).encode()
        with trio.fail_after(30.0):
            status = 0
            while status != 200:
                await trio.sleep(0.2)
                status, _ = await callers.send_once(
                    operator,
                    "PUT",
                    "/-/configuration",
                    headers=(("if-match", "0"),),
                    body=body,
                )
            for listen in entries.values():
                while not await callers.is_ready(listen["readiness"]):
                    await trio.sleep(0.1)
        await trio.sleep(soak_model.Bounds().apply)
        return entries["node-1"]["callers"]

    async def _watch(self) -> None:
        while True:
            for vm, memory in self._sizes().items():
                self._peak[vm] = max(memory, self._peak.get(vm, 0.0))
            await trio.sleep(0.05)

    def _sizes(self) -> dict[str, float]:
        return {
            vm: resident_mb(pid)
            for vm, pid in self._daemons.process_ids().items()
        }

    def _memory(self) -> str:
        return ", ".join(
            f"{vm} {memory:.0f} MB (peak {self._peak[vm]:.0f})"
            for vm, memory in self._sizes().items()
        )


def main() -> int:
    """Prints the memory; the exit status is 1 above the limit."""
    parser = argparse.ArgumentParser(prog="python -m bench.slow_readers")
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument(
        "--slots", type=int, default=120, help="of the upstream"
    )
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--slow", action="store_true", help="read slowly")
    parser.add_argument("--limit", type=float, default=128.0, help="MB")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="slow-readers-") as folder:
        measurement = Measurement(
            folder=pathlib.Path(folder), slots=options.slots
        )
        peak = trio.run(
            lambda: measurement.run(
                options.callers, options.rounds, slow=options.slow
            )
        )
    print(f"peak {peak:.0f} MB, limit {options.limit:.0f} MB")
    return 1 if peak > options.limit else 0


if __name__ == "__main__":
    sys.exit(main())
