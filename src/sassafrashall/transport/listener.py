"""Accepts the connections to one address and tracks them until they end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from sassafrashall import logs
from sassafrashall import model

LISTEN_BACKLOG = 1024  # connections
# Seconds after a failed accept, for instance for lack of descriptors.
ACCEPT_RETRY_DELAY = 0.05


async def accept_all(
    tcp_listener: trio.SocketListener,
    on_accept: Callable[[trio.SocketStream], None],
) -> None:
    """Passes each connection to `on_accept` until the listener closes."""
    while True:
        try:
            on_accept(await tcp_listener.accept())
        except trio.ClosedResourceError:
            return
        except OSError:
            await trio.sleep(ACCEPT_RETRY_DELAY)


class Connection(Protocol):
    """An accepted connection that a task serves."""

    async def serve(self) -> None:
        """Runs until either side closes the connection."""
        ...

    def expire(self) -> None:
        """Closes the connection after its next response."""
        ...

    def stop(self) -> None:
        """Closes the connection once it is idle."""
        ...


_C = TypeVar("_C", bound=Connection)


class Listener(Generic[_C]):
    """Listens on one address and serves each connection in a task.

    A subclass creates the connections in `_new_connection`.
    """

    # Exceptions of `serve` that are ignored, since peers cause them.
    _expected_errors: tuple[type[Exception], ...] = (OSError,)

    def __init__(
        self, *, address: model.Address, connection_limit: int
    ) -> None:
        self._address = address
        self._connection_limit = connection_limit
        self._connections: set[_C] = set()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        self._all_closed = trio.Event()
        self._draining = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`."""
        self._nursery = nursery
        self._listeners = await trio.open_tcp_listeners(
            self._address.port,
            host=self._address.host,
            backlog=LISTEN_BACKLOG,
        )
        for tcp_listener in self._listeners:
            nursery.start_soon(accept_all, tcp_listener, self._on_accept)

    def _on_accept(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._connection_limit:
            stream.socket.close()
            return
        assert self._nursery is not None
        connection = self._new_connection(stream)
        # `close` must find it also before its task has run for the first time.
        self._connections.add(connection)
        if self._draining:
            connection.expire()
        self._nursery.start_soon(self._serve, connection)

    def _new_connection(self, stream: trio.SocketStream) -> _C:
        raise NotImplementedError

    async def _serve(self, connection: _C) -> None:
        try:
            await connection.serve()
        except self._expected_errors:
            pass
        except Exception:
            # An exception must not end the connections of other callers.
            logs.get().exception("unhandled exception on a connection")
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()

    def drain(self) -> None:
        """Closes every connection after its next response."""
        self._draining = True
        for connection in self._connections:
            connection.expire()

    async def close(self) -> None:
        """Stops accepting, then waits until every connection has ended."""
        for tcp_listener in self._listeners:
            await tcp_listener.aclose()
        for connection in list(self._connections):
            connection.stop()
        while self._connections:
            self._all_closed = trio.Event()
            await self._all_closed.wait()
