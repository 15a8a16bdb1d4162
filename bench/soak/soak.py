"""Runs one soak: the fleet, its callers, its faults and the checks."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import time

import trio

from bench import fleet as bench_fleet
from bench.soak import callers
from bench.soak import checker
from bench.soak import delays
from bench.soak import faults
from bench.soak import fleet
from bench.soak import model
from bench.soak import operators
from bench.soak import planner
from bench.soak import proxy
from bench.soak import upstreams
from sassafrashall import model as addresses

JUDGE_INTERVAL = 0.5  # seconds
MAX_SEEDS = 3  # controls that the settings name
SHARE_REQUESTS = 200  # requests by which shares are judged
SHARE_TIMEOUT = 20.0  # seconds to send them
FINAL_WEIGHTS = (1, 3)
NARROW_SERVICE = operators.SERVICES[1]  # of the nodes with odd numbers
EVACUATION_TIMEOUT = 30.0  # seconds until the last evacuation has ended
START_TIMEOUT = 30.0  # seconds until every node is ready
# Below the ports of outgoing connections and of `bench_fleet.free_addresses`.
FIRST_HEARTBEAT_PORT = 20_000
HEARTBEAT_PORTS = 16  # of each node


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What one soak found.

    Attributes:
      counts: Number of observations by the name of their class.
      max_delay: Longest delay of the soak's own loop, in seconds.
      lateness: For each configuration and node, the longest last.
    """

    violations: tuple[model.Violation, ...]
    counts: dict[str, int]
    max_delay: float
    lateness: tuple[model.Lateness, ...] = ()


def _heartbeat_ports(index: int) -> tuple[int, int]:
    """Returns the first and last port of the range of a node."""
    first = FIRST_HEARTBEAT_PORT + index * HEARTBEAT_PORTS
    return first, first + HEARTBEAT_PORTS - 1


