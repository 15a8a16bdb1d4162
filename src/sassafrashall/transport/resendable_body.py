"""The rest of a long request body, which several attempts can send."""

from __future__ import annotations

import collections

import trio

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import memory_budget

# Bytes that an attempt takes before the other node acknowledges any of them:
# those that it sends, and one read that waits for the window.
RETAINED_LIMIT = http.STREAM_WINDOW + http.RECEIVE_SIZE


class ResendableBody:
    """Keeps what attempts take from a body, so that the next one can send it.

    Once it is too long to be kept, only the attempt in progress can go on.
    """

    def __init__(
        self, *, source: model.BodyReader, account: memory_budget.Account
    ) -> None:
        """Creates a body of which nothing has been taken.

        Args:
          source: Reads the body, once.
          account: Bounds the memory of what is kept.
        """
        self._source = source
        self._account = account
        self._attempt: _Attempt | None = None
        self._is_whole = True
        # What was taken; once it isn't whole, what the attempt has not sent.
        self._parts: collections.deque[bytes] = collections.deque()
        self._next = 0  # index of the part that the attempt sends next
        self._retained = 0  # bytes
        self._ended = False
        # The upload of an earlier attempt may still be waiting for the source.
        self._source_lock = trio.Lock()

    @property
    def is_whole(self) -> bool:
        """Whether another attempt can send it from its beginning."""
        return self._is_whole

    def start_attempt(self) -> model.BodyReader:
        """Returns a reader of the whole body; the one before reads no more."""
        assert self._is_whole
        self._next = 0
        self._attempt = _Attempt(body=self)
        return self._attempt

    def close(self) -> None:
        """Drops what is kept; the attempt in progress goes on."""
        if not self._is_whole:
            return
        self._is_whole = False
        self._account.release(self._retained)
        for _ in range(self._next):
            self._parts.popleft()
        self._next = 0

    async def read(self, attempt: _Attempt) -> bytes:
        """Returns the next part for an attempt, or none at the end.

        Raises:
          ConnectionFailedError: The body broke off, or another attempt sends
            it.
        """
        while attempt is self._attempt:
            if self._next < len(self._parts):
                return self._take_part()
            if self._ended:
                return b""
            async with self._source_lock:
                # The attempt before may have received a part meanwhile.
                if attempt is self._attempt and self._next == len(self._parts):
                    await self._receive()
        raise exceptions.ConnectionFailedError(
            "another attempt sends the body", maybe_delivered=True
        )

    def _take_part(self) -> bytes:
        if not self._is_whole:
            return self._parts.popleft()
        self._next += 1
        return self._parts[self._next - 1]

    async def _receive(self) -> None:
        data = await self._source.read()
        if not data:
            self._ended = True
            return
        if self._is_whole:
            self._retain(len(data))
        self._parts.append(data)

    def _retain(self, size: int) -> None:
        """Counts a part that is kept; without room, keeps none any more."""
        fits = self._retained + size <= RETAINED_LIMIT
        if fits and self._account.try_retain(size):
            self._retained += size
        else:
            self.close()


class _Attempt:
    """Reads a body for one attempt."""

    def __init__(self, *, body: ResendableBody) -> None:
        self._body = body

    async def read(self) -> bytes:
        """Returns the next part; see `ResendableBody.read`."""
        return await self._body.read(self)

    async def close(self) -> None:
        """Does nothing; the source discards what is unread."""
