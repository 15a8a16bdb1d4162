"""HTTP/1.1 messages without I/O: parsed by httptools, encoded here.

Both parsers collect events, which the connection takes in order. What is not
valid in the protocol raises `ProtocolError`.
"""

from __future__ import annotations

import collections
import dataclasses
import http as http_status
from typing import TypeAlias

import httptools

from sassafrashall import exceptions
from sassafrashall import model

_REASONS = {status.value: status.phrase for status in http_status.HTTPStatus}
_WITHOUT_BODY = (204, 304)
NAMES_KEPT = 256  # header names that are decoded only once
LENGTH_DIGITS = 15  # of a Content-Length that can be meant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
      headers: Lower-case names with their values, in order.
      length: Bytes of the body; None if it comes in chunks.
      keep_alive: Whether the caller would send another request.
    """

    method: str
    target: str
    headers: model.Headers
    length: int | None
    keep_alive: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The head of a final response.

    Attributes:
      length: Bytes of the body; None if its end shows in another way.
      ends_with_connection: Whether the body goes on until the sender closes.
    """

    status: int
    headers: model.Headers
    length: int | None
    keep_alive: bool
    ends_with_connection: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyPart:
    """Bytes of a body."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageEnd:
    """The message is whole."""


Event: TypeAlias = RequestHead | ResponseHead | BodyPart | MessageEnd


_names: dict[bytes, str] = {}


def _name_of(name: bytes) -> str:
    """Returns a header name in lower case; callers send the same few."""
    decoded = name.lower().decode("latin-1")
    if len(_names) < NAMES_KEPT:
        _names[name] = decoded
    return decoded


class _Parser:
    """What requests and responses have in common."""

    def __init__(self, *, head_limit: int) -> None:
        self._head_limit = head_limit
        self._events: collections.deque[Event] = collections.deque()
        self._headers: list[tuple[str, str]] = []
        self._length = ""
        self._encoding = ""
        self._head_size = 0
        self._in_head = True
        self._begun = False

    @property
    def partial(self) -> bool:
        """Whether a head has begun and is not whole."""
        return self._in_head and self._begun

    def next_event(self) -> Event | None:
        """Takes the next event; None if more bytes are needed."""
        return self._events.popleft() if self._events else None

    def _feed(self, parser: object, data: bytes) -> None:
        if self._in_head:
            self._head_size += len(data)
        try:
            parser.feed_data(data)  # type: ignore[attr-defined]
        except httptools.HttpParserError as error:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, str(error) or type(error).__name__
            ) from error
        if self._in_head and self._head_size > self._head_limit:
            raise self._head_too_large()

    def _head_too_large(self) -> exceptions.ProtocolError:
        return exceptions.ProtocolError(
            exceptions.HEAD_TOO_LARGE,
            f"head exceeds {self._head_limit} bytes",
        )

    # --- callbacks of the library --------------------------------------------

    def on_message_begin(self) -> None:
        """A message begins."""
        self._headers = []
        self._length = self._encoding = ""
        self._in_head = True
        self._begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header is whole."""
        named = _names.get(name) or _name_of(name)
        told = value.decode("latin-1")
        if named == "content-length":
            self._length = told
        elif named == "transfer-encoding":
            self._encoding = told
        self._headers.append((named, told))

    def on_body(self, data: bytes) -> None:
        """Bytes of the body."""
        self._events.append(BodyPart(data=data))

    def on_message_complete(self) -> None:
        """The message is whole."""
        self._events.append(MessageEnd())
        self._expect_head()

    def _expect_head(self) -> None:
        self._in_head = True
        self._begun = False
        self._head_size = 0


class RequestParser(_Parser):
    """Parses the requests of one connection."""

    def __init__(self, *, head_limit: int) -> None:
        super().__init__(head_limit=head_limit)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._failure: exceptions.ProtocolError | None = None

    def feed(self, data: bytes) -> None:
        """Takes bytes; raises `ProtocolError` if they are no request."""
        self._feed(self._parser, data)
        if self._failure is not None:
            raise self._failure

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """The head is whole."""
        target, self._target = self._target, b""
        self._failure = self._fault_of_head(len(target))
        if self._failure is not None:
            # The library would hide an error raised inside of a callback.
            return
        self._in_head = False
        self._events.append(
            RequestHead(
                method=self._parser.get_method().decode("ascii"),
                target=target.decode("latin-1"),
                headers=tuple(self._headers),
                length=None if self._encoding else int(self._length or 0),
                keep_alive=self._parser.should_keep_alive(),
            )
        )

    def _fault_of_head(self, target: int) -> exceptions.ProtocolError | None:
        # What was fed so far holds the head, and perhaps more.
        if self._head_size > self._head_limit and self._head_limit < (
            target + sum(len(n) + len(v) for n, v in self._headers)
        ):
            return self._head_too_large()
        if self._length and (
            not self._length.isdigit() or len(self._length) > LENGTH_DIGITS
        ):
            return exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "Content-Length is no number"
            )
        return None


class ResponseParser(_Parser):
    """Parses the responses on one connection.

    `without_body` is set for an exchange whose response has a length but no
    body, as for HEAD.
    """

    def __init__(self, *, head_limit: int) -> None:
        super().__init__(head_limit=head_limit)
        self._parser = httptools.HttpResponseParser(self)
        self.without_body = False
        self._until_close = False
        self._skipped = False

    @property
    def at_boundary(self) -> bool:
        """Whether nothing of another message has arrived."""
        return not self._events and not self._begun

    def feed(self, data: bytes) -> None:
        """Takes bytes; raises `ProtocolError` if they are no response."""
        self._feed(self._parser, data)

    def end(self) -> None:
        """The sender closed the connection in good order."""
        if self._until_close and not self._in_head:
            self._until_close = False
            self._events.append(MessageEnd())

    def on_headers_complete(self) -> None:
        """The head is whole; interim responses are passed over."""
        status = self._parser.get_status_code()
        self._in_head = False
        self._skipped = status < 200
        if self._skipped:
            return
        chunked = "chunked" in self._encoding.lower()
        length = None
        if not chunked and self._length.isdigit():
            length = int(self._length)
        bodiless = status in _WITHOUT_BODY or self.without_body
        self._until_close = not (chunked or bodiless or length is not None)
        self._events.append(
            ResponseHead(
                status=status,
                headers=tuple(self._headers),
                length=length,
                keep_alive=self._parser.should_keep_alive()
                and not self._until_close,
                ends_with_connection=self._until_close,
            )
        )
        if self.without_body:
            self._events.append(MessageEnd())

    def on_message_complete(self) -> None:
        """The message is whole."""
        self._expect_head()
        if self._skipped:
            self._skipped = False
            return
        if not self.without_body:
            self._events.append(MessageEnd())


def encode_request(
    method: str,
    target: str,
    headers: model.Headers,
    length: int | None,
) -> bytes:
    """Returns the head of a request; `length` None means chunks."""
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n")
    if length is None:
        lines.append("transfer-encoding: chunked\r\n")
    elif length or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {length}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


def encode_response(
    status: int, headers: model.Headers, length: int | None, closes: bool
) -> bytes:
    """Returns the head of a response; `length` None means chunks."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n"]
    for name, value in headers:
        if name != "content-length":
            lines.append(f"{name}: {value}\r\n")
    if status not in _WITHOUT_BODY:
        if length is None:
            lines.append("transfer-encoding: chunked\r\n")
        else:
            lines.append(f"content-length: {length}\r\n")
    if closes:
        lines.append("connection: close\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
