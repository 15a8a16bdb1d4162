"""Remote procedure calls between the system's processes, as frames over TCP.

A connection carries one call at a time, and the calling task reads the reply.
A client opens a connection for each call in progress and keeps a few idle ones
for later calls.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import hmac
from typing import Any
import zlib

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import model
from sassafrashall.transport import codec
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import listener
from sassafrashall.transport import sockets

MESSAGE_LIMIT = 64 * 1024 * 1024  # bytes
CONNECTION_LIMIT = 2000  # leaves descriptors for files and operators
MAX_IDLE_CONNECTIONS = 8  # kept by a client of one process
# Seconds after which an idle connection is closed. The client's limit is the
# lower one, so that no call is sent on a connection that the server closes.
CLIENT_IDLE_TIMEOUT = 20.0
SERVER_IDLE_TIMEOUT = 60.0
IDENTIFY_TIMEOUT = 10.0  # seconds between the bytes of an unknown caller
# Messages of at least this many bytes are compressed: a configuration shrinks
# tenfold, and traffic between data centres is expensive. Shorter messages would
# hardly shrink.
COMPRESSION_THRESHOLD = 2048
STOP_GRACE = 1.0  # seconds for calls in progress when a server stops


class Caller(enum.Enum):
    """The kind of caller, which its secret identifies."""

    PROCESS = "process"
    OPERATOR = "operator"


Handler = Callable[[Any, Caller], Awaitable[Any]]


class _ServedConnection:
    """An accepted connection; a task serves its calls one by one."""

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        handler: Handler,
        secrets: dict[str, Caller],
        hybrid_clock: clock.HybridClock,
        log: connection_log.ConnectionLog,
    ) -> None:
        self._stream = stream
        self._log = log
        self._handler = handler
        self._secrets = secrets
        self._clock = hybrid_clock
        self._caller: Caller | None = None
        self._scope = trio.CancelScope()
        self._buffer = frames.FrameBuffer(limit=frames.UNAUTHENTICATED_LIMIT)
        # Whether a call is in progress or bytes of one have been read.
        self._busy = False
        self._expiring = False
        self._active_at = clock.monotonic()
        # Why this side closes the connection; None while it does not.
        self._close_reason: connection_log.Reason | None = None
        self._close_delay = 0.0
        # Whether a call has no complete reply yet.
        self._unanswered = False

    @property
    def _is_idle(self) -> bool:
        """Whether no call is in progress and no byte of one has arrived."""
        return not self._busy and self._stream.is_idle

    async def serve(self) -> None:
        """Runs until the connection ends."""
        reason = connection_log.Reason.PROCESS_END
        try:
            with self._scope:
                while data := await self._receive():
                    self._active_at = clock.monotonic()
                    self._busy = True
                    for frame in self._take_frames(data):
                        await self._on_frame(frame)
                    if not self._buffer.is_empty:
                        self._busy = True
                    if self._expiring and self._is_idle:
                        self._close_reason = connection_log.Reason.STOP
                        break
            reason = self._close_reason or connection_log.Reason.DISCONNECT
        except exceptions.ProtocolError:
            reason = connection_log.Reason.BAD_INPUT
        except (OSError, trio.ClosedResourceError):
            reason = connection_log.Reason.DISCONNECT
        finally:
            self._stream.close()
            self._log.write(
                connection_log.Closure(
                    reason=reason,
                    unanswered=self._unanswered,
                    idle_s=clock.monotonic() - self._active_at,
                    delay_s=self._close_delay,
                )
            )

    async def _receive(self) -> bytes:
        """Returns the next bytes; none after a disconnect or a timeout."""
        while True:
            limit = SERVER_IDLE_TIMEOUT if self._caller else IDENTIFY_TIMEOUT
            with trio.move_on_after(limit) as timeout:
                return await self._stream.receive(http.RECEIVE_SIZE)
            # Bytes may have arrived since the timeout.
            if self._stream.is_idle:
                self._close_reason = connection_log.Reason.IDLE_TIMEOUT
                self._close_delay = trio.current_time() - timeout.deadline
                return b""

    def expire(self) -> None:
        """Closes the connection after its next reply."""
        self._expiring = True

    def stop(self) -> None:
        """Closes the connection once it is idle."""
        self._expiring = True
        if self._is_idle:
            # It may be closing for another reason.
            self._close_reason = (
                self._close_reason or connection_log.Reason.STOP
            )
            self._scope.cancel()

    def abort(self) -> None:
        """Closes the connection and cancels the call on it."""
        self._close_reason = (
            self._close_reason or connection_log.Reason.PROCESS_END
        )
        self._scope.cancel()

    async def _on_frame(self, frame: frames.Frame) -> None:
        match frame:
            case frames.Identify():
                # A call follows, so the connection stays busy.
                pass
            case frames.RemoteCall():
                self._busy = True
                self._unanswered = True
                reply = await self._handle_call(frame)
                await self._stream.send(frames.encode(reply))
                self._busy = False
                self._unanswered = False
                self._active_at = clock.monotonic()
            case _:
                raise exceptions.ProtocolError(
                    exceptions.BAD_REQUEST, "unexpected frame"
                )

    def _take_frames(self, data: bytes) -> list[frames.Frame]:
        """Returns the frames that are whole; identifies the caller.

        Raises:
          ProtocolError: The bytes are not valid frames, or the caller has not
            identified itself and sends a long one.
        """
        taken: list[frames.Frame] = []
        try:
            for frame in self._buffer.split(data):
                if isinstance(frame, frames.Identify):
                    self._caller = self._identify_caller(frame.secret)
                    if self._caller is not None:
                        self._buffer.set_limit(MESSAGE_LIMIT)
                taken.append(frame)
        except exceptions.ProtocolError:
            if self._caller is None:
                failure = _failure_frame("unauthenticated", "wrong secret")
                self._stream.send_nowait(frames.encode(failure))
            raise
        return taken

    def _identify_caller(self, given_secret: str) -> Caller | None:
        for secret, caller in self._secrets.items():
            if hmac.compare_digest(given_secret.encode(), secret.encode()):
                return caller
        return None

    async def _handle_call(
        self, call: frames.RemoteCall
    ) -> frames.RemoteReply | frames.RemoteFailure:
        if self._caller is None:
            return _failure_frame("unauthenticated", "wrong secret")
        self._clock.observe(codec.parse_time(call.stamp))
        try:
            message = codec.decode(_decompress(call))
            data = codec.encode(await self._handler(message, self._caller))
        except exceptions.SassafrashallError as error:
            return _failure_frame("aborted", f"{error.code}: {error}")
        except Exception:
            # An exception must not end the calls of other processes.
            logs.get().exception(
                "unhandled exception in a remote procedure call"
            )
            return _failure_frame("internal", "a fault; the log says more")
        return frames.RemoteReply(
            stamp=codec.format_time(self._clock.last),
            compressed=len(data) >= COMPRESSION_THRESHOLD,
            data=_compress(data),
        )


class RpcServer(listener.Listener[_ServedConnection]):
    """Serves remote procedure calls with one asynchronous handler."""

    def __init__(
        self,
        *,
        address: model.Address,
        handler: Handler,
        secrets: dict[str, Caller],
        hybrid_clock: clock.HybridClock,
        log: connection_log.ConnectionLog | None = None,
    ) -> None:
        super().__init__(address=address, connection_limit=CONNECTION_LIMIT)
        self._log = log or connection_log.ConnectionLog(place="rpc")
        self._handler = handler
        self._secrets = secrets
        self._clock = hybrid_clock

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`.

        Raises:
          RpcError: The address can't be bound.
        """
        try:
            await super().start(nursery)
        except OSError as error:
            raise exceptions.RpcError(
                f"cannot listen on {self._address}"
            ) from error

    async def close(self) -> None:
        """Stops accepting; calls in progress get `STOP_GRACE` to end."""
        with trio.move_on_after(STOP_GRACE):
            await super().close()
        for connection in list(self._connections):
            connection.abort()

    def _new_connection(self, stream: trio.SocketStream) -> _ServedConnection:
        return _ServedConnection(
            stream=sockets.Stream(stream=stream),
            handler=self._handler,
            secrets=self._secrets,
            hybrid_clock=self._clock,
            log=self._log,
        )


