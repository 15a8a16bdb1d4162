"""The daemons of a soak, each a process that signals can reach."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import itertools
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
import time
from typing import IO

from ruamel import yaml
import trio

from bench.soak import faults
from bench.soak import links
from bench.soak import model as soak_model
import sassafrashall
from sassafrashall import model

# The program as it is deployed, from the checkout of the package in use.
PROGRAM = (
    pathlib.Path(sassafrashall.__file__).parents[2]
    / "deploy"
    / "sassafrashalld.py"
)
# Seconds from a start until SIGHUP may come. The interpreter takes some time
# until it runs the first line of the program.
INTERPRETER_START = 0.3
POLL_INTERVAL = 0.02  # seconds between checks for processes that ended
SECRET = "a-secret-of-the-soak"
NODE_POLICY = {
    "limit": "fixed",
    "queue": "calls-first",
    "routing": "least-loaded",
    "retries": "arrivals",
    "early_shed": "none",
}
# Of plans with parts, as deployed.
PARTS_POLICY = NODE_POLICY | {
    "queue": "urgency-first",
    "routing": "expected-completion",
    "breaker": "consecutive-failures",
}
PARTS_ROUTED = {
    "cold_overage": soak_model.COLD_OVERAGE,
    "cold_slack": soak_model.COLD_SLACK,
    "evacuation": f"{soak_model.Bounds().evacuation}s",
    "pipeline_depth": 8,
}


class Daemons:
    """Starts, signals and watches the processes of controls and nodes."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        report: Callable[[soak_model.Observation], None],
        hosts: Mapping[str, str] | None = None,
        plan: soak_model.Plan | None = None,
    ) -> None:
        """Sets up the processes.

        Args:
          folder: For settings, data and logs.
          report: Called with what happens to the processes.
          hosts: The loopback host of each process whose links are cut.
          plan: Tells the data centres, and what is added to the settings.
        """
        self._folder = folder
        self._report = report
        self._links = links.Links(path=folder / "cut-links", hosts=hosts or {})
        self._data_centres = plan.data_centres if plan else 1
        self._parts = plan.parts if plan else frozenset()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._log_writers: list[subprocess.Popen[bytes]] = []
        self._told: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._busy: set[str] = set()
        self._control_faults: set[int] = set()
        self._calm_since = 0.0
        self._disk_turn = trio.Lock()

    @property
    def vms(self) -> tuple[str, ...]:
        """The VMs with a process that runs."""
        return tuple(self._processes)

    def process_ids(self) -> dict[str, int]:
        """Returns the process id of each VM with a process that runs."""
        return {vm: process.pid for vm, process in self._processes.items()}

    def write_control(
        self,
        vm: str,
        *,
        listen: dict[str, model.Address],
        seeds: list[model.Address],
        vm_losses: int = 1,
    ) -> None:
        """Writes the settings of a control."""
        routed: dict[str, object] = {"first_start": True}
        if self._parts:
            routed["regions"] = {
                f"dc-{number}": "r" for number in range(self._data_centres)
            }
        # The default fits controls in several data centres.
        if vm_losses > 1 or self._data_centres == 1:
            routed["losses"] = {
                "vms": vm_losses,
                "data_centres": 0,
                "regions": 0,
            }
        self._write(
            vm,
            listen,
            seeds,
            role="control",
            operator_secret=f"{SECRET}-operator",
            data_folder=str(self._data_folder(vm)),
            routed=routed,
        )

    def write_node(
        self,
        vm: str,
        *,
        listen: dict[str, model.Address],
        seeds: list[model.Address],
        service: str,
        upstream: model.Address,
        pipeline_depth: int = 1,
        heartbeat_ports: tuple[int, int] | None = None,
    ) -> None:
        """Writes the settings of a node."""
        bounds = soak_model.Bounds()
        self._write(
            vm,
            listen,
            seeds,
            role="node",
            policy=PARTS_POLICY if self._parts else NODE_POLICY,
            routed={
                "service": service,
                "upstream": str(upstream),
                "strict_withdrawal": True,
                "withdrawal": f"{bounds.revoke}s",
                "grace": f"{bounds.grace}s",
                # Earlier builds don't know these two settings.
                **(
                    {"pipeline_depth": pipeline_depth}
                    if pipeline_depth > 1
                    else {}
                ),
                **(
                    {"heartbeat_ports": list(heartbeat_ports)}
                    if heartbeat_ports
                    else {}
                ),
                **(PARTS_ROUTED if self._parts else {}),
            },
        )

    def _write(
        self,
        vm: str,
        listen: dict[str, model.Address],
        seeds: list[model.Address],
        **fields: object,
    ) -> None:
        document = {
            "vm": vm,
            "data_centre": soak_model.data_centre_of(vm, self._data_centres),
            "fleet_secret": SECRET,
            "seeds": [str(seed) for seed in seeds],
            "listen": {name: str(value) for name, value in listen.items()},
        }
        path = self._folder / f"{vm}.yaml"
        with path.open("w", encoding="utf-8") as file:
            yaml.YAML().dump(document | fields, file)

    def end_first_start(self, vm: str) -> None:
        """Writes the settings of a control that the fleet is founded."""
        path = self._folder / f"{vm}.yaml"
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace("first_start: true", "first_start: false"))

    def _data_folder(self, vm: str) -> pathlib.Path:
        return self._folder / f"{vm}-data"

    def log_path(self, vm: str) -> pathlib.Path:
        """Returns the path of the log of all processes of a VM."""
        return self._folder / f"{vm}.log"

    def start(self, vm: str) -> None:
        """Starts the process of a VM unless one runs."""
        if vm in self._processes:
            return
        command = [sys.executable, str(PROGRAM), "--settings"]
        with self._open_log(vm) as log:
            self._processes[vm] = subprocess.Popen(
                [*command, str(self._folder / f"{vm}.yaml")],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._links.environment(vm),
            )
        self._told.discard(vm)
        self._started_at[vm] = time.monotonic()
        self._report(soak_model.Started(vm=vm, at=self._started_at[vm]))

    def _open_log(self, vm: str) -> IO[bytes]:
        log = self.log_path(vm).open("ab")
        if not vm.startswith("control"):
            return log
        # A limit on the files of a control doesn't apply to a pipe.
        with log:
            writer = subprocess.Popen(
                ["cat"], stdin=subprocess.PIPE, stdout=log
            )
        self._log_writers.append(writer)
        assert writer.stdin is not None
        return writer.stdin

    async def watch(self) -> None:
        """Reports each process that ends, until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL)
            self._collect_exits()

    def _collect_exits(self) -> None:
        for vm, process in list(self._processes.items()):
            if process.poll() is not None:
                del self._processes[vm]
                self._report(
                    soak_model.Exited(
                        vm=vm,
                        at=time.monotonic(),
                        status=process.returncode,
                        told=vm in self._told,
                    )
                )

    def _signal(self, vm: str, number: signal.Signals) -> None:
        process = self._processes.get(vm)
        if process is not None and process.poll() is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._told.add(vm)
            process.send_signal(number)

    def begin(self, vm: str, fault: faults.Fault) -> int:
        """Reports that a fault begins and returns its number."""
        number = next(self._numbers)
        if vm.startswith("control"):
            self._control_faults.add(number)
        self._report(
            soak_model.FaultBegan(
                number=number, at=time.monotonic(), vm=vm, fault=fault
            )
        )
        return number

    def end(self, number: int) -> None:
        """Reports that a fault ended."""
        if number in self._control_faults:
            self._control_faults.remove(number)
            self._calm_since = time.monotonic()
        self._report(soak_model.FaultEnded(number=number, at=time.monotonic()))

    async def hang_up(self, vm: str) -> None:
        """Sends SIGHUP, not before the program of a new process runs."""
        age = time.monotonic() - self._started_at.get(vm, 0.0)
        await trio.sleep(max(0.0, INTERPRETER_START - age))
        self._signal(vm, signal.SIGHUP)

    async def pause(self, fault: faults.Pause) -> None:
        """Stops a process from running for some seconds."""
        number = self.begin(fault.vm, fault)
        process = self._processes.get(fault.vm)
        self._signal(fault.vm, signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        if process is self._processes.get(fault.vm):
            self._signal(fault.vm, signal.SIGCONT)
        self.end(number)

    async def kill(self, fault: faults.Kill) -> None:
        """Kills a process; starts it again unless another fault does."""
        number = self.begin(fault.vm, fault)
        self._signal(fault.vm, signal.SIGKILL)
        await self._wait_exit(fault.vm)
        if fault.vm not in self._busy:
            self._busy.add(fault.vm)
            await trio.sleep(fault.down)
            self.start(fault.vm)
            self._busy.discard(fault.vm)
        self.end(number)

    async def lose_disk(self, fault: faults.LoseDisk) -> None:
        """Kills a control and empties its folder, one control at a time."""
        async with self._disk_turn:
            async with trio.open_nursery() as nursery:
                for vm in (fault.vm, *fault.also):
                    lost = dataclasses.replace(fault, vm=vm, also=())
                    nursery.start_soon(self._kill_and_empty, lost)
                for vm in fault.killed:
                    kill = faults.Kill(vm=vm, down=fault.down)
                    nursery.start_soon(self.kill, kill)
            catch_up = soak_model.Bounds().catch_up
            while (
                self._control_faults
                or time.monotonic() - self._calm_since < catch_up
            ):
                await trio.sleep(POLL_INTERVAL)

    async def wait_caught_up(self) -> None:
        """Waits until every disk that was lost has been made up for."""
        async with self._disk_turn:
            pass

    async def _kill_and_empty(self, fault: faults.LoseDisk) -> None:
        while fault.vm in self._busy:
            await trio.sleep(POLL_INTERVAL)
        self._busy.add(fault.vm)
        number = self.begin(fault.vm, fault)
        self._signal(fault.vm, signal.SIGKILL)
        await self._wait_exit(fault.vm)
        shutil.rmtree(self._data_folder(fault.vm), ignore_errors=True)
        await trio.sleep(fault.down)
        self.start(fault.vm)
        self._busy.discard(fault.vm)
        self.end(number)

    async def lose_control(self, fault: faults.LoseControl) -> None:
        """Kills a control for good and starts an empty one."""
        number = self.begin(fault.vm, fault)
        self._signal(fault.vm, signal.SIGKILL)
        await self._wait_exit(fault.vm)
        await trio.sleep(fault.down)
        self.start(fault.replacement)
        self.end(number)

    async def cut_controls(self, fault: faults.CutControls) -> None:
        """Cuts controls off from the others for some seconds."""
        number = self.begin(fault.vms[0], fault)
        await self._links.cut(
            fault.vms,
            {vm for vm in self._links.vms if vm.startswith("control")},
            fault.seconds,
            sends=fault.sends,
            receives=fault.receives,
        )
        self.end(number)

    async def cut_data_centre(self, fault: faults.CutDataCentre) -> None:
        """Cuts the processes of a data centre off for some seconds."""
        inside = {
            vm
            for vm in self._links.vms
            if fault.data_centre
            == soak_model.data_centre_of(vm, self._data_centres)
        }
        numbers = [self.begin(vm, fault) for vm in sorted(inside)]
        await self._links.cut(inside, self._links.vms, fault.seconds)
        for number in numbers:
            self.end(number)

    async def refuse_writes(self, fault: faults.RefuseWrites) -> None:
        """Lets the writes of a control fail for some seconds."""
        process = self._processes.get(fault.vm)
        if process is None or process.poll() is not None:
            return
        number = self.begin(fault.vm, fault)
        _, most = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, most))
        await trio.sleep(fault.seconds)
        if process.poll() is None:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (most, most))
        await trio.sleep(soak_model.Bounds().settle)
        self.end(number)

    async def fill_disks(self, fault: faults.FillDisks) -> None:
        """Lets the writes of controls fail, one control after the other."""
        async with self._disk_turn:
            for vm in fault.vms:
                await self.refuse_writes(
                    faults.RefuseWrites(vm=vm, seconds=fault.seconds)
                )

    async def stop(self, fault: faults.Stop, *, again: bool = True) -> None:
        """Stops a process as planned, and starts it again if `again`."""
        if fault.vm in self._busy or fault.vm not in self._processes:
            return
        self._busy.add(fault.vm)
        number = self.begin(fault.vm, fault)
        self._signal(fault.vm, signal.SIGTERM)
        with trio.move_on_after(soak_model.Bounds().grace):
            await self._wait_exit(fault.vm)
        if fault.vm in self._processes:
            kill = self.begin(
                fault.vm, faults.Kill(vm=fault.vm, down=fault.down)
            )
            self._signal(fault.vm, signal.SIGKILL)
            await self._wait_exit(fault.vm)
            self.end(kill)
        if again:
            await trio.sleep(fault.down)
            self.start(fault.vm)
        self._busy.discard(fault.vm)
        self.end(number)

    async def _wait_exit(self, vm: str) -> None:
        while vm in self._processes:
            await trio.sleep(POLL_INTERVAL)

    def close(self) -> None:
        """Kills every process that still runs."""
        for vm, process in self._processes.items():
            self._signal(vm, signal.SIGKILL)
            process.wait()
        for writer in self._log_writers:
            writer.wait()


def last_lines(path: pathlib.Path, text: str, count: int = 5) -> list[str]:
    """Returns the last lines of a log that contain a text."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [line for line in lines if text in line][-count:]
