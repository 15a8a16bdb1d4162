"""The operator: changes the configuration and checks where it is in force."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import json
import random
import time

import trio

from bench.soak import callers
from bench.soak import faults
from bench.soak import model as soak_model
from sassafrashall import model

ATTEMPT_TIMEOUT = 1.0  # seconds
RETRY_DELAY = 0.1  # seconds
# Versions whose probe routes a configuration has, the newest ones.
PROBED_VERSIONS = 30
PROBE_HOST = "probe.example"
PROBE_ID = "probe-"  # prefix of the ids of probes
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 26,
    "header_timeout": "3000ms",
}
SERVICES = ("alpha", "beta")
COLD = {
    "cold_start": f"{soak_model.COLD_START}s",
    "cold_per_s": soak_model.COLD_PER_S,
}


class Operator:
    """Sends one configuration after the other, and knows the newest."""

    def __init__(
        self,
        *,
        plan: soak_model.Plan,
        controls: dict[str, model.Address],
        nodes: dict[str, model.Address],
        report: Callable[[soak_model.Observation], None],
    ) -> None:
        self._controls = {
            vm: address
            for vm, address in controls.items()
            if vm in plan.controls
        }
        self._spares = {
            vm: address for vm, address in controls.items() if vm in plan.spares
        }
        self._check_interval = plan.check_interval
        self._nodes = nodes
        self._report = report
        self._random = random.Random(f"{plan.seed} operator")
        self._version = 0
        self._acknowledged = 0
        self._idle = plan.idle
        self._keys = ("key-1", "key-2", "key-3")
        self._newest_key = len(self._keys)
        self._weights = (1, 1)
        self._plan = plan
        self._evacuated: set[str] = set()
        self._turn = trio.Lock()

    @property
    def idle_timeout(self) -> float:
        """Idle timeout of the newest acknowledged configuration, seconds."""
        return self._idle

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys in use, and those that were withdrawn last."""
        first = max(1, self._newest_key - 4)
        return tuple(
            f"key-{number}" for number in range(first, self._newest_key + 1)
        )

    @property
    def acknowledged(self) -> int:
        """The newest acknowledged version; 0 if there is none."""
        return self._acknowledged

    @property
    def controls(self) -> tuple[str, ...]:
        """VMs of the controls that are in use."""
        return tuple(self._controls)

    def replace_control(self, vm: str, replacement: str) -> None:
        """Uses another control from now on."""
        del self._controls[vm]
        self._controls[replacement] = self._spares[replacement]

    @property
    def is_settled(self) -> bool:
        """Whether no change waits for its acknowledgement or its end."""
        return self._version == self._acknowledged and not self._evacuated

    @property
    def evacuates(self) -> bool:
        """Whether a data centre is evacuated."""
        return bool(self._evacuated)

    async def evacuate(
        self, fault: faults.Evacuate, before_end: Callable[[], None]
    ) -> None:
        """Evacuates a data centre, and ends it once it was in force."""
        if fault.data_centre in self._evacuated:
            return
        self._evacuated.add(fault.data_centre)
        path = f"/-/evacuation/{fault.data_centre}"
        await self._send_until_acknowledged("POST", path)
        vms = (
            vm
            for vm in self._nodes
            if self._plan.data_centre_of(vm) == fault.data_centre
        )
        self._report(
            soak_model.Evacuated(
                data_centre=fault.data_centre,
                at=time.monotonic(),
                vms=frozenset(vms),
            )
        )
        await trio.sleep(soak_model.Bounds().evacuation + fault.seconds)
        before_end()
        self._report(
            soak_model.EvacuationEnds(
                data_centre=fault.data_centre, at=time.monotonic()
            )
        )
        await self._send_until_acknowledged("DELETE", path)
        self._evacuated.discard(fault.data_centre)

    async def probe_newest(self, vm: str) -> bool:
        """Returns whether a node serves the newest route."""
        return await self._probe(vm, self._acknowledged)

    async def apply(self, change: faults.Fault | None = None) -> None:
        """Sends changes in turn, each until it is acknowledged."""
        match change:
            case faults.ChangeStorm(idles=idles):
                for idle in idles:
                    await self._change(idle=idle)
            case faults.ChangeIdle(idle=idle):
                await self._change(idle=idle)
            case faults.ReplaceKey():
                await self._change(replace_key=True)
            case faults.ChangeWeights(weights=weights):
                await self._change(weights=weights)
            case faults.ChangeRoutes(seconds=seconds, interval=interval):
                end = time.monotonic() + seconds
                while (began := time.monotonic()) < end:
                    await self._change()
                    took = time.monotonic() - began
                    await trio.sleep(max(0.0, interval - took))
            case _:
                await self._change()

    async def _change(
        self,
        *,
        idle: float | None = None,
        replace_key: bool = False,
        weights: tuple[int, int] | None = None,
    ) -> None:
        async with self._turn:
            keys = self._keys
            if replace_key:
                self._newest_key += 1
                keys = (*keys[1:], f"key-{self._newest_key}")
            idle = idle or self._idle
            base = self._acknowledged
            self._version += 1
            self._weights = weights or self._weights
            body = json.dumps(
                _document(
                    self._version, idle, keys, self._weights, self._plan.parts
                )
            ).encode()
            self._report(
                soak_model.Proposed(
                    version=self._version,
                    at=time.monotonic(),
                    keys=frozenset(keys),
                )
            )
            await self._send_until_acknowledged(
                "PUT",
                "/-/configuration",
                headers=(("if-match", f"r{base}" if base else "0"),),
                body=body,
            )
            self._acknowledged = self._version
            self._idle, self._keys = idle, keys
            self._report(
                soak_model.Acknowledged(
                    version=self._version, at=time.monotonic()
                )
            )

    async def _send_until_acknowledged(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> None:
        while True:
            vm = self._random.choice(list(self._controls))
            status = 0
            with trio.move_on_after(ATTEMPT_TIMEOUT):
                status, _ = await callers.send_once(
                    self._controls[vm],
                    method,
                    path,
                    headers=headers,
                    body=body,
                )
            if status == 200:
                return
            if status in (400, 404, 409, 412, 413, 422):
                self._report(
                    soak_model.Refused(
                        version=self._version,
                        at=time.monotonic(),
                        status=status,
                    )
                )
            await trio.sleep(RETRY_DELAY)

    async def check_regularly(self) -> None:
        """Probes every node and reads from every control, until cancelled."""
        async with trio.open_nursery() as nursery:
            for vm in self._nodes:
                nursery.start_soon(self._probe_regularly, vm)
            for vm in (*self._controls, *self._spares):
                nursery.start_soon(self._read_regularly, vm)

    async def _wait_for_check(self) -> None:
        await trio.sleep(self._random.uniform(0.5, 1.5) * self._check_interval)

    async def _probe_regularly(self, vm: str) -> None:
        """Asks a node for the newest route, and for the first it lacked."""
        seen = 0
        while True:
            await self._wait_for_check()
            newest = self._acknowledged
            if await self._probe(vm, newest):
                seen = newest
            elif seen + 1 < newest and await self._probe(vm, seen + 1):
                seen += 1

    async def _probe(self, vm: str, version: int) -> bool:
        """Asks a node for the route of a version; returns whether it served."""
        at = time.monotonic()
        status = 0
        with trio.move_on_after(ATTEMPT_TIMEOUT):
            status, _ = await callers.send_once(
                self._nodes[vm],
                "GET",
                f"/v{version}/",
                headers=(
                    ("host", PROBE_HOST),
                    ("request-id", f"{PROBE_ID}{vm}-{at}"),
                ),
            )
        if status in (200, 404):
            self._report(
                soak_model.Probed(
                    vm=vm,
                    at=at,
                    answered_at=time.monotonic(),
                    version=version,
                    in_force=status == 200,
                )
            )
        return status == 200

    async def _read_regularly(self, vm: str) -> None:
        while True:
            await self._wait_for_check()
            if vm in self._controls:
                with trio.move_on_after(ATTEMPT_TIMEOUT):
                    await self.read(vm)

    async def read(self, vm: str) -> int:
        """Reads and reports the version at a control; 0 if it isn't told."""
        at = time.monotonic()
        status, body = await callers.send_once(
            self._controls[vm], "GET", "/-/configuration"
        )
        if status != 200:
            return 0
        version = int(json.loads(body)["version"].removeprefix("r"))
        self._report(soak_model.Read(vm=vm, at=at, version=version))
        return version


def _document(
    version: int,
    idle: float,
    keys: tuple[str, ...],
    weights: tuple[int, int],
    parts: Collection[str],
) -> dict[str, object]:
    """Returns a configuration, with the probe routes of the newest versions."""

    def route(host: str, prefix: str, service: str, **changes: object):
        return {
            "host": host,
            "path_prefix": prefix,
            "route_type": "idempotent",
            "timeout": f"{soak_model.Bounds().route_timeout}s",
            "target_latency": "2s",
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": True,
        } | changes

    split = route("split.example", "/", "")
    del split["service"]
    split["weighted_targets"] = [
        {"service": service, "weight": weight}
        for service, weight in zip(SERVICES, weights, strict=True)
    ]
    return {
        "version": f"r{version}",
        "routes": {
            "split": split,
            "idem": route("idem.example", "/", "alpha"),
            "once": route(
                "once.example", "/", "beta", route_type="non_idempotent"
            ),
            "keyed": route("keyed.example", "/", "beta", public=False),
        }
        | {
            f"probe-{number}": route(PROBE_HOST, f"/v{number}/", "alpha")
            for number in range(
                max(1, version - PROBED_VERSIONS + 1), version + 1
            )
        },
        "services": {
            service: {"health_path": "/health", "max_connections": 400}
            | (COLD if "cold" in parts else {})
            for service in SERVICES
        },
        "limits": LIMITS | {"idle_timeout": f"{int(1000 * idle)}ms"},
        "tenants": {
            "org": {"api_keys": list(keys), "priority": 1, "rate_per_s": 0}
        },
    }