class _IdleConnection:
    """An idle connection; `since` is in monotonic seconds."""

    def __init__(self, *, stream: sockets.Stream, since: float) -> None:
        self.stream = stream
        self.since = since


class RpcClient:
    """Calls one process; closes its idle connections when a call times out."""

    def __init__(
        self,
        *,
        address: model.Address,
        secret: str,
        hybrid_clock: clock.HybridClock,
    ) -> None:
        self._address = address
        self._secret = secret
        self._clock = hybrid_clock
        self._idle: list[_IdleConnection] = []
        self._closed = False

    @property
    def address(self) -> model.Address:
        """The address that calls go to."""
        return self._address

    async def call(self, message: Any, timeout: float) -> Any:
        """Sends a message and returns the reply.

        Args:
          message: A registered message.
          timeout: Seconds.

        Raises:
          RpcError: The call failed or timed out; the server may have run it.
        """
        try:
            return await self._call(message, trio.current_time() + timeout)
        except trio.TooSlowError as error:
            # The idle connections may be broken too, without an error so far.
            self._close_idle()
            raise exceptions.RpcError(
                f"{self._address}: deadline_exceeded: "
                f"no reply in {timeout:.2f} s"
            ) from error
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.ConnectionFailedError,
            exceptions.ProtocolError,
        ) as error:
            raise exceptions.RpcError(
                f"{self._address}: unavailable: {error}",
                refused=isinstance(error, exceptions.ConnectionFailedError)
                and error.refused,
            ) from error

    async def _call(self, message: Any, deadline: float) -> Any:
        data = codec.encode(message)
        call = frames.encode(
            frames.RemoteCall(
                stamp=codec.format_time(self._clock.now()),
                compressed=len(data) >= COMPRESSION_THRESHOLD,
                data=_compress(data),
            )
        )
        stream = self._take_idle()
        if stream is None:
            with trio.fail_at(deadline):
                stream = await sockets.connect(self._address, keepalive=False)
            call = frames.encode(frames.Identify(secret=self._secret)) + call
        complete = False
        try:
            with trio.fail_at(deadline):
                await stream.send(call)
            reply = await _receive_frame(stream, deadline)
            complete = True
        finally:
            if complete and not self._closed:
                self._keep_idle(stream)
            else:
                stream.close()
        match reply:
            case frames.RemoteReply():
                self._clock.observe(codec.parse_time(reply.stamp))
                return codec.decode(_decompress(reply))
            case frames.RemoteFailure(status=status, detail=detail):
                raise exceptions.RpcError(
                    f"{self._address}: {status}: {detail}"
                )
            case _:
                raise exceptions.RpcError(f"{self._address}: no reply")

    def _take_idle(self) -> sockets.Stream | None:
        now = clock.monotonic()
        while self._idle:
            idle = self._idle.pop()
            if now - idle.since < CLIENT_IDLE_TIMEOUT and idle.stream.is_idle:
                return idle.stream
            idle.stream.close()
        return None

    def _keep_idle(self, stream: sockets.Stream) -> None:
        self._idle.append(
            _IdleConnection(stream=stream, since=clock.monotonic())
        )
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).stream.close()

    def _close_idle(self) -> None:
        for idle in self._idle:
            idle.stream.close()
        self._idle.clear()

    def close(self) -> None:
        """Closes idle connections now and the others after their calls."""
        self._closed = True
        self._close_idle()


