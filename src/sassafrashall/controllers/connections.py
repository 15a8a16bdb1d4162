"""HTTP connections to peers and upstreams; a task owns each socket."""

from __future__ import annotations

import collections
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import task
from sassafrashall.transport import exchange
from sassafrashall.transport import http_client

IDLE_LIMIT = 64  # idle connections kept for each address
IDLE_TIMEOUT = 30.0  # seconds; shorter than the idle timeout of the servers
# Seconds without use after which a connection to an upstream is replaced. An
# upstream sends no progress signal that would expose a dead connection, and a
# new connection costs about 1 ms.
UPSTREAM_IDLE_TIMEOUT = 1.0


class _PendingExchange:
    """An exchange, and the reply that receives its outcome."""

    def __init__(
        self, *, message: messages.Exchange, reply: mailbox.Reply
    ) -> None:
        self.message = message
        self.reply = reply


class _ConnectionTask:
    """A task that owns one connection and performs one exchange at a time."""

    def __init__(
        self,
        *,
        pool: HttpConnectionPool,
        address: model.Address,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection: http_client.ClientConnection | None = None
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            _PendingExchange
        ](1)

    @property
    def reusable(self) -> bool:
        """Whether the connection can take another exchange."""
        return self._connection is not None and self._connection.reusable

    @property
    def idle_time(self) -> float:
        """Seconds since the last exchange ended."""
        return self._connection.idle_time if self._connection else 0.0

    def submit(self, pending: _PendingExchange) -> None:
        """Starts the next exchange; the connection must be idle or new."""
        self._send_channel.send_nowait(pending)

    def retire(self) -> None:
        """Ends the task after the exchange in progress, if there is one."""
        self._send_channel.close()

    async def run(self) -> None:
        """Performs exchanges until the connection cannot be reused."""
        try:
            while (pending := await self._next_exchange()) is not None:
                if not await self._perform(pending):
                    break
                self._pool.on_idle(self._address, self)
        except trio.EndOfChannel:
            pass
        finally:
            self._pool.on_ended(self._address, self)
            if self._connection is not None:
                with trio.CancelScope(shield=True):
                    await self._connection.close()

    async def _next_exchange(self) -> _PendingExchange | None:
        """Returns the next exchange; None if there is none for too long.

        Raises:
          trio.EndOfChannel: The connection has been retired.
        """
        with trio.move_on_after(IDLE_TIMEOUT):
            return await self._receive_channel.receive()
        try:
            # One may have been submitted since the timeout.
            return self._receive_channel.receive_nowait()
        except trio.WouldBlock:
            return None

    async def _perform(self, pending: _PendingExchange) -> bool:
        """Performs one exchange; returns whether the connection is reusable."""
        message = pending.message
        time_left = message.deadline - clock.monotonic()
        with trio.CancelScope(
            deadline=trio.current_time() + max(0.0, time_left)
        ) as scope:
            # If the caller stops waiting, the connection is closed, which
            # cancels the request at the other end.
            pending.reply.on_abandon(scope.cancel)
            try:
                pending.reply.put(await self._exchange(message))
            except exceptions.ConnectionFailedError as error:
                if error.unresponsive:
                    self._pool.on_unresponsive(self._address)
                pending.reply.put(
                    exchange.refusal_for_error(error, message.to_upstream)
                )
                return False
            except exceptions.ProtocolError as error:
                pending.reply.put(
                    model.Refuse(
                        code=error.code,
                        detail=str(error),
                        run=model.RunState.UNKNOWN,
                    )
                )
                return False
        pending.reply.on_abandon(None)
        if scope.cancelled_caught:
            committed = (
                self._connection is not None
                and self._connection.maybe_delivered
            )
            self._pool.on_unresponsive(self._address)
            pending.reply.put(_deadline_exceeded(committed))
            return False
        return self._connection is not None and self._connection.idle

    async def _exchange(self, message: messages.Exchange) -> model.Outcome:
        if self._connection is None:
            self._connection = await http_client.ClientConnection.open(
                self._address
            )
        raw = exchange.encode(
            message, self._pool.secret, self._pool.hybrid_clock.now()
        )
        if message.to_upstream:
            response = await self._connection.exchange(raw)
            return exchange.decode_upstream(response)
        response = await self._connection.exchange(
            raw, confirm=message.confirm, expect_progress=True
        )
        return exchange.decode_peer(response, self._pool.hybrid_clock)


def _deadline_exceeded(committed: bool) -> model.Refuse:
    return model.Refuse(
        code=exceptions.DEADLINE_EXCEEDED,
        detail="the deadline passed before the answer was there",
        run=model.RunState.UNKNOWN if committed else model.RunState.NOT_RUN,
    )


class HttpConnectionPool(task.Controller):
    """Owns the connection tasks and assigns each exchange to one of them."""

    def __init__(
        self,
        *,
        secret: bytes,
        hybrid_clock: clock.HybridClock,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._secret = secret
        self._clock = hybrid_clock
        self._metrics = counters
        self._idle: dict[model.Address, collections.deque[_ConnectionTask]] = {}

    @property
    def secret(self) -> bytes:
        """The secret that signs tickets."""
        return self._secret

    @property
    def hybrid_clock(self) -> clock.HybridClock:
        """The clock whose time is sent and received with peer messages."""
        return self._clock

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.Exchange():
                connection_task = self._connection_for(message)
                connection_task.submit(
                    _PendingExchange(message=message, reply=reply)
                )

    def _connection_for(self, message: messages.Exchange) -> _ConnectionTask:
        address = message.address
        # A peer confirms a request before it receives the body, an upstream
        # cannot. Instead, a new connection shows that the upstream is up.
        needs_new = message.to_upstream and message.confirm
        idle = None if needs_new else self._idle.get(address)
        while idle:
            # The connection used last is the most likely to be open still.
            connection_task = idle.pop()
            idle_too_long = (
                message.to_upstream
                and connection_task.idle_time > UPSTREAM_IDLE_TIMEOUT
            )
            if connection_task.reusable and not idle_too_long:
                return connection_task
            connection_task.retire()
        connection_task = _ConnectionTask(pool=self, address=address)
        self._metrics.count("connections_opened")
        self._spawn(connection_task.run)
        return connection_task

    def on_idle(
        self, address: model.Address, connection_task: _ConnectionTask
    ) -> None:
        """Keeps a connection for the next exchange."""
        idle = self._idle.setdefault(address, collections.deque())
        idle.append(connection_task)
        if len(idle) > IDLE_LIMIT:
            idle.popleft().retire()

    def on_ended(
        self, address: model.Address, connection_task: _ConnectionTask
    ) -> None:
        """Removes a connection that has ended from the idle ones."""
        idle = self._idle.get(address)
        if idle and connection_task in idle:
            idle.remove(connection_task)

    def on_unresponsive(self, address: model.Address) -> None:
        """Retires all idle connections to an address that did not respond.

        They are likely to be dead as well.
        """
        self._metrics.count("connections_silent")
        for connection_task in self._idle.pop(address, ()):
            connection_task.retire()
