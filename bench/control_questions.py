"""What nodes cost a control: heartbeats, and questions for its revision.

One control as a real process. This process asks it like many nodes, on a few
connections, and reads the processor time of both.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import tempfile
import time

import psutil
import trio

from bench import fleet as fleet_module
from bench.soak import fleet
from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.transport import codec
from sassafrashall.transport import rpc

CONNECTIONS = 8
START_TIMEOUT = 20.0  # seconds


def _record(number: int) -> model.NodeRecord:
    address = model.Address(host="127.0.0.1", port=1 + number % 60000)
    return model.NodeRecord(
        vm=f"node-{number}",
        data_centre="dc-a",
        incarnation=1,
        counter=1,
        peer_address=address,
        ops_address=address,
    )


def _ping(number: int) -> protocol.Ping:
    return protocol.Ping(vm=f"node-{number}", incarnation=1, counter=1)


def _heartbeat(number: int, source: str, version: int) -> protocol.Heartbeat:
    return protocol.Heartbeat(
        record=_record(number),
        directory_source=source,
        directory_version=version,
        withdrawn_count=0,
    )


class Measurement:
    """A control and the client that asks it."""

    def __init__(self, *, folder: pathlib.Path, nodes: int) -> None:
        self._nodes = nodes
        self._daemons = fleet.Daemons(folder=folder, report=lambda _: None)
        self._addresses = fleet_module.free_addresses(3)
        self._client = rpc.RpcClient(
            address=self._addresses[0],
            secret=fleet.SECRET,
            hybrid_clock=clock.HybridClock(),
        )

    async def run(self, rate: float, seconds: float) -> None:
        """Measures idle time, questions and heartbeats, each for some time."""
        address, ops, operators = self._addresses
        self._daemons.write_control(
            "control-0",
            listen={"rpc": address, "ops": ops, "operators": operators},
            seeds=[address],
        )
        self._daemons.start("control-0")
        try:
            with trio.fail_after(START_TIMEOUT):
                while (await self._call(_ping(0))) is None:
                    await trio.sleep(0.2)
            print(f"{self._nodes} nodes, {rate:.0f} calls a second")
            idle = await self._measure("idle", 0, seconds, _ping)
            await self._register()
            await self._measure("questions", rate, seconds, _ping, idle)
            source, version = await self._register()
            await self._measure(
                "heartbeats",
                rate,
                seconds,
                lambda number: _heartbeat(number, source, version),
                idle,
            )
        finally:
            self._client.close()
            self._daemons.close()

    async def _register(self) -> tuple[str, int]:
        """Sends a heartbeat of each node; returns what the last one got."""
        source, version = "", 0
        for number in range(self._nodes):
            reply = await self._call(_heartbeat(number, source, version))
            source, version = reply.directory_source, reply.directory_version
        return source, version

    async def _call(self, message):
        try:
            return await self._client.call(message, 1.0)
        except exceptions.RpcError:  # the control is not up yet
            return None

    async def _measure(self, name, rate, seconds, compose, idle=0.0) -> float:
        """Prints what calls cost; returns the control's processor share."""
        control = psutil.Process(self._daemons.process_ids()["control-0"])
        began, control_began = time.process_time(), _processor_time(control)
        count = 0
        took: list[float] = []

        async def ask() -> None:
            nonlocal count
            due = trio.current_time()
            while due < end:
                sent = trio.current_time()
                message = compose(count % self._nodes)
                count += 1
                if await self._call(message) is not None:
                    took.append(trio.current_time() - sent)
                due += CONNECTIONS / rate
                await trio.sleep_until(due)

        end = trio.current_time() + seconds
        if rate:
            async with trio.open_nursery() as nursery:
                for _ in range(CONNECTIONS):
                    nursery.start_soon(ask)
        else:
            await trio.sleep(seconds)
        share = (_processor_time(control) - control_began) / seconds
        own = (time.process_time() - began) / max(1, count)
        if not count:
            print(f"{name}: {100 * share:.1f}% of a core at the control")
            return share
        size = len(codec.encode(compose(0)))
        reply = len(codec.encode(await self._call(compose(0))))
        took.sort()
        print(
            f"{name}: {1e6 * (share - idle) * seconds / count:.0f} us at the "
            f"control, {1e6 * own:.0f} us at the caller, {size} and {reply} "
            f"bytes, {1000 * took[len(took) // 2]:.1f} ms median, "
            f"{1000 * took[-len(took) // 100]:.1f} ms p99; {count} calls"
        )
        return share


def _processor_time(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def main() -> int:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(prog="python -m bench.control_questions")
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="questions-") as folder:
        measurement = Measurement(
            folder=pathlib.Path(folder), nodes=options.nodes
        )
        trio.run(measurement.run, options.rate, options.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
