"""A connection between two nodes that multiplexes their calls."""

from __future__ import annotations

import collections
from collections.abc import Callable

import trio

from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import model
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import sockets

INITIAL_WINDOW = http.STREAM_WINDOW  # bytes of a body sent before any credit
PART_SIZE = 32 * 1024  # bytes in a frame; more would delay the other calls
# Seconds between checks for calls past their deadline. A periodic check costs
# less than a timer for each call.
EXPIRY_INTERVAL = 0.1
# Reads for the frames that have arrived, which ends beside a busy sender.
MAX_READY_READS = 64
# Bytes that wait for the socket, above which no body is read for the connection
# and no call starts on it.
MAX_UNSENT = 8 * 1024 * 1024

OnFrame = Callable[[frames.Frame], None]


class PeerConnection:
    """Owns a socket; one task writes queued frames and one task reads."""

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        on_frame: OnFrame,
        frame_limit: int = frames.FRAME_LIMIT,
    ) -> None:
        """Creates the connection.

        Args:
          stream: The socket.
          on_frame: Gets each frame that arrives.
          frame_limit: Maximum length of a frame's body in bytes.
        """
        self._stream = stream
        self._on_frame = on_frame
        self._send_queue: list[bytes] = []
        self._unsent = 0  # bytes, those that are being written included
        self._sent = trio.Event()
        self._queue_filled = trio.Event()
        self._writing = False
        self._ended = False
        self._broken = False
        self._end_reason = connection_log.Reason.PROCESS_END
        self._buffer = frames.FrameBuffer(limit=frame_limit)

    @classmethod
    async def open(
        cls, address: model.Address, *, on_frame: OnFrame
    ) -> PeerConnection:
        """Connects; raises `ConnectionFailedError` if that fails."""
        return cls(stream=await sockets.connect(address), on_frame=on_frame)

    @property
    def ended(self) -> bool:
        """Whether frames can no longer be sent."""
        return self._ended

    @property
    def end_reason(self) -> connection_log.Reason:
        """Why the connection ended."""
        return self._end_reason

    @property
    def unsent(self) -> int:
        """Number of bytes that wait to be sent."""
        return 0 if self._ended else self._unsent

    @property
    def is_congested(self) -> bool:
        """Whether the other node takes the bytes sent to it too slowly."""
        return self.unsent > MAX_UNSENT

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the end of the stream is the next thing to be read."""
        return self._stream.is_closed_by_peer

    def allow_long_frames(self) -> None:
        """Raises the limit for a node that has authenticated itself."""
        self._buffer.set_limit(frames.FRAME_LIMIT)

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame now, or queues what the socket does not take.

        Does nothing once the connection has ended.
        """
        if self._ended:
            return
        data = frames.encode(frame)
        if self._send_queue or self._writing:
            self._send_queue.append(data)
            self._unsent += len(data)
            return
        try:
            sent = self._stream.send_nowait(data)
        except OSError:
            # The reading task detects the broken connection and ends it.
            return
        if sent < len(data):
            self._send_queue.append(data[sent:])
            self._unsent += len(data) - sent
            self._queue_filled.set()

    async def wait_for_room(self) -> None:
        """Waits while the connection is congested."""
        await self._wait_until_sent(MAX_UNSENT)

    async def flush(self) -> None:
        """Waits until everything is sent, or the connection has ended."""
        await self._wait_until_sent(0)

    async def _wait_until_sent(self, limit: int) -> None:
        while self.unsent > limit:
            if self._sent.is_set():
                self._sent = trio.Event()
            await self._sent.wait()

    async def write(self) -> None:
        """Writes queued bytes until the connection breaks."""
        try:
            while True:
                if not self._send_queue:
                    self._writing = False
                    self._queue_filled = trio.Event()
                    await self._queue_filled.wait()
                self._writing = True
                queued, self._send_queue = self._send_queue, []
                data = b"".join(queued)
                await self._stream.send(data)
                self._unsent -= len(data)
                self._sent.set()
        except OSError:
            # The reading task passes on what has arrived, then gets the error.
            self._ended = True
            self._sent.set()

    async def read_arrived(self) -> None:
        """Passes on the frames that have arrived; other tasks run in between.

        After a delay of the event loop, frames may wait in the socket that
        arrived before a timeout that is checked now.
        """
        for _ in range(MAX_READY_READS):
            if not self._read_nowait():
                return
            await trio.lowlevel.checkpoint()

    def read_ready(self) -> None:
        """Passes on the frames that have arrived, in one step."""
        for _ in range(MAX_READY_READS):
            if not self._read_nowait():
                return

    def _read_nowait(self) -> bool:
        """Reads once without waiting, and returns whether bytes were there."""
        try:
            data = self._stream.receive_nowait(http.RECEIVE_SIZE)
        except OSError:
            # Nothing more has arrived, or the reading task gets the error.
            return False
        if data:
            self._pass_on(data)
        return bool(data)

    async def _read(self) -> None:
        reason = connection_log.Reason.DISCONNECT
        try:
            while not self._broken:
                data = await self._stream.receive(http.RECEIVE_SIZE)
                if not data:
                    break
                self._pass_on(data)
        except trio.Cancelled:
            reason = connection_log.Reason.PROCESS_END
            raise
        finally:
            if not self._broken:
                self._end_reason = reason
            self._ended = True

    def _pass_on(self, data: bytes) -> None:
        """Passes on received frames; an invalid one ends the connection."""
        try:
            for frame in self._buffer.split(data):
                self._on_frame(frame)
        except exceptions.ProtocolError as error:
            logs.get().warning(
                "invalid frame from another node", extra={"reason": str(error)}
            )
            self.close(connection_log.Reason.BAD_INPUT)
        except Exception:
            # An exception must not end the calls of other connections.
            logs.get().exception("unhandled exception in a frame's handler")
            self.close(connection_log.Reason.HANDLER_FAILED)

    def close(self, reason: connection_log.Reason) -> None:
        """Closes the connection; bytes that have not been read are dropped."""
        self._broken = self._ended = True
        self._end_reason = reason
        self._sent.set()
        self._stream.close()

    async def run(self) -> None:
        """Passes on received frames until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write)
                await self._read()
                nursery.cancel_scope.cancel()
        except* (OSError, trio.ClosedResourceError):
            pass
        finally:
            self._ended = True
            self._sent.set()
            self._stream.close()


class IncomingBody:
    """The rest of a body; buffers its parts as they arrive."""

    def __init__(self, *, connection: PeerConnection, call: int) -> None:
        self._connection = connection
        self._call = call
        self._parts: collections.deque[bytes] = collections.deque()
        self._arrived = trio.Event()
        self._failure = ""
        self._finished = False

    def append(self, data: bytes) -> None:
        """Adds the next part; an empty one ends the body."""
        self._parts.append(data)
        self._arrived.set()

    def fail(self, detail: str) -> None:
        """Ends the body early: `read` fails after the parts received so far."""
        self._failure = detail
        self._arrived.set()

    async def read(self) -> bytes:
        """Returns the next bytes and grants credit for them; none at the end.

        Raises:
          ConnectionFailedError: The sender aborted the body.
        """
        while not self._parts:
            if self._finished:
                return b""
            if self._failure:
                raise exceptions.ConnectionFailedError(
                    self._failure, maybe_delivered=True
                )
            self._arrived = trio.Event()
            await self._arrived.wait()
        data = self._parts.popleft()
        if data:
            self._connection.send(
                frames.Credit(call=self._call, count=len(data))
            )
        else:
            self._finished = True
        return data

    async def close(self) -> None:
        """Cancels the rest of the body."""
        if not self._finished and not self._failure:
            self._finished = True
            self._connection.send(frames.CancelCall(call=self._call))


class OutgoingBody:
    """Sends the rest of a body within the receiver's flow-control window."""

    def __init__(self, *, connection: PeerConnection, call: int) -> None:
        self._connection = connection
        self._call = call
        self._window = INITIAL_WINDOW
        self._window_widened = trio.Event()

    def add_credit(self, count: int) -> None:
        """Widens the window by `count` bytes that the receiver has consumed."""
        self._window += count
        self._window_widened.set()

    async def send(self, rest: model.BodyReader) -> None:
        """Sends `rest` up to its end; raises what `rest.read` raises."""
        while data := await rest.read():
            for start in range(0, len(data), PART_SIZE):
                part = data[start : start + PART_SIZE]
                while self._window < len(part):
                    self._window_widened = trio.Event()
                    await self._window_widened.wait()
                self._window -= len(part)
                await self._connection.wait_for_room()
                self._connection.send(
                    frames.BodyPart(call=self._call, data=part)
                )
        self._connection.send(frames.BodyPart(call=self._call, data=b""))