class Soak:
    """Owns the parts of one soak."""

    def __init__(self, *, plan: model.Plan, folder: pathlib.Path) -> None:
        self._plan = plan
        self._folder = folder
        self._began = time.monotonic()
        self._max_delay = 0.0
        self._evacuation_ends: dict[str, float] = {}  # by VM
        self._checker = checker.Checker(on_violation=self._record)
        cut_off: tuple[str, ...] = ()  # VMs that may be cut off from others
        if plan.spares or "data-centre-cut" in plan.parts:
            cut_off = (*plan.controls, *plan.spares)
        if "data-centre-cut" in plan.parts:
            cut_off += plan.nodes
        # Of this soak only, as is the host of the addresses in use.
        network = bench_fleet.free_addresses(1)[0].host.rpartition(".")[0]
        self._hosts = {
            vm: f"{network}.{index + 1}" for index, vm in enumerate(cut_off)
        }
        self._daemons = fleet.Daemons(
            folder=folder,
            report=self._report,
            hosts=self._hosts,
            plan=plan,
        )
        self._proxies: dict[str, proxy.Proxy] = {}
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._callers: dict[str, addresses.Address] = {}
        self._ready: dict[str, addresses.Address] = {}
        self._build()
        self._events = (folder / "faults.jsonl").open("w", encoding="utf-8")

    def _build(self) -> None:
        plan = self._plan
        free = iter(
            bench_fleet.free_addresses(
                4 * len((*plan.controls, *plan.spares)) + 7 * len(plan.nodes)
            )
        )
        operator_addresses = {}
        listens = {}
        seeds = []
        for vm in (*plan.controls, *plan.spares):
            rpc, operator_addresses[vm], ops, shown = (
                next(free) for _ in range(4)
            )
            if host := self._hosts.get(vm):
                rpc = dataclasses.replace(rpc, host=host)
            if host and "data-centre-cut" in plan.parts:
                shown = dataclasses.replace(shown, host=host)
            listens[vm] = {
                "rpc": rpc,
                "operators": operator_addresses[vm],
                "ops": ops,
            }
            seeds.append(rpc)
            self._proxies[vm] = proxy.Proxy(listen=shown, target=rpc)
        for vm in (*plan.controls, *plan.spares):
            self._daemons.write_control(
                vm,
                listen=listens[vm],
                seeds=seeds[:MAX_SEEDS],
                vm_losses=plan.vm_losses,
            )
        for index, vm in enumerate(plan.nodes):
            names = ("callers", "peers", "readiness", "announcements", "ops")
            listen = {name: next(free) for name in names}
            if host := self._hosts.get(vm):
                listen["peers"] = dataclasses.replace(
                    listen["peers"], host=host
                )
            upstream, shown = next(free), next(free)
            service = operators.SERVICES[index % len(operators.SERVICES)]
            self._callers[vm] = listen["callers"]
            self._ready[vm] = listen["readiness"]
            self._proxies[vm] = proxy.Proxy(listen=shown, target=upstream)
            self._upstreams[vm] = upstreams.Upstream(
                vm=vm,
                service=service,
                address=upstream,
                announced=shown,
                announce_to=listen["announcements"],
                seed=plan.seed,
                slots=(
                    upstreams.NARROW_SLOTS
                    if "overload" in plan.parts and service == NARROW_SERVICE
                    else upstreams.SLOTS
                ),
                starts_cold="cold" in plan.parts,
                report=self._report,
            )
            self._daemons.write_node(
                vm,
                listen=listen,
                seeds=[
                    self._proxies[name].address
                    for name in plan.controls[:MAX_SEEDS]
                ],
                service=service,
                upstream=shown,
                heartbeat_ports=(
                    _heartbeat_ports(index) if plan.parts else None
                ),
            )
        self._operator = operators.Operator(
            plan=plan,
            controls=operator_addresses,
            nodes=self._callers,
            report=self._report,
        )

    def _report(self, observation: model.Observation) -> None:
        self._checker.add(observation)
        match observation:
            case (
                model.FaultBegan()
                | model.FaultEnded()
                | model.Started()
                | model.Exited()
                | model.Acknowledged()
                | model.Evacuated()
                | model.EvacuationEnds()
            ):
                self._write_event(observation)

    def _write_event(self, event: model.Observation | model.Violation) -> None:
        fields = {"kind": type(event).__name__, "wall": time.time()}
        fields |= {key: str(value) for key, value in vars(event).items()}
        self._events.write(json.dumps(fields) + "\n")

    def _record(self, violation: model.Violation) -> None:
        self._write_event(violation)
        at = violation.at - self._began
        print(
            f"seed {self._plan.seed} at {at:.2f} s: {violation.rule} "
            f"{violation.request_id} {violation.node}: {violation.detail}",
            flush=True,
        )
        if violation.request_id and violation.node:
            path = self._daemons.log_path(violation.node)
            for line in fleet.last_lines(path, violation.request_id):
                print(f"  {line}", flush=True)

    async def run(self) -> Result:
        """Runs the plan, stops the fleet and returns what was found."""
        try:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                for timed in self._plan.faults:
                    nursery.start_soon(self._inject_at, timed)
                await trio.sleep(self._plan.seconds)
                await self._finish(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._daemons.close()
            self._events.close()
        return Result(
            violations=tuple(self._checker.violations),
            counts=self._checker.counts,
            max_delay=self._max_delay,
            lateness=tuple(sorted(self._checker.lateness)),
        )

    async def _start(self, nursery: trio.Nursery) -> None:
        for part in (*self._proxies.values(), *self._upstreams.values()):
            await part.start(nursery)
        for vm in (*self._plan.controls, *self._plan.nodes):
            self._daemons.start(vm)
        nursery.start_soon(self._daemons.watch)
        with trio.fail_after(START_TIMEOUT):
            await self._operator.apply()
            for address in self._ready.values():
                while not await callers.is_ready(address):
                    await trio.sleep(0.1)
        for vm in (*self._plan.controls, *self._plan.spares):
            self._daemons.end_first_start(vm)
        # The nodes learn of each other's upstreams from their heartbeats.
        await trio.sleep(1.5)
        self._began = time.monotonic()
        nursery.start_soon(self._judge_regularly)
        nursery.start_soon(delays.watch, self._report)
        nursery.start_soon(self._operator.check_regularly)
        for vm, address in self._callers.items():
            for index in range(self._plan.groups + self._plan.slow_groups):
                group = callers.Group(
                    plan=self._plan,
                    vm=vm,
                    index=index,
                    address=address,
                    idle_timeout=lambda: self._operator.idle_timeout,
                    keys=lambda: self._operator.keys,
                    report=self._report,
                )
                nursery.start_soon(group.run)

    async def _judge_regularly(self) -> None:
        while True:
            due = time.monotonic() + JUDGE_INTERVAL
            await trio.sleep(JUDGE_INTERVAL)
            self._max_delay = max(self._max_delay, time.monotonic() - due)
            self._checker.judge_closed(time.monotonic())

    def _turn_cold(self, data_centre: str) -> None:
        """The upstreams of a data centre become cold as it is used again."""
        for vm in self._plan.nodes:
            if self._plan.data_centre_of(vm) == data_centre:
                self._evacuation_ends[vm] = time.monotonic()
                if "cold" in self._plan.parts:
                    self._upstreams[vm].turn_cold(is_assumed=True)

    async def _inject_at(self, timed: model.Timed) -> None:
        await trio.sleep(timed.at)
        await self._inject(timed.fault)

    async def _inject(self, fault: faults.Fault) -> None:
        match fault:
            case faults.Pause():
                await self._daemons.pause(fault)
            case faults.PauseAll(vms=vms, seconds=seconds):
                async with trio.open_nursery() as nursery:
                    for vm in vms:
                        pause = faults.Pause(vm=vm, seconds=seconds)
                        nursery.start_soon(self._daemons.pause, pause)
            case faults.Stop():
                await self._daemons.stop(fault)
            case faults.Kill():
                await self._daemons.kill(fault)
            case faults.KillAll(vms=vms, down=down):
                async with trio.open_nursery() as nursery:
                    for vm in vms:
                        kill = faults.Kill(vm=vm, down=down)
                        nursery.start_soon(self._daemons.kill, kill)
            case faults.LoseDisk():
                await self._daemons.lose_disk(fault)
            case faults.RefuseWrites():
                await self._daemons.refuse_writes(fault)
            case faults.FillDisks():
                await self._daemons.fill_disks(fault)
            case faults.LoseControl(vm=vm, replacement=replacement):
                self._operator.replace_control(vm, replacement)
                await self._daemons.lose_control(fault)
            case faults.Evacuate(data_centre=data_centre):
                await self._operator.evacuate(
                    fault, lambda: self._turn_cold(data_centre)
                )
            case faults.TurnCold(vm=vm):
                self._upstreams[vm].turn_cold()
            case faults.OddHeads(vm=vm):
                await callers.send_odd_heads(self._callers[vm], fault)
            case faults.FillDisk(vm=vm, seconds=seconds):
                full = faults.RefuseWrites(vm=vm, seconds=seconds)
                changes = faults.ChangeRoutes(seconds=seconds, interval=0.5)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._daemons.refuse_writes, full)
                    nursery.start_soon(self._operator.apply, changes)
            case faults.CutDataCentre():
                await self._daemons.cut_data_centre(fault)
            case faults.CutControls():
                await self._daemons.cut_controls(fault)
            case faults.RestartUpstream(vm=vm):
                await self._upstreams[vm].restart(fault)
            case faults.DelayHeartbeat(vm=vm, seconds=seconds):
                await self._upstreams[vm].delay_heartbeat(seconds)
            case faults.HangUp(vm=vm):
                await self._daemons.hang_up(vm)
            case faults.DisturbLink(vm=vm, how=how, seconds=seconds):
                number = self._daemons.begin(vm, fault)
                await self._proxies[vm].disturb(how, seconds)
                self._daemons.end(number)
            case faults.Spoil(vm=vm, how=how, seconds=seconds):
                await self._upstreams[vm].spoil(how, seconds)
            case _:
                await self._operator.apply(fault)

    async def _finish(self, nursery: trio.Nursery) -> None:
        """Injects the last fault, awaits the recovery, stops all processes."""
        recovery = model.Bounds().recovery
        with trio.move_on_after(EVACUATION_TIMEOUT):
            while self._operator.evacuates:
                await trio.sleep(0.1)
        if (final := self._plan.final) is not None:
            await self._daemons.wait_caught_up()
            with trio.move_on_after(recovery):
                await self._operator.apply()
            match final:
                case faults.KillAll() | faults.LoseDisk(killed=(_, *_)):
                    self._checker.expect_loss_of_core()
            nursery.start_soon(self._inject, final)
            await trio.sleep(planner.MAX_DOWN)
        versions = dict.fromkeys(self._operator.controls, 0)
        late = {"operator", *self._plan.nodes}
        late |= {f"{vm}/upstream" for vm in self._evacuation_ends}
        with trio.move_on_after(recovery):
            while late or min(versions.values()) < self._operator.acknowledged:
                await trio.sleep(0.2)
                if self._operator.is_settled:
                    late.discard("operator")
                for vm, ended_at in self._evacuation_ends.items():
                    if self._checker.parts.has_run(vm, ended_at):
                        late.discard(f"{vm}/upstream")
                async with trio.open_nursery() as checks:
                    for vm in (*versions, *late & set(self._plan.nodes)):
                        checks.start_soon(self._recheck, vm, versions, late)
        self._checker.judge_end(time.monotonic(), versions, late)
        if "split" in self._plan.hosts and not late:
            await self._judge_shares()
        async with trio.open_nursery() as nursery:
            for vm in self._plan.nodes:
                nursery.start_soon(self._stop_for_good, vm)
        await trio.sleep(2 * model.Bounds().settle)
        async with trio.open_nursery() as nursery:
            for vm in self._operator.controls:
                nursery.start_soon(self._stop_for_good, vm)

    async def _judge_shares(self) -> None:
        """Changes the weights in calm, and judges the shares from then on."""
        for upstream in self._upstreams.values():
            upstream.end_overload()
        await trio.sleep(2 * model.Bounds().contact)
        await self._operator.apply(faults.ChangeWeights(weights=FINAL_WEIGHTS))
        await trio.sleep(model.Bounds().apply)
        began = time.monotonic()
        with trio.move_on_after(SHARE_TIMEOUT):
            while len(self._checker.runs_of("split", began)) < SHARE_REQUESTS:
                await trio.sleep(0.1)
        services = {
            vm: operators.SERVICES[index % len(operators.SERVICES)]
            for index, vm in enumerate(self._plan.nodes)
        }
        self._checker.judge_shares(
            "split",
            began,
            services,
            dict(zip(operators.SERVICES, FINAL_WEIGHTS, strict=True)),
        )

    async def _recheck(
        self, vm: str, versions: dict[str, int], late: set[str]
    ) -> None:
        """Updates the version at a control, or whether a node is late."""
        with trio.move_on_after(1.0):
            if vm in versions:
                versions[vm] = await self._operator.read(vm) or versions[vm]
            elif await callers.is_ready(self._ready[vm]) and (
                not self._plan.parts or await self._operator.probe_newest(vm)
            ):
                late.discard(vm)

    async def _stop_for_good(self, vm: str) -> None:
        stop = faults.Stop(vm=vm, down=0.0)
        while vm in self._daemons.vms:
            await self._daemons.stop(stop, again=False)
            await trio.sleep(0.1)
