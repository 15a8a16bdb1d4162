"""Frames on the connections between the system's processes.

A frame consists of the length of its body, the number of its type and its body:
a MessagePack array of its fields in order. Calls are multiplexed over a
connection; the calling node numbers them.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import operator
import struct
import typing
from typing import TypeAlias

import msgspec

from sassafrashall import exceptions
from sassafrashall import model

# Header of an `OpenCall` that may not wait for a slot at the other node. Nodes
# of earlier builds take it for a header of the request.
NO_WAIT_HEADER = "sassafrashall-no-wait"
# The class of the root and `Ticket.due_ms`. A header, since the fields of a
# frame are fixed and an older build takes no further ones.
URGENCY_HEADER = "sassafrashall-urgency"
FRAME_LIMIT = 4 * 1024 * 1024  # bytes; request and response bodies are split
# Bytes of a frame from a caller that has not authenticated itself: a name, a
# proof or a secret.
UNAUTHENTICATED_LIMIT = 4096
_PREFIX = struct.Struct("!IB")  # length of the body, number of the type


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """Authenticates the calling node; the first frame of a connection.

    Attributes:
      vm: Name of the calling node's VM.
      proof: Digest of `vm`, keyed with the fleet's secret.
    """

    vm: str
    proof: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenCall:
    """Starts a call.

    Attributes:
      call: Number of the call on this connection; later frames refer to it.
      call_id: Identifies this attempt of the call.
      root_id: The caller's ID of the request, for logs.
      caller: Service of the VM where the request entered the system.
      priority: Value of a `model.Priority`.
      remaining_ms: Milliseconds until the deadline when the frame was sent.
      depth: 0 for the root of a call tree, greater for a nested call.
      confirm: Whether the receiving node must send `Offer` and wait for
        `Proceed` before it dispatches the call.
      body: The whole body, or its beginning.
      more: Whether `BodyPart` frames with the rest of the body follow.
    """

    call: int
    call_id: str
    root_id: str
    service: str
    organisation: str
    caller: str
    priority: int
    remaining_ms: int
    depth: int
    idempotent: bool
    confirm: bool
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A slot is reserved for the call, which is dispatched after `Proceed`."""

    call: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proceed:
    """Confirms that the calling node still wants the call to be dispatched."""

    call: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BodyPart:
    """A part of a request or response body; an empty one ends the body."""

    call: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Credit:
    """Flow-control credit: the sender of a body may send `count` more bytes.

    Attributes:
      count: Bytes that the receiver has consumed.
    """

    call: int
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerCall:
    """The upstream's response.

    Attributes:
      body: The whole body, or its beginning.
      more: Whether `BodyPart` frames with the rest of the body follow.
      level: Admission level of the service at the sending node, or -1.
      load: Share of its slots in use or waited for, in thousandths, or -1.
    """

    call: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    more: bool
    level: int
    load: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefuseCall:
    """Ends a call without a response from the upstream.

    Attributes:
      code: A code from `exceptions`.
      run: Value of a `model.RunState`.
      retry_after_s: Seconds until a retry may succeed; 0 if not known.
      level: Admission level of the service at the sending node, or -1.
      load: Share of its slots in use or waited for, in thousandths, or -1.
    """

    call: int
    code: str
    detail: str
    run: str
    retry_after_s: float
    level: int
    load: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelCall:
    """Cancels a call, or the rest of a body in either direction."""

    call: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identify:
    """Authenticates the caller; the first frame of an RPC connection."""

    secret: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoteCall:
    """A remote procedure call; the next frame from the server is its reply.

    Attributes:
      stamp: Hybrid logical time of the sender.
      compressed: Whether `data` is compressed with zlib.
      data: The encoded message.
    """

    stamp: str
    compressed: bool
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoteReply:
    """The reply to a remote procedure call; fields as in `RemoteCall`."""

    stamp: str
    compressed: bool
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RemoteFailure:
    """Reports that a remote procedure call failed at the server.

    Attributes:
      status: Kind of failure: unauthenticated, aborted or internal.
    """

    status: str
    detail: str


Frame: TypeAlias = (
    Hello
    | OpenCall
    | Offer
    | Proceed
    | BodyPart
    | Credit
    | AnswerCall
    | RefuseCall
    | CancelCall
    | Identify
    | RemoteCall
    | RemoteReply
    | RemoteFailure
)

# Frames that belong to no call between nodes and have no call number.
CONNECTION_FRAMES = (Hello, Identify, RemoteCall, RemoteReply, RemoteFailure)

