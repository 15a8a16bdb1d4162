"""A small fleet of the project's programs, with stand-ins, for review scripts.

Everything listens on loopback addresses and free ports. The settings are those
that the templates of the deploy file render for a small deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "6wsjnbanfqasnmgkcuyj"
HOST = "hulo84.example"
BOUNDS = {"revoke": "5000ms", "grace": "6s", "retry_budget_ratio": 0.2,
          "quota_overage": 0.1, "quota_slack": 20}


def trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a port of 127.0.0.1 that is free now."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """The lines of record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, *words: object) -> None:
        at = time.monotonic() - self._start
        line = f"{at:8.3f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        self._file.flush()


@dataclasses.dataclass
class Run:
    """A request that a worker has received."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    began_at: float
    whole_at: float = 0.0
    ended_at: float = 0.0
    size: int = 0
    digest: str = ""
    outcome: str = "reading"

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Worker:
    """A stand-in for a worker, which serves HTTP/1.1 and sends heartbeats."""

    def __init__(self, *, fleet, service, port, node_port, name="", slots=50,
                 handler=None):
        self.fleet, self.service, self.port = fleet, service, port
        self.node_port, self.slots = node_port, slots
        self.id = name or f"i-{os.urandom(4).hex()}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[Run] = []
        self.handler = handler or self.default_handler
        self.read_pause = 0.0  # seconds between reads of a body
        self.read_size = 65536
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=256 * 1024)
        self._beats = asyncio.create_task(self._beat())

    async def stop(self):
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()

    async def _beat(self):
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError,
                                     asyncio.IncompleteReadError):
                await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self, **changes):
        self.sequence += 1
        body = {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": "dc-a", "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "cold_remaining": "0ms"}}
        body.update(changes)
        return await call(self.node_port, "PUT", f"/-/instances/{self.id}",
                          json.dumps(body).encode(), timeout=1.0)

    async def leave(self):
        return await call(self.node_port, "DELETE", f"/-/instances/{self.id}",
                          b"", timeout=1.0)

    async def _serve(self, reader, writer):
        try:
            while True:
                run = await self._receive(reader)
                if run is None:
                    break
                if not await self.handler(self, run, reader, writer):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _receive(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        values = dict(headers)
        run = Run(request_id=values.get("request-id", ""), method=method,
                  target=target, headers=headers, began_at=time.monotonic())
        if not target.startswith("/health"):
            self.runs.append(run)
        digest = hashlib.sha256()
        if values.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                if not size:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    break
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                digest.update(data)
                run.size += len(data)
                if self.read_pause:
                    await asyncio.sleep(self.read_pause)
        else:
            left = int(values.get("content-length", "0"))
            while left:
                data = await reader.read(min(left, self.read_size))
                if not data:
                    run.outcome = "broken off"
                    raise EOFError
                left -= len(data)
                digest.update(data)
                run.size += len(data)
                if self.read_pause:
                    await asyncio.sleep(self.read_pause)
        run.whole_at = time.monotonic()
        run.digest = digest.hexdigest()[:16]
        run.outcome = "running"
        return run

    @staticmethod
    async def default_handler(worker, run, reader, writer):
        if run.target.startswith("/health"):
            writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % worker.id.encode())
            return True
        body = f"{worker.id} {run.request_id} {run.size} {run.digest}".encode()
        await worker.answer(run, writer, 200, body)
        return True

    async def answer(self, run, writer, status, body, extra=b""):
        run.outcome, run.ended_at = f"answered {status}", time.monotonic()
        writer.write(
            b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n"
            b"Keep-Alive: timeout=15\r\nContent-Length: %d\r\n%s\r\n"
            % (status, run.request_id.encode(), run.request_id.encode(),
               len(body), extra) + body)
        await writer.drain()


@dataclasses.dataclass
class Answer:
    """A whole response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name):
        for key, value in self.headers:
            if key == name:
                return value
        return None


