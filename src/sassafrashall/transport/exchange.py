"""Encodes HTTP requests to peers and upstreams, and decodes the responses."""

from __future__ import annotations

import dataclasses

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.transport import codec
from sassafrashall.transport import http


def encode(
    message: messages.Exchange, secret: bytes, stamp: clock.HybridTime
) -> http.RawRequest:
    """Returns the HTTP request of an exchange.

    Args:
      message: The exchange.
      secret: Key that signs the ticket.
      stamp: Hybrid logical time, which is sent to peers only.
    """
    ticket = message.ticket
    headers = [
        *message.request.headers,
        (codec.TICKET_HEADER, codec.sign_ticket(ticket, secret)),
        (codec.DEADLINE_HEADER, str(ticket.remaining_ms)),
    ]
    if not message.to_upstream:
        headers.append((codec.TIME_HEADER, codec.format_time(stamp)))
    if all(name != "host" for name, _ in headers):
        headers.append(("host", str(message.address)))
    return http.RawRequest(
        method=message.request.method,
        target=message.request.target,
        headers=tuple(headers),
        body=message.request.body,
        source=message.request.source,
        received_at=message.request.received_at,
    )


def decode_upstream(response: model.Response) -> model.Outcome:
    """Returns an upstream's response without the system's internal headers.

    Only nodes may set those headers, which include the run state of a refusal.
    """
    return model.Answer(
        response=dataclasses.replace(
            response, headers=_external_headers(response.headers)
        )
    )


def decode_peer(
    response: model.Response, hybrid_clock: clock.HybridClock
) -> model.Outcome:
    """Returns a node's outcome with its retry tokens and admission level.

    The time stamp of the response advances `hybrid_clock`.
    """
    stamp = model.find_header(response.headers, codec.TIME_HEADER)
    if stamp:
        hybrid_clock.observe(codec.parse_time(stamp))
    retries_left = _integer_header(response, codec.RETRIES_HEADER, 0)
    level = _integer_header(response, codec.LEVEL_HEADER, -1)
    refusal = codec.decode_refusal(response)
    if refusal is not None:
        return dataclasses.replace(
            refusal, retries_left=retries_left, level=level
        )
    return model.Answer(
        response=dataclasses.replace(
            response, headers=_external_headers(response.headers)
        ),
        retries_left=retries_left,
        level=level,
    )


def refusal_for_error(
    error: exceptions.ConnectionFailedError, to_upstream: bool
) -> model.Refuse:
    """Returns the refusal for an exchange without a complete response."""
    peer_name = "the upstream" if to_upstream else "the upstream's node"
    run = (
        model.RunState.UNKNOWN
        if error.maybe_delivered
        else model.RunState.NOT_RUN
    )
    code = (
        exceptions.UPSTREAM_SILENT
        if error.unresponsive
        else exceptions.UPSTREAM_FAILED
    )
    return model.Refuse(code=code, detail=f"{peer_name}: {error}", run=run)


def _external_headers(headers: model.Headers) -> model.Headers:
    """Returns the headers that may be passed on to the caller.

    Content-Length stays, since the response to a HEAD request carries it
    without a body.
    """
    length = model.find_header(headers, "content-length")
    kept = tuple(
        (name, value)
        for name, value in http.end_to_end_headers(headers)
        if not name.startswith(codec.INTERNAL_PREFIX)
    )
    return kept if length is None else (*kept, ("content-length", length))


def _integer_header(response: model.Response, name: str, default: int) -> int:
    value = model.find_header(response.headers, name) or ""
    return int(value) if value.isdigit() else default
