"""Measures, and on request profiles, processor time of calls over two nodes.

Two nodes and a control run in this process. Callers and the upstream run in
another process, so that the figures do not include them.

    python -m bench.hot_path [--calls N] [--profile] [--refusals]

With `--refusals` as many requests of an organisation far over its rate follow,
to tell what a refusal costs next to a call.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import gc
import multiprocessing
import pstats
import resource

import trio

from bench import routed
from sassafrashall import daemon

CONNECTIONS = 50  # each with one call at a time
SERVICE_TIME = 0.1  # seconds; keeps the nodes at about a third of a core
REFUSED_KEY = "a-key-of-an-organisation-over-its-rate"
# Seconds that a caller pauses after a refusal, so that the rates are alike.
REFUSED_PAUSE = SERVICE_TIME


class _Upstream(asyncio.Protocol):
    """Answers every request after `SERVICE_TIME`."""

    def connection_made(self, transport):
        self._transport = transport
        self._data = b""

    def data_received(self, data):
        self._data += data
        if not self._data.endswith(b"\r\n\r\n"):
            return
        head, self._data = self._data, b""
        start = head.lower().index(b"request-id: ") + 12
        request_id = head[start : head.index(b"\r\n", start)]
        asyncio.get_running_loop().call_later(
            SERVICE_TIME, self._answer, request_id
        )

    def _answer(self, request_id):
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n"
            b"Keep-Alive: timeout=10\r\nContent-Length: 1500\r\n\r\n"
            % request_id
            + b"x" * 1500
        )


async def _send_refused(address, connection_number, calls):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    refused = 0
    for call_number in range(calls):
        writer.write(
            b"GET /some/path/%d HTTP/1.1\r\nHost: beta.example\r\n"
            b"Authorization: Bearer %b\r\n"
            b"Request-Id: %08x%08x\r\nRequest-Deadline: 5000\r\n\r\n"
            % (
                call_number,
                REFUSED_KEY.encode(),
                connection_number,
                call_number,
            )
        )
        head = await reader.readuntil(b"\r\n\r\n")
        refused += head.startswith(b"HTTP/1.1 429")
        start = head.lower().index(b"content-length: ") + 16
        await reader.readexactly(int(head[start : head.index(b"\r\n", start)]))
        await asyncio.sleep(REFUSED_PAUSE)
    writer.close()
    assert refused > 0.9 * calls, (refused, calls)


async def _send_requests(address, connection_number, calls):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for call_number in range(calls):
        writer.write(
            b"GET /some/path/%d HTTP/1.1\r\nHost: beta.example\r\n"
            b"Request-Id: %08x%08x\r\nRequest-Deadline: 5000\r\n\r\n"
            % (call_number, connection_number, call_number)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(1500)
    writer.close()


async def _run_load(caller_address, upstream_address, calls, signals, done):
    loop = asyncio.get_running_loop()
    await loop.create_server(
        _Upstream, upstream_address.host, upstream_address.port
    )
    done.put("listening")
    calls_per_connection = calls // CONNECTIONS
    while send := _PHASES[await loop.run_in_executor(None, signals.get)]:
        await asyncio.gather(
            *(
                send(caller_address, number, calls_per_connection)
                for number in range(CONNECTIONS)
            )
        )
        done.put("done")


_PHASES = {"calls": _send_requests, "refusals": _send_refused, "end": None}


def _load_process_main(*arguments):
    asyncio.run(_run_load(*arguments))


def _cpu_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _announce(upstream):
    while True:
        await upstream.announce()
        await trio.sleep(routed.HEARTBEAT_INTERVAL)


async def _measure_phase(name, calls, signals, done, profile):
    started, cpu_seconds = trio.current_time(), _cpu_seconds()
    if profile:
        profile.enable()
    signals.put(name)
    await trio.to_thread.run_sync(done.get)
    if profile:
        profile.disable()
    cpu_seconds = _cpu_seconds() - cpu_seconds
    print(
        f"{calls} {name} in {trio.current_time() - started:.2f} s: "
        f"{1e6 * cpu_seconds / calls:.0f} us of processor time each, "
        f"{calls / cpu_seconds:.0f} a second a core"
    )
    return cpu_seconds


async def _measure(calls, profile, refusals):
    fleet = routed.Fleet(services={"vm-a": "alpha", "vm-b": "beta"})
    context = multiprocessing.get_context("spawn")
    signals, done = context.SimpleQueue(), context.SimpleQueue()
    load_process = context.Process(
        target=_load_process_main,
        args=(
            fleet.callers["vm-a"],
            fleet.upstreams["vm-b"].address,
            calls,
            signals,
            done,
        ),
    )
    load_process.start()
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            for upstream in fleet.upstreams.values():
                nursery.start_soon(_announce, upstream)
            await trio.to_thread.run_sync(done.get)
            await fleet.apply_configuration(
                routed.document(services=("alpha", "beta"))
            )
            cost = await _measure_phase("calls", calls, signals, done, profile)
            if refusals:
                await fleet.apply_configuration(
                    _refusing_document(), match="r1"
                )
                await trio.sleep(1.0)
                refused_cost = await _measure_phase(
                    "refusals", calls, signals, done, None
                )
                print(f"a refusal costs {refused_cost / cost:.2f} of a call")
            signals.put("end")
            nursery.cancel_scope.cancel()
    finally:
        load_process.kill()
        fleet.close()


def _refusing_document():
    """Returns a configuration under which the organisation is over its rate."""
    configuration = routed.document(
        version="r2", services=("alpha", "beta"), keys={"hot": REFUSED_KEY}
    )
    configuration["tenants"]["hot"] |= {"rate_per_s": 1, "burst": 1}
    return configuration


def main():
    """Prints the cost of a call, and the profile with `--profile`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--refusals", action="store_true")
    options = parser.parse_args()
    profile = cProfile.Profile() if options.profile else None
    # The thresholds that the daemon sets, so that collections cost the same.
    gc.set_threshold(*daemon.GC_THRESHOLDS)
    trio.run(_measure, options.calls, profile, options.refusals)
    if profile:
        stats = pstats.Stats(profile)
        stats.sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    main()
