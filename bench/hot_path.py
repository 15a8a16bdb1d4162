"""Measures, and on request profiles, processor time of calls over two nodes.

Two nodes and a control run in this process. Callers and the upstream run in
another process, so that the figures do not include them.

    python -m bench.hot_path [--calls N] [--profile] [--refusals] [--nested]
        [--baseline]

The nodes have the policies of `deploy/node.yaml.template`, and callers send the
key of an organisation without a rate. With `--baseline` they have the policies
and the configuration without keys that `bench.routed` has by default.

With `--nested` requests come without a key on an open route, as calls that an
upstream makes. With `--refusals` as many requests of an organisation far over
its rate follow, to tell what a refusal costs next to a call.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import cProfile
import gc
import multiprocessing
import pathlib
import pstats
import resource

from ruamel import yaml
import trio

from bench import routed
from sassafrashall import daemon
from sassafrashall import settings

CONNECTIONS = 50  # each with one call at a time
SERVICE_TIME = 0.1  # seconds; keeps the nodes at about a third of a core
REFUSED_KEY = "a-key-of-an-organisation-over-its-rate"
CALLER_KEY = "a-key-of-an-organisation-without-a-rate"
TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy/node.yaml.template"
# The bounds of a cold upstream in one deployment.
COLD_BOUNDS = {"cold_overage": 1.5, "cold_slack": 8}
COLD_SERVICE = {"cold_start": "5s", "cold_per_s": 4.8}
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


async def _send_requests(address, connection_number, calls, key=""):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    authorization = f"Authorization: Bearer {key}\r\n" if key else ""
    for call_number in range(calls):
        writer.write(
            b"GET /some/path/%d HTTP/1.1\r\nHost: beta.example\r\n%b"
            b"Request-Id: %08x%08x\r\nRequest-Deadline: 5000\r\n\r\n"
            % (
                call_number,
                authorization.encode(),
                connection_number,
                call_number,
            )
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


async def _send_keyed(address, connection_number, calls):
    await _send_requests(address, connection_number, calls, CALLER_KEY)


_PHASES = {
    "calls": _send_keyed,
    "nested calls": _send_requests,
    "refusals": _send_refused,
    "end": None,
}


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


def template_settings():
    """Returns the policies and the pipeline depth of the nodes' template."""
    text = TEMPLATE.read_text(encoding="utf-8")
    lines = [
        line
        for line in text.splitlines()
        if "{{" not in line and not line.startswith("listen")
    ]
    document = yaml.YAML(typ="safe").load("\n".join(lines))
    depth = document["routed"]["pipeline_depth"]
    return settings.Policy(**document["policy"]), depth


def _fleet(baseline):
    services = {"vm-a": "alpha", "vm-b": "beta"}
    if baseline:
        return routed.Fleet(services=services)
    policy, depth = template_settings()
    return routed.Fleet(
        services=services,
        policy=policy,
        pipeline_depth=depth,
        cold_bounds=COLD_BOUNDS,
        evacuation=5.0,
    )


def _document(baseline, nested):
    services = ("alpha", "beta")
    if baseline:
        return routed.document(services=services)
    document = routed.document(
        services=services, keys={"calm": CALLER_KEY}, public=nested
    )
    for service in document["services"].values():
        service |= COLD_SERVICE
    return document


async def _measure(calls, profile, refusals, nested, baseline):
    fleet = _fleet(baseline)
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
            await fleet.apply_configuration(_document(baseline, nested))
            phase = "nested calls" if nested else "calls"
            cost = await _measure_phase(phase, calls, signals, done, profile)
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


def _print_by_module(stats, calls):
    """Prints where the time of a call goes, without the waits."""
    seconds = collections.Counter()
    counts = collections.Counter()
    for (path, _, name), (_, count, own, _, _) in stats.stats.items():
        if "'poll' of" in name:
            continue
        if path == "~":
            module = name if "_socket" in name else "other built-in functions"
        elif "/src/" in path:
            module = path.rpartition("/src/")[2]
        else:
            module = "trio" if "/trio/" in path else pathlib.Path(path).name
        seconds[module] += own
        counts[module] += count
    total = sum(seconds.values())
    print(f"{1e6 * total / calls:.0f} us under the profile, by module:")
    for module, own in seconds.most_common(40):
        print(
            f"{100 * own / total:5.1f}% {counts[module] / calls:6.1f} "
            f"function calls  {module}"
        )


def main():
    """Prints the cost of a call, and the profile with `--profile`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--refusals", action="store_true")
    parser.add_argument("--nested", action="store_true")
    parser.add_argument("--baseline", action="store_true")
    options = parser.parse_args()
    profile = cProfile.Profile() if options.profile else None
    # The thresholds that the daemon sets, so that collections cost the same.
    gc.set_threshold(*daemon.GC_THRESHOLDS)
    trio.run(
        _measure,
        options.calls,
        profile,
        options.refusals,
        options.nested,
        options.baseline,
    )
    if profile:
        stats = pstats.Stats(profile)
        _print_by_module(stats, options.calls)
        stats.sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    main()
