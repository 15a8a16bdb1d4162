"""Structured logs: JSON lines on standard output, which never block."""

from __future__ import annotations

import logging
import os
import select
import sys

from pythonjsonlogger import json as json_logger

LOGGER_NAME = "sassafrashall"
# Bytes that a writable pipe takes without blocking (PIPE_BUF of Linux).
LINE_LIMIT = 4096


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor, and drops those that would block.

    Whoever reads the log must not be able to stop the process. The next line
    that is written tells how many were dropped before it.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, if it can be written at once."""
        if self._dropped:
            record.__dict__["lines_dropped"] = self._dropped
        try:
            line = self.format(record).encode()[: LINE_LIMIT - 1] + b"\n"
            events = self._poll.poll(0)
            if not events or not events[0][1] & select.POLLOUT:
                self._dropped += 1
                return
            os.write(self._descriptor, line)
            self._dropped = 0
        except OSError:
            # Nobody reads any more; the count is all that can be kept.
            self._dropped += 1


def configure(process: str, level: str) -> None:
    """Sends the log of this process to standard output as JSON lines."""
    handler = DroppingHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process},
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False


def get() -> logging.Logger:
    """Returns the logger of the system."""
    return logging.getLogger(LOGGER_NAME)