async def read_answer(reader, *, method="GET") -> Answer:
    """Reads a response; raises an error if it isn't whole."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        if status >= 200:
            break
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    values = dict(headers)
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"")
    if values.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return Answer(status, headers, body)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in values:
        body = await reader.readexactly(int(values["content-length"]))
        return Answer(status, headers, body)
    return Answer(status, headers, await reader.read())


async def call(port, method, target, body=b"", *, headers=(), timeout=5.0,
               host="127.0.0.1"):
    """Sends one request on a new connection and returns the answer."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request_bytes(method, target, body, headers))
            await writer.drain()
            return await read_answer(reader, method=method)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def request_bytes(method, target, body=b"", headers=()):
    lines = [f"{method} {target} HTTP/1.1"]
    given = {name.lower() for name, _ in headers}
    if "host" not in given:
        lines.append("Host: 127.0.0.1")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("PUT", "POST"):
        if not given & {"content-length", "transfer-encoding"}:
            lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def client_headers(request_id, deadline_ms=5000, key=KEY, host=HOST):
    return [("Host", host), ("Request-Id", request_id),
            ("Request-Deadline", str(deadline_ms)),
            ("Authorization", f"Bearer {key}")]


def configuration(version, services, *, routes=None, tenants=None, limits=None):
    """Returns a configuration with an idempotent and a strict route each."""
    if routes is None:
        routes = {}
        for service in services:
            for kind, prefix in (("idempotent", "read"),
                                 ("non_idempotent", "write"),
                                 ("download", "load")):
                routes[f"r-{service}-{prefix}"] = {
                    "host": HOST, "path_prefix": f"/{service}/{prefix}/",
                    "route_type": kind, "timeout": "6000ms",
                    "target_latency": "1500ms", "priority": 1,
                    "service": service, "max_attempts": 2, "public": False}
    return {
        "version": f"r{version}", "routes": routes,
        "services": {s: {"health_path": "/health", "max_connections": 370,
                         "protocol": "h1", "tls": False} for s in services},
        "limits": limits or {
            "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"},
        "tenants": tenants if tenants is not None else {
            "pulo780": {"api_keys": [KEY], "priority": 1, "rate_per_s": 0,
                        "burst": 0}}}


