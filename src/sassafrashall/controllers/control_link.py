"""The node's link to the controls: owns the RPC clients and picks one."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.transport import rpc

ATTEMPT_TIMEOUT = 0.6  # seconds for one control
PROBE_TIMEOUT = 0.5  # seconds
HOME_INTERVAL = 5.0  # seconds between looks whether the nearest is back
FRESH = 2.0  # seconds of majority age that a node accepts


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Probed:
    """How fresh the other controls are."""

    ages: tuple[tuple[int, float], ...]
    current_age: float


class ControlLink(task.Controller):
    """Sends calls to one control at a time, the own data centre's first."""

    def __init__(
        self,
        *,
        controls: tuple[settings_module.Control, ...],
        data_centre: str,
        secret: str,
        event_log: events.EventLog,
    ) -> None:
        super().__init__()
        ordered = sorted(controls, key=lambda c: c.data_centre != data_centre)
        self._controls = tuple(ordered)
        self._clients = tuple(
            rpc.RpcClient(
                address=control.address,
                secret=secret,
                hybrid_clock=event_log.clock,
            )
            for control in ordered
        )
        self._events = event_log
        self._current = 0
        self._probing = False

    async def _setup(self) -> None:
        self._spawn(self._look_home)

    async def _teardown(self) -> None:
        for client in self._clients:
            client.close()

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.CallControl():
                self._spawn(self._call, message, reply)
            case messages.ControlIsStale(majority_age=age):
                if not self._probing:
                    self._probing = True
                    others = [
                        place
                        for place in range(len(self._clients))
                        if place != self._current
                    ]
                    self._spawn(self._probe, others, age)
            case _Probed():
                self._on_probed(message)

    async def _call(
        self, message: messages.CallControl, reply: mailbox.Reply
    ) -> None:
        """Tries the controls in turn until one answers or time is up."""
        deadline = clock.monotonic() + message.timeout
        error: exceptions.SassafrashallError | None = None
        for _ in self._clients:
            remaining = deadline - clock.monotonic()
            if remaining <= 0 or reply.abandoned:
                break
            used = self._current
            try:
                answer = await self._clients[used].call(
                    message.message, min(remaining, ATTEMPT_TIMEOUT)
                )
            except exceptions.RpcError as failure:
                error = failure
                if used == self._current:
                    self._use((used + 1) % len(self._clients))
                continue
            reply.put(answer)
            return
        reply.fail(error or exceptions.RpcError("no control answered in time"))

    def _use(self, place: int) -> None:
        if place == self._current:
            return
        self._current = place
        self._events.record("control.switched", detail=self._controls[place].vm)
        logs.get().info(
            "follows another control",
            extra={"control": self._controls[place].vm},
        )

    async def _probe(self, places: list[int], current_age: float) -> None:
        ages: list[tuple[int, float]] = []

        async def ask(place: int) -> None:
            try:
                pong = await self._clients[place].call(
                    protocol.Ping(), PROBE_TIMEOUT
                )
                ages.append((place, pong.majority_age))
            except exceptions.RpcError:
                pass

        async with trio.open_nursery() as nursery:
            for place in places:
                nursery.start_soon(ask, place)
        self.mailbox.tell(_Probed(ages=tuple(ages), current_age=current_age))

    def _on_probed(self, probed: _Probed) -> None:
        self._probing = False
        fresh = sorted((place for place, age in probed.ages if age < FRESH))
        if fresh:
            self._use(fresh[0])
        elif probed.ages:
            place, age = min(probed.ages, key=lambda pair: pair[1])
            if age < probed.current_age:
                self._use(place)

    async def _look_home(self) -> None:
        while True:
            await trio.sleep(HOME_INTERVAL)
            if self._current != 0 and not self._probing:
                self._probing = True
                await self._probe([0], float("-inf"))
