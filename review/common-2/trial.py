"""What the scripts of review/6 to review/10 share; standard library only.

Starts the project's programs with the command of the deploy file, and holds
small stand-ins for the operator, the clients and the workers. Every address is
a loopback address, every port is a free one, every file of a process is in a
temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds that the pages give for both base sites.
BOUNDS = {"revoke": "5000ms", "grace": "6s", "overage": 0.1, "slack": 20}


class CannotRun(Exception):
    """The case could not be run."""


def free_ports(count: int) -> list[int]:
    """Returns free ports of the loopback interface.

    They lie below those that the kernel gives to outgoing connections, so that
    none of these takes one before its process has started.
    """
    ports: list[int] = []
    for _ in range(10_000):
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


class Fleet:
    """The processes of a small deployment on loopback."""

    def __init__(self, record: pathlib.Path) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(record, "w", encoding="utf-8")
        self._began = time.monotonic()
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self._logs: dict[str, object] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = deploy["roles"]["node"]["run"].split()
        self._command = [sys.executable, *run[1:-1]]

    # --- record ---------------------------------------------------------------

    def note(self, text: str) -> None:
        """Writes a line with the time since the start into the record."""
        self._record.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._record.flush()

    # --- processes ------------------------------------------------------------

    def add_controls(self, count: int, zones: list[str] | None = None) -> None:
        """Writes the settings of the controls; each seeds on the first three."""
        names = [f"control-{n}" for n in range(count)]
        for name in names:
            rpc, operators, ops = free_ports(3)
            self.ports[name] = {"rpc": rpc, "operators": operators, "ops": ops}
        self.seeds = [f"127.0.0.1:{self.ports[n]['rpc']}" for n in names[:3]]
        self.zones = zones or [f"zone-{n}" for n in range(count)]
        for name, zone in zip(names, self.zones):
            self.write_control(name, zone)

    def write_control(
        self, name: str, zone: str, *, first_start: bool = True, **routed
    ) -> None:
        port = self.ports[name]
        self._write(
            name,
            {
                "role": "control",
                "vm": name,
                "data_centre": zone,
                "memory_mb": 296,
                "fleet_secret": "one-fleet-behind-one-operator",
                "operator_secret": "operators-of-this-fleet",
                "data_folder": str(self.folder / f"{name}-data"),
                "seeds": self.seeds,
                "listen": {k: f"127.0.0.1:{v}" for k, v in port.items()},
                "routed": {
                    "first_start": first_start,
                    "quota_overage": BOUNDS["overage"],
                    "quota_slack": BOUNDS["slack"],
                    "quota_lease_fraction": 0.67,
                    "losses": {"vms": 1, "data_centres": 1, "regions": 0},
                    "regions": {z: "r" for z in self.zones},
                    **routed,
                },
                "policy": {"tree_admission": "narrowest-service"},
            },
        )

    def add_node(
        self, name: str, zone: str, service: str, upstream_port: int, **routed
    ) -> None:
        kinds = ("callers", "peers", "readiness", "announcements", "ops")
        port = self.ports[name] = dict(zip(kinds, free_ports(5)))
        self._write(
            name,
            {
                "role": "node",
                "vm": name,
                "data_centre": zone,
                "memory_mb": 300,
                "fleet_secret": "one-fleet-behind-one-operator",
                "seeds": self.seeds,
                "listen": {k: f"127.0.0.1:{v}" for k, v in port.items()},
                "policy": {
                    "limit": "fixed",
                    "queue": "urgency-first",
                    "routing": "expected-completion",
                    "retries": "arrivals",
                    "early_shed": "none",
                    "breaker": "consecutive-failures",
                },
                "routed": {
                    "service": service,
                    "upstream": f"127.0.0.1:{upstream_port}",
                    "strict_withdrawal": True,
                    "withdrawal": BOUNDS["revoke"],
                    "grace": BOUNDS["grace"],
                    "pipeline_depth": 8,
                    "retry_ratio": 0.2,
                    **routed,
                },
            },
        )

    def _write(self, name: str, document: dict) -> None:
        # JSON is YAML.
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(document, indent=1))

    def start(self, name: str) -> None:
        """Starts a process as the deploy file does."""
        log = open(self.folder / f"{name}.log", "ab")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        source = os.environ.get("REVIEW_DEPS", str(ROOT / "target" / "deps"))
        environment["PYTHONPATH"] = source
        self.processes[name] = subprocess.Popen(
            [*self._command, str(self.folder / f"{name}.yaml")],
            cwd=os.environ.get("REVIEW_ROOT", ROOT),
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f"{name} started")

    def status(self, control: str) -> dict:
        """Returns what the operators' tool shows, asked at one control.

        It helps a script to choose the moment of a disruption; nothing is
        judged by it.
        """
        path = self.folder / "tool.yaml"
        port = self.ports[control]["rpc"]
        path.write_text(
            json.dumps(
                {
                    "controls": [
                        {
                            "vm": control,
                            "data_centre": "any",
                            "address": f"127.0.0.1:{port}",
                        }
                    ],
                    "operator_secret": "operators-of-this-fleet",
                }
            )
        )
        root = pathlib.Path(os.environ.get("REVIEW_ROOT", ROOT))
        result = subprocess.run(
            [sys.executable, "-m", "sassafrashall.cmdline", "--settings",
             str(path), "--output", "json", "status"],
            env={"PATH": os.environ["PATH"],
                 "PYTHONPATH": f"{root / 'src'}:{root / 'target' / 'deps'}"},
            capture_output=True,
            timeout=15,
            check=False,
        )
        return json.loads(result.stdout or b"{}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet started."""
        self.note(f"{name} gets {number.name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self.processes.pop(name)
        self.note(f"{name} killed")
        process.kill()
        process.wait()

    def dead(self) -> list[str]:
        """Returns the processes that have ended by themselves."""
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def close(self) -> None:
        """Ends all processes; keeps the folder if KEEP is set."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self._record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- a small HTTP client ------------------------------------------------------


class Answer:
    """A whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """A connection for one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> Answer | None:
        """Sends a request; returns None if no whole answer came in time."""
        try:
            return await asyncio.wait_for(
                self._ask(method, path, headers or {}, body), timeout
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError, IndexError):
            self.close()
            return None

    async def _ask(self, method, path, headers, body) -> Answer:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=1 << 24
            )
        lines = [f"{method} {path} HTTP/1.1"]
        given = {"Host": "any.example", **headers}
        lines += [f"{k}: {v}" for k, v in given.items()]
        if body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self._writer.write(data)
        await self._writer.drain()
        answer = await read_answer(self._reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer with a length or in chunks."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        status = int(lines[0].split(" ")[1])
        if status >= 200:
            break
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif status not in (204, 304):
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(status, headers, body)


# --- the operator -------------------------------------------------------------


def route(service, prefix, kind="idempotent", **fields):
    """Returns a route of the operator's configuration."""
    return {
        "host": "shop.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout": "3000ms",
        "target_latency": "1500ms",
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(version, routes, services, tenants=None, limits=None):
    """Returns a whole configuration as the operator sends it."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": {
            name: {
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": tenants or {},
    }


class Operator:
    """Sends orders and reads as PROTOCOL.md tells: to any control, again after
    a failure, a 5xx or a second without a response."""

    def __init__(self, fleet: Fleet, controls: list[str]) -> None:
        self._fleet, self._controls, self._next = fleet, controls, 0
        self._connections: dict[str, Connection] = {}

    def connection(self, control: str) -> Connection:
        if control not in self._connections:
            port = self._fleet.ports[control]["operators"]
            self._connections[control] = Connection("127.0.0.1", port)
        return self._connections[control]

    async def _ask(self, method, headers, body, limit):
        end = time.monotonic() + limit
        pause = 0.05
        last = None
        while time.monotonic() < end:
            control = self._controls[self._next % len(self._controls)]
            answer = await self.connection(control).ask(
                method, "/-/configuration", headers, body, timeout=1.0
            )
            if answer is not None and answer.status < 500 and (
                answer.status not in (408, 429)
            ):
                return control, answer
            last = answer
            self._next += 1
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 1.5)
        return None, last

    async def put(self, document: dict, builds_on: int, limit=20.0):
        """Returns who answered an order, and the answer."""
        body = json.dumps(document, separators=(",", ":")).encode()
        headers = {
            "If-Match": f"r{builds_on}" if builds_on else "0",
            "Content-Type": "application/json",
        }
        return await self._ask("PUT", headers, body, limit)

    async def get(self, limit=20.0):
        """Returns who answered a read, and the answer."""
        return await self._ask("GET", {}, b"", limit)

    def close(self) -> None:
        for connection in self._connections.values():
            connection.close()


# --- a worker -----------------------------------------------------------------


class Worker:
    """A sound worker: runs what it gets, and tells its node that it is there.

    `serve` may be replaced; it returns the bytes of the answer, or None to
    close the connection.
    """

    def __init__(self, fleet: Fleet, node: str, zone: str, service: str) -> None:
        self.fleet, self.node, self.zone, self.service = fleet, node, zone, service
        self.port = free_ports(1)[0]
        self.instance = f"i-{node}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[tuple[float, str, dict]] = []
        self.work = 0.02
        self._server = None
        self._task = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port, limit=1 << 24
        )
        self._task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        port = self.fleet.ports[self.node]["announcements"]
        connection = Connection("127.0.0.1", port)
        while True:
            await self.announce(connection)
            await asyncio.sleep(1.5 if self.sequence > 2 else 0.3)

    async def announce(self, connection: Connection | None = None):
        port = self.fleet.ports[self.node]["announcements"]
        connection = connection or Connection("127.0.0.1", port)
        self.sequence += 1
        body = json.dumps(
            {
                "address": f"127.0.0.1:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": 45,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold_remaining": "0ms",
                },
            }
        ).encode()
        return await connection.ask(
            "PUT",
            f"/-/instances/{self.instance}",
            {"Content-Type": "application/json"},
            body,
            timeout=1.0,
        )

    async def _connected(self, reader, writer) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self.serve(*request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, method, path, headers, body) -> bytes | None:
        request_id = headers.get("request-id", "")
        if path == "/health":
            return encode(200, {"Instance-Id": self.instance}, b"")
        if headers.get("target-instance", self.instance) != self.instance:
            return encode(
                421, {"Request-Id": request_id, "Not-Executed": "1"}, b""
            )
        self.ran(request_id, headers)
        await asyncio.sleep(self.work)
        return self.signed(200, request_id, b"done " + request_id.encode())

    def ran(self, request_id: str, headers: dict) -> None:
        self.runs.append((time.monotonic(), request_id, headers))

    def signed(self, status: int, request_id: str, body: bytes) -> bytes:
        return encode(
            status,
            {
                "Request-Id": request_id,
                "Response-Signature": f"{self.instance}.{request_id}",
            },
            body,
        )

    async def stop(self) -> None:
        self._task.cancel()
        self._server.close()


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_request(reader):
    """Returns method, path, headers and body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    lines = head.split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, path, headers, body


def run(main, record: pathlib.Path) -> None:
    """Runs a case and exits with its result."""
    fleet = Fleet(record)

    def on_alarm(*_):
        raise CannotRun("the case took longer than 118 s")

    def on_end(*_):
        raise CannotRun("the case was ended from outside")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_end)
    signal.signal(signal.SIGINT, on_end)
    signal.alarm(118)
    status = NOT_RUN
    try:
        status = asyncio.run(main(fleet))
    except Exception as error:  # the case could not be run
        fleet.note(f"could not run: {type(error).__name__}: {error}")
    finally:
        signal.alarm(0)
        fleet.note(f"exit {status}")
        fleet.close()
    sys.exit(status)