class ClientPool:
    """The RPC clients of one task, by address."""

    def __init__(self, *, secret: str, hybrid_clock: clock.HybridClock) -> None:
        self._secret = secret
        self._clock = hybrid_clock
        self._clients: dict[str, RpcClient] = {}

    def get(self, address: str) -> RpcClient:
        """Returns the client for an address written `IP:PORT`."""
        if address not in self._clients:
            host, _, port = address.rpartition(":")
            self._clients[address] = RpcClient(
                address=model.Address(host=host, port=int(port)),
                secret=self._secret,
                hybrid_clock=self._clock,
            )
        return self._clients[address]

    def close(self) -> None:
        """Closes every client."""
        for client in self._clients.values():
            client.close()


async def _receive_frame(
    stream: sockets.Stream, deadline: float
) -> frames.Frame:
    """Returns the next frame.

    Args:
      stream: The connection.
      deadline: Time of trio.

    Raises:
      ProtocolError: The connection was closed or sent an invalid frame.
      trio.TooSlowError: The deadline passed, and no more bytes have arrived.
    """
    buffer = frames.FrameBuffer(limit=MESSAGE_LIMIT)
    while True:
        with trio.move_on_at(deadline) as timeout:
            data = await stream.receive(http.RECEIVE_SIZE)
        if timeout.cancelled_caught:
            # The loop may run long after the deadline, and the bytes may have
            # been in time.
            if stream.is_idle:
                raise trio.TooSlowError
            data = await stream.receive(http.RECEIVE_SIZE)
        if not data:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "the connection was closed"
            )
        received = buffer.feed(data)
        if received:
            return received[0]


def _compress(data: bytes) -> bytes:
    return zlib.compress(data) if len(data) >= COMPRESSION_THRESHOLD else data


def _decompress(frame: frames.RemoteCall | frames.RemoteReply) -> bytes:
    if not frame.compressed:
        return frame.data
    inflate = zlib.decompressobj()
    try:
        data = inflate.decompress(frame.data, MESSAGE_LIMIT)
    except zlib.error as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, str(error)
        ) from error
    if not inflate.eof:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, "the message is too long"
        )
    return data


def _failure_frame(status: str, detail: str) -> frames.RemoteFailure:
    return frames.RemoteFailure(status=status, detail=detail)
