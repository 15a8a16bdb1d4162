"""Callers, which use many kept connections of a node in step."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import itertools
import random
import select
import socket
import time

import h11
import trio

from bench import crowd_forms
from bench.soak import faults
from bench.soak import model as soak_model
from sassafrashall import model

RECEIVE_SIZE = 65536  # bytes
PATIENCE = 2.0  # seconds past the timeout of a route until a caller gives up
RECONNECT_DELAY = 0.1  # seconds after a connection that was refused
# Fractions of the idle timeout for which connections rest between requests.
LONG_GAPS = ((0.3, 0.8), (0.8, 0.99), (0.99, 1.1))
SIZES = (0, 100, 100, 100, 5000, 300_000)  # bytes of an answer's body
BODY_SIZES = (0, 0, 0, 100, 200_000)  # bytes of a request's body
RUN_TIMES_MS = (0, 5, 20, 20, 20, 50, 50, 50, 300, 1500)
# Bytes of the bodies of an answer and of a request of a slow caller.
SLOW_SIZES = ((500_000, 0), (200_000, 0), (100, 500_000), (100, 200_000))
SLOW_DELAY = 0.05  # seconds between two pieces
SLOW_BUFFER = 65536  # bytes of the receive buffer of a slow caller
_TIMEOUT = soak_model.Bounds().route_timeout
_numbers = itertools.count(1)
_BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


async def receive_message(
    stream: trio.SocketStream, protocol: h11.Connection
) -> tuple[h11.Request | h11.Response | None, bytes]:
    """Returns the next message and its body; no message at the end.

    Raises:
      h11.RemoteProtocolError: The message is cut or malformed.
    """
    head = None
    body = bytearray()
    while True:
        match protocol.next_event():
            case h11.Request() | h11.Response() as head:
                pass
            case h11.Data(data=data):
                body += data
            case h11.EndOfMessage():
                return head, bytes(body)
            case h11.ConnectionClosed():
                return None, b""
            case h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(RECEIVE_SIZE))


async def send_once(
    address: model.Address,
    method: str,
    target: str,
    *,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> tuple[int, bytes]:
    """Sends a request on a new connection; returns its status, 0 if it failed.

    The second value is the body of the answer.
    """
    response, answer = await send(
        address, method, target, headers=headers, body=body
    )
    return (response.status_code if response else 0), answer


async def send(
    address: model.Address,
    method: str,
    target: str,
    *,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> tuple[h11.Response | None, bytes]:
    """Sends a request on a new connection.

    Returns:
      The head of the answer, None if it failed, and its body.
    """
    protocol = h11.Connection(h11.CLIENT)
    if "host" not in dict(headers):
        headers = (("host", str(address)), *headers)
    request = h11.Request(
        method=method,
        target=target,
        headers=[*headers, ("content-length", str(len(body)))],
    )
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(_encode(protocol, request, body))
            response, answer = await receive_message(stream, protocol)
    except (*_BROKEN, h11.RemoteProtocolError):
        return None, b""
    assert not isinstance(response, h11.Request)
    return response, answer


async def is_ready(address: model.Address) -> bool:
    """Returns whether a node says that it is ready."""
    status, _ = await send_once(address, "GET", "/-/readiness")
    return status == 200


def _encode(
    protocol: h11.Connection, request: h11.Request, body: bytes
) -> bytes:
    data = protocol.send(request) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


class _Connection:
    """A connection that is used until the node closes it."""

    def __init__(
        self,
        *,
        address: model.Address,
        vm: str,
        is_slow: bool,
        report: Callable[[soak_model.Observation], None],
    ) -> None:
        self._address = address
        self._vm = vm
        self._is_slow = is_slow
        self._report = report
        self._stream: trio.SocketStream | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._received = 0
        self.uses = 0
        self._answered_at = 0.0

    @property
    def rested(self) -> float:
        """Seconds since the last answer on the connection; 0 if none."""
        return time.monotonic() - self._answered_at if self.uses else 0.0

    async def open(self) -> bool:
        """Makes sure that the connection is open; returns whether it is."""
        if self._stream is not None and await self._is_idle():
            return True
        self.close()
        try:
            with trio.fail_after(1.0):
                self._stream = await trio.open_tcp_stream(
                    self._address.host, self._address.port
                )
        except (OSError, trio.TooSlowError):
            await trio.sleep(RECONNECT_DELAY)
            return False
        if self._is_slow:
            # Answers then wait in the node instead of in the socket.
            self._stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER
            )
        self._protocol = h11.Connection(h11.CLIENT)
        self.uses = 0
        return True

    async def _is_idle(self) -> bool:
        """Returns whether nothing has arrived since the last answer."""
        assert self._stream is not None
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        if not poll.poll(0):
            return True
        data = b""
        with contextlib.suppress(*_BROKEN):
            data = await self._stream.receive_some(RECEIVE_SIZE)
        if data:
            self._report(
                soak_model.Unasked(
                    vm=self._vm, at=time.monotonic(), data=data[:200]
                )
            )
        return False

    def close(self) -> None:
        """Closes the connection if it is open."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None

    async def exchange(
        self, sent: soak_model.Sent, host: str
    ) -> soak_model.Answered | soak_model.Closed | soak_model.GaveUp:
        """Sends a request and returns how it ended."""
        assert self._stream is not None
        headers = [
            ("host", host),
            ("request-id", sent.request_id),
            ("request-deadline", str(int(1000 * _TIMEOUT))),
            ("content-length", str(len(sent.body))),
        ]
        if sent.key:
            headers.append(("authorization", f"Bearer {sent.key}"))
        request = h11.Request(
            method="POST" if sent.body else "GET",
            target=sent.target,
            headers=headers,
        )
        data = _encode(self._protocol, request, sent.body)
        self._received = 0
        try:
            with trio.fail_after(_TIMEOUT + PATIENCE):
                try:
                    await self._send(data)
                except trio.BrokenResourceError:
                    pass  # An early answer may have arrived.
                response, body = await self._receive()
        except (*_BROKEN, h11.RemoteProtocolError):
            self.close()
            return soak_model.Closed(
                request_id=sent.request_id,
                at=time.monotonic(),
                received=self._received,
            )
        except trio.TooSlowError:
            self.close()
            return soak_model.GaveUp(
                request_id=sent.request_id, at=time.monotonic()
            )
        self._answered_at = time.monotonic()
        fields = {
            name.decode(): value.decode() for name, value in response.headers
        }
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        else:
            self.close()
        return soak_model.Answered(
            request_id=sent.request_id,
            at=time.monotonic(),
            status=response.status_code,
            answered_id=fields.get("request-id", ""),
            signature=fields.get("response-signature", ""),
            body=body,
        )

    async def _send(self, data: bytes) -> None:
        assert self._stream is not None
        step = RECEIVE_SIZE if self._is_slow else len(data)
        for start in range(0, len(data), step):
            await self.rest()
            await self._stream.send_all(data[start : start + step])

    async def rest(self) -> None:
        """Waits before the next piece if the caller is slow."""
        if self._is_slow:
            await trio.sleep(SLOW_DELAY)

    async def _receive(self) -> tuple[h11.Response, bytes]:
        stream = _Counting(stream=self._stream, connection=self)
        response, body = await receive_message(stream, self._protocol)
        if response is None:
            raise trio.BrokenResourceError("closed without an answer")
        return response, body

    def count_received(self, count: int) -> None:
        """Counts bytes of the answer that is due."""
        self._received += count


