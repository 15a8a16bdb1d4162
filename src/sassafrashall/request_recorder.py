"""Records how requests end at a routed node, in metrics and the log."""

from __future__ import annotations

import trio

from sassafrashall import clock
from sassafrashall import decision_log
from sassafrashall import fiber
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import route_table


class RequestRecorder:
    """Observes the latency of requests, and logs their outcomes."""

    def __init__(
        self,
        *,
        table: mailbox.Published[route_table.RouteTable | None],
        counters: metrics.Metrics,
    ) -> None:
        """Sets up the histograms.

        Args:
          table: The routes of the fleet configuration; None before the first.
          counters: The metrics of this process.
        """
        self._table = table
        self._metrics = counters
        self._decisions = decision_log.DecisionLog()
        self._timings = {
            (step, kind): counters.bound_histogram(
                "request_seconds", step=step, outcome=kind.__name__.lower()
            )
            for step in ("entry", "worker")
            for kind in (model.Answer, model.Refuse)
        }

    def record_outcome(
        self,
        request_id: str,
        step: str,
        request: model.Request,
        outcome: model.Outcome,
    ) -> None:
        """Records the end of a request.

        Args:
          request_id: Identifies the request in the log.
          step: The chain that ran it, `entry` or `worker`.
          request: The request, as it arrived at this node.
          outcome: How it ended.
        """
        latency = clock.monotonic() - request.received_at
        self._timings[(step, type(outcome))].observe(latency)
        took_ms = 1000 * latency
        table = self._table.value
        match outcome:
            case model.Answer(response=response):
                target_ms = _target_ms(table, request)
                if self._decisions.suppress_routine(
                    response.status, took_ms, target_ms
                ):
                    return
                record: decision_log.Record = decision_log.Served(
                    request_id=request_id,
                    step=step,
                    status=response.status,
                    took_ms=took_ms,
                    target_ms=target_ms,
                    upstream_load=outcome.load,
                )
            case model.Refuse():
                record = decision_log.Ended(
                    request_id=request_id,
                    step=step,
                    code=outcome.code,
                    detail=outcome.detail,
                    run=outcome.run,
                    took_ms=took_ms,
                    configuration=table.document.version if table else 0,
                    peer_load=outcome.load,
                )
        self._decisions.write(record)

    def record_cancel(
        self,
        request_id: str,
        step: str,
        request: model.Request,
        error: trio.Cancelled | fiber.Cancelled,
    ) -> None:
        """Records that a request was cancelled.

        Args:
          request_id: Identifies the request in the log.
          step: The chain that ran it, `entry` or `worker`.
          request: The request, as it arrived at this node.
          error: Says why, if the caller's connection tells.
        """
        self._metrics.count("requests_cancelled", step=step)
        self._decisions.write(
            decision_log.Cancelled(
                request_id=request_id,
                step=step,
                reason=str(error) if isinstance(error, fiber.Cancelled) else "",
                took_ms=1000 * (clock.monotonic() - request.received_at),
            )
        )


def _target_ms(
    table: route_table.RouteTable | None, request: model.Request
) -> float:
    """Returns the target latency of a request's route, or 0 if unknown.

    The unit is milliseconds.
    """
    route = table.find_route(request.host, request.path) if table else None
    return 1000 * route.target_latency_s if route else 0.0
