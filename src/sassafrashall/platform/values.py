"""Decodes the platform's values and collects what is wrong with them."""

from __future__ import annotations

import json
import re
from typing import Any

from sassafrashall import exceptions
from sassafrashall import settings

_VERSION = re.compile(r"r([0-9]{1,15})")


class Reader:
    """Reads typed values out of a JSON document; faults become findings."""

    def __init__(self, *, source: str) -> None:
        self._source = source
        self._findings: list[exceptions.Finding] = []

    @property
    def findings(self) -> tuple[exceptions.Finding, ...]:
        """The faults so far."""
        return tuple(self._findings)

    def fault(self, key: str, text: str) -> None:
        """Notes a fault."""
        self._findings.append(
            exceptions.Finding(source=self._source, key=key, text=text)
        )

    def document(self, body: bytes) -> dict[str, Any]:
        """Returns the JSON object in `body`, or an empty one."""
        try:
            found = json.loads(body)
        except (ValueError, RecursionError) as error:
            self.fault("", f"not JSON: {error}")
            return {}
        if not isinstance(found, dict):
            self.fault("", "not an object")
            return {}
        return found

    def table(
        self, parent: dict[str, Any], name: str, place: str, needed: bool = True
    ) -> dict[str, Any]:
        """Returns an object, or an empty one."""
        value = parent.get(name)
        if value is None and not needed:
            return {}
        if not isinstance(value, dict):
            self.fault(f"{place}{name}", "must be an object")
            return {}
        return value

    def text(
        self, parent: dict[str, Any], name: str, place: str, default: str = ""
    ) -> str:
        """Returns a text; one without a default must be there."""
        value = parent.get(name, default or None)
        if not isinstance(value, str) or not value:
            self.fault(f"{place}{name}", "must be a text")
            return default
        return value

    def whole(
        self,
        parent: dict[str, Any],
        name: str,
        place: str,
        default: int | None = None,
    ) -> int:
        """Returns a whole number; one without a default must be there."""
        value = parent.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self.fault(f"{place}{name}", "must be a whole number")
            return default or 0
        return value

    def number(
        self, parent: dict[str, Any], name: str, place: str, default: float
    ) -> float:
        """Returns a number that is not negative."""
        value = parent.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.fault(f"{place}{name}", "must be a number")
            return default
        if not 0 <= value < float("inf"):
            self.fault(f"{place}{name}", "must not be below 0")
            return default
        return float(value)

    def flag(self, parent: dict[str, Any], name: str, place: str) -> bool:
        """Returns a boolean; a missing one is false."""
        value = parent.get(name, False)
        if not isinstance(value, bool):
            self.fault(f"{place}{name}", "must be true or false")
            return False
        return value

    def seconds(
        self,
        parent: dict[str, Any],
        name: str,
        place: str,
        default: float | None = None,
    ) -> float:
        """Returns a time written with its unit, in seconds."""
        value = parent.get(name)
        if value is None and default is not None:
            return default
        try:
            return settings.parse_duration(str(value)).seconds
        except ValueError as error:
            self.fault(f"{place}{name}", str(error))
            return default or 0.0


def parse_version(text: object) -> int | None:
    """Returns the number of a configuration version, or None.

    A version is written `r12`; the one before the first is `0`.
    """
    if not isinstance(text, str):
        return None
    text = text.strip().strip('"')
    if text == "0":
        return 0
    match = _VERSION.fullmatch(text)
    return int(match[1]) if match else None
