"""Runs a call through a chain of filters and cleans up in reverse order."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable

import trio

from sassafrashall import exceptions
from sassafrashall import metrics
from sassafrashall import model


class Filter(Protocol):
    """One step of a filter chain."""

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Returns the call to pass on, a refusal or an answer."""
        ...


@runtime_checkable
class CleanupFilter(Filter, Protocol):
    """A filter that releases something when the call ends."""

    async def finish(self, call: model.Call, outcome: model.Outcome) -> None:
        """Cleans up after a call that this filter passed on with `closes`.

        It is awaited once for each such call, also if the call is cancelled.

        Args:
          call: The call as this filter passed it on.
          outcome: How the call ended.
        """
        ...


class Chain:
    """Runs filters in order until one of them ends the call."""

    def __init__(
        self,
        *,
        name: str,
        filters: tuple[Filter, ...],
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._filters = filters
        self._metrics = counters
        self._answers = counters.bound_counter("answers", chain=name)

    async def run(self, call: model.Call) -> model.Outcome:
        """Runs the call and returns its outcome."""
        to_clean_up: list[tuple[CleanupFilter, model.Call]] = []
        outcome: model.Outcome = model.Refuse(
            code=exceptions.DEADLINE_EXCEEDED,
            detail="the caller has left",
            run=model.RunState.UNKNOWN,
        )
        try:
            outcome = await self._run_filters(call, to_clean_up)
        finally:
            if to_clean_up:
                with trio.CancelScope(shield=True):
                    for request_filter, passed_call in reversed(to_clean_up):
                        await request_filter.finish(passed_call, outcome)
        self._count_outcome(outcome)
        return outcome

    async def _run_filters(
        self,
        call: model.Call,
        to_clean_up: list[tuple[CleanupFilter, model.Call]],
    ) -> model.Outcome:
        for request_filter in self._filters:
            result = await request_filter.handle(call)
            match result:
                case model.Forward(call=passed_call, closes=closes):
                    call = passed_call
                    if closes and isinstance(request_filter, CleanupFilter):
                        to_clean_up.append((request_filter, call))
                case model.Refuse() | model.Answer():
                    return result
        return model.Refuse(
            code=exceptions.INTERNAL, detail="no filter ended the call"
        )

    def _count_outcome(self, outcome: model.Outcome) -> None:
        match outcome:
            case model.Answer():
                self._answers.increment()
            case model.Refuse(code=code, run=run):
                self._metrics.count(
                    "refusals", chain=self._name, code=code, run=run
                )
