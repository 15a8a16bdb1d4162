"""The body of a request that is read from its connection on demand."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafrashall import exceptions
from sassafrashall.transport import http1

EventSource = Callable[[], Awaitable[http1.Event | None]]


class RequestBody:
    """The rest of a request's body, read from its connection on demand."""

    def __init__(
        self,
        *,
        next_event: EventSource,
        on_part: Callable[[int], None],
        limit: int,
    ) -> None:
        """Creates a body of at most `limit` bytes.

        Args:
          next_event: Waits for the next event of the connection; returns None
            after a disconnect.
          on_part: Called with the size of each part that was read.
          limit: Bytes.
        """
        self._next_event = next_event
        self._on_part = on_part
        self._remaining_limit = limit
        self.ended = False
        # Cancels the read of the task that uploads the body.
        self._read_scope: trio.CancelScope | None = None
        self._read_ended = trio.Event()
        self._discarding = False
        self._stalled = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end.

        Raises:
          ProtocolError: The body is too large or malformed.
          ConnectionFailedError: The caller disconnected, the body stopped
            arriving, or the request has been answered.
        """
        if not (self._discarding or self._stalled):
            self._read_ended = trio.Event()
            try:
                with trio.CancelScope() as self._read_scope:
                    return await self._read()
            finally:
                self._read_scope = None
                self._read_ended.set()
        if self._stalled:
            raise _stalled_error()
        raise exceptions.ConnectionFailedError(
            "the request has been answered", maybe_delivered=True
        )

    def end_stalled(self) -> None:
        """Ends the wait for a body that has stopped arriving."""
        self._stalled = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    @property
    def stalled(self) -> bool:
        """Whether it has stopped arriving."""
        return self._stalled

    async def discard(self) -> None:
        """Reads up to the end, once the task that uploads the body has stopped.

        Two tasks must not wait for the same socket.

        Raises:
          ProtocolError: The body is too large or malformed.
          ConnectionFailedError: The caller disconnected.
        """
        self._discarding = True
        if self._read_scope is not None:
            self._read_scope.cancel()
            await self._read_ended.wait()
        while await self._read():
            pass

    async def _read(self) -> bytes:
        if self.ended:
            return b""
        if self._stalled:
            raise _stalled_error()
        try:
            event = await self._next_event()
        except (OSError, trio.ClosedResourceError) as error:
            # An upload would take it for an error of its own connection.
            raise exceptions.ConnectionFailedError(
                str(error) or "the caller broke off", maybe_delivered=True
            ) from error
        match event:
            case http1.BodyPart(data=data):
                self._remaining_limit -= len(data)
                if self._remaining_limit < 0:
                    raise exceptions.ProtocolError(
                        exceptions.BODY_TOO_LARGE, "the body is too large"
                    )
                self._on_part(len(data))
                return data
            case http1.MessageEnd():
                self.ended = True
                return b""
            case _:
                raise exceptions.ConnectionFailedError(
                    "the caller broke off", maybe_delivered=True
                )

    async def close(self) -> None:
        """Does nothing; the connection discards what is unread."""


def _stalled_error() -> exceptions.ConnectionFailedError:
    return exceptions.ConnectionFailedError(
        "the body stopped arriving", maybe_delivered=True, by_caller=True
    )
