"""Cuts the links of a control from inside of its process, as a network would.

Python imports this module at the start if its folder is in PYTHONPATH. Each
control has a loopback host of its own, which its connections come from. Bytes
to a host that is cut off are held and sent some time after the cut, also if the
connection has been closed meanwhile; new connections lead nowhere.
"""

from __future__ import annotations

import contextlib
import os
import random
import socket
import threading
import time

POLL_INTERVAL = 0.01  # seconds between two reads of the file of cut links
# Seconds from the end of a cut until the held bytes of a connection are sent
# again, at most. A sender waits up to as long as the cut has lasted.
MAX_RESEND_DELAY = 3.0

_send = socket.socket.send
_connect = socket.socket.connect
_close = socket.socket.close


class _Held:
    """Bytes that a connection to a host that is cut off has sent."""

    def __init__(self, connection: socket.socket) -> None:
        # The connection stays open until the bytes are sent.
        self.connection = socket.socket(fileno=os.dup(connection.fileno()))
        self.data = b""
        self.due = float("inf")  # monotonic seconds

    def resend(self) -> bool:
        """Sends what the socket takes; returns whether all is sent."""
        try:
            while self.data:
                self.data = self.data[_send(self.connection, self.data) :]
        except BlockingIOError:
            return False
        except OSError:
            pass
        _close(self.connection)
        return True


class _Links:
    """The links of this process, and the bytes that cuts hold."""

    def __init__(self, path: str, host: str, hosts: frozenset[str]) -> None:
        self._path = path
        self._host = host
        self._hosts = hosts
        # Pairs of the host that sends and the one that should receive.
        self._cut: frozenset[tuple[str, str]] = frozenset()
        self._lock = threading.Lock()
        self._held: dict[int, _Held] = {}
        self._closed: list[_Held] = []
        # A listener that accepts no connection.
        self._sink = socket.socket()
        self._sink.bind(("127.0.0.1", 0))
        self._sink.listen(128)

    def start(self) -> None:
        """Follows the file in a thread."""
        threading.Thread(target=self._follow, daemon=True).start()

    def _follow(self) -> None:
        while True:
            time.sleep(POLL_INTERVAL)
            with contextlib.suppress(OSError), open(self._path) as file:
                pairs = [line.split() for line in file]
                self._cut = frozenset((a, b) for a, b in pairs)
            with self._lock:
                self._resend()

    def _resend(self) -> None:
        self._held = {
            number: held
            for number, held in self._held.items()
            if not self._is_resent(held)
        }
        self._closed = [h for h in self._closed if not self._is_resent(h)]

    def _is_resent(self, held: _Held) -> bool:
        """Sends held bytes once they are due; returns whether all are sent."""
        now = time.monotonic()
        if self._is_cut_to(held.connection):
            held.due = float("inf")
        elif held.due == float("inf"):
            held.due = now + random.uniform(0.0, MAX_RESEND_DELAY)
        return held.due <= now and held.resend()

    def _is_cut_to(self, connection: socket.socket) -> bool:
        try:
            peer = connection.getpeername()
        except OSError:
            return False
        return isinstance(peer, tuple) and (self._host, peer[0]) in self._cut

    def send(self, connection: socket.socket, data, *flags: int) -> int:
        """Sends bytes, or holds them if the link is cut."""
        with self._lock:
            held = self._held.get(connection.fileno())
            if held is None and self._is_cut_to(connection):
                held = self._held[connection.fileno()] = _Held(connection)
            if held is not None:
                held.data += bytes(data)
                return len(data)
        return _send(connection, data, *flags)

    def connect(self, connection: socket.socket, address) -> None:
        """Connects from the own host; leads nowhere if the link is cut."""
        if isinstance(address, tuple) and address[0] in self._hosts:
            with contextlib.suppress(OSError):
                connection.bind((self._host, 0))
            link = (self._host, address[0])
            if link in self._cut or link[::-1] in self._cut:
                address = self._sink.getsockname()
        return _connect(connection, address)

    def close(self, connection: socket.socket) -> None:
        """Closes a connection; the other end learns it after a cut."""
        with self._lock:
            number = connection.fileno()
            held = self._held.pop(number, None) if number >= 0 else None
            if held is None and number >= 0 and self._is_cut_to(connection):
                held = _Held(connection)
            if held is not None:
                self._closed.append(held)
        _close(connection)


_path = os.environ.get("SOAK_CUT_LINKS")
if _path:
    _links = _Links(
        _path,
        os.environ["SOAK_HOST"],
        frozenset(os.environ["SOAK_HOSTS"].split()),
    )
    _links.start()
    socket.socket.send = lambda *args: _links.send(*args)
    socket.socket.connect = lambda *args: _links.connect(*args)
    socket.socket.close = lambda *args: _links.close(*args)
