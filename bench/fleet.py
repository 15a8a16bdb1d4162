"""Runs the processes of a small fleet on the loopback interface."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from ruamel import yaml
import trio

from sassafrashall import api
from sassafrashall import model
from sassafrashall import settings as settings_module
from sassafrashall.transport import http
from sassafrashall.transport import http_client

FLEET_SECRET = "fleet-secret-for-loopback"
OPERATOR_SECRET = "operator-secret-for-loopback"
READY_TIMEOUT = 30.0  # seconds for `wait_ready`
# Port that marks a loopback host as taken by one process.
RESERVATION_PORT = 1024
STOP_TIMEOUT = 15.0  # seconds until processes that still run are killed


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerPlan:
    """One VM with a node and a simulated upstream.

    Attributes:
      nested: Targets that the upstream calls for each request.
      behaviour: Fields of `bench.upstream.Behaviour` that differ from their
        defaults.
      warm_up: Seconds from the start of the upstream until it is ready.
    """

    vm: str
    data_centre: str
    service: str
    nested: tuple[str, ...] = ()
    behaviour: dict[str, Any] = dataclasses.field(default_factory=dict)
    warm_up: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """The listen addresses of a worker's node and of its upstream."""

    callers: model.Address
    local: model.Address
    peers: model.Address
    ops: model.Address
    upstream: model.Address


