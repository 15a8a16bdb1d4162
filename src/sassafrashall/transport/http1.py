"""HTTP/1.1 without I/O: parsers built on httptools, and encoders.

A parser queues events, which its connection takes one by one. Invalid input
raises `ProtocolError`.
"""

from __future__ import annotations

import collections
import dataclasses
import http as http_status
from typing import Any
from typing import TypeAlias

import httptools

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.decisions import memory_limits
from sassafrashall.transport import http

_REASONS = {status.value: status.phrase for status in http_status.HTTPStatus}
_BODILESS_STATUSES = (204, 304)
NAME_CACHE_SIZE = 256  # entries of the cache of decoded header names
MAX_CACHED_NAME = 64  # bytes of a header name in the cache
MAX_LENGTH_DIGITS = 15  # digits of a plausible Content-Length
# Bytes of chunk framing accepted for each byte of a body; a chunk of one byte
# has at least five.
FRAMING_RATIO = 16
MAX_INTERIM_RESPONSES = 1000  # before a final response
# Bytes that are parsed at once, so that a read full of short pipelined requests
# becomes objects only as the requests are taken.
SLICE_SIZE = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
      headers: Lower-case names with their values, in order.
      length: Bytes of the body; None if it is chunked.
      keep_alive: Whether the caller allows another request on the connection.
      cost: Estimated bytes of memory.
    """

    method: str
    target: str
    headers: model.Headers
    length: int | None
    keep_alive: bool
    cost: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The head of a final response, which is one that is not 1xx.

    Attributes:
      headers: Lower-case names with their values, in order.
      length: Bytes of the body; None if chunked or without Content-Length.
      keep_alive: Whether the connection may carry another response.
      ends_with_connection: Whether the body lasts until the sender closes the
        connection.
      cost: Estimated bytes of memory.
    """

    status: int
    headers: model.Headers
    length: int | None
    keep_alive: bool
    ends_with_connection: bool
    cost: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyPart:
    """Bytes of a body."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MessageEnd:
    """The end of a message."""


Event: TypeAlias = RequestHead | ResponseHead | BodyPart | MessageEnd


_name_cache: dict[bytes, str] = {}


def _decode_name(name: bytes) -> str:
    """Returns a header name in lower case, and caches it for `on_header`.

    A full cache is emptied: otherwise clients with names of their own would
    keep the usual names out until the process ends.
    """
    decoded = name.lower().decode("latin-1")
    if len(name) <= MAX_CACHED_NAME:
        if len(_name_cache) >= NAME_CACHE_SIZE:
            _name_cache.clear()
        _name_cache[name] = decoded
    return decoded


class _Parser:
    """Base class of the request parser and the response parser."""

    def __init__(self, *, head_limit: int) -> None:
        self._head_limit = head_limit
        self._events: collections.deque[Event] = collections.deque()
        # Parts of a body that become one event, since each event costs a system
        # call on its way.
        self._body: list[bytes] = []
        self._headers: list[tuple[str, str]] = []
        # Earlier lines of an incomplete head, see `_pack_headers`.
        self._packed = ""
        self._length = ""
        self._encoding = ""
        self._head_size = 0
        # Bytes of chunk extensions and trailers beyond the framing ratio.
        self._framing_size = 0
        self._in_head = True
        self._message_started = False
        # httptools hides the exception of a callback, so `_feed` raises it.
        self._head_error: exceptions.ProtocolError | None = None
        self._parser: Any = None

    @property
    def head_incomplete(self) -> bool:
        """Whether a head has started to arrive and is incomplete."""
        return self._in_head and self._message_started

    def next_event(self) -> Event | None:
        """Returns and removes the next event; None if there is none yet."""
        self._flush_body()
        return self._events.popleft() if self._events else None

    def close(self) -> None:
        """Releases what has arrived and was not taken; no byte may follow.

        The parser of httptools refers to this one: without this, both and the
        bytes that they hold are freed only by the garbage collector.
        """
        self._parser = None
        self._events.clear()
        self._body.clear()
        self._headers = []
        self._packed = ""
        # Its trace refers to this parser.
        self._head_error = None

    def _pack_headers(self) -> None:
        """Joins the lines of an incomplete head, if there are many.

        As objects, a line of 4 bytes takes 70 and more. A slow client would
        hold them for as long as the head may take to arrive.
        """
        if len(self._headers) < memory_limits.PACKED_LINES:
            return
        self._packed += "".join(f"{n}\0{v}\n" for n, v in self._headers)
        self._headers = []

    def _take_headers(self) -> list[tuple[str, str]]:
        """Returns and removes the header lines of a complete head."""
        headers, self._headers = self._headers, []
        if self._packed:
            lines, self._packed = self._packed.split("\n")[:-1], ""
            unpacked = (line.partition("\0") for line in lines)
            headers = [(n, v) for n, _, v in unpacked] + headers
        return headers

    def _cost_of(self, headers: list[tuple[str, str]]) -> int:
        return memory_limits.head_cost(len(headers), self._head_size)

    def _flush_body(self) -> None:
        if self._body:
            self._events.append(BodyPart(data=b"".join(self._body)))
            self._body.clear()

    def _feed(self, parser: Any, data: bytes) -> None:
        if parser is None:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "bytes on a connection that is closed"
            )
        if self._in_head:
            self._head_size += len(data)
        else:
            self._framing_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._on_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            if self._head_error is not None:
                raise self._head_error from error
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, str(error) or type(error).__name__
            ) from error
        if self._in_head and self._head_size > self._head_limit:
            raise self._head_too_large()
        if not self._in_head and self._framing_size > self._head_limit:
            raise exceptions.ProtocolError(
                exceptions.HEAD_TOO_LARGE,
                f"trailers or chunk extensions exceed {self._head_limit} bytes",
            )

    def _on_upgrade(self, rest: bytes) -> None:
        """Handles a message that asks for, or starts, another protocol.

        Args:
          rest: The bytes that follow the message.

        Raises:
          ProtocolError: The message can't be ignored.
        """
        raise NotImplementedError

    def _check_transfer_coding(
        self, code: str
    ) -> exceptions.ProtocolError | None:
        """Returns the error, with `code`, of a body that is not plain."""
        if not self._encoding or self._encoding.lower() == "chunked":
            return None
        return exceptions.ProtocolError(
            code, f"Transfer-Encoding {self._encoding!r} is not supported"
        )

    def _head_too_large(self) -> exceptions.ProtocolError:
        return exceptions.ProtocolError(
            exceptions.HEAD_TOO_LARGE,
            f"head exceeds {self._head_limit} bytes",
        )

    # --- callbacks of httptools ----------------------------------------------

    def on_message_begin(self) -> None:
        """Handles the start of a message."""
        self._headers = []
        self._packed = ""
        self._length = self._encoding = ""
        self._framing_size = 0
        self._in_head = True
        self._message_started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a complete header; ignores trailers."""
        if not self._in_head:
            return
        decoded_name = _name_cache.get(name) or _decode_name(name)
        # httptools keeps the whitespace after a value.
        decoded_value = value.decode("latin-1").rstrip(" \t")
        if decoded_name == "content-length":
            self._length = decoded_value
        elif decoded_name == "transfer-encoding":
            separator = ", " if self._encoding else ""
            self._encoding += separator + decoded_value
        self._headers.append((decoded_name, decoded_value))

    def on_body(self, data: bytes) -> None:
        """Handles bytes of the body."""
        self._framing_size = max(
            0, self._framing_size - FRAMING_RATIO * len(data)
        )
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Handles the end of a message."""
        self._flush_body()
        self._events.append(MessageEnd())
        self._expect_head()

    def _expect_head(self) -> None:
        self._in_head = True
        self._message_started = False
        self._head_size = 0


class RequestParser(_Parser):
    """Parses the requests of one connection."""

    def __init__(self, *, head_limit: int) -> None:
        super().__init__(head_limit=head_limit)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        # Received bytes, of which those before `_parsed` have been parsed.
        self._input = b""
        self._parsed = 0
        # Bytes of the current body that have not been parsed; 0 if unknown.
        self._body_left = 0
        self._whole_messages = 0  # whose end is among the events
        # Estimated bytes of the heads among the events.
        self._heads_cost = 0

    @property
    def head_incomplete(self) -> bool:
        """Whether a head has started to arrive that is not parsed whole."""
        return super().head_incomplete or bool(self._input)

    @property
    def held(self) -> int:
        """Estimated bytes of memory, without the events that were taken."""
        if not (self._input or self._events or self._headers or self._target):
            return 0
        return (
            len(self._input)
            + len(self._packed)
            + len(self._target)
            + memory_limits.LINE_COST * len(self._headers)
            + memory_limits.MESSAGE_COST * len(self._events)
            + self._heads_cost
        )

    def feed(self, data: bytes) -> None:
        """Parses received bytes up to the end of a request.

        Raises:
          ProtocolError: The bytes are not a valid request.
        """
        if self._input:
            data = self._input[self._parsed :] + data
        self._input, self._parsed = data, 0
        self._parse_input()

    def next_event(self) -> Event | None:
        """Returns and removes the next event; None if there is none yet.

        Raises:
          ProtocolError: The next bytes are not a valid request.
        """
        if self._input:
            self._parse_input()
        event = super().next_event()
        if type(event) is MessageEnd:
            self._whole_messages -= 1
        elif type(event) is RequestHead:
            self._heads_cost -= event.cost
        return event

    def close(self) -> None:
        """Releases what has arrived and was not taken; no byte may follow."""
        super().close()
        self._input = self._target = b""
        self._heads_cost = 0

    def _parse_input(self) -> None:
        """Parses in slices until a request is whole, or no input is left."""
        while self._input and not self._whole_messages:
            start = self._parsed
            size = SLICE_SIZE
            if not self._in_head and self._body_left:
                size = self._body_left
            data = self._input
            if start or len(data) > size:
                data = data[start : start + size]
            self._parsed = start + len(data)
            if self._parsed == len(self._input):
                self._input, self._parsed = b"", 0
            try:
                self._feed(self._parser, data)
            except exceptions.ProtocolError:
                # The events before the invalid bytes can still be taken.
                self._input, self._parsed = b"", 0
                raise
        if self._in_head:
            self._pack_headers()

    def _on_upgrade(self, rest: bytes) -> None:
        """Ignores that a request asks for another protocol."""
        if rest:
            self._feed(self._parser, rest)

    def on_url(self, url: bytes) -> None:
        """Handles a part of the request target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        target, self._target = self._target, b""
        headers = self._take_headers()
        self._head_error = self._check_head(len(target), headers)
        if self._head_error is not None:
            raise self._head_error
        self._in_head = False
        self._body_left = 0 if self._encoding else int(self._length or 0)
        cost = self._cost_of(headers)
        self._heads_cost += cost
        self._events.append(
            RequestHead(
                method=self._parser.get_method().decode("ascii"),
                target=target.decode("latin-1"),
                headers=tuple(headers),
                length=None if self._encoding else int(self._length or 0),
                keep_alive=self._parser.should_keep_alive(),
                cost=cost,
            )
        )

    def on_body(self, data: bytes) -> None:
        """Handles bytes of the body."""
        super().on_body(data)
        self._body_left = max(0, self._body_left - len(data))

    def on_message_complete(self) -> None:
        """Handles the end of a message."""
        super().on_message_complete()
        self._whole_messages += 1

    def _check_head(
        self, target_size: int, headers: list[tuple[str, str]]
    ) -> exceptions.ProtocolError | None:
        # The bytes fed so far may extend beyond the head, so its parts count.
        if self._head_size > self._head_limit and self._head_limit < (
            target_size + sum(len(n) + len(v) for n, v in headers)
        ):
            return self._head_too_large()
        if self._length and (
            not self._length.isdigit() or len(self._length) > MAX_LENGTH_DIGITS
        ):
            return exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "Content-Length is no number"
            )
        # httptools would take the body of such a request for another request.
        if self._parser.should_upgrade() and (
            self._encoding
            or int(self._length or 0)
            or self._parser.get_method() == b"CONNECT"
        ):
            return exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "the protocol can't be upgraded"
            )
        return self._check_transfer_coding(exceptions.BAD_REQUEST)


