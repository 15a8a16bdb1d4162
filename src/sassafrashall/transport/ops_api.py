"""The monitoring endpoints of a process: metrics, events and health."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

from sassafrashall import events
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.transport import codec
from sassafrashall.transport import http


class OpsApi:
    """Serves `/metrics`, `/v1/events` and `/v1/health`."""

    def __init__(
        self,
        *,
        counters: metrics.Metrics,
        event_log: events.EventLog,
        refresh_gauges: Callable[[], None],
    ) -> None:
        self._metrics = counters
        self._events = event_log
        self._refresh_gauges = refresh_gauges

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one request."""
        path, _, query = raw.target.partition("?")
        match path:
            case "/metrics":
                self._refresh_gauges()
                content_type, body = self._metrics.render()
                return _response(content_type, body)
            case "/v1/events":
                return _response("application/json", self._read_events(query))
            case "/v1/health":
                return _response("application/json", b'{"alive":true}')
            case _:
                return model.Response(status=404, headers=(), body=b"")

    def _read_events(self, query: str) -> bytes:
        parameters = dict(urllib.parse.parse_qsl(query))
        since = parameters.get("since_ms", "0")
        matching = self._events.read(
            kind=parameters.get("kind", ""),
            request=parameters.get("request", ""),
            since_ms=int(since) if since.isdigit() else 0,
        )
        return codec.to_json(protocol.EventsReply(events=matching))


def _response(content_type: str, body: bytes) -> model.Response:
    return model.Response(
        status=200, headers=(("content-type", content_type),), body=body
    )
