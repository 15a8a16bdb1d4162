"""HTTP/1.1 code that clients and servers share."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import select

import trio

from sassafrashall import model

RECEIVE_SIZE = 64 * 1024  # bytes of one read from a socket, at most
# Bytes. A longer body is streamed.
BUFFERED_BODY_LIMIT = 64 * 1024
# Bytes of a streamed body that one node may send ahead of its reader.
STREAM_WINDOW = 64 * 1024
PROGRESS_INTERVAL = 0.25  # seconds between 102 responses to a slow request
# The defined status codes, interim (1xx) or final (RFC 9110, section 15).
STATUSES = range(100, 600)
FINAL_STATUSES = range(200, 600)

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawRequest:
    """A request as it is on the wire.

    Attributes:
      headers: Lower-case names with their values, in order.
      received_at: Monotonic seconds.
      rest: Reads what follows `body`; None if `body` is complete.
    """

    method: str
    target: str
    headers: model.Headers
    body: bytes
    source: model.Source
    received_at: float
    rest: model.BodyReader | None = None


def end_to_end_headers(headers: model.Headers) -> model.Headers:
    """Returns the headers without Content-Length and the hop-by-hop ones."""
    dropped: frozenset[str] = _HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == "connection":
            dropped |= {token.strip().lower() for token in value.split(",")}
    return tuple(header for header in headers if header[0] not in dropped)


async def read_buffered_part(read: Callable[[], Awaitable[bytes]]) -> bytes:
    """Reads parts up to an empty one, or until they are too long together."""
    parts: list[bytes] = []
    size = 0
    while size <= BUFFERED_BODY_LIMIT:
        data = await read()
        if not data:
            break
        parts.append(data)
        size += len(data)
    return b"".join(parts)


def is_readable(stream: trio.SocketStream) -> bool:
    """Returns whether bytes, or the end of the stream, wait to be read."""
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> model.Headers:
    """Decodes the names and values of headers."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
