"""Accepts connections and keeps those of one address until their end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from sassafrashall import model

LISTEN_BACKLOG = 1024
ACCEPT_PAUSE = 0.05  # seconds after a failure, as of missing descriptors


async def accept_all(
    accepting: trio.SocketListener, take: Callable[[trio.SocketStream], None]
) -> None:
    """Hands over every connection until the listener is closed."""
    while True:
        try:
            take(await accepting.accept())
        except trio.ClosedResourceError:
            return
        except OSError:
            await trio.sleep(ACCEPT_PAUSE)


class Connection(Protocol):
    """An accepted connection that a task serves."""

    async def serve(self) -> None:
        """Runs until either side ends the connection."""
        ...

    def expire(self) -> None:
        """Lets the connection end with its next response."""
        ...

    def stop(self) -> None:
        """Ends the connection once it is idle."""
        ...


_C = TypeVar("_C", bound=Connection)


class Listener(Generic[_C]):
    """Listens on one address and serves each connection in a task.

    A subclass makes the connections.
    """

    # What may end a connection without a word in the log.
    _ordinary_ends: tuple[type[Exception], ...] = (OSError,)

    def __init__(
        self, *, address: model.Address, connection_limit: int
    ) -> None:
        self._address = address
        self._connection_limit = connection_limit
        self._connections: set[_C] = set()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        self._empty = trio.Event()
        self._draining = False

    @property
    def connections(self) -> int:
        """Connections open now."""
        return len(self._connections)

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`."""
        self._nursery = nursery
        self._listeners = await trio.open_tcp_listeners(
            self._address.port,
            host=self._address.host,
            backlog=LISTEN_BACKLOG,
        )
        for accepting in self._listeners:
            nursery.start_soon(accept_all, accepting, self._take)

    def _take(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._connection_limit:
            stream.socket.close()
            return
        assert self._nursery is not None
        self._nursery.start_soon(self._serve, self._connect(stream))

    def _connect(self, stream: trio.SocketStream) -> _C:
        raise NotImplementedError

    async def _serve(self, connection: _C) -> None:
        self._connections.add(connection)
        if self._draining:
            connection.expire()
        try:
            await connection.serve()
        except self._ordinary_ends:
            pass
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._empty.set()

    def drain(self) -> None:
        """Ends every connection with its next response."""
        self._draining = True
        for connection in self._connections:
            connection.expire()

    async def close(self) -> None:
        """Stops accepting, then waits for the requests in progress."""
        for accepting in self._listeners:
            await accepting.aclose()
        for connection in list(self._connections):
            connection.stop()
        while self._connections:
            self._empty = trio.Event()
            await self._empty.wait()