class Fleet:
    """Processes of the project on loopback; ends them all in `close`."""

    def __init__(self, *, record: Record, controls=1):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, pathlib.Path] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.controls = [f"control-{n}" for n in range(controls)]
        for vm in self.controls:
            self.ports[vm] = {name: free_port()
                              for name in ("rpc", "operators", "ops")}
        self.workers: list[Worker] = []
        self.version = 0

    def seeds(self):
        return [f"127.0.0.1:{self.ports[vm]['rpc']}"
                for vm in self.controls[:3]]

    def start(self, vm):
        log = (self.folder / f"{vm}.log").open("ab")
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        self.processes[vm] = subprocess.Popen(
            ["python3", "deploy/sassafrashalld.py", "--settings",
             str(self.settings[vm])],
            cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        self.record.write("started", vm, self.processes[vm].pid)

    def add_control(self, vm, *, first_start=True):
        ports = self.ports[vm]
        folder = self.folder / vm
        folder.mkdir(exist_ok=True)
        self.write_settings(vm, {
            "role": "control", "vm": vm, "data_centre": "dc-a",
            "memory_mb": 296, "fleet_secret": "one-fleet-behind-one-operator",
            "operator_secret": "operators-of-this-fleet", "data_folder": str(folder),
            "seeds": self.seeds(),
            "listen": {name: f"127.0.0.1:{ports[name]}"
                       for name in ("operators", "rpc", "ops")},
            "routed": {"first_start": first_start,
                       "quota_overage": BOUNDS["quota_overage"],
                       "quota_slack": BOUNDS["quota_slack"],
                       "quota_lease_fraction": 0.67,
                       "losses": {"vms": 1 if len(self.controls) > 1 else 0,
                                  "data_centres": 0, "regions": 0},
                       "regions": {"dc-a": "region"}},
            "policy": {"tree_admission": "narrowest-service"}})
        self.start(vm)

    def add_node(self, vm, service, **worker_options):
        ports = self.ports[vm] = {
            name: free_port() for name in
            ("callers", "peers", "readiness", "announcements", "ops", "app")}
        self.write_settings(vm, {
            "role": "node", "vm": vm, "data_centre": "dc-a",
            "memory_mb": 300, "fleet_secret": "one-fleet-behind-one-operator",
            "seeds": self.seeds(),
            "listen": {name: f"127.0.0.1:{ports[name]}" for name in
                       ("callers", "peers", "readiness", "announcements",
                        "ops")},
            "policy": {"limit": "fixed", "queue": "urgency-first",
                       "routing": "expected-completion",
                       "retries": "arrivals", "early_shed": "none",
                       "breaker": "consecutive-failures"},
            "routed": {"service": service,
                       "upstream": f"127.0.0.1:{ports['app']}",
                       "strict_withdrawal": True,
                       "withdrawal": BOUNDS["revoke"],
                       "grace": BOUNDS["grace"], "pipeline_depth": 8,
                       "retry_ratio": BOUNDS["retry_budget_ratio"]}})
        self.start(vm)
        port = worker_options.pop("listen_port", ports["app"])
        worker = Worker(fleet=self, service=service, port=port,
                        node_port=ports["announcements"], **worker_options)
        self.workers.append(worker)
        return worker

    def write_settings(self, vm, settings):
        self.settings[vm] = self.folder / f"{vm}.yaml"
        self.settings[vm].write_text(json.dumps(settings), encoding="utf-8")

    def signal(self, vm, number):
        self.record.write("signal", signal.Signals(number).name, vm)
        self.processes[vm].send_signal(number)

    async def configure(self, document, *, base=None, timeout=15.0):
        """Sends a configuration until a control answers clearly."""
        body = json.dumps(document).encode()
        end = time.monotonic() + timeout
        turn = 0
        while time.monotonic() < end:
            vm = self.controls[turn % len(self.controls)]
            turn += 1
            try:
                answer = await call(
                    self.ports[vm]["operators"], "PUT", "/-/configuration",
                    body, headers=[("If-Match", f"r{base}" if base else "0"),
                                   ("Content-Type", "application/json")],
                    timeout=1.0)
            except (OSError, asyncio.TimeoutError, EOFError):
                await asyncio.sleep(0.2)
                continue
            if answer.status < 500:
                self.record.write("configuration", document["version"],
                                  answer.status, answer.body[:200])
                return answer
            await asyncio.sleep(0.2)
        raise RuntimeError("no control took the configuration")

    async def wait_ready(self, nodes, timeout=15.0):
        end = time.monotonic() + timeout
        for vm in nodes:
            while True:
                try:
                    answer = await call(self.ports[vm]["readiness"], "GET",
                                        "/-/readiness", timeout=1.0)
                    if answer.status == 200:
                        break
                except (OSError, asyncio.TimeoutError, EOFError):
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{vm} isn't ready")
                await asyncio.sleep(0.1)

    def exited(self):
        return {vm: p.returncode for vm, p in self.processes.items()
                if p.poll() is not None}

    def close(self):
        for vm, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(trial, folder):
    """Runs a trial; exits with 1 if the rule was broken, 2 if it can't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write("trouble" if trouble() else "no trouble")
    fleets = []

    def make(**options):
        fleets.append(Fleet(record=record, **options))
        return fleets[-1]

    async def run():
        return await asyncio.wait_for(trial(make, record), 110)

    try:
        broken = asyncio.run(run())
        record.write("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    except Exception as error:  # noqa: BLE001 - reported as "couldn't run"
        record.write("the case couldn't run:", repr(error))
        print(repr(error), file=sys.stderr)
        if os.environ.get("KEEP"):
            import traceback
            traceback.print_exc()
        status = 2
    finally:
        for fleet in fleets:
            fleet.close()
    sys.exit(status)
