"""The command `configuration check`: checks a document before it is sent."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import hashlib
import json
import pathlib
from typing import Any

import trio

from sassafrashall import api
from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import reports
from sassafrashall import settings
from sassafrashall import settings_file
from sassafrashall.decisions import document_checks
from sassafrashall.decisions import document_differences
from sassafrashall.decisions import document_review
from sassafrashall.decisions import service_capacity
from sassafrashall.platform import documents
from sassafrashall.platform import names
from sassafrashall.transport import codec
from sassafrashall.transport import http_client
from sassafrashall.transport import http_server

EXIT_FINDINGS = 1
READ_TIMEOUT = 3.0  # seconds; a control answers within 1 s
NO_FLEET = service_capacity.Unknown(
    reason="this needs a fleet, see --against ADDRESS"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of a check.

    Attributes:
      errors: Faults for which a control rejects the document.
      warnings: Entries that a control accepts, but that have no effect or
        contradict each other.
      version_in_force: The version to compare with; 0 if none is in force,
        None if no comparison was requested.
      differences: Differences from that version; None if the document was not
        compared, because of a fault in it or because it was not requested.
      capacity_not_checked: Why organisations' rates were not compared with the
        capacity of services, or not with that of all; empty if they were.
    """

    errors: tuple[exceptions.Finding, ...] = ()
    warnings: tuple[exceptions.Finding, ...] = ()
    version_in_force: int | None = None
    differences: tuple[document_differences.Difference, ...] | None = None
    capacity_not_checked: str = ""

    def text(self) -> str:
        """Returns the report for people."""
        lines = [f"errors: {len(self.errors)}, warnings: {len(self.warnings)}"]
        lines += [f"error: {finding}" for finding in self.errors]
        lines += [f"warning: {finding}" for finding in self.warnings]
        if self.capacity_not_checked:
            lines.append(f"capacity not checked: {self.capacity_not_checked}")
        if self.differences is not None:
            lines.append(
                f"differences from version r{self.version_in_force}: "
                f"{len(self.differences)}"
            )
            lines += [f"difference: {item}" for item in self.differences]
        return "\n".join(lines)


def add_arguments(nouns: Any) -> None:
    """Adds the command to the subparsers of the command line."""
    noun = nouns.add_parser("configuration", help="check a document")
    check = noun.add_subparsers(dest="verb", required=True).add_parser("check")
    check.add_argument("file", metavar="FILE")
    check.add_argument(
        "--against",
        metavar="ADDRESS|FILE",
        help="a control's operators' address, or a file, to compare with",
    )
    # Without SUPPRESS, the default would replace an --output before the noun.
    check.add_argument(
        "--output", choices=("table", "json"), default=argparse.SUPPRESS
    )


def run(options: argparse.Namespace) -> reports.Output:
    """Runs the command.

    Raises:
      FindingsError: The check can't run.
    """
    body = _read_file(options.file)
    in_force = None
    capacity: service_capacity.FleetCapacity = NO_FLEET
    if options.against is not None:
        is_file = pathlib.Path(options.against).exists()
        in_force = _read_in_force(options.against, is_file)
        if not is_file:
            capacity = _read_capacity(options.settings, in_force)
    report = check_document(body, in_force, capacity)
    has_findings = bool(report.errors or report.warnings)
    return reports.Output(
        text=report.text(),
        data=report,
        status=EXIT_FINDINGS if has_findings else 0,
    )


def check_document(
    body: bytes,
    in_force: configuration.Accepted | None = None,
    capacity: service_capacity.FleetCapacity = NO_FLEET,
) -> Report:
    """Checks a document as a control does, and reviews it.

    Args:
      body: The document as it would be sent.
      in_force: The configuration to compare with.
      capacity: What is known of the capacity of the services.
    """
    version = None if in_force is None else in_force.configuration.version
    errors = _check_size(body)
    try:
        document = documents.decode(body)
    except exceptions.FindingsError as error:
        return Report(
            errors=(*errors, *error.findings),
            version_in_force=version,
            capacity_not_checked="the document can't be read",
        )
    errors += document_checks.check(document)
    differences = None
    if in_force is not None:
        # A control accepts the text in force again, with the same version.
        if body != in_force.text:
            errors += _check_version(document, in_force.configuration)
        differences = document_differences.compare(
            in_force.configuration, document
        )
    capacity_review = service_capacity.review(document, capacity)
    return Report(
        errors=tuple(errors),
        warnings=(
            *_find_repeated_names(body),
            *document_review.review(document),
            *capacity_review.findings,
        ),
        version_in_force=version,
        differences=differences,
        capacity_not_checked=capacity_review.not_checked,
    )


