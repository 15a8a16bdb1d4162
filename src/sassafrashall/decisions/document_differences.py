"""Differences between two configurations, in what they do to any load."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any

from sassafrashall import configuration


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """One value or entry that differs.

    Attributes:
      key: Dotted path of the value.
      before: The old value; empty if the entry is new.
      after: The new value; empty if the entry is gone.
    """

    key: str
    before: str
    after: str

    def __str__(self) -> str:
        if not self.before:
            return f"{self.key}: added"
        if not self.after:
            return f"{self.key}: removed"
        return f"{self.key}: {self.before} -> {self.after}"


def compare(
    before: configuration.Configuration, after: configuration.Configuration
) -> tuple[Difference, ...]:
    """Returns the differences, apart from the order of entries.

    Organisations' keys are counted and never shown, nor are their digests.
    """
    return (
        *_compare_values(
            "",
            _fields(before, "version", "keyed"),
            _fields(after, "version", "keyed"),
        ),
        *_compare_entries("routes", before.routes, after.routes),
        *_compare_entries("services", before.services, after.services),
        *_compare_values(
            "limits.", _fields(before.limits), _fields(after.limits)
        ),
        *_compare_entries(
            "organisations", before.organisations, after.organisations
        ),
    )


def _fields(value: Any, *names: str) -> dict[str, Any]:
    """Returns the named fields of a data class; without names, all of them."""
    return {
        field.name: getattr(value, field.name)
        for field in dataclasses.fields(value)
        if not names or field.name in names
    }


def _compare_entries(
    group: str, before: Sequence[Any], after: Sequence[Any]
) -> list[Difference]:
    """Compares entries that are identified by their name."""
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    differences = []
    for name in sorted(old.keys() | new.keys()):
        key = f"{group}.{name}"
        if name not in old:
            differences.append(Difference(key=key, before="", after="present"))
        elif name not in new:
            differences.append(Difference(key=key, before="present", after=""))
        else:
            differences += _compare_values(
                f"{key}.", _fields(old[name]), _fields(new[name])
            )
    return differences


def _compare_values(
    key_prefix: str, before: dict[str, Any], after: dict[str, Any]
) -> list[Difference]:
    differences = []
    for name, old in before.items():
        new = after[name]
        if name == "digests":
            kept = set(old) & set(new)
            if set(old) != set(new):
                differences.append(
                    Difference(
                        key=f"{key_prefix}keys",
                        before=f"{len(set(old))} keys",
                        after=f"{len(set(new))} keys, {len(kept)} of them kept",
                    )
                )
        elif old != new:
            differences.append(
                Difference(
                    key=f"{key_prefix}{name}",
                    before=_format(old),
                    after=_format(new),
                )
            )
    return differences


def _format(value: Any) -> str:
    match value:
        case enum.Enum():
            return value.name.lower()
        case float():
            return f"{value:.15g}"
        case tuple():
            return ", ".join(_format(item) for item in value) or "none"
        case configuration.Target(service=service, weight=weight):
            return f"{service} ({weight})"
        case None:
            return "not set"
        case _:
            return repr(value)
