"""Encodings: tagged messages, signed tickets and problem documents.

Messages are frozen data classes; msgspec encodes them as MessagePack behind
the name of their class.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
from typing import Any

import msgspec

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model

PROBLEM_TYPE = "application/problem+json"
RUN_HEADER = "sassafrashall-run"
LEVEL_HEADER = "sassafrashall-level"
RETRIES_HEADER = "sassafrashall-retries-left"
TICKET_HEADER = "sassafrashall-ticket"
TIME_HEADER = "sassafrashall-time"
REQUEST_HEADER = "sassafrashall-request"
CODE_HEADER = "sassafrashall-code"
DEADLINE_HEADER = "x-deadline-ms"
INTERNAL_PREFIX = "sassafrashall-"

_SIGNATURE_BYTES = 16

_types: dict[str, type] = {}


def register(*types: type) -> None:
    """Makes message types known to `decode` under the names of the classes."""
    for message_type in types:
        _types[message_type.__name__] = message_type


def encode(message: Any) -> bytes:
    """Encodes a registered message with its tag."""
    name = type(message).__name__
    return name.encode() + b"\0" + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Any:
    """Decodes a message; raises `ProtocolError` if it is not valid."""
    name, _, body = data.partition(b"\0")
    message_type = _types.get(name.decode(errors="replace"))
    if message_type is None:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, f"unknown message type {name!r}"
        )
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, f"{name!r}: {error}"
        ) from error


def to_json(value: Any) -> bytes:
    """Encodes any data class as JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes, value_type: Any) -> Any:
    """Decodes JSON strictly; raises `ProtocolError` if it is not valid."""
    try:
        return msgspec.json.decode(data, type=value_type)
    except msgspec.MsgspecError as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, str(error)
        ) from error


def to_builtins(value: Any) -> Any:
    """Returns plain dictionaries and lists for a data class."""
    return msgspec.to_builtins(value)


def sign_ticket(ticket: model.Ticket, secret: bytes) -> str:
    """Encodes a ticket with its signature as a header value."""
    body = msgspec.msgpack.encode(ticket)
    return base64.urlsafe_b64encode(_signature(body, secret) + body).decode()


def verify_ticket(value: str, secret: bytes) -> model.Ticket | None:
    """Returns the ticket if its signature is right, else None."""
    try:
        data = base64.urlsafe_b64decode(value.encode())
        signature, body = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _signature(body, secret)):
            return None
        return msgspec.msgpack.decode(body, type=model.Ticket)
    except (ValueError, msgspec.MsgspecError):
        return None


def _signature(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=secret, digest_size=_SIGNATURE_BYTES
    ).digest()


def format_time(time: clock.HybridTime) -> str:
    """Encodes a hybrid logical time stamp as text."""
    return f"{time.physical_ms}.{time.logical}"


def parse_time(value: str) -> clock.HybridTime:
    """Decodes a time stamp; a malformed one counts as zero."""
    physical, _, logical = value.partition(".")
    if physical.isdigit() and logical.isdigit():
        return clock.HybridTime(physical_ms=int(physical), logical=int(logical))
    return clock.HybridTime()


def problem(refusal: model.Refuse) -> model.Response:
    """Encodes a refusal as an RFC 9457 problem document."""
    status = exceptions.STATUS_BY_CODE[refusal.code]
    document = {
        "type": f"urn:sassafrashall:{refusal.code}",
        "title": refusal.code.replace("_", " "),
        "status": status,
        "code": refusal.code,
        "detail": refusal.detail,
        "run": refusal.run,
    }
    headers: list[tuple[str, str]] = [
        ("content-type", PROBLEM_TYPE),
        (RUN_HEADER, refusal.run),
        (CODE_HEADER, refusal.code),
    ]
    if refusal.retry_after_s > 0:
        headers.append(
            ("retry-after", str(max(1, round(refusal.retry_after_s))))
        )
    return model.Response(
        status=status,
        headers=tuple(headers),
        body=json.dumps(document).encode(),
    )


def refusal_of(response: model.Response) -> model.Refuse | None:
    """Returns the refusal that a peer encoded, or None for an answer."""
    code = model.find_header(response.headers, CODE_HEADER)
    run = model.find_header(response.headers, RUN_HEADER)
    if code not in exceptions.STATUS_BY_CODE or run is None:
        return None
    try:
        detail = json.loads(response.body).get("detail", "")
    except (ValueError, AttributeError):
        detail = ""
    known = run == model.RunState.NOT_RUN
    return model.Refuse(
        code=code,
        detail=detail,
        run=model.RunState.NOT_RUN if known else model.RunState.UNKNOWN,
    )
