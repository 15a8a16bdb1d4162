"""Remote procedure calls between the system's processes by gRPC under trio.

All calls are unary. The client's completion callback wakes the waiting task;
the server hands each request to trio from a small thread pool and waits.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from concurrent import futures
import enum
import hmac
from typing import Any

import grpc
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import codec

SERVICE = "sassafrashall.Fleet"
# A command holds its thread until it is committed; heartbeats and borrows must
# not wait behind it.
SERVER_THREADS = 64
MESSAGE_LIMIT = 64 * 1024 * 1024  # bytes
# Bytes from which a message is compressed. Configurations shrink tenfold, and
# bytes between data centres are dear; small messages would not be smaller.
COMPRESS_FROM = 2048
STOP_GRACE = 1.0  # seconds

_CHANNEL_OPTIONS = (
    # Without a pool of its own, a new channel would share a dead connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT),
    ("grpc.max_send_message_length", MESSAGE_LIMIT),
)
_SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT),
    ("grpc.max_send_message_length", MESSAGE_LIMIT),
)


class Caller(enum.Enum):
    """Who makes a call, as its secret tells."""

    PROCESS = "process"
    OPERATOR = "operator"


Handler = Callable[[Any, Caller], Awaitable[Any]]


def _metadata(pairs: Any) -> dict[str, str]:
    return dict(pairs or ())


class RpcServer:
    """Serves remote procedure calls with one asynchronous handler."""

    def __init__(
        self,
        *,
        address: model.Address,
        handler: Handler,
        secrets: dict[str, Caller],
        hybrid_clock: clock.HybridClock,
    ) -> None:
        self._address = address
        self._handler = handler
        self._secrets = secrets
        self._clock = hybrid_clock
        self._server: grpc.Server | None = None
        self._token: trio.lowlevel.TrioToken | None = None

    async def start(self) -> None:
        """Binds the address; raises `RpcError` if it is taken."""
        self._token = trio.lowlevel.current_trio_token()
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=SERVER_THREADS),
            handlers=(_GenericHandler(serve=self._serve),),
            options=_SERVER_OPTIONS,
        )
        try:
            self._server.add_insecure_port(str(self._address))
        except RuntimeError as error:
            raise exceptions.RpcError(
                f"cannot listen on {self._address}"
            ) from error
        self._server.start()

    async def close(self) -> None:
        """Refuses new calls and gives those in progress a short time."""
        if self._server:
            stopped = self._server.stop(STOP_GRACE)
            await trio.to_thread.run_sync(stopped.wait)

    def _serve(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        metadata = _metadata(context.invocation_metadata())
        caller = self._caller(metadata.get("authorization", ""))
        if caller is None:
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong secret")
            raise exceptions.RpcError("wrong secret")
        try:
            reply = trio.from_thread.run(
                self._handle,
                data,
                caller,
                metadata.get(codec.TIME_HEADER, ""),
                trio_token=self._token,
            )
        except exceptions.SassafrashallError as error:
            context.abort(grpc.StatusCode.ABORTED, f"{error.code}: {error}")
        except (trio.RunFinishedError, trio.Cancelled):
            context.abort(grpc.StatusCode.UNAVAILABLE, "stopping")
        stamp = codec.format_time(self._clock.last)
        context.set_trailing_metadata(((codec.TIME_HEADER, stamp),))
        context.set_compression(_compression(reply))
        return reply

    def _caller(self, given: str) -> Caller | None:
        for secret, caller in self._secrets.items():
            if hmac.compare_digest(given.encode(), secret.encode()):
                return caller
        return None

    async def _handle(self, data: bytes, caller: Caller, stamp: str) -> bytes:
        self._clock.observe(codec.parse_time(stamp))
        return codec.encode(await self._handler(codec.decode(data), caller))


class _GenericHandler(grpc.GenericRpcHandler):
    """Accepts every method of the service; the message carries its type."""

    def __init__(self, *, serve: Callable[..., bytes]) -> None:
        self._method = grpc.unary_unary_rpc_method_handler(serve)

    def service(self, handler_call_details: Any) -> Any:
        if handler_call_details.method.startswith(f"/{SERVICE}/"):
            return self._method
        return None


class _Channel:
    """A channel with the number of calls in flight on it."""

    def __init__(self, *, address: model.Address) -> None:
        self.channel = grpc.insecure_channel(
            str(address), options=_CHANNEL_OPTIONS
        )
        self.in_flight = 0
        self.retired = False

    def close_if_unused(self) -> None:
        if self.retired and self.in_flight == 0:
            self.channel.close()


class RpcClient:
    """Calls one process; replaces its channel when a call times out."""

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
        self._channel: _Channel | None = None

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
          RpcError: The call failed or timed out; it may have been executed.
        """
        if self._channel is None:
            self._channel = _Channel(address=self._address)
        used = self._channel
        used.in_flight += 1
        try:
            return await self._call_on(used, message, timeout)
        except grpc.RpcError as error:
            status = error.code()  # type: ignore[attr-defined]
            if status is grpc.StatusCode.DEADLINE_EXCEEDED:
                # The connection may have gone silent for good.
                self._retire(used)
            detail = error.details()  # type: ignore[attr-defined]
            raise exceptions.RpcError(
                f"{self._address}: {status.name.lower()}: {detail}"
            ) from error
        finally:
            used.in_flight -= 1
            used.close_if_unused()

    async def _call_on(
        self, used: _Channel, message: Any, timeout: float
    ) -> Any:
        method = used.channel.unary_unary(
            f"/{SERVICE}/{type(message).__name__}"
        )
        stamp = codec.format_time(self._clock.now())
        data = codec.encode(message)
        future = method.future(
            data,
            timeout=timeout,
            metadata=(
                ("authorization", self._secret),
                (codec.TIME_HEADER, stamp),
            ),
            compression=_compression(data),
        )
        done = trio.Event()
        token = trio.lowlevel.current_trio_token()
        future.add_done_callback(lambda _: _wake(token, done))
        try:
            await done.wait()
        except trio.Cancelled:
            future.cancel()
            raise
        reply = future.result()
        remote = _metadata(future.trailing_metadata())
        self._clock.observe(codec.parse_time(remote.get(codec.TIME_HEADER, "")))
        return codec.decode(reply)

    def _retire(self, used: _Channel) -> None:
        used.retired = True
        if self._channel is used:
            self._channel = None

    def close(self) -> None:
        """Closes the channel once its calls have ended."""
        if self._channel:
            used = self._channel
            self._retire(used)
            used.close_if_unused()


class ClientPool:
    """The clients of one task, by the address that they call."""

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


def _compression(data: bytes) -> grpc.Compression:
    if len(data) >= COMPRESS_FROM:
        return grpc.Compression.Gzip
    return grpc.Compression.NoCompression


def _wake(token: trio.lowlevel.TrioToken, done: trio.Event) -> None:
    try:
        token.run_sync_soon(done.set)
    except trio.RunFinishedError:
        pass
