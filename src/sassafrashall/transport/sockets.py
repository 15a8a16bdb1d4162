"""Options of TCP sockets that every long-lived connection needs."""

from __future__ import annotations

import socket

import trio

KEEPALIVE_IDLE = 1  # seconds of silence before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered ones until the connection is broken
UNACKED_TIMEOUT_MS = 2000  # sent bytes without an acknowledgement


def detect_silence(stream: trio.SocketStream) -> None:
    """Lets the system break a connection whose other end has gone silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    )
    for level, option, value in options:
        stream.setsockopt(level, option, value)
