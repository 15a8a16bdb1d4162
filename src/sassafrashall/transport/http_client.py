"""An HTTP/1.1 client on trio sockets, built on h11."""

from __future__ import annotations

import math

import h11
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import sockets

RESPONSE_BODY_LIMIT = 8 * 1024 * 1024  # bytes
CONTINUE_TIMEOUT = 0.5  # seconds to wait for 100 Continue
# Seconds without a byte after which a peer counts as unresponsive.
PROGRESS_TIMEOUT = 1.0


class ClientConnection:
    """A connection to a peer, for one exchange at a time."""

    def __init__(self, *, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)
        self._maybe_delivered = False
        self._receive_timeout = math.inf
        self._idle_since = clock.monotonic()

    @classmethod
    async def open(cls, address: model.Address) -> ClientConnection:
        """Connects; raises `ConnectionFailedError` if that fails."""
        return cls(stream=await sockets.open_stream(address))

    @property
    def maybe_delivered(self) -> bool:
        """Whether the peer may have received the whole request."""
        return self._maybe_delivered

    @property
    def idle_time(self) -> float:
        """Seconds since the last exchange ended."""
        return clock.monotonic() - self._idle_since

    @property
    def idle(self) -> bool:
        """Whether the last exchange is complete and allows another."""
        return self._protocol.our_state is h11.IDLE

    @property
    def reusable(self) -> bool:
        """Whether the connection is idle and the peer has not closed it."""
        is_open = self._stream.socket.fileno() >= 0
        # An idle connection that is readable was closed by the peer.
        return self.idle and is_open and not http.is_readable(self._stream)

    async def exchange(
        self,
        request: http.RawRequest,
        *,
        confirm: bool = False,
        expect_progress: bool = False,
    ) -> model.Response:
        """Sends a request and returns the whole response.

        Args:
          request: What to send.
          confirm: Whether to withhold the body until the peer has responded to
            `Expect: 100-continue`.
          expect_progress: Whether the peer sends interim responses while it
            processes a slow request, so that its silence is a failure.

        Raises:
          ConnectionFailedError: The connection failed; `maybe_delivered` tells
            whether the peer may have received the whole request.
          ProtocolError: The response is too large.
        """
        self._maybe_delivered = False
        self._receive_timeout = (
            PROGRESS_TIMEOUT if expect_progress else math.inf
        )
        try:
            if confirm:
                early_response = await self._send_with_confirmation(request)
                if early_response is not None:
                    return early_response
            else:
                await self._send_whole(request)
            return await self._receive_response()
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            raise exceptions.ConnectionFailedError(
                str(error) or type(error).__name__,
                maybe_delivered=self._maybe_delivered,
            ) from error

    async def _send_whole(self, request: http.RawRequest) -> None:
        headers = list(http.end_to_end_headers(request.headers))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(request.body))))
        data = self._protocol.send(self._request_head(request, headers)) or b""
        if request.body:
            data += self._protocol.send(h11.Data(data=request.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._maybe_delivered = True
        await self._stream.send_all(data)

    async def _send_with_confirmation(
        self, request: http.RawRequest
    ) -> model.Response | None:
        """Sends the body once the peer responds 100 Continue.

        Returns:
          A final response that came in place of 100, else None.
        """
        headers = list(http.end_to_end_headers(request.headers))
        headers.append(("transfer-encoding", "chunked"))
        headers.append(("expect", "100-continue"))
        data = self._protocol.send(self._request_head(request, headers)) or b""
        await self._stream.send_all(data)
        with trio.move_on_after(CONTINUE_TIMEOUT) as scope:
            event = await self._next_event()
        if scope.cancelled_caught:
            if not http.is_readable(self._stream):
                raise exceptions.ConnectionFailedError(
                    "peer is silent", maybe_delivered=False, unresponsive=True
                )
            event = await self._next_event()
        if isinstance(event, h11.Response):
            # After a final response in place of 100, the body is not sent and
            # the connection is not reused.
            return await self._receive_body(event)
        data = b""
        if request.body:
            data = self._protocol.send(h11.Data(data=request.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._maybe_delivered = True
        await self._stream.send_all(data)
        return None

    def _request_head(
        self, request: http.RawRequest, headers: list[tuple[str, str]]
    ) -> h11.Request:
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            data = await self._receive()
            self._protocol.receive_data(data)

    async def _receive(self) -> bytes:
        if math.isinf(self._receive_timeout):
            return await self._stream.receive_some(http.RECEIVE_SIZE)
        with trio.move_on_after(self._receive_timeout):
            return await self._stream.receive_some(http.RECEIVE_SIZE)
        # The loop may run long after the timeout, and the bytes may have been
        # in time.
        if http.is_readable(self._stream):
            return await self._stream.receive_some(http.RECEIVE_SIZE)
        raise exceptions.ConnectionFailedError(
            "peer is silent",
            maybe_delivered=self._maybe_delivered,
            unresponsive=True,
        )

    async def _receive_response(self) -> model.Response:
        while True:
            event = await self._next_event()
            match event:
                case h11.Response():
                    return await self._receive_body(event)
                case h11.InformationalResponse():
                    continue
                case _:
                    raise h11.RemoteProtocolError("no response")

    async def _receive_body(self, head: h11.Response) -> model.Response:
        if head.status_code not in http.FINAL_STATUSES:
            raise h11.RemoteProtocolError(f"{head.status_code} is no status")
        body = bytearray()
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    body += event.data
                    if len(body) > RESPONSE_BODY_LIMIT:
                        raise exceptions.ProtocolError(
                            exceptions.ANSWER_TOO_LARGE,
                            f"answer exceeds {RESPONSE_BODY_LIMIT} bytes",
                        )
                case h11.EndOfMessage():
                    break
                case _:
                    raise h11.RemoteProtocolError("truncated response")
        self._idle_since = clock.monotonic()
        if self._protocol.our_state is h11.DONE:
            try:
                self._protocol.start_next_cycle()
            except h11.LocalProtocolError:
                pass
        return model.Response(
            status=head.status_code,
            headers=http.decode_headers(head.headers),
            body=bytes(body),
        )

    async def close(self) -> None:
        """Closes the socket, which also cancels the exchange at the peer."""
        await trio.aclose_forcefully(self._stream)


async def get(address: model.Address, target: str) -> model.Response:
    """Sends a GET request on a new connection and returns the response."""
    connection = await ClientConnection.open(address)
    request = http.RawRequest(
        method="GET",
        target=target,
        headers=(("host", str(address)),),
        body=b"",
        source=model.Source.CALLER,
        received_at=0.0,
    )
    try:
        return await connection.exchange(request)
    finally:
        await connection.close()