@functools.cache
def _reserve_host() -> socket.socket:
    """Returns a socket that reserves a loopback host for this process."""
    while True:
        numbers = (str(secrets.randbelow(254) + 1) for _ in range(3))
        reservation = socket.socket()
        try:
            reservation.bind((".".join(("127", *numbers)), RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        reservation.listen()
        return reservation


_assigned_ports: set[int] = set()


def free_addresses(count: int) -> list[model.Address]:
    """Returns loopback addresses that no other fleet of this machine gets.

    Their host belongs to this process until it ends, and no two calls return
    the same port. Outgoing connections use the host 127.0.0.1, so that their
    ports can't be in the way either.
    """
    host = _reserve_host().getsockname()[0]
    addresses: list[model.Address] = []
    while len(addresses) < count:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in _assigned_ports:
            _assigned_ports.add(port)
            addresses.append(model.Address(host=host, port=port))
    return addresses


class Fleet:
    """The processes of a fleet, each started and stopped by its name.

    The name of a control or a node is its VM; the name of a simulated upstream
    is `VM/upstream`.

    Attributes:
      controls: Data centre, RPC address and operations address of each control,
        by VM.
      ports: Addresses of each worker, by VM.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        data_centres: tuple[str, ...],
        workers: tuple[WorkerPlan, ...],
        policy: dict[str, Any] | None = None,
        keep_headers: bool = False,
        default_timeout_ms: int = 10_000,
    ) -> None:
        self._folder = folder
        self._workers = workers
        self._policy = policy or {}
        self._keep_headers = keep_headers
        self._default_timeout_ms = default_timeout_ms
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        addresses = iter(
            free_addresses(2 * len(data_centres) + 5 * len(workers))
        )
        self.controls = {
            f"control-{name}": (name, next(addresses), next(addresses))
            for name in data_centres
        }
        self.ports = {
            worker.vm: Ports(
                callers=next(addresses),
                local=next(addresses),
                peers=next(addresses),
                ops=next(addresses),
                upstream=next(addresses),
            )
            for worker in workers
        }
        self._write_settings()

    @property
    def folder(self) -> pathlib.Path:
        """Folder of the settings files, logs and data folders."""
        return self._folder

    @property
    def tool_settings(self) -> settings_module.Tool:
        """Settings of the client for operators."""
        return settings_module.Tool(
            controls=tuple(
                settings_module.Control(vm=vm, data_centre=dc, address=rpc)
                for vm, (dc, rpc, _) in self.controls.items()
            ),
            operator_secret=OPERATOR_SECRET,
        )

    @property
    def tool_file(self) -> pathlib.Path:
        """Path of the settings file of the operators' tool."""
        return self._folder / "ctl.yaml"

    def _write_settings(self) -> None:
        controls = [
            {"vm": vm, "data_centre": dc, "address": str(rpc)}
            for vm, (dc, rpc, _) in self.controls.items()
        ]
        self._write_yaml(
            self.tool_file,
            {"controls": controls, "operator_secret": OPERATOR_SECRET},
        )
        for vm, (dc, rpc, ops) in self.controls.items():
            self._add_daemon(
                vm,
                {
                    "role": "control",
                    "vm": vm,
                    "data_centre": dc,
                    "listen": {"rpc": str(rpc), "ops": str(ops)},
                    "controls": controls,
                    "fleet_secret": FLEET_SECRET,
                    "operator_secret": OPERATOR_SECRET,
                    "data_folder": str(self._folder / vm),
                },
            )
        for worker in self._workers:
            self._add_worker(worker, controls)

    def _add_worker(
        self, worker: WorkerPlan, controls: list[dict[str, str]]
    ) -> None:
        ports = self.ports[worker.vm]
        self._add_daemon(
            worker.vm,
            {
                "role": "node",
                "vm": worker.vm,
                "data_centre": worker.data_centre,
                "listen": {
                    "callers": str(ports.callers),
                    "local": str(ports.local),
                    "peers": str(ports.peers),
                    "ops": str(ports.ops),
                },
                "controls": controls,
                "fleet_secret": FLEET_SECRET,
                "default_timeout_ms": self._default_timeout_ms,
                "policy": self._policy,
            },
        )
        command = [
            sys.executable,
            "-m",
            "bench.upstream",
            "--service",
            worker.service,
            "--address",
            str(ports.upstream),
            "--node",
            str(ports.local),
            "--behaviour",
            json.dumps(worker.behaviour),
            "--warm-up",
            str(worker.warm_up),
        ]
        for target in worker.nested:
            command += ["--nested", target]
        if self._keep_headers:
            command.append("--keep-headers")
        self._commands[f"{worker.vm}/upstream"] = command

    def _add_daemon(self, vm: str, document: dict[str, Any]) -> None:
        path = self._folder / f"{vm}.yaml"
        self._write_yaml(path, document)
        self._commands[vm] = [
            sys.executable,
            "-m",
            "sassafrashall.daemon",
            "--settings",
            str(path),
        ]

    def _write_yaml(self, path: pathlib.Path, document: dict[str, Any]) -> None:
        with path.open("w", encoding="utf-8") as file:
            yaml.YAML().dump(document, file)

    # --- processes -----------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts one process."""
        log = (self._folder / f"{name.replace('/', '-')}.log").open("ab")
        with log:
            self._processes[name] = subprocess.Popen(
                self._commands[name],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=pathlib.Path(__file__).parent.parent,
                env=dict(os.environ),
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process that this fleet started."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills one process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def pid(self, name: str) -> int:
        """Returns the process ID of a process."""
        return self._processes[name].pid

    def alive(self, name: str) -> bool:
        """Returns whether a process is running."""
        return self._processes[name].poll() is None

    def wait(self, name: str, timeout: float) -> int:
        """Waits for the end of a process and returns its exit status.

        Raises:
          subprocess.TimeoutExpired: It still runs after `timeout` seconds.
        """
        return self._processes[name].wait(timeout)

    def log_text(self, name: str) -> str:
        """Returns the standard output and error of a process so far."""
        path = self._folder / f"{name.replace('/', '-')}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def start_all(self) -> None:
        """Starts every process."""
        for name in self._commands:
            self.start(name)

    def close(self, *, graceful: bool = True) -> None:
        """Stops every process.

        Args:
          graceful: Whether to send SIGTERM and kill only what still runs after
            `STOP_TIMEOUT`, rather than to kill all at once.
        """
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            # A suspended process handles SIGTERM only once it is resumed.
            process.send_signal(signal.SIGCONT)
            if graceful:
                process.terminate()
            else:
                process.kill()
        deadline = time.monotonic() + STOP_TIMEOUT
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # --- state ---------------------------------------------------------------

    @contextlib.contextmanager
    def client(self) -> Any:
        """Yields a client for operators and closes it afterwards."""
        client = api.FleetClient(settings=self.tool_settings)
        try:
            yield client
        finally:
            client.close()

    async def wait_ready(self, client: api.FleetClient) -> None:
        """Waits until there is a leader and every upstream is ready.

        Raises:
          TooSlowError: This took longer than `READY_TIMEOUT`.
        """
        with trio.fail_after(READY_TIMEOUT):
            while True:
                try:
                    status = await client.status()
                except api.UnreachableError:
                    await trio.sleep(0.2)
                    continue
                ready = sum(
                    entry.record.upstream is not None
                    and entry.record.upstream.state is model.UpstreamState.READY
                    and not entry.lapsed
                    for entry in status.nodes
                )
                if ready == len(self._workers) and status.majority_age < 1.0:
                    break
                await trio.sleep(0.2)
        # Nodes learn of each other from the reply to their next heartbeat.
        await trio.sleep(1.5)

    async def history(self, vm: str) -> list[dict[str, Any]]:
        """Returns the requests that the simulated upstream of a VM has run."""
        response = await http_client.get(self.ports[vm].upstream, "/_history")
        return json.loads(response.body)

    async def set_behaviour(self, vm: str, **changes: Any) -> None:
        """Changes the behaviour of the simulated upstream of a VM."""
        connection = await http_client.ClientConnection.open(
            self.ports[vm].upstream
        )
        request = http.RawRequest(
            method="POST",
            target="/_behaviour",
            headers=(("host", "upstream"),),
            body=json.dumps(changes).encode(),
            source=model.Source.CALLER,
            received_at=0.0,
        )
        try:
            await connection.exchange(request)
        finally:
            await connection.close()
