"""The HTTP front end for callers: clients, and the upstream on this VM."""

from __future__ import annotations

import json

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.platform import names
from sassafrashall.transport import codec
from sassafrashall.transport import error_boundary
from sassafrashall.transport import http

KEY_LENGTH_LIMIT = 256  # characters
MAX_DEADLINE_DIGITS = 9  # digits of a number of milliseconds
MIN_RETRY_AFTER = 0.05  # seconds; an earlier retry joins the same burst
DEFAULT_RETRY_AFTER = 0.5  # seconds, for a refusal that gives no time

# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class FrontEnd:
    """Decodes HTTP requests and encodes outcomes as responses."""

    def __init__(
        self, *, handler: error_boundary.Handler, service: str
    ) -> None:
        self._handler = handler
        self._service = service

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one request."""
        try:
            request = self.decode(raw)
        except exceptions.ProtocolError as error:
            return encode_refusal(
                model.Refuse(code=error.code, detail=str(error))
            )
        outcome = await error_boundary.call_handler(self._handler, request)
        match outcome:
            case model.Answer(response=response):
                return response
            case model.Refuse():
                return encode_refusal(outcome)

    def decode(self, raw: http.RawRequest) -> model.Request:
        """Returns the typed request.

        Raises:
          ProtocolError: The host, the target or the deadline is not valid.
        """
        header_values = dict(raw.headers)
        host = header_values.get("host", "")
        if not host or sum(name == "host" for name, _ in raw.headers) != 1:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "exactly one Host header is needed"
            )
        if not raw.target.startswith("/"):
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "the target must be a path"
            )
        key = _parse_bearer_key(header_values.get("authorization", ""))
        headers = tuple(
            (name, value)
            for name, value in http.end_to_end_headers(raw.headers)
            if name not in names.STRIPPED_HEADERS
            and not name.startswith(codec.INTERNAL_PREFIX)
            and not (key and key in value)
        )
        length = header_values.get("content-length")
        if raw.rest is not None and length is not None:
            headers = (*headers, ("content-length", length))
        return model.Request(
            method=raw.method,
            target=raw.target,
            headers=headers,
            body=raw.body,
            source=raw.source,
            received_at=raw.received_at,
            request_id=header_values.get(names.REQUEST_ID, ""),
            key=key,
            timeout_ms=_parse_timeout_ms(header_values.get(names.DEADLINE)),
            host=host.partition(":")[0].lower(),
            caller=self._service,
            rest=raw.rest,
        )


def encode_refusal(refusal: model.Refuse) -> model.Response:
    """Returns the response for a refusal, with a problem document."""
    status = _status_for(refusal)
    headers = [("content-type", "application/problem+json")]
    if status in (429, 503):
        wait = refusal.retry_after_s or DEFAULT_RETRY_AFTER
        wait = max(MIN_RETRY_AFTER, wait)
        headers.append(("retry-after", f"{wait:.2f}"))
    document = {
        "code": refusal.code,
        "detail": refusal.detail,
        "run": refusal.run,
    }
    return model.Response(
        status=status,
        headers=tuple(headers),
        body=json.dumps(document).encode(),
    )


def _status_for(refusal: model.Refuse) -> int:
    """Returns the status for the code of a refusal and its run state.

    A status that promises that the request has not run is used only if that
    is so, and 502 and 504 only if it may have run.
    """
    status = exceptions.STATUS_BY_CODE[refusal.code]
    if refusal.run is model.RunState.NOT_RUN:
        return 503 if status in (502, 504) else status
    return 502 if status in _NOT_RUN_STATUSES else status


def _parse_timeout_ms(value: str | None) -> int | None:
    if value is None:
        return None
    if not value.isdecimal() or len(value) > MAX_DEADLINE_DIGITS:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, "the deadline is not a number"
        )
    return int(value)


def _parse_bearer_key(value: str) -> str:
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or len(key) > KEY_LENGTH_LIMIT:
        return ""
    return key
