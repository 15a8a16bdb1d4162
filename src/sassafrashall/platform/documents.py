"""Decodes the operator's configuration into the fleet configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.filters import identity
from sassafrashall.platform import values

SOURCE = "configuration"
# A download is an idempotent request whose response is large.
_IDEMPOTENT_BY_ROUTE_TYPE = {
    "idempotent": True,
    "non_idempotent": False,
    "download": True,
}
_LOWEST_PRIORITY = max(model.Priority)


def decode(body: bytes) -> configuration.Configuration:
    """Returns the configuration.

    Raises:
      FindingsError: With every fault of syntax or type. References and
        limits are checked when the document is applied.
    """
    reader = values.Reader(source=SOURCE)
    document = reader.parse_object(body)
    version = values.parse_version(document.get("version"))
    if version is None and not reader.findings:
        reader.add_finding("version", "must be written as r12")
    routes = reader.read_object(document, "routes", "", required=bool(document))
    services = reader.read_object(
        document, "services", "", required=bool(document)
    )
    organisations = reader.read_object(document, "tenants", "", required=False)
    decoded = configuration.Configuration(
        version=version or 0,
        routes=tuple(_decode_route(reader, name, routes) for name in routes),
        services=tuple(
            _decode_service(reader, name, services) for name in services
        ),
        limits=_decode_limits(reader, document),
        organisations=tuple(
            _decode_organisation(reader, name, organisations)
            for name in organisations
        ),
        keyed=document.get("tenants") is not None,
    )
    if reader.findings:
        raise exceptions.FindingsError(reader.findings)
    return decoded


def _decode_route(
    reader: values.Reader, name: str, routes: dict[str, Any]
) -> configuration.Route:
    key_prefix = f"routes.{name}."
    fields = reader.read_object(routes, name, "routes.")
    route_type = fields.get("route_type")
    if (
        not isinstance(route_type, str)
        or route_type not in _IDEMPOTENT_BY_ROUTE_TYPE
    ):
        reader.add_finding(
            f"{key_prefix}route_type", f"unknown kind {route_type!r}"
        )
        route_type = "non_idempotent"
    return configuration.Route(
        name=name,
        host=reader.read_string(fields, "host", key_prefix),
        prefix=reader.read_string(fields, "path_prefix", key_prefix),
        idempotent=_IDEMPOTENT_BY_ROUTE_TYPE[route_type],
        targets=_decode_targets(reader, fields, key_prefix),
        timeout_s=reader.read_duration(fields, "timeout", key_prefix),
        attempts=reader.read_integer(fields, "max_attempts", key_prefix),
        target_latency_s=reader.read_duration(
            fields, "target_latency", key_prefix, 0.0
        ),
        priority=_clamp_priority(
            reader.read_integer(fields, "priority", key_prefix, 1)
        ),
        open=reader.read_boolean(fields, "public", key_prefix),
        streams=route_type == "download",
    )


def _decode_targets(
    reader: values.Reader, fields: dict[str, Any], key_prefix: str
) -> tuple[configuration.Target, ...]:
    weighted_targets = fields.get("weighted_targets")
    if weighted_targets is None:
        service = reader.read_string(fields, "service", key_prefix)
        return (configuration.Target(service=service, weight=1),)
    key = f"{key_prefix}weighted_targets"
    if not isinstance(weighted_targets, list) or not weighted_targets:
        reader.add_finding(key, "must be a list of services")
        return ()
    targets = []
    for index, entry in enumerate(weighted_targets):
        entry_prefix = f"{key}.{index}."
        if not isinstance(entry, dict):
            reader.add_finding(entry_prefix[:-1], "must be an object")
            continue
        targets.append(
            configuration.Target(
                service=reader.read_string(entry, "service", entry_prefix),
                weight=reader.read_integer(entry, "weight", entry_prefix),
            )
        )
    return tuple(targets)


def _clamp_priority(priority: int) -> model.Priority:
    """Returns the class of a numeric priority, limited to the known classes."""
    return model.Priority(min(max(priority, 0), _LOWEST_PRIORITY))


def _decode_service(
    reader: values.Reader, name: str, services: dict[str, Any]
) -> configuration.Service:
    key_prefix = f"services.{name}."
    fields = reader.read_object(services, name, "services.")
    return configuration.Service(
        name=name,
        health_path=reader.read_string(
            fields, "health_path", key_prefix, "/health"
        ),
        connection_limit=reader.read_integer(
            fields, "max_connections", key_prefix, 0
        ),
        cold_start_s=_read_unless_zero(
            reader.read_duration, fields, "cold_start", key_prefix
        ),
        cold_rate=_read_unless_zero(
            reader.read_number, fields, "cold_per_s", key_prefix
        ),
    )


def _read_unless_zero(
    read: Callable[[dict[str, Any], str, str, float], float],
    fields: dict[str, Any],
    name: str,
    key_prefix: str,
) -> float:
    """Returns a value; 0 if it is absent, null or a plain 0."""
    if not fields.get(name):
        return 0.0
    return read(fields, name, key_prefix, 0.0)


def _decode_limits(
    reader: values.Reader, document: dict[str, Any]
) -> configuration.Limits:
    fields = reader.read_object(document, "limits", "", required=False)
    default = configuration.Limits()
    key_prefix = "limits."
    return configuration.Limits(
        head_bytes=reader.read_integer(
            fields, "max_header_bytes", key_prefix, default.head_bytes
        ),
        body_bytes=reader.read_integer(
            fields, "max_body_bytes", key_prefix, default.body_bytes
        ),
        head_timeout_s=reader.read_duration(
            fields, "header_timeout", key_prefix, default.head_timeout_s
        ),
        idle_timeout_s=reader.read_duration(
            fields, "idle_timeout", key_prefix, default.idle_timeout_s
        ),
    )


def _decode_organisation(
    reader: values.Reader, name: str, organisations: dict[str, Any]
) -> configuration.Organisation:
    key_prefix = f"tenants.{name}."
    fields = reader.read_object(organisations, name, "tenants.")
    keys = fields.get("api_keys", [])
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        reader.add_finding(f"{key_prefix}api_keys", "must be a list of texts")
        keys = []
    rank = fields.get("priority")
    return configuration.Organisation(
        name=name,
        digests=tuple(identity.digest(key) for key in keys),
        rate=reader.read_number(fields, "rate_per_s", key_prefix, 0.0),
        burst=int(reader.read_number(fields, "burst", key_prefix, 0.0)),
        priority=None
        if rank is None
        else _clamp_priority(
            reader.read_integer(fields, "priority", key_prefix)
        ),
    )
