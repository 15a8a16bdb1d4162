"""Accepts the connections to one address and tracks them until they end."""

from __future__ import annotations

from collections.abc import Callable
import socket
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from sassafrashall import logs
from sassafrashall import model

LISTEN_BACKLOG = 1024  # connections
# Seconds after a failed accept, for instance for lack of descriptors.
ACCEPT_RETRY_DELAY = 0.05


class Acceptor:
    """Listens on one address and passes on the connections that arrive."""

    def __init__(
        self,
        *,
        address: model.Address,
        on_accept: Callable[[trio.SocketStream], None],
    ) -> None:
        self._address = address
        self._on_accept = on_accept
        self._sockets: list[socket.socket] = []

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and accepts in `nursery`."""
        tcp_listeners = await trio.open_tcp_listeners(
            self._address.port,
            host=self._address.host,
            backlog=LISTEN_BACKLOG,
        )
        for tcp_listener in tcp_listeners:
            listening = socket.socket(fileno=tcp_listener.socket.detach())
            listening.setblocking(False)
            self._sockets.append(listening)
            nursery.start_soon(self._accept, listening)

    async def _accept(self, listening: socket.socket) -> None:
        with listening:
            while listening.fileno() >= 0:
                try:
                    await trio.lowlevel.wait_readable(listening)
                except trio.ClosedResourceError:
                    return
                if not self._accept_arrived(listening):
                    await trio.sleep(ACCEPT_RETRY_DELAY)

    def _accept_arrived(self, listening: socket.socket) -> bool:
        """Accepts what has arrived; returns whether that was possible."""
        if listening.fileno() < 0:
            return True
        for _ in range(LISTEN_BACKLOG):
            try:
                accepted, _ = listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                logs.get().warning(
                    "could not accept a connection",
                    extra={"reason": str(error)},
                )
                return False
            self._on_accept(
                trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            )
        return True

    def close(self) -> None:
        """Accepts what has arrived, then stops listening.

        With the socket, the kernel would reset the connections in its backlog.
        It takes no turn of the event loop, so callers that keep connecting
        can't delay it.
        """
        for listening in self._sockets:
            if listening.fileno() >= 0:
                self._accept_arrived(listening)
                trio.lowlevel.notify_closing(listening)
                listening.close()


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
        self._acceptor = Acceptor(address=address, on_accept=self._on_accept)
        self._connection_limit = connection_limit
        self._connections: set[_C] = set()
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
        await self._acceptor.start(nursery)

    def _on_accept(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._connection_limit:
            stream.socket.close()
            self._make_room()
            return
        assert self._nursery is not None
        connection = self._new_connection(stream)
        # `close` must find it also before its task has run for the first time.
        self._connections.add(connection)
        if self._draining:
            connection.expire()
        self._nursery.start_soon(self._serve, connection)

    def _make_room(self) -> None:
        """May close connections, so that later ones are accepted."""

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
        """Stops accepting, then waits until every connection has ended.

        Connections that have arrived by then are accepted and stopped as well.
        """
        self._acceptor.close()
        for connection in list(self._connections):
            connection.stop()
        while self._connections:
            self._all_closed = trio.Event()
            await self._all_closed.wait()
