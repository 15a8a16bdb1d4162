"""The idle connections to the upstream on this VM."""

from __future__ import annotations

import collections
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import task
from sassafrashall.transport import upstream_connection

SWEEP_INTERVAL = 1.0  # seconds between looks for connections that expired


class UpstreamPool(task.Controller):
    """Owns connections while no exchange runs on them.

    A message hands a connection over to the task that makes the exchange, and
    another one hands it back.
    """

    def __init__(self, *, counters: metrics.Metrics) -> None:
        super().__init__()
        self._metrics = counters
        self._idle: dict[
            model.Address,
            collections.deque[upstream_connection.UpstreamConnection],
        ] = {}

    async def _setup(self) -> None:
        self._spawn(self._sweep)

    async def _teardown(self) -> None:
        for idle in self._idle.values():
            for connection in idle:
                connection.close()

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.CheckOut():
                reply.put(self._check_out(message))
            case messages.CheckIn(connection=connection):
                self._check_in(connection)

    def _check_out(
        self, message: messages.CheckOut
    ) -> upstream_connection.UpstreamConnection | None:
        idle = self._idle.get(message.address)
        now = clock.monotonic()
        while idle:
            # The one used last is the one most likely to be alive.
            connection = idle.pop()
            if not connection.usable(message.longest_idle, now):
                if connection.usable(messages.ANY_IDLE_TIME, now):
                    # Too old for this exchange, and so are those before it.
                    idle.append(connection)
                    return None
            elif connection.alive:
                return connection
            connection.close()
        return None

    def _check_in(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        if not connection.usable(messages.ANY_IDLE_TIME, clock.monotonic()):
            connection.close()
            return
        self._idle.setdefault(connection.address, collections.deque()).append(
            connection
        )

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL)
            now = clock.monotonic()
            for idle in self._idle.values():
                for connection in tuple(idle):
                    if not (
                        connection.usable(messages.ANY_IDLE_TIME, now)
                        and connection.alive
                    ):
                        idle.remove(connection)
                        connection.close()
