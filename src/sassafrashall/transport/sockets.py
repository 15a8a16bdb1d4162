"""TCP streams with fewer scheduler checkpoints than those of trio.

A trio stream checks for cancellation, conflicting tasks and errors in each
operation. On the path of a request these checks cost more than the system
calls, so a `Stream` waits only if the socket is not ready.
"""

from __future__ import annotations

import array
import fcntl
import select
import socket
import termios

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model

KEEPALIVE_IDLE = 1  # seconds of silence before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered probes until the connection is broken
UNACKED_TIMEOUT_MS = 2000  # for the acknowledgement of sent bytes
CONNECT_TIMEOUT = 1.0  # seconds
# Seconds by which a connect that timed out must have been cancelled late to be
# tried once more.
LATE_TIMEOUT = 0.1

_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
)


class Stream:
    """A connected socket; one task sends and one receives."""

    def __init__(self, *, stream: trio.SocketStream) -> None:
        # trio has set TCP_NODELAY on the socket.
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)
        # Whether the last read emptied the socket's receive buffer.
        self._drained = True
        self._unsent = 0
        self._progress_at = 0.0

    def enable_keepalive(self) -> None:
        """Lets the kernel break the connection if the peer is unreachable."""
        for level, option, value in _KEEPALIVE_OPTIONS:
            self._socket.setsockopt(level, option, value)

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the other end has closed or reset the connection."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    @property
    def has_peer_ended(self) -> bool:
        """Whether the other end has closed or reset the connection.

        In contrast to `is_closed_by_peer`, bytes that wait to be read don't
        hide the end.
        """
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    @property
    def unsent(self) -> int:
        """Bytes held by a `send` that waits for the other side; 0 if none."""
        return self._unsent

    @property
    def progress_at(self) -> float:
        """When that `send` could last send a byte, in monotonic seconds."""
        return self._progress_at

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no bytes wait to be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that wait to be read; an end or an error is none.

        In contrast to the other checks, it leaves an error of the connection to
        the next read. Without it, a reset would read as an orderly end.
        """
        if self._socket.fileno() < 0:
            return 0
        count = array.array("i", [0])
        fcntl.ioctl(self._socket, termios.FIONREAD, count)
        return count[0]

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes wait to be read; see `unread_bytes`."""
        return self.unread_bytes > 0

    async def receive(self, size: int) -> bytes:
        """Returns the bytes that have arrived, and waits if there are none.

        At most `size` bytes are returned; none at the end of the stream.

        Raises:
          OSError: The connection is broken.
          trio.ClosedResourceError: This side has closed it.
        """
        if self._socket.fileno() < 0:
            # A wait for a closed socket would raise another exception.
            raise trio.ClosedResourceError
        if not self._drained:
            # More bytes may be there already; other tasks run first.
            await trio.lowlevel.checkpoint()
            try:
                return self.receive_nowait(size)
            except BlockingIOError:
                pass
        while True:
            try:
                await trio.lowlevel.wait_readable(self._socket)
            except trio.BusyResourceError:
                # A task that was cancelled after it had been woken runs on to
                # its next checkpoint, when another may have taken its place.
                await trio.lowlevel.checkpoint_if_cancelled()
                raise
            try:
                return self.receive_nowait(size)
            except BlockingIOError:
                continue

    def receive_nowait(self, size: int) -> bytes:
        """Returns the bytes that have arrived.

        Raises:
          BlockingIOError: No byte has arrived.
        """
        data = self._socket.recv(size)
        self._drained = len(data) < size
        return data

    async def send(self, data: bytes) -> None:
        """Sends all of `data`."""
        sent = self.send_nowait(data)
        try:
            while sent < len(data):
                self._unsent = len(data)
                self._progress_at = clock.monotonic()
                await trio.lowlevel.wait_writable(self._socket)
                sent += self.send_nowait(memoryview(data)[sent:])
        finally:
            self._unsent = 0

    def send_nowait(self, data: bytes | memoryview) -> int:
        """Sends what the socket takes now and returns the number of bytes."""
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

    def end_sending(self) -> None:
        """Tells the other side that no further byte follows."""
        self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the socket and wakes a task that waits for it."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


async def open_stream(address: model.Address) -> trio.SocketStream:
    """Opens a TCP connection.

    Raises:
      ConnectionFailedError: The connection was refused or timed out.
    """
    try:
        with trio.move_on_after(CONNECT_TIMEOUT) as timeout:
            return await trio.open_tcp_stream(address.host, address.port)
        if trio.current_time() - timeout.deadline > LATE_TIMEOUT:
            # The event loop ran late, and cancelled a connect that may have
            # succeeded in time.
            with trio.move_on_after(CONNECT_TIMEOUT):
                return await trio.open_tcp_stream(address.host, address.port)
    except (OSError, OverflowError, ValueError) as error:
        # An address that another process sent may be out of range.
        raise exceptions.ConnectionFailedError(
            f"cannot connect to {address}: {error}",
            maybe_delivered=False,
            refused=_is_refusal(error.__cause__),
        ) from error
    raise exceptions.ConnectionFailedError(
        f"cannot connect to {address}: no answer",
        maybe_delivered=False,
        unresponsive=True,
    )


def _is_refusal(error: BaseException | None) -> bool:
    """Returns whether every attempt to connect met an address without process.

    Args:
      error: The cause that `trio.open_tcp_stream` gives: the error of the only
        attempt, or a group.
    """
    match error:
        case BaseExceptionGroup(exceptions=errors):
            return all(isinstance(e, ConnectionRefusedError) for e in errors)
        case _:
            return isinstance(error, ConnectionRefusedError)


async def connect(address: model.Address, *, keepalive: bool = True) -> Stream:
    """Connects to an address.

    Args:
      address: Where to connect to.
      keepalive: Whether the kernel detects an unreachable peer. Without it, an
        idle connection causes no traffic, and its user needs a timeout for
        each response.

    Raises:
      ConnectionFailedError: The connection was refused or timed out.
    """
    stream = await open_stream(address)
    connected = Stream(stream=stream)
    if keepalive:
        connected.enable_keepalive()
    return connected