class ResponseParser(_Parser):
    """Parses the responses on one connection.

    Attributes:
      without_body: Whether the next response has no body whatever its
        Content-Length says, as for HEAD.
    """

    def __init__(self, *, head_limit: int) -> None:
        super().__init__(head_limit=head_limit)
        self._parser = httptools.HttpResponseParser(self)
        self.without_body = False
        self._ends_with_connection = False
        self._is_interim = False
        self._interim_count = 0
        # Raised once the complete responses before the error are taken.
        self._error: exceptions.ProtocolError | None = None

    @property
    def at_boundary(self) -> bool:
        """Whether no byte of a further message has arrived."""
        return not (
            self._events or self._body or self._message_started or self._error
        )

    def next_event(self) -> Event | None:
        """Returns and removes the next event; None if there is none yet.

        Raises:
          ProtocolError: Invalid bytes followed the last response.
        """
        event = super().next_event()
        if event is None and self._error is not None:
            raise self._error
        return event

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
          ProtocolError: The bytes are not a valid response. If a complete
            response precedes the invalid ones, `next_event` raises it.
        """
        try:
            self._feed(self._parser, data)
            if self._in_head:
                self._pack_headers()
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise exceptions.ProtocolError(
                    exceptions.UPSTREAM_FAILED, "too many interim responses"
                )
        except exceptions.ProtocolError as error:
            if MessageEnd() not in self._events:
                raise
            while self._events[-1] != MessageEnd():
                self._events.pop()
            self._body.clear()
            self._error = error

    def _on_upgrade(self, rest: bytes) -> None:
        raise exceptions.ProtocolError(
            exceptions.UPSTREAM_FAILED, "the protocol was switched"
        )

    def feed_eof(self) -> None:
        """Handles an orderly close, which ends a body without a length."""
        if self._ends_with_connection and not self._in_head:
            self._ends_with_connection = False
            self._events.append(MessageEnd())

    def on_headers_complete(self) -> None:
        """Handles the end of a head; skips interim (1xx) responses."""
        status = self._parser.get_status_code()
        if status not in http.STATUSES:
            self._head_error = exceptions.ProtocolError(
                exceptions.UPSTREAM_FAILED, f"{status} is no status"
            )
            raise self._head_error
        headers = self._take_headers()
        self._in_head = False
        self._is_interim = status not in http.FINAL_STATUSES
        if self._is_interim:
            self._interim_count += 1
            return
        self._interim_count = 0
        self._head_error = self._check_transfer_coding(
            exceptions.UPSTREAM_FAILED
        )
        if self._head_error is not None:
            raise self._head_error
        chunked = bool(self._encoding)
        length = None
        if not chunked and self._length.isdigit():
            length = int(self._length)
        bodiless = status in _BODILESS_STATUSES or self.without_body
        self._ends_with_connection = not (
            chunked or bodiless or length is not None
        )
        self._events.append(
            ResponseHead(
                status=status,
                headers=tuple(headers),
                length=length,
                keep_alive=self._parser.should_keep_alive()
                and not self._ends_with_connection,
                ends_with_connection=self._ends_with_connection,
                cost=self._cost_of(headers),
            )
        )
        if self.without_body:
            self._events.append(MessageEnd())

    def on_message_complete(self) -> None:
        """Handles the end of a message."""
        self._flush_body()
        self._expect_head()
        if self._is_interim:
            self._is_interim = False
            return
        if not self.without_body:
            self._events.append(MessageEnd())


def encode_request_head(
    method: str,
    target: str,
    headers: model.Headers,
    length: int | None,
) -> bytes:
    """Encodes the head of a request; a `length` of None means chunked."""
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n")
    if length is None:
        lines.append("transfer-encoding: chunked\r\n")
    elif length or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {length}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


def encode_response_head(
    status: int, headers: model.Headers, length: int | None, closes: bool
) -> bytes:
    """Encodes the head of a response; a `length` of None means chunked."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n"]
    for name, value in headers:
        if name != "content-length":
            lines.append(f"{name}: {value}\r\n")
    if status not in _BODILESS_STATUSES:
        if length is None:
            lines.append("transfer-encoding: chunked\r\n")
        else:
            lines.append(f"content-length: {length}\r\n")
    if closes:
        lines.append("connection: close\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
