"""The requests in progress on an accepted connection, in order of arrival."""

from __future__ import annotations

import collections

import trio

from sassafrashall import fiber
from sassafrashall import model
from sassafrashall.decisions import memory_limits
from sassafrashall.decisions import pipelining
from sassafrashall.transport import http
from sassafrashall.transport import http1


class Exchange:
    """A request in progress, with the fiber and the task that respond to it.

    Attributes:
      overlaps: Whether it may run beside other requests of its connection.
      fiber: Handles the request; None if the connection's task does.
      send_scope: Cancels the task that sends what would block the fiber.
      forwarded: Whether the handler has got the request.
      cost: Estimated bytes of memory until the end of the request.
      buffered: Estimated bytes of the part of the body that was read before the
        handler got the request.
      handled: Whether the fiber has ended.
      response: The response while it waits to be sent.
      streams: Whether the response is streamed.
    """

    def __init__(self, *, head: http1.RequestHead, overlaps: bool) -> None:
        self.head = head
        self.overlaps = overlaps
        self.fiber: fiber.Fiber | None = None
        self.send_scope: trio.CancelScope | None = None
        self.forwarded = False
        self.cost = head.cost
        self.buffered = 0
        self.handled = False
        self.response: model.Response | None = None
        self.streams = False

    @property
    def is_ready(self) -> bool:
        """Whether its response may be sent, and no task sends it yet."""
        return self.handled and self.send_scope is None

    def count_part(self, size: int) -> None:
        """Counts a part of the body of `size` bytes that was read."""
        if not self.forwarded:
            self.buffered += size + memory_limits.PART_COST

    def cancel(self) -> None:
        """Cancels the request, since nobody waits for its response."""
        if self.fiber is not None:
            self.fiber.cancel()
        if self.send_scope is not None:
            self.send_scope.cancel()


class Overlap:
    """Counts the requests that run behind another one of their connection.

    Attributes:
      count: Their number, over all connections of a listener.
    """

    def __init__(self) -> None:
        self.count = 0


class Pipeline:
    """The exchanges of one connection whose responses have not been sent."""

    def __init__(self, *, depth: int, overlap: Overlap) -> None:
        """Creates an empty pipeline.

        Args:
          depth: Requests that may run at the same time.
          overlap: Counts those of all connections.
        """
        self._depth = depth
        self._overlap = overlap
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._changed: trio.Event | None = None
        # Whether a response has announced that the connection closes.
        self.close_announced = False

    @property
    def depth(self) -> int:
        """Requests that may run at the same time."""
        return self._depth

    @property
    def first(self) -> Exchange | None:
        """The exchange whose response is sent next; None if there is none."""
        return self._exchanges[0] if self._exchanges else None

    @property
    def last(self) -> Exchange | None:
        """The exchange that was started last; None if there is none."""
        return self._exchanges[-1] if self._exchanges else None

    @property
    def has_forwarded(self) -> bool:
        """Whether the handler has got a request that is not answered."""
        return any(exchange.forwarded for exchange in self._exchanges)

    @property
    def waiting_bytes(self) -> int:
        """Bytes in memory of responses that wait for those before them."""
        return sum(
            len(exchange.response.body) + exchange.streams * http.STREAM_WINDOW
            for exchange in self._exchanges
            if exchange.response is not None
        )

    @property
    def is_reading_body(self) -> bool:
        """Whether the connection's task reads the body of a request."""
        return bool(self._exchanges) and self._exchanges[-1].fiber is None

    def may_start(self, *, overlaps: bool, expiring: bool) -> bool:
        """Returns whether the next request may start now.

        Args:
          overlaps: Whether it may run beside others.
          expiring: Whether the connection closes after the last request that
            has been started.
        """
        last = self.last
        if last is None:
            return not self.close_announced
        progress = pipelining.Progress(
            running=len(self._exchanges),
            exclusive=not last.overlaps,
            streaming=any(exchange.streams for exchange in self._exchanges),
            closes=self.close_announced or expiring or not last.head.keep_alive,
        )
        return pipelining.may_start(
            progress,
            overlaps=overlaps,
            depth=self._depth,
            overlapping=self._overlap.count,
        )

    def add(self, exchange: Exchange) -> None:
        """Adds an exchange that has been started."""
        if self._exchanges:
            self._overlap.count += 1
        self._exchanges.append(exchange)

    def remove_first(self) -> None:
        """Removes the exchange whose response has been sent."""
        self._exchanges.popleft()
        if self._exchanges:
            self._overlap.count -= 1

    def clear(self) -> tuple[Exchange, ...]:
        """Removes all exchanges and returns them."""
        exchanges = tuple(self._exchanges)
        while self._exchanges:
            self.remove_first()
        return exchanges

    def notify(self) -> None:
        """Wakes the task that waits for a change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def wait_for_change(self) -> None:
        """Waits until an exchange has ended."""
        self._changed = self._changed or trio.Event()
        await self._changed.wait()
