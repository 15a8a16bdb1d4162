"""Wire encodings: tagged messages, signed tickets and problem documents.

A message is a frozen data class. Its encoding is the name of the class, a null
byte and the MessagePack body.
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
INTERNAL_PREFIX = "sassafrashall-"  # of the headers of this system

_SIGNATURE_BYTES = 16

_types: dict[str, type] = {}


def register(*types: type) -> None:
    """Registers message types with `decode` under their class names."""
    for message_type in types:
        _types[message_type.__name__] = message_type


def encode(message: Any) -> bytes:
    """Encodes a registered message, tagged with its class name."""
    name = type(message).__name__
    return name.encode() + b"\0" + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Any:
    """Decodes a message.

    Raises:
      ProtocolError: The tag is unknown or the body does not fit its type.
    """
    name, _, body = data.partition(b"\0")
    message_type = _types.get(name.decode(errors="replace"))
    if message_type is None:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, f"unknown message type {name!r}"
        )
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, f"{name!r}: {error}"
        ) from error


def to_json(value: Any) -> bytes:
    """Encodes a data class or built-in value as JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes, value_type: Any) -> Any:
    """Decodes JSON to a value of `value_type`, without type coercion.

    Raises:
      ProtocolError: The JSON is malformed or does not fit the type.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, str(error)
        ) from error


def to_builtins(value: Any) -> Any:
    """Converts a data class to dictionaries, lists and scalars."""
    return msgspec.to_builtins(value)


def sign_ticket(ticket: model.Ticket, secret: bytes) -> str:
    """Encodes a ticket with its signature as a header value."""
    body = msgspec.msgpack.encode(ticket)
    return base64.urlsafe_b64encode(_signature(body, secret) + body).decode()


def verify_ticket(value: str, secret: bytes) -> model.Ticket | None:
    """Returns the ticket if its signature is valid, else None."""
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
    """Encodes a hybrid logical time stamp as `PHYSICAL_MS.LOGICAL`."""
    return f"{time.physical_ms}.{time.logical}"


def parse_time(value: str) -> clock.HybridTime:
    """Decodes a time stamp; returns the zero stamp for malformed input."""
    physical, _, logical = value.partition(".")
    if physical.isdigit() and logical.isdigit():
        return clock.HybridTime(physical_ms=int(physical), logical=int(logical))
    return clock.HybridTime()


def encode_refusal(refusal: model.Refuse) -> model.Response:
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


def decode_refusal(response: model.Response) -> model.Refuse | None:
    """Returns the refusal that a peer encoded, or None for an answer."""
    code = model.find_header(response.headers, CODE_HEADER)
    run = model.find_header(response.headers, RUN_HEADER)
    if code not in exceptions.STATUS_BY_CODE or run is None:
        return None
    try:
        detail = json.loads(response.body).get("detail", "")
    except (ValueError, AttributeError):
        detail = ""
    is_not_run = run == model.RunState.NOT_RUN
    return model.Refuse(
        code=code,
        detail=detail,
        run=model.RunState.NOT_RUN if is_not_run else model.RunState.UNKNOWN,
    )