class _Counting:
    """Counts what is received from a stream, at the pace of its caller."""

    def __init__(
        self, *, stream: trio.SocketStream, connection: _Connection
    ) -> None:
        self._stream = stream
        self._connection = connection

    async def receive_some(self, size: int) -> bytes:
        """Returns what arrives next."""
        await self._connection.rest()
        data = await self._stream.receive_some(size)
        self._connection.count_received(len(data))
        return data


class Group:
    """Connections to one node that all send at the same moment."""

    def __init__(
        self,
        *,
        plan: soak_model.Plan,
        vm: str,
        index: int,
        address: model.Address,
        idle_timeout: Callable[[], float],
        keys: Callable[[], tuple[str, ...]],
        report: Callable[[soak_model.Observation], None],
    ) -> None:
        self._plan = plan
        self._vm = vm
        self._random = random.Random(f"{plan.seed} {vm} {index}")
        self._idle_timeout = idle_timeout
        self._keys = keys
        self._report = report
        self._is_slow = index >= plan.groups
        self._connections = [
            _Connection(
                address=address, vm=vm, is_slow=self._is_slow, report=report
            )
            for _ in range(plan.connections)
        ]

    async def run(self) -> None:
        """Sends until it is cancelled."""
        try:
            while True:
                run_ms = self._random.choice(RUN_TIMES_MS)
                async with trio.open_nursery() as nursery:
                    for connection in self._connections:
                        nursery.start_soon(self._send, connection, run_ms)
                await trio.sleep(self._draw_gap())
        finally:
            for connection in self._connections:
                connection.close()

    def _draw_gap(self) -> float:
        if self._random.random() < 0.2:
            return self._random.uniform(0.0, 0.1)
        low, high = self._random.choice(LONG_GAPS)
        return self._idle_timeout() * self._random.uniform(low, high)

    async def _send(self, connection: _Connection, run_ms: int) -> None:
        if not await connection.open():
            return
        host, sent = self._draw_request(connection, run_ms)
        connection.uses = sent.use
        self._report(sent)
        self._report(await connection.exchange(sent, host))

    def _draw_request(
        self, connection: _Connection, run_ms: int
    ) -> tuple[str, soak_model.Sent]:
        host = self._random.choice(self._plan.hosts)
        size = self._random.choice(SIZES)
        request_id = f"s{self._plan.seed}-{next(_numbers)}"
        body_size = self._random.choice(BODY_SIZES)
        if self._is_slow:
            size, body_size = self._random.choice(SLOW_SIZES)
        return f"{host}.example", soak_model.Sent(
            request_id=request_id,
            at=time.monotonic(),
            vm=self._vm,
            use=connection.uses + 1,
            rested=connection.rested,
            target=f"/x?size={size}&ms={run_ms}",
            idempotent=host != "once",
            body=soak_model.answer_body(request_id, body_size),
            size=size,
            key=self._random.choice(self._keys()) if host == "keyed" else "",
            host=host,
        )


async def send_odd_heads(
    address: model.Address, fault: faults.OddHeads
) -> None:
    """Lets many callers send odd heads to a node, and none read answers."""
    form = crowd_forms.FORMS[fault.form]
    with trio.move_on_after(fault.seconds):
        async with trio.open_nursery() as nursery:
            for number in range(fault.count):
                # Requests with the ids of probes count as none that was sent.
                head = f"Host: idem.example\r\nRequest-Id: probe-odd-{number}"
                data = form.data(number).replace(
                    b"Host: alpha.example", head.encode()
                )
                nursery.start_soon(form.send, address, data)
