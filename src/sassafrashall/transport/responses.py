"""Encodes responses to callers, and sends their bodies."""

from __future__ import annotations

from collections.abc import Callable

import trio

from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import model
from sassafrashall.decisions import connection_lifetime
from sassafrashall.transport import http1
from sassafrashall.transport import sockets

SLOW_READER_TIMEOUT = 30.0  # seconds after which a blocked send is aborted


def encode_start(
    method: str, response: model.Response, *, closes: bool, idle_timeout: float
) -> tuple[bytes, model.BodyReader | None, bool]:
    """Encodes a response up to the end of the body that has arrived.

    Args:
      method: The method of the request.
      response: The response.
      closes: Whether the connection closes after the response.
      idle_timeout: Seconds after which an idle connection is closed.

    Returns:
      The bytes, the rest of the body, and whether that is sent in chunks.
    """
    bodiless = response.status in (204, 304)
    if response.rest is None or bodiless or method == "HEAD":
        data = _encode_complete(method, response, closes, idle_timeout)
        return data, None, False
    length = _content_length(response.headers)
    head = _encode_head(response, length, closes, idle_timeout)
    encode = _body_encoder(length is None)
    body = encode(response.body) if response.body else b""
    return head + body, response.rest, length is None


async def send(
    stream: sockets.Stream,
    data: bytes,
    rest: model.BodyReader | None,
    chunked: bool,
) -> bool:
    """Sends `data` and the rest of a body.

    Returns whether all of it was sent.
    """
    encode = _body_encoder(chunked)
    try:
        while data:
            with trio.fail_after(SLOW_READER_TIMEOUT):
                await stream.send(data)
            data = b""
            if rest is not None and (chunk := await rest.read()):
                data, chunk = encode(chunk), b""
    except (exceptions.ConnectionFailedError, trio.TooSlowError):
        # The connection closes before the end of the body, which shows the
        # caller that the response is incomplete.
        return False
    finally:
        if rest is not None:
            with trio.CancelScope(shield=True):
                await rest.close()
    if chunked:
        await stream.send(http1.LAST_CHUNK)
    return True


async def discard(rest: model.BodyReader) -> None:
    """Closes the body of a response that is not sent."""
    try:
        with trio.CancelScope(shield=True):
            await rest.close()
    except Exception:
        # An exception must not end the connections of other callers.
        logs.get().exception("unhandled exception while closing a body")


def _body_encoder(chunked: bool) -> Callable[[bytes], bytes]:
    return http1.encode_chunk if chunked else bytes


def _encode_complete(
    method: str, response: model.Response, closes: bool, idle_timeout: float
) -> bytes:
    """Encodes a response whose body is complete or must not be sent."""
    length = len(response.body)
    if method == "HEAD":
        length = _content_length(response.headers) or 0
    head = _encode_head(response, length, closes, idle_timeout)
    if method == "HEAD" or response.status in (204, 304):
        return head
    return head + response.body


def _encode_head(
    response: model.Response,
    length: int | None,
    closes: bool,
    idle_timeout: float,
) -> bytes:
    headers = response.headers
    timeout = connection_lifetime.announced_timeout(idle_timeout)
    if timeout and not closes:
        headers = (*headers, ("keep-alive", f"timeout={timeout}"))
    return http1.encode_response_head(response.status, headers, length, closes)


def _content_length(headers: model.Headers) -> int | None:
    value = model.find_header(headers, "content-length")
    return int(value) if value is not None else None
