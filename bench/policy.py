"""Policies under overload and faults, judged by the four measures.

Real node processes beside stand-in upstreams: a chain of three services whose
last one is the bottleneck. One data centre, two workers a service. The scale
to the users' deployments is one twelfth of their slots, so that the machine's
processors are not what is measured.
"""

from __future__ import annotations

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import statistics
import sys
import tempfile

from hdrh import histogram
import trio

from bench import caller as caller_module
from bench import fleet as fleet_module
from bench import load
from sassafrashall import reports
from sassafrashall.decisions import fleet_commands

CAPACITY = 50.0  # requests a second: 2 workers, 4 slots, 160 ms
DEADLINE = 1.0  # seconds
BUCKET = 0.5  # seconds over which goodput is counted
PHASES = load.Phases(before=2.0, during=4.0, after=5.0)
CRITICAL = "/order/urgent"
NORMAL = "/order/view"
BULK = "/order/report"
ORGANISATIONS = ("large", "small", "tiny")
RATE = 30.0  # each organisation's own rate, requests a second

POLICIES = {
    "no control": {
        "limit": "none",
        "queue": "fifo",
        "queue_length": 0,
        "early_shed": "none",
        "routing": "random",
        "retries": "fixed",
    },
    "fixed limit": {
        "limit": "fixed",
        "queue": "fifo",
        "queue_length": 64,
        "early_shed": "none",
        "routing": "two-choices",
        "retries": "fixed",
    },
    "product": {},
}

