"""Structured logs: one JSON object a line, for changes of state only."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_logger

LOGGER_NAME = "sassafrashall"


def configure(process: str, level: str) -> None:
    """Sends the log of this process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
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
