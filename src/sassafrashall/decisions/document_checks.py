"""Checks of a fleet configuration; every fault is reported at once."""

from __future__ import annotations

from collections.abc import Callable

from sassafrashall import configuration
from sassafrashall import exceptions


def check(
    document: configuration.Configuration,
) -> tuple[exceptions.Finding, ...]:
    """Returns the faults of a document, each with its place."""
    findings: list[exceptions.Finding] = []

    def fault(key: str, text: str) -> None:
        findings.append(
            exceptions.Finding(source="configuration", key=key, text=text)
        )

    if document.version < 1:
        fault("version", "must be above 0")
    services = {service.name for service in document.services}
    places: dict[tuple[str, str], str] = {}
    for route in document.routes:
        key = f"routes.{route.name}"
        if not route.host:
            fault(f"{key}.host", "must not be empty")
        if not route.prefix.startswith("/"):
            fault(f"{key}.prefix", "must begin with a slash")
        if route.attempts < 1:
            fault(f"{key}.attempts", "must be above 0")
        if route.timeout_s <= 0:
            fault(f"{key}.timeout", "must be above 0")
        if sum(target.weight for target in route.targets) <= 0:
            fault(f"{key}.targets", "no service has a weight above 0")
        for target in route.targets:
            if target.service not in services:
                fault(f"{key}.targets", f"unknown service {target.service!r}")
            if target.weight < 0:
                fault(f"{key}.targets", "a weight must not be below 0")
        place = (route.host, route.prefix)
        if place in places:
            fault(key, f"shares host and prefix with {places[place]!r}")
        places.setdefault(place, route.name)
    _check_organisations(document, fault)
    return tuple(findings)


def _check_organisations(
    document: configuration.Configuration, fault: Callable[[str, str], None]
) -> None:
    owners: dict[str, str] = {}
    for organisation in document.organisations:
        key = f"organisations.{organisation.name}"
        if organisation.rate < 0 or organisation.burst < 0:
            fault(key, "rate and burst must not be below 0")
        for digest in organisation.digests:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                fault(f"{key}.keys", f"a key belongs to {owner!r} as well")
