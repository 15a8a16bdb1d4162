"""The HTTP front end: decodes requests and encodes outcomes.

Keys, tickets and the headers for deadlines and levels are handled here. The
filter chain works on typed requests only.
"""

from __future__ import annotations

import dataclasses
import urllib.parse
import uuid

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import codec
from sassafrashall.transport import error_boundary
from sassafrashall.transport import http

KEY_LENGTH_LIMIT = 256  # characters
_CONSUMED_HEADERS = frozenset({"authorization", codec.DEADLINE_HEADER})


class FrontEnd:
    """Converts requests of one listener to typed requests, and back."""

    def __init__(
        self,
        *,
        handler: error_boundary.Handler,
        secret: bytes,
        hybrid_clock: clock.HybridClock,
    ) -> None:
        self._handler = handler
        self._secret = secret
        self._clock = hybrid_clock

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one request."""
        stamp = model.find_header(raw.headers, codec.TIME_HEADER)
        if stamp and raw.source is model.Source.PEER:
            self._clock.observe(codec.parse_time(stamp))
        try:
            request = self.decode(raw)
        except exceptions.ProtocolError as error:
            return codec.encode_refusal(
                model.Refuse(code=error.code, detail=str(error))
            )
        outcome = await error_boundary.call_handler(self._handler, request)
        return self.encode(outcome, raw.source, request.request_id)

    def decode(self, raw: http.RawRequest) -> model.Request:
        """Returns the typed request, without the headers of this system.

        Headers that contain the caller's key are removed as well.

        Raises:
          ProtocolError: The deadline is malformed, or the target or the body
            contains the key and would disclose it to the upstream.
        """
        request = model.Request(
            method=raw.method,
            target=raw.target,
            headers=(),
            body=raw.body,
            source=raw.source,
            received_at=raw.received_at,
            request_id=uuid.uuid4().hex[:16],
            timeout_ms=_timeout(raw.headers),
            idempotency_key=model.find_header(raw.headers, "idempotency-key")
            or "",
        )
        key = ""
        if raw.source is not model.Source.PEER:
            key = _key(raw.headers)
            if key and _contains_key(key, raw):
                raise exceptions.ProtocolError(
                    exceptions.BAD_REQUEST,
                    "the key stands outside of the Authorization header",
                )
        headers = tuple(
            (name, value)
            for name, value in http.end_to_end_headers(raw.headers)
            if name not in _CONSUMED_HEADERS
            and not name.startswith(codec.INTERNAL_PREFIX)
            and not (key and key in value)
        )
        return self._with_ticket(
            dataclasses.replace(request, headers=headers, key=key), raw
        )

    def _with_ticket(
        self, request: model.Request, raw: http.RawRequest
    ) -> model.Request:
        """Adds the ticket of a peer or the local upstream, not of a caller."""
        value = model.find_header(raw.headers, codec.TICKET_HEADER)
        if raw.source is model.Source.CALLER or value is None:
            return request
        ticket = codec.verify_ticket(value, self._secret)
        return dataclasses.replace(
            request, ticket=ticket, bad_ticket=ticket is None
        )

    def encode(
        self, outcome: model.Outcome, source: model.Source, request_id: str
    ) -> model.Response:
        """Returns the response for an outcome.

        A peer also gets the unused retry tokens, the admission level and a
        time stamp; others get the request ID.
        """
        match outcome:
            case model.Refuse() as refusal:
                response = codec.encode_refusal(refusal)
            case model.Answer(response=response):
                pass
        if source is not model.Source.PEER:
            caller_headers = (
                *response.headers,
                (codec.REQUEST_HEADER, request_id),
            )
            return dataclasses.replace(response, headers=caller_headers)
        peer_headers = (
            (codec.RETRIES_HEADER, str(outcome.retries_left)),
            (codec.LEVEL_HEADER, str(outcome.level)),
            (codec.TIME_HEADER, codec.format_time(self._clock.now())),
        )
        return dataclasses.replace(
            response, headers=(*response.headers, *peer_headers)
        )


def _timeout(headers: model.Headers) -> int | None:
    value = model.find_header(headers, codec.DEADLINE_HEADER)
    if value is None:
        return None
    if not value.isdecimal() or len(value) > 9:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, "X-Deadline-Ms is not a number"
        )
    return int(value)


def _key(headers: model.Headers) -> str:
    value = model.find_header(headers, "authorization") or ""
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or len(key) > KEY_LENGTH_LIMIT:
        return ""
    return key


def _contains_key(key: str, raw: http.RawRequest) -> bool:
    """Returns whether the key is in the target or the body."""
    unquoted_target = urllib.parse.unquote(raw.target)
    return (
        key in raw.target or key in unquoted_target or key.encode() in raw.body
    )
