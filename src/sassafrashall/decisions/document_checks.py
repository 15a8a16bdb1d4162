"""Checks of a fleet configuration; all faults are reported together."""

from __future__ import annotations

from collections.abc import Callable

from sassafrashall import configuration
from sassafrashall import exceptions


def check(
    document: configuration.Configuration,
) -> tuple[exceptions.Finding, ...]:
    """Returns a finding for every fault, with the key at which it is."""
    findings: list[exceptions.Finding] = []

    def add_finding(key: str, text: str) -> None:
        findings.append(
            exceptions.Finding(source="configuration", key=key, text=text)
        )

    if document.version < 1:
        add_finding("version", "must be above 0")
    services = {service.name for service in document.services}
    route_names: dict[tuple[str, str], str] = {}
    for route in document.routes:
        key = f"routes.{route.name}"
        if not route.host:
            add_finding(f"{key}.host", "must not be empty")
        if not route.prefix.startswith("/"):
            add_finding(f"{key}.prefix", "must begin with a slash")
        if route.attempts < 1:
            add_finding(f"{key}.attempts", "must be above 0")
        if route.timeout_s <= 0:
            add_finding(f"{key}.timeout", "must be above 0")
        if sum(target.weight for target in route.targets) <= 0:
            add_finding(f"{key}.targets", "no service has a weight above 0")
        for target in route.targets:
            if target.service not in services:
                add_finding(
                    f"{key}.targets", f"unknown service {target.service!r}"
                )
            if target.weight < 0:
                add_finding(f"{key}.targets", "a weight must not be below 0")
        match_key = (route.host, route.prefix)
        if match_key in route_names:
            add_finding(
                key, f"shares host and prefix with {route_names[match_key]!r}"
            )
        route_names.setdefault(match_key, route.name)
    _check_organisations(document, add_finding)
    return tuple(findings)


def _check_organisations(
    document: configuration.Configuration,
    add_finding: Callable[[str, str], None],
) -> None:
    owners: dict[str, str] = {}
    for organisation in document.organisations:
        key = f"organisations.{organisation.name}"
        if organisation.rate < 0 or organisation.burst < 0:
            add_finding(key, "rate and burst must not be below 0")
        for digest in organisation.digests:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                add_finding(
                    f"{key}.keys", f"a key belongs to {owner!r} as well"
                )
