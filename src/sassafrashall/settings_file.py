"""Reads settings from a YAML file."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import cattrs
from cattrs import errors as cattrs_errors

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import settings as settings_module
from sassafrashall import settings_checks
from sassafrashall import settings_text

_T = TypeVar("_T")


def read(path: str, settings_type: type[_T]) -> _T:
    """Reads and validates a settings file.

    Raises:
      FindingsError: The file can't be read or has faults; there is a finding
        for each fault, with its line and key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.FindingsError(
            (exceptions.Finding(source=path, text=str(error)),)
        ) from error
    return parse(text, path, settings_type)


def parse(text: str, source: str, settings_type: type[_T]) -> _T:
    """Parses and validates settings.

    Raises:
      FindingsError: See `read`; `source` names the text in the findings.
    """
    document = settings_text.load(text, source)
    try:
        settings = _converter().structure(document, settings_type)
    except (cattrs_errors.BaseValidationError, ValueError, TypeError) as error:
        raise exceptions.FindingsError(
            settings_text.findings_of(error, document, source)
        ) from error
    faults = settings_checks.check(settings)
    if faults:
        raise exceptions.FindingsError(
            tuple(
                exceptions.Finding(
                    source=source,
                    line=settings_text.line_of(document, key),
                    key=key,
                    text=text,
                )
                for key, text in faults
            )
        )
    if isinstance(settings, settings_module.Daemon) and settings.seeds:
        return dataclasses.replace(settings, controls=_from_seeds(settings))
    return settings


def _from_seeds(
    settings: settings_module.Daemon,
) -> tuple[settings_module.Control, ...]:
    """Returns the seeds as controls of unknown VM and data centre."""
    addresses = (
        model.Address(host=seed.host, port=settings.seed_port or seed.port)
        for seed in settings.seeds
    )
    return tuple(
        settings_module.Control(
            vm=str(address), data_centre="", address=address
        )
        for address in addresses
    )


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(
        model.Address,
        lambda value, _: settings_module.parse_address(str(value)),
    )
    converter.register_structure_hook(
        settings_module.Duration,
        lambda value, _: settings_module.parse_duration(str(value)),
    )
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(int, _structure_int)
    # Without hooks of their own, these subclasses of int and str would get the
    # hooks above.
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(
        settings_module.Role, lambda value, _: settings_module.Role(value)
    )
    return converter


def _structure_str(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    return str(value)


def _structure_bool(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not true or false")
    return value


def _structure_int(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return int(value)
