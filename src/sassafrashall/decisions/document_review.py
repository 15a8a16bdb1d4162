"""Warnings about a valid configuration that misroutes or refuses usual load.

The control accepts a document with such entries; an operator sees them before
the document is sent. Upstreams announce the capacity of their service, so that
organisations' rates can't be compared with it from the document alone; see
`service_capacity`.
"""

from __future__ import annotations

from sassafrashall import configuration
from sassafrashall import exceptions


def review(
    document: configuration.Configuration,
) -> tuple[exceptions.Finding, ...]:
    """Returns a warning for each entry without effect or with a contradiction.

    The keys are those that `document_checks.check` uses.
    """
    return (
        *_review_matches(document),
        *_review_targets(document),
        *_review_time_limits(document),
        *_review_services(document),
        *_review_organisations(document),
    )


def _warning(key: str, text: str) -> exceptions.Finding:
    return exceptions.Finding(source="configuration", key=key, text=text)


def _review_matches(
    document: configuration.Configuration,
) -> list[exceptions.Finding]:
    """Returns warnings for routes that no request can match."""
    warnings = []
    # Nodes compare hosts in lower case, `document_checks` as they are written;
    # of two routes that differ only in that, nodes use the first.
    first_routes: dict[tuple[str, str], configuration.Route] = {}
    for route in document.routes:
        key = f"routes.{route.name}"
        # Nodes remove the port of a request's host before they compare it.
        if ":" in route.host or not _is_visible_text(route.host):
            warnings.append(
                _warning(
                    f"{key}.host",
                    f"matches no valid request: {route.host!r} must have no "
                    "port and no blanks",
                )
            )
        if not route.prefix.isascii() or not _is_visible_text(route.prefix):
            warnings.append(
                _warning(
                    f"{key}.prefix",
                    "matches no valid request: blanks and characters outside "
                    "ASCII are sent in percent encoding",
                )
            )
        if "?" in route.prefix or "#" in route.prefix:
            warnings.append(
                _warning(
                    f"{key}.prefix",
                    "never matches: a path ends before a query or fragment",
                )
            )
        match_key = (route.host.lower(), route.prefix)
        first = first_routes.setdefault(match_key, route)
        if first.host != route.host:
            warnings.append(
                _warning(
                    key,
                    f"never matches: {first.name!r} has the same host, apart "
                    "from upper case, and the same prefix",
                )
            )
    return warnings


def _is_visible_text(text: str) -> bool:
    return text.isprintable() and not any(c.isspace() for c in text)


def _review_targets(
    document: configuration.Configuration,
) -> list[exceptions.Finding]:
    return [
        _warning(
            f"routes.{route.name}.targets",
            f"{target.service!r} has weight 0 and gets no requests",
        )
        for route in document.routes
        for target in route.targets
        if target.weight == 0
    ]


def _review_time_limits(
    document: configuration.Configuration,
) -> list[exceptions.Finding]:
    """Returns warnings for routes whose time limits contradict each other."""
    warnings = []
    for route in document.routes:
        target_latency = route.target_latency_s
        if route.timeout_s < target_latency:
            warnings.append(
                _warning(
                    f"routes.{route.name}.timeout",
                    f"{route.timeout_s:g} s is less than the target latency of "
                    f"{target_latency:g} s",
                )
            )
        elif route.timeout_s < route.attempts * target_latency:
            warnings.append(
                _warning(
                    f"routes.{route.name}.attempts",
                    f"{route.attempts} attempts of the target latency, "
                    f"{target_latency:g} s each, don't fit in the timeout of "
                    f"{route.timeout_s:g} s",
                )
            )
    return warnings


def _review_services(
    document: configuration.Configuration,
) -> list[exceptions.Finding]:
    used = {
        target.service for route in document.routes for target in route.targets
    }
    warnings = []
    for service in document.services:
        key = f"services.{service.name}"
        if service.name not in used:
            warnings.append(_warning(key, "no route uses it"))
        if service.cold_start_s > 0 and service.cold_rate <= 0:
            warnings.append(
                _warning(
                    f"{key}.cold_rate",
                    "is 0, so that cold upstreams have no bound although "
                    "a cold start is set",
                )
            )
    return warnings


def _review_organisations(
    document: configuration.Configuration,
) -> list[exceptions.Finding]:
    warnings = []
    for organisation in document.organisations:
        key = f"organisations.{organisation.name}"
        if not organisation.digests:
            warnings.append(
                _warning(
                    f"{key}.keys", "it has no key, so no request is its own"
                )
            )
        if len(set(organisation.digests)) < len(organisation.digests):
            warnings.append(_warning(f"{key}.keys", "holds a key twice"))
        if organisation.rate > 0 and organisation.burst < 1:
            warnings.append(
                _warning(
                    f"{key}.burst",
                    "is below 1 although a rate is set; 1 is used",
                )
            )
        if organisation.rate == 0 and organisation.burst > 0:
            warnings.append(
                _warning(
                    f"{key}.burst",
                    "has no effect: a rate of 0 is no limit",
                )
            )
    return warnings
