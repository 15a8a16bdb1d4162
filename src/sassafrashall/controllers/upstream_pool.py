"""The pool of connections to the upstream on this VM."""

from __future__ import annotations

from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import task
from sassafrashall.transport import memory_budget
from sassafrashall.transport import sockets
from sassafrashall.transport import upstream_connection

# Least seconds between checks for expired exchanges, by which a response that
# is due at the timeout may be late. At 0.1 s, one was 94 ms late.
SWEEP_INTERVAL = 0.025
# Most seconds between two checks, for idle connections. A check every 25 ms was
# three fifths of the wake-ups of an idle node.
MAX_SWEEP_INTERVAL = 0.1


class UpstreamPool(task.Controller):
    """Assigns each exchange an idle connection, or opens one.

    A child task owns each connection.
    """

    def __init__(
        self,
        *,
        counters: metrics.Metrics,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Creates the pool.

        Args:
          counters: Where connections are counted.
          budget: Bounds the memory of the heads of responses; None for one of
            its own.
        """
        super().__init__()
        self._budget = budget or memory_budget.MemoryBudget()
        self._metrics = counters
        self._log = connection_log.ConnectionLog(
            place="upstream", counters=counters
        )
        self._connections: set[upstream_connection.UpstreamConnection] = set()
        self._idle: dict[
            model.Address, list[upstream_connection.UpstreamConnection]
        ] = {}
        # Monotonic seconds.
        self._swept_at = self._next_sweep = float("-inf")
        self._sweep_brought_forward = trio.Event()

    async def _setup(self) -> None:
        self._spawn(self._expire_regularly)

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.UpstreamExchange():
                self._bring_sweep_forward(message.deadline)
                connection = self._take_idle_connection(message)
                if connection is not None:
                    connection.start_exchange(message, reply)
                else:
                    self._spawn(self._connect, message, reply)

    def _take_idle_connection(
        self, message: messages.UpstreamExchange
    ) -> upstream_connection.UpstreamConnection | None:
        idle = self._idle.get(message.address, [])
        now = clock.monotonic()
        # The connection used last is the most likely to be open still.
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if not connection.is_usable(messages.NO_IDLE_LIMIT, now):
                del idle[index]
                connection.close(connection_log.Reason.IDLE_TIMEOUT)
            elif not connection.is_usable(message.max_idle, now):
                # Idle for too long for this exchange, as are the older ones.
                return None
            elif not connection.is_intact:
                del idle[index]
                connection.close_broken()
            elif connection.can_identify(message.is_answer):
                return idle.pop(index)
        return None

    async def _connect(
        self, message: messages.UpstreamExchange, reply: mailbox.Reply
    ) -> None:
        """Opens a connection for an exchange and runs it until it closes."""
        self._metrics.count("upstream_connections_opened")
        time_left = max(0.0, message.deadline - clock.monotonic())
        stream = None
        try:
            with trio.move_on_after(time_left):
                stream = await sockets.connect(message.address)
        except exceptions.ConnectionFailedError as error:
            reply.fail(error)
            return
        except trio.Cancelled:
            reply.fail(
                exceptions.ConnectionFailedError(
                    "the pool was closed before there was a connection",
                    maybe_delivered=False,
                )
            )
            raise
        if stream is None:
            reply.fail(
                exceptions.ConnectionFailedError(
                    "the deadline passed before there was a connection",
                    maybe_delivered=False,
                    expired=True,
                )
            )
            return
        connection = upstream_connection.UpstreamConnection(
            stream=stream,
            address=message.address,
            on_idle=self._add_idle,
            on_resend=self._resend,
            log=self._log,
            budget=self._budget,
        )
        if reply.abandoned:
            connection.close(connection_log.Reason.ABANDONED)
            return
        self._connections.add(connection)
        # A sweep while it was being opened did not see the exchange.
        self._bring_sweep_forward(message.deadline)
        try:
            await connection.run(message, reply)
        finally:
            self._connections.discard(connection)
            self._remove_idle(connection)

    def _add_idle(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        self._idle.setdefault(connection.address, []).append(connection)

    def _resend(
        self, message: messages.UpstreamExchange, reply: mailbox.Reply
    ) -> None:
        self._spawn(self._connect, message, reply)

    def _remove_idle(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)

    async def _expire_regularly(self) -> None:
        while True:
            await self._wait_for_sweep()
            self._swept_at = clock.monotonic()
            self._expire(self._swept_at)

    async def _wait_for_sweep(self) -> None:
        """Waits until an exchange expires, or idle connections are due."""
        while True:
            now = clock.monotonic()
            due = min(
                (connection.deadline for connection in self._connections),
                default=float("inf"),
            )
            # Counted from the last sweep, so that exchanges that begin can't
            # delay the next one.
            self._next_sweep = min(
                max(due, self._swept_at + SWEEP_INTERVAL),
                max(now, self._swept_at + MAX_SWEEP_INTERVAL),
            )
            pause = max(0.0, self._next_sweep - now)
            self._sweep_brought_forward = trio.Event()
            with trio.move_on_after(pause):
                await self._sweep_brought_forward.wait()
                continue
            return

    def _bring_sweep_forward(self, deadline: float) -> None:
        """Lets the sweep run earlier for an exchange that expires before it."""
        earliest = self._swept_at + SWEEP_INTERVAL
        if max(deadline, earliest) < self._next_sweep:
            self._sweep_brought_forward.set()

    def _expire(self, now: float) -> None:
        """Ends expired exchanges and closes idle connections too old to use."""
        for connection in tuple(self._connections):
            if connection.deadline <= now:
                connection.expire_exchange()
        for idle in self._idle.values():
            for connection in idle:
                if not connection.is_usable(messages.NO_IDLE_LIMIT, now):
                    # Its task then ends and removes it from the list.
                    connection.close(connection_log.Reason.IDLE_TIMEOUT)
