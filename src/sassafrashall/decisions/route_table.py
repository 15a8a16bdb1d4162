"""The route table of a node, compiled once from each configuration."""

from __future__ import annotations

import dataclasses
import math

from sassafrashall import configuration

# Fractional part of the golden ratio.
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteTable:
    """A fleet configuration, indexed for the look-ups of each request.

    Attributes:
      document: The configuration.
      routes: Routes by host in lower case, the longest prefix first.
      organisations_by_digest: Organisations by the digest of their keys.
    """

    document: configuration.Configuration
    routes: dict[str, tuple[configuration.Route, ...]]
    organisations_by_digest: dict[str, configuration.Organisation]

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Returns the route of a host with the longest matching prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def compile_table(document: configuration.Configuration) -> RouteTable:
    """Returns the route table of a configuration."""
    routes: dict[str, list[configuration.Route]] = {}
    for route in document.routes:
        routes.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        document=document,
        routes={
            host: tuple(
                sorted(host_routes, key=lambda r: len(r.prefix), reverse=True)
            )
            for host, host_routes in routes.items()
        },
        organisations_by_digest={
            digest: organisation
            for organisation in document.organisations
            for digest in organisation.digests
        },
    )


def choose_target(
    targets: tuple[configuration.Target, ...], position: float
) -> tuple[str, float]:
    """Returns the service for a request, by the weights of the targets.

    The targets divide the interval from 0 to 1 by their weights. The positions
    of successive requests are an additive recurrence with the golden ratio,
    which fills each part of the interval evenly from any position on. So the
    shares hold at once after a change of targets or weights.

    Args:
      targets: The weighted services of the route.
      position: In [0, 1): random for the first request of a route, so that
        the first requests at many nodes follow the weights too; then what was
        returned for the last request.

    Returns:
      The service, and the position for the next request.
    """
    remaining = position * sum(target.weight for target in targets)
    chosen = targets[0]
    for target in targets:
        if remaining < target.weight:
            chosen = target
            break
        remaining -= target.weight
    return chosen.service, (position + _GOLDEN_RATIO) % 1.0
