"""Compares organisations' rates with what services can take, before a change.

Load: all organisations, or a single one, send at their full rate for longer
than a burst lasts. The document names no capacity, so that it is compared with
what a fleet announces and measures.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall.decisions import demand as demand_decisions

# Weighted runs of a service without which their mean time is not known.
MIN_RUNS = 10.0
MAX_SERVICES = 1000  # services of which a control tells
MAX_NAMED = 8  # services that one line names
ASSUMPTION = (
    "assumed, since the mix of routes is not known: all requests take a route "
    "that leads there, and a run takes the mean time of recent ones; calls "
    "between services are not counted"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCapacity:
    """What a fleet knows of the capacity of one service.

    Attributes:
      upstreams: Number of its ready upstreams.
      slots: Concurrent requests that they announce.
      run_s: Mean time in seconds for which recent runs held a slot; 0 if not
        known.
    """

    service: str
    upstreams: int
    slots: int
    run_s: float = 0.0

    @property
    def per_second(self) -> float:
        """Runs per second that fill all slots; 0 if not known."""
        return self.slots / self.run_s if self.run_s > 0 else 0.0

    def __str__(self) -> str:
        return (
            f"{self.service} {self.per_second:.4g}/s (upstreams: "
            f"{self.upstreams}, slots: {self.slots}, {self.run_s:.3g} s a run)"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Known:
    """The capacity of a fleet's services.

    Attributes:
      is_complete: Whether no service is left out.
    """

    services: tuple[ServiceCapacity, ...] = ()
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """Nothing is known of a fleet."""

    reason: str


FleetCapacity: TypeAlias = Known | Unknown


@dataclasses.dataclass(frozen=True, kw_only=True)
class Review:
    """Result of the comparison.

    Attributes:
      findings: The rates that are too high.
      not_checked: Why the rates were not compared, or not with all services;
        empty if they were. One line.
    """

    findings: tuple[exceptions.Finding, ...] = ()
    not_checked: str = ""


def run_times(demand: demand_decisions.Demand) -> dict[str, float]:
    """Returns the mean run time in seconds by service, where it is known."""
    ended: dict[str, float] = {}
    busy: dict[str, float] = {}
    for route in demand.routes:
        name = route.service
        ended[name] = ended.get(name, 0.0) + route.ended
        busy[name] = busy.get(name, 0.0) + route.busy_s
    return {
        name: busy[name] / count
        for name, count in ended.items()
        if name and count >= MIN_RUNS and busy[name] > 0
    }


def add_up(
    upstreams: Iterable[tuple[str, int]], run_s: Mapping[str, float]
) -> Known:
    """Returns the capacity of the services, at most `MAX_SERVICES` of them.

    Args:
      upstreams: Service and slots of each ready upstream.
      run_s: Mean run time by service.
    """
    counts: dict[str, int] = {}
    slots: dict[str, int] = {}
    for service, count in upstreams:
        counts[service] = counts.get(service, 0) + 1
        slots[service] = slots.get(service, 0) + count
    told = sorted(counts)[:MAX_SERVICES]
    return Known(
        services=tuple(
            ServiceCapacity(
                service=name,
                upstreams=counts[name],
                slots=slots[name],
                run_s=run_s.get(name, 0.0),
            )
            for name in told
        ),
        is_complete=len(told) == len(counts),
    )


def review(
    document: configuration.Configuration, capacity: FleetCapacity
) -> Review:
    """Compares the rates of organisations with the capacity of services."""
    match capacity:
        case Unknown(reason=reason):
            return Review(not_checked=" ".join(reason.split()))
        case Known():
            return _review_known(document, capacity)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Target:
    """A service that organisations' requests may reach.

    Attributes:
      share: Largest part of an organisation's requests that may go there.
    """

    capacity: ServiceCapacity
    share: float


def _review_known(
    document: configuration.Configuration, known: Known
) -> Review:
    limited = [o for o in document.organisations if o.digests and o.rate > 0]
    unlimited = sum(
        bool(o.digests) and o.rate == 0 for o in document.organisations
    )
    if not limited:
        return Review()
    capacities = {capacity.service: capacity for capacity in known.services}
    targets = []
    unknown = []
    for service, share in _reachable_shares(document).items():
        capacity = capacities.get(service)
        if capacity is None and not known.is_complete:
            unknown.append(f"{service} (the control told of other services)")
        elif capacity is None or capacity.slots < 1:
            unknown.append(f"{service} (no ready upstream)")
        elif capacity.run_s <= 0:
            unknown.append(f"{service} (too few recent runs to time them)")
        else:
            targets.append(_Target(capacity=capacity, share=share))
    findings = [
        *(_review_sum(target, limited, unlimited) for target in targets),
        *(_review_organisation(o, targets) for o in limited),
    ]
    return Review(
        findings=tuple(finding for finding in findings if finding),
        not_checked=_join(unknown),
    )


def _reachable_shares(
    document: configuration.Configuration,
) -> dict[str, float]:
    """Returns the largest part of a route's requests for each service.

    Requests on open routes don't count towards an organisation's rate.
    """
    shares: dict[str, float] = {}
    for route in document.routes:
        total = sum(max(0, target.weight) for target in route.targets)
        if route.open or total <= 0:
            continue
        parts: dict[str, float] = {}
        for target in route.targets:
            part = max(0, target.weight) / total
            parts[target.service] = parts.get(target.service, 0.0) + part
        for service, part in parts.items():
            if part > 0:
                shares[service] = max(shares.get(service, 0.0), part)
    return shares


def _review_sum(
    target: _Target,
    limited: list[configuration.Organisation],
    unlimited: int,
) -> exceptions.Finding | None:
    total = sum(organisation.rate for organisation in limited)
    capacity = target.capacity
    if total * target.share <= capacity.per_second:
        return None
    text = (
        f"the rates of organisations, {total:.10g}/s in sum, are over its "
        f"capacity: {_describe(target)}; {ASSUMPTION}"
    )
    if unlimited:
        text += f"; organisations without a rate, not counted: {unlimited}"
    return _finding(f"services.{capacity.service}", text)


def _review_organisation(
    organisation: configuration.Organisation, targets: list[_Target]
) -> exceptions.Finding | None:
    exceeded = [
        target
        for target in targets
        if organisation.rate * target.share > target.capacity.per_second
    ]
    if not exceeded:
        return None
    return _finding(
        f"organisations.{organisation.name}.rate",
        f"{organisation.rate:.10g}/s is over the capacity of "
        f"{_join([_describe(target) for target in exceeded])}; "
        f"{ASSUMPTION}",
    )


def _describe(target: _Target) -> str:
    if target.share == 1.0:
        return str(target.capacity)
    return f"{target.capacity}, which gets up to {target.share:.3g} of a route"


def _join(items: list[str]) -> str:
    """Returns the items in one line, the first `MAX_NAMED` of them."""
    text = ", ".join(items[:MAX_NAMED])
    if len(items) > MAX_NAMED:
        text += f", and {len(items) - MAX_NAMED} more"
    return text


def _finding(key: str, text: str) -> exceptions.Finding:
    return exceptions.Finding(source="configuration", key=key, text=text)
