"""Decodes the operator's configuration into the fleet configuration."""

from __future__ import annotations

from typing import Any

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.filters import identity
from sassafrashall.platform import values

SOURCE = "configuration"
_IDEMPOTENT = {"idempotent": True, "non_idempotent": False}
_LOWEST_PRIORITY = max(model.Priority)


def decode(body: bytes) -> configuration.Configuration:
    """Returns the configuration.

    Raises:
      FindingsError: With every fault of form; those of meaning are found
        where the document is applied.
    """
    reader = values.Reader(source=SOURCE)
    document = reader.document(body)
    version = values.parse_version(document.get("version"))
    if version is None and not reader.findings:
        reader.fault("version", "must be written as r12")
    routes = reader.table(document, "routes", "", needed=bool(document))
    services = reader.table(document, "services", "", needed=bool(document))
    organisations = reader.table(document, "tenants", "", needed=False)
    decoded = configuration.Configuration(
        version=version or 0,
        routes=tuple(_route(reader, name, routes) for name in routes),
        services=tuple(_service(reader, name, services) for name in services),
        limits=_limits(reader, document),
        organisations=tuple(
            _organisation(reader, name, organisations) for name in organisations
        ),
        keyed=document.get("tenants") is not None,
    )
    if reader.findings:
        raise exceptions.FindingsError(reader.findings)
    return decoded


def _route(
    reader: values.Reader, name: str, routes: dict[str, Any]
) -> configuration.Route:
    place = f"routes.{name}."
    fields = reader.table(routes, name, "routes.")
    kind = fields.get("route_type")
    if not isinstance(kind, str) or kind not in _IDEMPOTENT:
        reader.fault(f"{place}route_type", f"unknown kind {kind!r}")
        kind = "non_idempotent"
    return configuration.Route(
        name=name,
        host=reader.text(fields, "host", place),
        prefix=reader.text(fields, "path_prefix", place),
        idempotent=_IDEMPOTENT[kind],
        targets=_targets(reader, fields, place),
        timeout_s=reader.seconds(fields, "timeout", place),
        attempts=reader.whole(fields, "max_attempts", place),
        target_latency_s=reader.seconds(fields, "target_latency", place, 0.0),
        priority=_priority(reader.whole(fields, "priority", place, 1)),
        open=reader.flag(fields, "public", place),
    )


def _targets(
    reader: values.Reader, fields: dict[str, Any], place: str
) -> tuple[configuration.Target, ...]:
    split = fields.get("weighted_targets")
    if split is None:
        service = reader.text(fields, "service", place)
        return (configuration.Target(service=service, weight=1),)
    place = f"{place}weighted_targets"
    if not isinstance(split, list) or not split:
        reader.fault(place, "must be a list of services")
        return ()
    targets = []
    for number, entry in enumerate(split):
        inner = f"{place}.{number}."
        if not isinstance(entry, dict):
            reader.fault(inner[:-1], "must be an object")
            continue
        targets.append(
            configuration.Target(
                service=reader.text(entry, "service", inner),
                weight=reader.whole(entry, "weight", inner),
            )
        )
    return tuple(targets)


def _priority(rank: int) -> model.Priority:
    """Ranks beyond the lowest class belong to it."""
    return model.Priority(min(max(rank, 0), _LOWEST_PRIORITY))


def _service(
    reader: values.Reader, name: str, services: dict[str, Any]
) -> configuration.Service:
    place = f"services.{name}."
    fields = reader.table(services, name, "services.")
    return configuration.Service(
        name=name,
        health_path=reader.text(fields, "health_path", place, "/health"),
        connection_limit=reader.whole(fields, "max_connections", place, 0),
    )


def _limits(
    reader: values.Reader, document: dict[str, Any]
) -> configuration.Limits:
    fields = reader.table(document, "limits", "", needed=False)
    default = configuration.Limits()
    place = "limits."
    return configuration.Limits(
        head_bytes=reader.whole(
            fields, "max_header_bytes", place, default.head_bytes
        ),
        body_bytes=reader.whole(
            fields, "max_body_bytes", place, default.body_bytes
        ),
        head_timeout_s=reader.seconds(
            fields, "header_timeout", place, default.head_timeout_s
        ),
        idle_timeout_s=reader.seconds(
            fields, "idle_timeout", place, default.idle_timeout_s
        ),
    )


def _organisation(
    reader: values.Reader, name: str, organisations: dict[str, Any]
) -> configuration.Organisation:
    place = f"tenants.{name}."
    fields = reader.table(organisations, name, "tenants.")
    keys = fields.get("api_keys", [])
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        reader.fault(f"{place}api_keys", "must be a list of texts")
        keys = []
    rank = fields.get("priority")
    return configuration.Organisation(
        name=name,
        digests=tuple(identity.digest(key) for key in keys),
        rate=reader.number(fields, "rate_per_s", place, 0.0),
        burst=int(reader.number(fields, "burst", place, 0.0)),
        priority=None
        if rank is None
        else _priority(reader.whole(fields, "priority", place)),
    )
