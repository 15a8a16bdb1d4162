"""The HTTP interface of a node for the upstream on its VM."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.decisions import templates
from sassafrashall.transport import codec
from sassafrashall.transport import front_end
from sassafrashall.transport import http

ANNOUNCE_PATH = "/v1/upstream"
RESERVED_SERVICES = ("v1",)
SLOTS_LIMIT = 100_000  # slots, and also connections


class LocalApi:
    """Handles announcements; other requests are calls by the upstream."""

    def __init__(
        self,
        *,
        membership: mailbox.Mailbox,
        call_front_end: front_end.FrontEnd,
        announcement_ttl: float,
    ) -> None:
        self._membership = membership
        self._call_front_end = call_front_end
        self._ttl_ms = int(announcement_ttl * 1000)

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one request."""
        if raw.target != ANNOUNCE_PATH:
            return await self._call_front_end.handle(raw)
        if raw.method == "DELETE":
            await self._membership.ask(messages.Announce(upstream=None))
            return _json_response(200, {})
        if raw.method != "PUT":
            return _json_response(405, {"code": "method_not_allowed"})
        try:
            upstream = parse_announcement(raw.body)
        except exceptions.FindingsError as error:
            return _json_response(
                400,
                {
                    "code": exceptions.BAD_REQUEST,
                    "findings": [dataclasses.asdict(f) for f in error.findings],
                },
            )
        await self._membership.ask(messages.Announce(upstream=upstream))
        return _json_response(200, {"ttl_ms": self._ttl_ms})


def parse_announcement(body: bytes) -> model.Upstream:
    """Parses `{service, address, slots, connection_limit, state}`.

    Raises:
      FindingsError: The document is invalid; it lists every error.
    """
    source = f"PUT {ANNOUNCE_PATH}"
    try:
        document = json.loads(body)
    except ValueError as error:
        finding = exceptions.Finding(source=source, text=f"not JSON: {error}")
        raise exceptions.FindingsError((finding,)) from error
    if not isinstance(document, dict):
        finding = exceptions.Finding(source=source, text="not an object")
        raise exceptions.FindingsError((finding,))
    findings = [
        exceptions.Finding(source=source, key=key, text=text)
        for key, text in _find_errors(document)
    ]
    if findings:
        raise exceptions.FindingsError(tuple(findings))
    return model.Upstream(
        service=document["service"],
        address=settings.parse_address(document["address"]),
        slots=document["slots"],
        connection_limit=document["connection_limit"],
        state=model.UpstreamState(document["state"]),
    )


def _find_errors(document: dict[str, Any]) -> list[tuple[str, str]]:
    errors = []
    service = document.get("service")
    if not isinstance(service, str) or not templates.is_valid_name(service):
        errors.append(("service", f"{service!r} is not a valid name"))
    elif service in RESERVED_SERVICES:
        errors.append(("service", f"{service!r} is reserved"))
    try:
        settings.parse_address(str(document.get("address")))
    except ValueError as error:
        errors.append(("address", str(error)))
    for key in ("slots", "connection_limit"):
        value = document.get(key)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not 0 < value <= SLOTS_LIMIT:  # type: ignore[operator]
            errors.append((key, f"{value!r} is not within 1 to {SLOTS_LIMIT}"))
    states = tuple(str(state) for state in model.UpstreamState)
    if document.get("state") not in states:
        errors.append(("state", f"must be one of {', '.join(states)}"))
    known_keys = {"service", "address", "slots", "connection_limit", "state"}
    for key in sorted(set(document) - known_keys):
        errors.append((key, "unknown key"))
    return errors


def _json_response(status: int, document: Any) -> model.Response:
    return model.Response(
        status=status,
        headers=(("content-type", "application/json"),),
        body=codec.to_json(document),
    )
