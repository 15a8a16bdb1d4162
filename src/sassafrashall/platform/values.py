"""Decodes values of the platform's JSON documents and collects findings."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from sassafrashall import exceptions
from sassafrashall import settings

_VERSION = re.compile(r"r([0-9]{1,15})")
# Up to this number, whole numbers are exact in every JSON implementation, and
# can be encoded for the other processes.
MAX_NUMBER = 2**53
MAX_FINDINGS = 200  # kept of one document
MAX_FINDING_LENGTH = 160  # characters of each text in a finding


class Reader:
    """Reads typed values from a JSON document and collects findings.

    A value that is missing or has the wrong type becomes a finding; reading
    goes on, so that all faults are found in one pass.

    The methods that read a value take these arguments.

    Args:
      parent: The JSON object that holds the value.
      name: The key of the value in `parent`.
      key_prefix: The path of `parent` in the document, with a dot at its end;
        empty for the document itself.
      default: Returned if the value is missing or has the wrong type; without
        one, the value is required.
    """

    def __init__(self, *, source: str) -> None:
        self._source = source
        self._findings: list[exceptions.Finding] = []

    @property
    def findings(self) -> tuple[exceptions.Finding, ...]:
        """The findings so far."""
        return tuple(self._findings)

    def add_finding(self, key: str, text: str) -> None:
        """Adds a finding about the value at the dotted path `key`.

        Long texts are cut, and those that can't be encoded are escaped, since
        the finding is logged and sent back.
        """
        if len(self._findings) < MAX_FINDINGS:
            self._findings.append(
                exceptions.Finding(
                    source=self._source,
                    key=_printable(key),
                    text=_printable(text),
                )
            )

    def parse_object(self, body: bytes) -> dict[str, Any]:
        """Parses `body` as a JSON object; returns an empty one if it fails."""
        try:
            document = msgspec.json.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self.add_finding("", f"not JSON: {error}")
            return {}
        if not isinstance(document, dict):
            self.add_finding("", "not an object")
            return {}
        return document

    def read_object(
        self,
        parent: dict[str, Any],
        name: str,
        key_prefix: str,
        required: bool = True,
    ) -> dict[str, Any]:
        """Returns a JSON object; it is empty if there is none."""
        value = parent.get(name)
        if value is None and not required:
            return {}
        if not isinstance(value, dict):
            self.add_finding(f"{key_prefix}{name}", "must be an object")
            return {}
        return value

    def read_string(
        self,
        parent: dict[str, Any],
        name: str,
        key_prefix: str,
        default: str = "",
    ) -> str:
        """Returns a string that is not empty."""
        value = parent.get(name, default or None)
        if not isinstance(value, str) or not value:
            self.add_finding(f"{key_prefix}{name}", "must be a text")
            return default
        return value

    def read_integer(
        self,
        parent: dict[str, Any],
        name: str,
        key_prefix: str,
        default: int | None = None,
    ) -> int:
        """Returns an integer."""
        value = parent.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_finding(f"{key_prefix}{name}", "must be a whole number")
            return default or 0
        if abs(value) > MAX_NUMBER:
            self.add_finding(f"{key_prefix}{name}", "is too large")
            return default or 0
        return value

    def read_number(
        self, parent: dict[str, Any], name: str, key_prefix: str, default: float
    ) -> float:
        """Returns a number from 0 to MAX_NUMBER."""
        value = parent.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.add_finding(f"{key_prefix}{name}", "must be a number")
            return default
        if not value >= 0:
            self.add_finding(f"{key_prefix}{name}", "must not be below 0")
            return default
        if value > MAX_NUMBER:
            self.add_finding(f"{key_prefix}{name}", "is too large")
            return default
        return float(value)

    def read_boolean(
        self, parent: dict[str, Any], name: str, key_prefix: str
    ) -> bool:
        """Returns a boolean; false if it is missing."""
        value = parent.get(name, False)
        if not isinstance(value, bool):
            self.add_finding(f"{key_prefix}{name}", "must be true or false")
            return False
        return value

    def read_duration(
        self,
        parent: dict[str, Any],
        name: str,
        key_prefix: str,
        default: float | None = None,
    ) -> float:
        """Returns a duration in seconds; in the document it has a unit."""
        value = parent.get(name)
        if value is None and default is not None:
            return default
        try:
            return settings.parse_duration(str(value)).seconds
        except ValueError as error:
            self.add_finding(f"{key_prefix}{name}", str(error))
            return default or 0.0


def _printable(text: str) -> str:
    """Returns the beginning of a text, with what isn't printable escaped."""
    text = text[:MAX_FINDING_LENGTH]
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode()
        for c in text
    )


def parse_version(text: object) -> int | None:
    """Returns the number of a configuration version, or None if invalid.

    A version is written as `r12`; `0` stands for no configuration yet.
    """
    if not isinstance(text, str):
        return None
    text = text.strip().strip('"')
    if text == "0":
        return 0
    match = _VERSION.fullmatch(text)
    return int(match[1]) if match else None
