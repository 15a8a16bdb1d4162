"""Structured logs: JSON lines, written to standard output without blocking."""

from __future__ import annotations

import logging
import os
import select
import sys

from pythonjsonlogger import json as json_logger

LOGGER_NAME = "sassafrashall"
# Bytes. A writable pipe takes this many without blocking (PIPE_BUF of Linux).
MAX_LINE_LENGTH = 4096


class DroppingHandler(logging.Handler):
    """Writes lines to a file descriptor, and drops those that would block.

    A reader of the log that has stopped must not stop the process. The next
    line that is written says in `lines_dropped` how many were dropped before.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line if that doesn't block, else drops it."""
        if self._dropped:
            record.__dict__["lines_dropped"] = self._dropped
        try:
            line = self.format(record).encode()[: MAX_LINE_LENGTH - 1] + b"\n"
            events = self._poll.poll(0)
            if not events or not events[0][1] & select.POLLOUT:
                self._dropped += 1
                return
            os.write(self._descriptor, line)
            self._dropped = 0
        except OSError:
            # The reader has closed the log, so the line is lost.
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
    """Returns the logger that all modules share."""
    return logging.getLogger(LOGGER_NAME)
