"""An open-loop load: arrivals come when they come, whatever is answered."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from bench import caller as caller_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Poisson arrivals of one organisation on one route.

    Attributes:
      rate: Requests a second.
      surge: Factor on the rate while the disturbance lasts.
      retries: How often a caller sends again at once what failed.
    """

    organisation: str
    target: str
    rate: float
    method: str = "GET"
    surge: float = 1.0
    retries: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Phases:
    """Seconds before, during and after a disturbance."""

    before: float
    during: float
    after: float

    @property
    def total(self) -> float:
        """Seconds in all."""
        return self.before + self.during + self.after


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """An intended request and its end.

    Attributes:
      at: Seconds since the load began at which it should have been sent.
      ok: Whether a whole answer came before the deadline.
      sent: The last attempt of the caller.
      attempts: How often the caller sent it.
    """

    at: float
    stream: Stream
    ok: bool
    sent: caller_module.Sent
    attempts: int


class Load:
    """Sends streams over callers for some seconds and keeps every end."""

    def __init__(
        self,
        *,
        callers: dict[str, list[caller_module.Caller]],
        streams: tuple[Stream, ...],
        phases: Phases,
        timeout: float,
        seed: int,
    ) -> None:
        self._callers = callers
        self._streams = streams
        self._phases = phases
        self._timeout = timeout
        self._seed = seed
        self._done: list[Request] = []

    async def run(self) -> list[Request]:
        """Runs the load and returns all requests."""
        began = time.perf_counter()
        async with trio.open_nursery() as nursery:
            for place, stream in enumerate(self._streams):
                draws = random.Random(self._seed * 1000 + place)
                nursery.start_soon(self._send, stream, draws, began, nursery)
        return self._done

    async def _send(
        self,
        stream: Stream,
        draws: random.Random,
        began: float,
        nursery: trio.Nursery,
    ) -> None:
        at = 0.0
        phases = self._phases
        while True:
            disturbed = phases.before <= at < phases.before + phases.during
            rate = stream.rate * (stream.surge if disturbed else 1.0)
            at += draws.expovariate(rate)
            if at >= phases.total:
                return
            caller = draws.choice(self._callers[stream.organisation])
            await trio.sleep(max(0.0, began + at - time.perf_counter()))
            nursery.start_soon(self._one, stream, caller, at, began + at)

    async def _one(
        self,
        stream: Stream,
        caller: caller_module.Caller,
        at: float,
        intended_at: float,
    ) -> None:
        attempts = 0
        while True:
            attempts += 1
            left = intended_at + self._timeout - time.perf_counter()
            sent = await caller.send(
                stream.target,
                method=stream.method,
                timeout=max(0.02, left),
                organisation=stream.organisation,
                intended_at=intended_at,
            )
            ok = sent.whole and sent.latency <= self._timeout
            spent = intended_at + self._timeout <= time.perf_counter()
            if ok or spent or attempts > stream.retries:
                break
        self._done.append(
            Request(at=at, stream=stream, ok=ok, sent=sent, attempts=attempts)
        )
