"""One connection to an upstream, for one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import http1
from sassafrashall.transport import sockets

HEAD_LIMIT = 64 * 1024  # bytes of an answer's head
IDLE_MARGIN = 2.0  # seconds before the upstream's own idle timeout
DEFAULT_KEEP_ALIVE = 5.0  # seconds, where the upstream tells no idle timeout
STRAY_ANSWERS = 4  # answers to other requests that are passed over

Answers = Callable[[int, model.Headers], bool]


class UpstreamConnection:
    """Sends requests to an upstream and reads its answers.

    An answer that names another request is passed over: an upstream may send
    one late, where the next answer is due.
    """

    def __init__(
        self, *, stream: sockets.Stream, address: model.Address
    ) -> None:
        self._stream = stream
        self._address = address
        self._parser = http1.ResponseParser(head_limit=HEAD_LIMIT)
        self._committed = False
        self._reusable = True
        self._exchanges = 0
        self._used_at = clock.monotonic()
        self._expires_at = self._used_at + DEFAULT_KEEP_ALIVE

    @classmethod
    async def open(cls, address: model.Address) -> UpstreamConnection:
        """Connects; raises `ConnectionFailedError` if that fails."""
        return cls(stream=await sockets.connect(address), address=address)

    @property
    def address(self) -> model.Address:
        """Where the upstream listens."""
        return self._address

    @property
    def used_before(self) -> bool:
        """Whether an earlier exchange ran on this connection."""
        return self._exchanges > 1

    @property
    def alive(self) -> bool:
        """Whether the upstream has left the idle connection as it was.

        One that was closed, or holds bytes that belong to no request, is of
        no more use.
        """
        return self._stream.is_quiet

    def usable(self, longest_idle: float, now: float) -> bool:
        """Returns whether another exchange may start, by what is known."""
        return (
            self._reusable
            and now < self._expires_at
            and now - self._used_at <= longest_idle
        )

    async def exchange(
        self, request: http.RawRequest, answers: Answers
    ) -> model.Response:
        """Sends a request and returns the answer to it.

        Args:
          request: What to send.
          answers: Tells whether an answer belongs to this request.

        Raises:
          ConnectionFailedError: `committed` tells whether the upstream may
            have received the request.
        """
        self._committed = False
        self._reusable = False
        self._exchanges += 1
        self._parser.without_body = request.method == "HEAD"
        try:
            if request.rest is None:
                head = http1.encode_request(
                    request.method,
                    request.target,
                    request.headers,
                    len(request.body),
                )
                self._committed = True
                await self._stream.send(head + request.body)
                return await self._receive(answers)
            return await self._exchange_stream(request, answers)
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.ProtocolError,
        ) as error:
            raise exceptions.ConnectionFailedError(
                str(error) or type(error).__name__, committed=self._committed
            ) from error

    async def _exchange_stream(
        self, request: http.RawRequest, answers: Answers
    ) -> model.Response:
        """Sends a long body while it waits for the answer.

        An answer may come before the body is sent; the connection then ends
        with it, since the rest of the body is still due on it.
        """
        length = model.find_header(request.headers, "content-length")
        headers = tuple(h for h in request.headers if h[0] != "content-length")
        whole = False
        response: model.Response | None = None

        async def send() -> None:
            nonlocal whole
            chunked = length is None
            head = http1.encode_request(
                request.method,
                request.target,
                headers,
                None if length is None else int(length),
            )
            encode = http1.encode_chunk if chunked else bytes
            assert request.rest is not None
            self._committed = True
            data = head + (encode(request.body) if request.body else b"")
            while data:
                await self._stream.send(data)
                part = await request.rest.read()
                data = encode(part) if part else b""
            if chunked:
                await self._stream.send(http1.LAST_CHUNK)
            whole = True

        async def receive(nursery: trio.Nursery) -> None:
            nonlocal response
            response = await self._receive(answers)
            nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive, nursery)
                nursery.start_soon(send)
        except* (
            OSError,
            trio.ClosedResourceError,
            exceptions.SassafrashallError,
        ) as group:
            if response is None:
                raise exceptions.ConnectionFailedError(
                    str(group.exceptions[0]), committed=self._committed
                ) from group
        self._reusable = self._reusable and whole
        assert response is not None
        return response

    async def _receive(self, answers: Answers) -> model.Response:
        strays = 0
        while True:
            head = await self._next_event()
            if not isinstance(head, http1.ResponseHead):
                raise exceptions.ConnectionFailedError(
                    "no answer on the connection", committed=self._committed
                )
            if answers(head.status, head.headers):
                return await self._body_of(head, clean=strays == 0)
            strays += 1
            if strays > STRAY_ANSWERS or head.ends_with_connection:
                raise exceptions.ConnectionFailedError(
                    "answers to other requests on the connection",
                    committed=self._committed,
                )
            while isinstance(await self._next_event(), http1.BodyPart):
                pass

    async def _body_of(
        self, head: http1.ResponseHead, clean: bool
    ) -> model.Response:
        reader = _AnswerBody(connection=self, head=head, clean=clean)
        return model.Response(
            status=head.status,
            headers=head.headers,
            body=await http.read_beginning(reader),
            rest=None if reader.ended else reader,
        )

    def finish(self, head: http1.ResponseHead, clean: bool) -> None:
        """An answer is whole; decides whether the connection goes on."""
        self._used_at = clock.monotonic()
        self._expires_at = self._used_at + _idle_time(head.headers)
        self._reusable = clean and head.keep_alive and self._parser.at_boundary

    async def next_event(self) -> http1.Event:
        """Returns the next event of the answer.

        Raises:
          ConnectionFailedError: The connection ended before it.
        """
        try:
            return await self._next_event()
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.ProtocolError,
        ) as error:
            raise exceptions.ConnectionFailedError(
                str(error), committed=True
            ) from error

    async def _next_event(self) -> http1.Event:
        while True:
            event = self._parser.next_event()
            if event is not None:
                return event
            data = await self._stream.receive(http.RECEIVE_SIZE)
            if data:
                self._parser.feed(data)
                continue
            self._parser.end()
            event = self._parser.next_event()
            if event is None:
                raise exceptions.ConnectionFailedError(
                    "the upstream closed the connection",
                    committed=self._committed,
                )
            return event

    def close(self) -> None:
        """Closes the socket, which cancels a request at the upstream."""
        self._stream.close()


class _AnswerBody:
    """The body of an answer as it arrives."""

    def __init__(
        self,
        *,
        connection: UpstreamConnection,
        head: http1.ResponseHead,
        clean: bool,
    ) -> None:
        self._connection = connection
        self._head = head
        self._clean = clean
        self.ended = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end."""
        if self.ended:
            return b""
        match await self._connection.next_event():
            case http1.BodyPart(data=data):
                return data
            case http1.MessageEnd():
                self.ended = True
                self._connection.finish(self._head, self._clean)
                return b""
            case _:
                raise exceptions.ConnectionFailedError(
                    "another answer in place of a body", committed=True
                )

    async def close(self) -> None:
        """Gives the rest up; the connection can't be used again."""


def _idle_time(headers: model.Headers) -> float:
    """Returns seconds for which the connection may stay idle."""
    value = model.find_header(headers, "keep-alive") or ""
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN)
    return DEFAULT_KEEP_ALIVE
