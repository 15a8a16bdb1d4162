"""The file in which a quota owner keeps how much of its shares may be lent.

After a restart it bounds the leases that the owner does not know any more. A
missing or damaged file, as of an older build, means that all may be lent.
"""

from __future__ import annotations

import os
import pathlib

FILE_NAME = "lease-limit"
ALL = 1.0  # fraction


class LeaseLimitFile:
    """Reads and replaces the file; both block."""

    def __init__(self, *, folder: str) -> None:
        self._path = pathlib.Path(folder) / FILE_NAME

    def read(self) -> float:
        """Returns the fraction of a share that may have been lent."""
        try:
            fraction = float(self._path.read_text(encoding="ascii"))
        except (OSError, ValueError):
            return ALL
        return fraction if 0.0 < fraction < ALL else ALL

    def write(self, fraction: float) -> None:
        """Replaces the fraction, on disk once this returns.

        Raises:
          OSError: It may or may not have been replaced.
        """
        temporary = self._path.with_suffix(".new")
        with open(temporary, "w", encoding="ascii") as file:
            file.write(repr(fraction))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