Fault = Callable[[fleet_module.Fleet], Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load with a disturbance.

    Attributes:
      begin: What happens to the fleet when the disturbance begins.
      end: What happens when it ends.
      quota: Rate and burst of every organisation.
    """

    name: str
    streams: tuple[load.Stream, ...]
    begin: Fault | None = None
    end: Fault | None = None
    quota: tuple[float, int] = (100_000.0, 100_000)


def mix(
    total: float, *, surge: float = 1.0, retries: int = 0
) -> tuple[load.Stream, ...]:
    """Returns the usual mix: a fifth critical, a fifth bulk."""
    shares = {"large": 0.5, "small": 0.3, "tiny": 0.2}
    routes = {CRITICAL: 0.2, NORMAL: 0.6, BULK: 0.2}
    return tuple(
        load.Stream(
            organisation=organisation,
            target=target,
            rate=total * share * part,
            surge=surge,
            retries=retries,
        )
        for organisation, share in shares.items()
        for target, part in routes.items()
    )


def one_greedy() -> tuple[load.Stream, ...]:
    """Returns a mix in which one organisation sends five times its rate."""
    streams = []
    for organisation in ORGANISATIONS:
        surge = 10.0 if organisation == "large" else 1.0
        streams.append(
            load.Stream(
                organisation=organisation,
                target=NORMAL,
                rate=11.0,
                surge=surge,
            )
        )
    return tuple(streams)


def _each(service: str, **changes: object) -> Fault:
    async def apply(fleet: fleet_module.Fleet) -> None:
        for vm in fleet.ports:
            if vm.startswith(service):
                await fleet.set_behaviour(vm, **changes)

    return apply


async def _kill_workers(fleet: fleet_module.Fleet) -> None:
    for service in ("order", "stock"):
        fleet.kill(f"{service}-1/upstream")


async def _start_workers(fleet: fleet_module.Fleet) -> None:
    for service in ("order", "stock"):
        fleet.start(f"{service}-1/upstream")


SCENARIOS = (
    Scenario(name="surge x3", streams=mix(0.7 * CAPACITY, surge=4.3)),
    Scenario(
        name="surge x3, hard retries",
        streams=mix(0.7 * CAPACITY, surge=4.3, retries=3),
    ),
    Scenario(
        name="deep slows x10, retries",
        streams=mix(0.7 * CAPACITY, retries=3),
        begin=_each("measure", slowdown=10.0),
        end=_each("measure", slowdown=1.0),
    ),
    Scenario(
        name="one at x5 its rate",
        streams=one_greedy(),
        quota=(RATE, 15),
    ),
    Scenario(
        name="deep lies about slots",
        streams=mix(0.7 * CAPACITY, surge=2.0),
        begin=_each("measure", announced_slots=40),
        end=_each("measure", announced_slots=0),
    ),
    Scenario(
        name="half the front restarts",
        streams=mix(0.5 * CAPACITY),
        begin=_kill_workers,
        end=_start_workers,
    ),
)


def plan() -> tuple[fleet_module.WorkerPlan, ...]:
    """Returns two workers for each service of the chain."""
    chain = (
        ("order", ("/stock/check",), {"service_time": 0.003, "slots": 32}),
        ("stock", ("/measure/read",), {"service_time": 0.003, "slots": 32}),
        ("measure", (), {"service_time": 0.16, "slots": 4}),
    )
    return tuple(
        fleet_module.WorkerPlan(
            vm=f"{service}-{number}",
            data_centre="amman",
            service=service,
            nested=nested,
            behaviour=behaviour,
        )
        for service, nested, behaviour in chain
        for number in (1, 2)
    )


# --- measures ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measures:
    """What one run came to.

    Attributes:
      goodput: Whole answers in time during the disturbance, a second.
      recovery: Seconds after its end until goodput is back at 95%.
      critical: Part of critical requests served during it.
      worst: Least served organisation, relative to its fair share.
      refused_within_rate: Part of the requests of organisations within their
        rate that were refused for quota.
      amplification: Executions at the deep service for each request that was
        sent to the fleet.
      p99: Milliseconds of whole answers.
    """

    goodput: float
    recovery: float
    critical: float
    worst: float
    refused_within_rate: float
    amplification: float
    p99: float


def measure(
    requests: list[load.Request], deep_runs: int, scenario: Scenario
) -> Measures:
    """Computes the measures of one run."""
    start, end = PHASES.before, PHASES.before + PHASES.during
    # The first second of the disturbance is the way into it.
    inside = [r for r in requests if start + 1.0 <= r.at < end]
    seconds = PHASES.during - 1.0
    critical = [r for r in inside if r.stream.target == CRITICAL]
    latencies = histogram.HdrHistogram(1, 60_000_000, 3)
    for request in requests:
        if request.ok:
            latencies.record_value(max(1, int(request.sent.latency * 1e6)))
    quiet = [
        r for r in inside if r.stream.surge == 1.0 or "x5" not in scenario.name
    ]
    over = sum(r.sent.code == "over_rate" for r in quiet)
    sent = sum(r.attempts for r in requests)
    if "--ends" in sys.argv:
        print(scenario.name, _ends(inside), file=sys.stderr)
    return Measures(
        goodput=sum(r.ok for r in inside) / seconds,
        recovery=_recovery(requests, end),
        critical=_part(critical) if critical else 1.0,
        worst=_worst(inside),
        refused_within_rate=over / len(quiet) if quiet else 0.0,
        amplification=deep_runs / sent,
        p99=latencies.get_value_at_percentile(99) / 1000,
    )


def _ends(requests: list[load.Request]) -> dict[str, dict[str, int]]:
    """Counts how requests ended, by route."""
    ends: dict[str, dict[str, int]] = {}
    for request in requests:
        code = "ok" if request.ok else request.sent.code
        code = code or f"status {request.sent.status}"
        counts = ends.setdefault(request.stream.target, {})
        counts[code] = counts.get(code, 0) + 1
    return ends


def _part(requests: list[load.Request]) -> float:
    return sum(r.ok for r in requests) / len(requests)


def _recovery(requests: list[load.Request], end: float) -> float:
    """Seconds until 95% of what is sent is served, for good."""
    recovered = end
    moment = end
    while moment + BUCKET <= PHASES.total:
        window = [r for r in requests if moment <= r.at < moment + BUCKET]
        if window and _part(window) < 0.95:
            recovered = moment + BUCKET
        moment += BUCKET
    return recovered - end


def _worst(requests: list[load.Request]) -> float:
    """The least served organisation against its max-min fair share."""
    demand: dict[str, int] = {}
    served: dict[str, int] = {}
    for request in requests:
        name = request.stream.organisation
        demand[name] = demand.get(name, 0) + 1
        served[name] = served.get(name, 0) + request.ok
    left, fair = float(sum(served.values())), {}
    names = sorted(demand, key=lambda name: demand[name])
    for place, name in enumerate(names):
        fair[name] = min(demand[name], left / (len(names) - place))
        left -= fair[name]
    return min(
        served[name] / fair[name] if fair[name] else 1.0 for name in names
    )


# --- runs --------------------------------------------------------------------


class Bench:
    """Runs scenarios on one fleet with one policy."""

    def __init__(self, *, fleet: fleet_module.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._keys: dict[str, str] = {}

    async def run(self, scenarios: tuple[Scenario, ...]) -> dict[str, Measures]:
        """Returns the measures by scenario."""
        found = {}
        with self._fleet.client() as client:
            await self._fleet.wait_ready(client)
            for name in ORGANISATIONS:
                await client.submit(
                    fleet_commands.CreateOrganisation(
                        change_id=f"create-{name}",
                        name=name,
                        template="web-api",
                        assignments=(
                            ("critical_routes", CRITICAL),
                            ("bulk_routes", BULK),
                        ),
                    )
                )
                _, key = await client.issue_key(name, "k", f"issue-{name}")
                self._keys[name] = key
            for scenario in scenarios:
                await self._set_quota(client, scenario)
                found[scenario.name] = await self._scenario(scenario)
        return found

    async def _set_quota(self, client, scenario: Scenario) -> None:
        rate, burst = scenario.quota
        for name in ORGANISATIONS:
            result = await client.submit(
                fleet_commands.SetParameters(
                    change_id=f"{scenario.name}-{name}",
                    name=name,
                    assignments=(("rate", str(rate)), ("burst", str(burst))),
                )
            )
        await client.wait_in_force(result.revision, 10.0)

    async def _scenario(self, scenario: Scenario) -> Measures:
        callers = {
            name: [
                caller_module.Caller(
                    address=self._fleet.ports[vm].callers, key=key
                )
                for vm in self._fleet.ports
            ]
            for name, key in self._keys.items()
        }
        before = await self._deep_runs()
        work = load.Load(
            callers=callers,
            streams=scenario.streams,
            phases=PHASES,
            timeout=DEADLINE,
            seed=self._seed,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._disturb, scenario)
            requests = await work.run()
        await trio.sleep(1.0)
        after = await self._deep_runs()
        for group in callers.values():
            for caller in group:
                await caller.close()
        return measure(requests, after - before, scenario)

    async def _disturb(self, scenario: Scenario) -> None:
        await trio.sleep(PHASES.before)
        if scenario.begin:
            await scenario.begin(self._fleet)
        await trio.sleep(PHASES.during)
        if scenario.end:
            await scenario.end(self._fleet)

    async def _deep_runs(self) -> int:
        runs = 0
        for vm in self._fleet.ports:
            if vm.startswith("measure"):
                runs += len(await self._fleet.history(vm))
        return runs


def run_policy(
    policy: dict, scenarios: tuple[Scenario, ...], seed: int
) -> dict[str, Measures]:
    """Runs scenarios on a new fleet."""
    with tempfile.TemporaryDirectory(prefix="sassafrashall-") as folder:
        fleet = fleet_module.Fleet(
            folder=pathlib.Path(folder),
            data_centres=("amman",),
            workers=plan(),
            policy=policy,
        )
        try:
            fleet.start_all()
            return trio.run(Bench(fleet=fleet, seed=seed).run, scenarios)
        finally:
            fleet.close()


def summary(found: dict[str, list[Measures]]) -> list[tuple[str, ...]]:
    """Returns a row for each policy: median and spread of each measure."""
    rows = []
    for name, runs in found.items():
        cells = [name]
        for field in dataclasses.fields(Measures):
            values = [getattr(run, field.name) for run in runs]
            spread = max(values) - min(values)
            cells.append(f"{statistics.median(values):.2f} ±{spread / 2:.2f}")
        rows.append(tuple(cells))
    return rows


def main() -> int:
    """Runs the bench and prints a table for each scenario."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--scenario", action="append", default=[])
    parser.add_argument("--policy", action="append", default=[])
    parser.add_argument("--override", default="{}", help="JSON for all")
    parser.add_argument(
        "--ends", action="store_true", help="how requests ended, on stderr"
    )
    options = parser.parse_args()
    scenarios = tuple(
        s
        for s in SCENARIOS
        if not options.scenario or s.name in options.scenario
    )
    found: dict[str, dict[str, list[Measures]]] = {
        s.name: {} for s in scenarios
    }
    for name, policy in POLICIES.items():
        if options.policy and name not in options.policy:
            continue
        for seed in range(1, options.seeds + 1):
            changed = {**policy, **json.loads(options.override)}
            for scenario, measures in run_policy(
                changed, scenarios, seed
            ).items():
                found[scenario].setdefault(name, []).append(measures)
    header = ("POLICY", *(f.name for f in dataclasses.fields(Measures)))
    for scenario, runs in found.items():
        print(f"\n{scenario} (median of {options.seeds} seeds, half spread)")
        print(reports.table(header, summary(runs)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