def _check_size(body: bytes) -> list[exceptions.Finding]:
    if len(body) <= http_server.BODY_LIMIT:
        return []
    return [
        exceptions.Finding(
            source=documents.SOURCE,
            text=f"it has {len(body)} bytes; a control reads at most "
            f"{http_server.BODY_LIMIT}",
        )
    ]


def _check_version(
    document: configuration.Configuration,
    in_force: configuration.Configuration,
) -> list[exceptions.Finding]:
    if document.version > in_force.version:
        return []
    return [
        exceptions.Finding(
            source=documents.SOURCE,
            key="version",
            text=f"must be above {in_force.version}, the version in force",
        )
    ]


def _find_repeated_names(body: bytes) -> list[exceptions.Finding]:
    """Returns a warning for each name that an object of the document repeats.

    The decoded document has only the last value of such a name.
    """
    repeated: collections.Counter[str] = collections.Counter()

    def count_names(pairs: list[tuple[str, Any]]) -> None:
        names_in_object = collections.Counter(name for name, _ in pairs)
        repeated.update(n for n, count in names_in_object.items() if count > 1)

    try:
        json.loads(body, object_pairs_hook=count_names)
    except (ValueError, RecursionError):
        return []  # A value that is valid in JSON but not in Python.
    return [
        exceptions.Finding(
            source=documents.SOURCE,
            text=f"{name!r} occurs more than once in an object; "
            "the last is used",
        )
        for name in repeated
    ]


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        raise _cannot_run(path, f"can't be read: {error}") from error


def _read_in_force(against: str, is_file: bool) -> configuration.Accepted:
    """Reads the configuration to compare with, from a file or a control."""
    if is_file:
        text = _read_file(against)
    else:
        try:
            address = settings.parse_address(against)
        except ValueError as error:
            raise _cannot_run(against, f"no file, and {error}") from error
        text = trio.run(_read_from_control, address)
    if not text:
        return configuration.Accepted(
            configuration=configuration.Configuration(version=0), text=b""
        )
    try:
        decoded = documents.decode(text)
    except exceptions.FindingsError as error:
        raise _cannot_run(against, f"is no configuration: {error}") from error
    return configuration.Accepted(configuration=decoded, text=text)


async def _read_from_control(address: model.Address) -> bytes:
    """Returns the text in force at a control; empty if there is none."""
    try:
        with trio.fail_after(READ_TIMEOUT):
            response = await http_client.get(address, names.CONFIGURATION_PATH)
        if response.status == 200 and response.body:
            return response.body
        problem = codec.from_json(response.body, dict)
    except trio.TooSlowError as error:
        raise _cannot_run(str(address), "did not answer in time") from error
    except exceptions.SassafrashallError as error:
        raise _cannot_run(str(address), str(error)) from error
    reason = problem.get("error")
    if response.status == 503 and reason == exceptions.NO_CONFIGURATION:
        return b""
    raise _cannot_run(
        str(address), f"answered with status {response.status}: {reason}"
    )


def _read_capacity(
    settings_path: str, in_force: configuration.Accepted
) -> service_capacity.FleetCapacity:
    """Reads the capacity of services from the controls of the settings.

    Like the status, it is told only to holders of the operators' secret.

    Args:
      settings_path: Settings of the tool.
      in_force: The configuration in force at the control to compare with.
    """
    try:
        tool = settings_file.read(settings_path, settings.Tool)
        reply = trio.run(_ask_for_capacity, tool)
    except exceptions.FindingsError as error:
        return service_capacity.Unknown(
            reason="this needs settings with the controls and the operators' "
            f"secret (--settings): {error.findings[0]}"
        )
    except exceptions.SassafrashallError as error:
        return service_capacity.Unknown(reason=f"no answer: {error}")
    # The settings may name the controls of another fleet.
    if reply.document_digest != hashlib.sha256(in_force.text).hexdigest():
        return service_capacity.Unknown(
            reason=f"the controls in {settings_path} have another "
            "configuration in force"
        )
    return service_capacity.Known(
        services=reply.services, is_complete=reply.is_complete
    )


async def _ask_for_capacity(tool: settings.Tool) -> protocol.CapacityReply:
    client = api.FleetClient(settings=tool)
    try:
        return await client.capacity()
    finally:
        client.close()


def _cannot_run(source: str, text: str) -> exceptions.FindingsError:
    finding = exceptions.Finding(source=source, text=text)
    return exceptions.FindingsError((finding,))
