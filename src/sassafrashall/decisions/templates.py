"""Built-in organisation templates, and parsing of the parameters."""

from __future__ import annotations

import dataclasses
import json
import math
import re

from sassafrashall import exceptions
from sassafrashall import organisation_model

MAX_RATE = 1_000_000.0  # requests a second
MAX_BURST = 1_000_000  # requests
MAX_RETRY_BOUND = 10  # retries in a call tree
MAX_QUOTA_SHARES = 11  # quota owners
MAX_FRESHNESS_BOUND_S = 86_400.0  # seconds
MAX_ROUTES = 64  # route rules in one parameter

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_ROUTE_PARAMETERS = (
    "critical_routes",
    "bulk_routes",
    "never_repeated_routes",
    "open_routes",
)


def _route_rules(*texts: str) -> tuple[organisation_model.RouteRule, ...]:
    rules = []
    for text in texts:
        method, _, prefix = text.rpartition(" ")
        rules.append(organisation_model.RouteRule(method=method, prefix=prefix))
    return tuple(rules)


TEMPLATES = {
    template.name: template
    for template in (
        organisation_model.Template(
            name="research-allocation",
            summary="Hours split across grants; balances are shed last.",
            defaults=organisation_model.Parameters(
                rate=50.0,
                burst=50,
                critical_routes=_route_rules("/balance", "POST /grant/commit"),
                bulk_routes=_route_rules("/summary", "/calendar"),
                never_repeated_routes=_route_rules("POST /grant/commit"),
                retry_bound=2,
                quota_shares=1,
            ),
        ),
        organisation_model.Template(
            name="made-to-measure",
            summary="Workshop orders; cut releases are shed last.",
            defaults=organisation_model.Parameters(
                rate=20.0,
                burst=40,
                critical_routes=_route_rules(
                    "POST /cut/release", "/price", "/measurement"
                ),
                bulk_routes=_route_rules("/report"),
                never_repeated_routes=_route_rules("POST /cut/release"),
                retry_bound=2,
            ),
        ),
        organisation_model.Template(
            name="web-api",
            summary="A plain web API with no special routes.",
            defaults=organisation_model.Parameters(rate=100.0, burst=100),
        ),
    )
}


def is_valid_name(name: str) -> bool:
    """Returns whether `name` is a valid organisation or service name."""
    return _NAME_PATTERN.fullmatch(name) is not None


def apply_assignments(
    parameters: organisation_model.Parameters,
    assignments: tuple[tuple[str, str], ...],
    source: str,
) -> tuple[organisation_model.Parameters, tuple[exceptions.Finding, ...]]:
    """Applies `name=value` assignments to parameters.

    Args:
      parameters: The parameters before.
      assignments: Pairs of parameter name and value as JSON or plain text.
      source: Origin of the assignments, as named in the findings.

    Returns:
      The new parameters and the findings. If there are findings, the
      parameters are returned unchanged.
    """
    findings: list[exceptions.Finding] = []
    values: dict[str, object] = {}
    for name, text in assignments:
        value, error = _parse_value(name, text)
        if error:
            findings.append(
                exceptions.Finding(source=source, key=name, text=error)
            )
        else:
            values[name] = value
    if findings:
        return parameters, tuple(findings)
    changed = dataclasses.replace(parameters, **values)  # type: ignore[arg-type]
    return changed, ()


def _parse_value(name: str, text: str) -> tuple[object, str]:
    match name:
        case "rate":
            return _parse_number(text, 0.0, MAX_RATE, "requests a second")
        case "burst":
            return _parse_integer(text, 1, MAX_BURST, "requests")
        case "retry_bound":
            return _parse_integer(text, 0, MAX_RETRY_BOUND, "retries")
        case "quota_shares":
            return _parse_integer(text, 0, MAX_QUOTA_SHARES, "shares")
        case "freshness_bound_s":
            return _parse_number(text, 0.0, MAX_FRESHNESS_BOUND_S, "seconds")
        case _ if name in _ROUTE_PARAMETERS:
            return _parse_routes(text)
        case _:
            known = ", ".join(
                field.name
                for field in dataclasses.fields(organisation_model.Parameters)
            )
            return None, f"unknown parameter; known are {known}"


def _parse_number(
    text: str, low: float, high: float, unit: str
) -> tuple[object, str]:
    try:
        value = float(text)
    except ValueError:
        return None, f"{text!r} is not a number"
    if not (math.isfinite(value) and low <= value <= high):
        return None, f"{text} is not within {low:g} to {high:g} {unit}"
    return value, ""


def _parse_integer(
    text: str, low: int, high: int, unit: str
) -> tuple[object, str]:
    try:
        value = int(text)
    except ValueError:
        return None, f"{text!r} is not a whole number"
    if not low <= value <= high:
        return None, f"{text} is not within {low} to {high} {unit}"
    return value, ""


def _parse_routes(text: str) -> tuple[object, str]:
    """Parses route rules from a JSON list or a comma-separated list."""
    try:
        items = json.loads(text) if text.startswith("[") else None
    except ValueError:
        return None, f"{text!r} is not a list of routes"
    if items is None:
        items = [item.strip() for item in text.split(",") if item.strip()]
    if len(items) > MAX_ROUTES:
        return None, f"more than {MAX_ROUTES} routes"
    rules = []
    for item in items:
        method, _, prefix = str(item).rpartition(" ")
        if method and method not in _METHODS:
            return None, f"{item!r}: unknown method {method!r}"
        if not prefix.startswith("/") or not is_valid_name(
            prefix.split("/")[1] if "/" in prefix else ""
        ):
            return None, f"{item!r}: a route is [METHOD] /service[/path]"
        rules.append(organisation_model.RouteRule(method=method, prefix=prefix))
    return tuple(rules), ""


def format_parameters(
    parameters: organisation_model.Parameters,
) -> tuple[tuple[str, str], ...]:
    """Returns the parameters as pairs of name and value as text."""
    pairs = []
    for field in dataclasses.fields(parameters):
        value = getattr(parameters, field.name)
        if isinstance(value, tuple):
            pairs.append((field.name, ", ".join(str(rule) for rule in value)))
        else:
            pairs.append((field.name, f"{value:g}"))
    return tuple(pairs)
