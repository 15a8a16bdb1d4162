"""Encodes requests for the platform's upstreams and interprets responses."""

from __future__ import annotations

import dataclasses
import re

from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import model
from sassafrashall.platform import names
from sassafrashall.transport import http

_MILLISECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ResponseMatcher:
    """Matches responses by their request ID."""

    request_id: str | None

    def __call__(self, status: int, headers: model.Headers) -> bool:
        answered_id = model.find_header(headers, names.REQUEST_ID)
        if answered_id is None:
            # An upstream may leave out the id only if it did not read the
            # request, which it reports by an error status.
            return status >= 400
        return answered_id == self.request_id

    def is_identified(self, headers: model.Headers) -> bool:
        """Returns whether a response bears the ID of the request."""
        answered_id = model.find_header(headers, names.REQUEST_ID)
        return answered_id is not None and answered_id == self.request_id


class UpstreamDialect:
    """Encodes requests for the upstream on this VM, interprets responses."""

    def encode(
        self, call: model.Call, upstream: model.Upstream, now: float
    ) -> http.RawRequest:
        """Returns the request with the headers that the system sets.

        Args:
          call: The call that the upstream is to run.
          upstream: Where the request goes.
          now: Monotonic seconds.
        """
        request = call.request
        remaining_ms = max(1, int((call.deadline - now) * 1000))
        headers = [
            *request.headers,
            (names.DEADLINE, str(remaining_ms)),
            (names.CALLER, request.caller),
        ]
        if upstream.incarnation:
            headers.append((names.INCARNATION, upstream.incarnation))
        if call.organisation:
            headers.append((names.ORGANISATION, call.organisation))
        return http.RawRequest(
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
            source=request.source,
            received_at=request.received_at,
            rest=request.rest,
        )

    def response_matcher(self, request: model.Request) -> model.ResponseMatcher:
        """Returns what tells the response to `request` from others."""
        return _ResponseMatcher(
            request_id=model.find_header(request.headers, names.REQUEST_ID)
        )

    def decode(self, response: model.Response) -> model.Outcome:
        """Returns an answer, or a refusal if the request was not run.

        A response of status 400 is always an answer.
        """
        not_run = model.find_header(response.headers, names.NOT_RUN)
        if not_run is not None and response.status != 400:
            return model.Refuse(
                code=exceptions.UPSTREAM_REFUSED,
                detail=f"the upstream did not run it ({response.status})",
            )
        length = model.find_header(response.headers, "content-length")
        headers = http.end_to_end_headers(response.headers)
        if length is not None:
            headers = (*headers, ("content-length", length))
        return model.Answer(response=frozen.replace(response, headers=headers))

    def cold_remaining(self, response: model.Response) -> float | None:
        """Returns the seconds for which the upstream says that it stays cold.

        None if it does not say so.
        """
        value = model.find_header(response.headers, names.COLD_REMAINING)
        if value is None or _MILLISECONDS.fullmatch(value) is None:
            return None
        return float(value) / 1000
