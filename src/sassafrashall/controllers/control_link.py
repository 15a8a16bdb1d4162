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
from sassafrashall.decisions import replication
from sassafrashall.transport import rpc

ATTEMPT_TIMEOUT = 0.6  # seconds for one control
ROUND_PAUSE = 0.1  # seconds after every control has failed
PROBE_TIMEOUT = 0.5  # seconds
HOME_INTERVAL = 5.0  # seconds between looks whether the nearest is back
FRESH = 2.0  # seconds of majority age that a node accepts


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Probed:
    """How fresh the other controls are, by their addresses."""

    ages: tuple[tuple[str, float], ...]
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
        self._data_centre = data_centre
        self._clients = rpc.ClientPool(
            secret=secret, hybrid_clock=event_log.clock
        )
        self._events = event_log
        self._addresses: tuple[str, ...] = self._ordered(
            [
                (str(control.address), control.data_centre)
                for control in controls
            ]
        )
        self._current = self._addresses[0]
        self._probing = False

    def _ordered(self, places: list[tuple[str, str]]) -> tuple[str, ...]:
        """Returns addresses, those of the own data centre first."""
        places = sorted(places, key=lambda p: p[1] != self._data_centre)
        return tuple(address for address, _ in places)

    async def _setup(self) -> None:
        self._spawn(self._look_home)

    async def _teardown(self) -> None:
        self._clients.close()

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.CallControl():
                self._spawn(self._call, message, reply)
            case messages.ControlIsStale(majority_age=age):
                if not self._probing:
                    self._probing = True
                    others = [a for a in self._addresses if a != self._current]
                    self._spawn(self._probe, others, age)
            case messages.ControlsKnown(members=members):
                self._take_members(members)
            case _Probed():
                self._on_probed(message)

    def _take_members(self, members: tuple[replication.Member, ...]) -> None:
        """Follows changes of the membership; seeds may be long out of date."""
        named = [(member.address, member.data_centre) for member in members]
        known = {address for address, _ in named}
        # A control that has left may still lead to those that replaced it.
        left = tuple(a for a in self._addresses if a not in known)
        self._addresses = self._ordered(named) + left
        near = self._addresses[0]
        if self._current != near and not self._probing:
            self._probing = True
            self._spawn(self._probe, [near], float("-inf"))

    async def _call(
        self, message: messages.CallControl, reply: mailbox.Reply
    ) -> None:
        """Tries the controls in turn until one answers or time is up."""
        deadline = clock.monotonic() + message.timeout
        error: exceptions.SassafrashallError | None = None
        attempts = 0
        while not reply.abandoned:
            if attempts and attempts % len(self._addresses) == 0:
                # All have failed, as they do while a leader is elected.
                await trio.sleep(ROUND_PAUSE)
            remaining = deadline - clock.monotonic()
            if remaining <= 0:
                break
            attempts += 1
            used = self._current
            try:
                answer = await self._clients.get(used).call(
                    message.message, min(remaining, ATTEMPT_TIMEOUT)
                )
            except exceptions.RpcError as failure:
                error = failure
                if used == self._current:
                    self._use(self._next(used))
                continue
            reply.put(answer)
            return
        reply.fail(error or exceptions.RpcError("no control answered in time"))

    def _next(self, address: str) -> str:
        place = self._addresses.index(address)
        return self._addresses[(place + 1) % len(self._addresses)]

    def _use(self, address: str) -> None:
        if address == self._current:
            return
        self._current = address
        self._events.record("control.switched", detail=address)
        logs.get().info("follows another control", extra={"control": address})

    async def _probe(self, addresses: list[str], current_age: float) -> None:
        ages: list[tuple[str, float]] = []

        async def ask(address: str) -> None:
            try:
                pong = await self._clients.get(address).call(
                    protocol.Ping(), PROBE_TIMEOUT
                )
                ages.append((address, pong.majority_age))
            except exceptions.RpcError:
                pass

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask, address)
        self.mailbox.tell(_Probed(ages=tuple(ages), current_age=current_age))

    def _on_probed(self, probed: _Probed) -> None:
        self._probing = False
        fresh = {address for address, age in probed.ages if age < FRESH}
        nearest = [a for a in self._addresses if a in fresh]
        if nearest:
            self._use(nearest[0])
        elif probed.ages:
            address, age = min(probed.ages, key=lambda pair: pair[1])
            if age < probed.current_age:
                self._use(address)

    async def _look_home(self) -> None:
        while True:
            await trio.sleep(HOME_INTERVAL)
            near = self._addresses[0]
            if self._current != near and not self._probing:
                self._probing = True
                await self._probe([near], float("-inf"))
