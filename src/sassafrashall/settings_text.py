"""Parses settings as YAML and locates faults in them by line and key."""

from __future__ import annotations

import re
from typing import Any

import cattrs
from cattrs import errors as cattrs_errors
from ruamel import yaml
from ruamel.yaml import comments as yaml_comments
from ruamel.yaml import error as yaml_error

from sassafrashall import exceptions


def load(text: str, source: str) -> Any:
    """Returns the mapping in a YAML text.

    Raises:
      FindingsError: The text is not valid YAML or holds no mapping.
    """
    try:
        document = yaml.YAML(typ="rt").load(text)
    except yaml_error.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        finding = exceptions.Finding(
            source=source, line=line, text=str(error.problem)
        )
        raise exceptions.FindingsError((finding,)) from error
    except yaml_error.YAMLError as error:
        raise exceptions.FindingsError(
            (exceptions.Finding(source=source, text=str(error)),)
        ) from error
    if not isinstance(document, dict):
        raise exceptions.FindingsError(
            (exceptions.Finding(source=source, text="not a mapping"),)
        )
    return document


def findings_of(
    error: BaseException, document: Any, source: str
) -> tuple[exceptions.Finding, ...]:
    """Returns the faults in a converter's error, each with line and key."""
    findings = []
    for text in cattrs.transform_error(error, format_exception=_describe):
        message, _, path = text.rpartition(" @ $")
        key = _dotted_key(path)
        if match := re.search(r"extra fields found \((.*)\)", message):
            for extra in match[1].split(", "):
                extra_key = f"{key}.{extra}".strip(".")
                findings.append((extra_key, "unknown key"))
        else:
            findings.append((key, message or text))
    return tuple(
        exceptions.Finding(
            source=source, line=line_of(document, key), key=key, text=message
        )
        for key, message in findings
    )


def _describe(error: BaseException, _: type | None) -> str:
    match error:
        case KeyError():
            return f"required key {error.args[0]!r} is missing"
        case cattrs_errors.ForbiddenExtraKeysError():
            extra = ", ".join(sorted(error.extra_fields))
            return f"extra fields found ({extra})"
        case _:
            return str(error)


def _dotted_key(path: str) -> str:
    """Returns a cattrs path such as `.controls[0].vm` as `controls.0.vm`."""
    return re.sub(r"\[(\d+)\]", r".\1", path).strip(".")


def line_of(document: Any, key: str) -> int:
    """Returns the line of a dotted key, or of its nearest existing parent."""
    line = 1
    node = document
    for segment in key.split(".") if key else ():
        if isinstance(node, yaml_comments.CommentedMap) and segment in node:
            line = node.lc.data[segment][0] + 1
            node = node[segment]
        elif isinstance(node, yaml_comments.CommentedSeq) and segment.isdigit():
            line = node.lc.data[int(segment)][0] + 1
            node = node[int(segment)]
        else:
            break
    return line