_FRAME_TYPES: tuple[type, ...] = (
    Hello,
    OpenCall,
    Offer,
    Proceed,
    BodyPart,
    Credit,
    AnswerCall,
    RefuseCall,
    CancelCall,
    Identify,
    RemoteCall,
    RemoteReply,
    RemoteFailure,
)
_TYPE_NUMBERS = {
    frame_type: number for number, frame_type in enumerate(_FRAME_TYPES)
}
_FIELD_NAMES = {
    frame_type: tuple(field.name for field in dataclasses.fields(frame_type))
    for frame_type in _FRAME_TYPES
}
_body_decoders = tuple(
    msgspec.msgpack.Decoder(
        tuple[  # type: ignore[misc]
            tuple(
                typing.get_type_hints(frame_type)[n]
                for n in _FIELD_NAMES[frame_type]
            )
        ]
    )
    for frame_type in _FRAME_TYPES
)
_field_getters = {
    frame_type: operator.attrgetter(*_FIELD_NAMES[frame_type])
    if len(_FIELD_NAMES[frame_type]) > 1
    else lambda frame, name=_FIELD_NAMES[frame_type][0]: (getattr(frame, name),)
    for frame_type in _FRAME_TYPES
}
_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Encodes a frame with its prefix."""
    frame_type = type(frame)
    body = _encoder.encode(_field_getters[frame_type](frame))
    return _PREFIX.pack(len(body), _TYPE_NUMBERS[frame_type]) + body


class FrameBuffer:
    """Splits the bytes received on a connection into frames.

    `limit` is the maximum length of a frame's body in bytes.
    """

    def __init__(self, *, limit: int = FRAME_LIMIT) -> None:
        self._limit = limit
        self._data = bytearray()

    @property
    def size(self) -> int:
        """Bytes of an incomplete frame that are held."""
        return len(self._data)

    def set_limit(self, limit: int) -> None:
        """Changes the limit, also for the bytes that are held."""
        self._limit = limit

    @property
    def is_empty(self) -> bool:
        """Whether no part of an incomplete frame is held."""
        return not self._data

    def feed(self, data: bytes) -> list[Frame]:
        """Appends received bytes and returns the frames that are now complete.

        Raises:
          ProtocolError: The bytes are not valid frames.
        """
        return list(self.split(data))

    def split(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames as `feed` does, those before invalid bytes too.

        Raises:
          ProtocolError: The next bytes are not a valid frame.
        """
        self._data += data
        start = 0
        try:
            while len(self._data) - start >= _PREFIX.size:
                length, number = _PREFIX.unpack_from(self._data, start)
                if length > self._limit or number >= len(_FRAME_TYPES):
                    raise exceptions.ProtocolError(
                        exceptions.BAD_REQUEST, "not a frame"
                    )
                end = start + _PREFIX.size + length
                if len(self._data) < end:
                    break
                body = bytes(self._data[start + _PREFIX.size : end])
                start = end
                yield _decode_body(number, body)
        finally:
            del self._data[:start]


def _decode_body(number: int, body: bytes) -> Frame:
    try:
        values = _body_decoders[number].decode(body)
    except msgspec.MsgspecError as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, f"{_FRAME_TYPES[number].__name__}: {error}"
        ) from error
    return _FRAME_TYPES[number](
        **dict(zip(_FIELD_NAMES[_FRAME_TYPES[number]], values, strict=True))
    )


def encode_context(
    request: model.Request, ticket: model.Ticket
) -> model.Headers:
    """Returns the headers of a request, followed by those for the node."""
    headers = request.headers
    if ticket.urgency is not None:
        value = f"{int(ticket.urgency)} {ticket.due_ms}"
        headers = (*headers, (URGENCY_HEADER, value))
    if not request.may_wait:
        headers = (*headers, (NO_WAIT_HEADER, "1"))
    return headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """What the headers for the node say.

    Attributes:
      headers: The headers of the request.
      urgency: As in `model.Ticket`.
      due_ms: As in `model.Ticket`.
      may_wait: As in `model.Request`.
    """

    headers: model.Headers
    urgency: model.Priority | None = None
    due_ms: int = 0
    may_wait: bool = True


def decode_context(headers: model.Headers) -> Context:
    """Returns what `encode_context` has encoded.

    An urgency that this version can't read counts as unknown.
    """
    may_wait = True
    if headers and headers[-1][0] == NO_WAIT_HEADER:
        headers, may_wait = headers[:-1], False
    if not headers or headers[-1][0] != URGENCY_HEADER:
        return Context(headers=headers, may_wait=may_wait)
    headers, value = headers[:-1], headers[-1][1]
    try:
        urgency, due_ms = value.split(" ")
        return Context(
            headers=headers,
            urgency=model.Priority(int(urgency)),
            due_ms=max(0, int(due_ms)),
            may_wait=may_wait,
        )
    except ValueError:
        return Context(headers=headers, may_wait=may_wait)


def decode_refusal(frame: RefuseCall) -> model.Refuse:
    """Returns the refusal in a frame.

    An unknown code becomes `INTERNAL`, an unknown run state `UNKNOWN`.
    """
    is_not_run = frame.run == model.RunState.NOT_RUN
    return model.Refuse(
        code=frame.code
        if frame.code in exceptions.STATUS_BY_CODE
        else exceptions.INTERNAL,
        detail=frame.detail,
        run=model.RunState.NOT_RUN if is_not_run else model.RunState.UNKNOWN,
        retry_after_s=frame.retry_after_s,
        level=frame.level,
        load=frame.load,
    )
