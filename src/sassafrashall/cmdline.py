"""Command line of the operators' tool; `api` and `reports` do the work."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import sys
from typing import Any
import uuid

import trio

from sassafrashall import api
from sassafrashall import configuration_check
from sassafrashall import exceptions
from sassafrashall import explanations
from sassafrashall import organisation_model
from sassafrashall import reports
from sassafrashall import settings as settings_module
from sassafrashall import settings_file
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import templates
from sassafrashall.transport import codec

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

DEFAULT_SETTINGS = "sassafrashallctl.yaml"
WAIT_TIMEOUT = 10.0  # seconds


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs `sassafrashallctl` and returns its exit status.

    Args:
      arguments: Command line arguments; None for those of the process.
    """
    options = _parser().parse_args(arguments)
    try:
        output = _run_command(options)
    except exceptions.FindingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except api.UnreachableError as error:
        print(_unreachable_message(options, error), file=sys.stderr)
        return EXIT_UNREACHABLE
    except exceptions.SassafrashallError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return EXIT_FAILED
    stream = sys.stdout if output.status == EXIT_OK else sys.stderr
    if options.output == "json":
        print(codec.to_json(output.data).decode())
    else:
        print(output.text, file=stream)
    return output.status


def _unreachable_message(options: argparse.Namespace, error: Exception) -> str:
    if getattr(options, "change_id", None):
        advice = (
            "Whether the change was made is not known. Send it again with "
            f"--change-id {options.change_id}: it takes effect only once."
        )
    elif options.noun == "replica":
        advice = (
            "Whether the replica was replaced is not known. Send the same "
            "command again: it takes effect only once."
        )
    else:
        advice = "Nothing was changed. Check that a control is running."
    return f"unreachable: {error}\n{advice}"


# --- arguments ---------------------------------------------------------------


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sassafrashallctl",
        description="Operates the overload control layer.",
    )
    parser.add_argument("--settings", default=DEFAULT_SETTINGS, metavar="FILE")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    nouns = parser.add_subparsers(dest="noun", required=True)
    _add_organisation(nouns)
    _add_key(nouns)
    _add_other_nouns(nouns)
    _add_explain(nouns)
    configuration_check.add_arguments(nouns)
    return parser


def _add_explain(nouns: Any) -> None:
    explain = nouns.add_parser(
        "explain", help="say from log files how one request ended"
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    explain.add_argument("files", nargs="+", metavar="FILE")


def _add_noun(nouns: Any, noun: str, text: str) -> Any:
    """Adds a noun and returns the subparsers for its verbs."""
    parser = nouns.add_parser(noun, help=text)
    return parser.add_subparsers(dest="verb", required=True)


def _add_organisation(nouns: Any) -> None:
    verbs = _add_noun(nouns, "organisation", "create, change and show")
    create = verbs.add_parser("create")
    create.add_argument("name")
    create.add_argument("--template", required=True)
    create.add_argument(
        "--set",
        dest="assignments",
        nargs="+",
        action="extend",
        default=[],
        metavar="PARAMETER=VALUE",
    )
    _add_change_options(create)
    change = verbs.add_parser("set")
    change.add_argument("name")
    change.add_argument("assignments", nargs="+", metavar="PARAMETER=VALUE")
    change.add_argument("--expect-version", type=int, default=0, metavar="N")
    _add_change_options(change)
    compare = verbs.add_parser("diff")
    compare.add_argument("name")
    compare.add_argument("assignments", nargs="+", metavar="PARAMETER=VALUE")
    verbs.add_parser("show").add_argument("name")
    verbs.add_parser("list")


def _add_key(nouns: Any) -> None:
    verbs = _add_noun(nouns, "key", "issue and withdraw")
    issue = verbs.add_parser("issue")
    issue.add_argument("organisation")
    issue.add_argument("--key-id", default="", metavar="ID")
    _add_change_options(issue)
    withdraw = verbs.add_parser("withdraw")
    withdraw.add_argument("organisation")
    withdraw.add_argument("key_id")
    _add_change_options(withdraw)
    verbs.add_parser("list").add_argument("organisation")


def _add_other_nouns(nouns: Any) -> None:
    _add_noun(nouns, "template", "built-in templates").add_parser("list")
    routes = _add_noun(nouns, "route", "rules of organisations")
    routes.add_parser("list").add_argument("organisation", nargs="?")
    nouns.add_parser("status", help="the fleet on one screen")
    nouns.add_parser("members", help="controls and nodes")
    replace = _add_noun(nouns, "replica", "repair").add_parser("replace")
    replace.add_argument("old_id")
    replace.add_argument("new_id")
    timeline = nouns.add_parser("timeline", help="events of all processes")
    timeline.add_argument("--kind", default="")
    timeline.add_argument("--request", default="")
    timeline.add_argument("--process", default="")
    timeline.add_argument("--since-ms", type=int, default=0)
    check = _add_noun(nouns, "settings", "check a file").add_parser("check")
    check.add_argument("file")
    check.add_argument("--tool", action="store_true")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--change-id",
        default=uuid.uuid4().hex,
        help="identifies the change, so that it can be sent again safely",
    )
    parser.add_argument(
        "--wait", action="store_true", help="wait until in force on every node"
    )
    parser.add_argument(
        "--wait-timeout", type=float, default=WAIT_TIMEOUT, metavar="SECONDS"
    )


def _parse_assignments(texts: Sequence[str]) -> tuple[tuple[str, str], ...]:
    pairs = []
    faults = []
    for text in texts:
        name, separator, value = text.partition("=")
        if separator:
            pairs.append((name, value))
        else:
            faults.append(
                exceptions.Finding(
                    source="command line", key=text, text="not PARAMETER=VALUE"
                )
            )
    if faults:
        raise exceptions.FindingsError(tuple(faults))
    return tuple(pairs)


# --- commands ----------------------------------------------------------------


def _run_command(options: argparse.Namespace) -> reports.Output:
    match (options.noun, getattr(options, "verb", None)):
        case ("template", "list"):
            return reports.Output(
                text=reports.template_list(),
                data=list(templates.TEMPLATES.values()),
            )
        case ("settings", "check"):
            return _check_settings(options)
        case ("configuration", "check"):
            return configuration_check.run(options)
        case ("explain", _):
            explanation = explanations.explain(
                options.request_id, options.files
            )
            return reports.Output(
                text=explanation.text(),
                data=explanation,
                status=EXIT_OK if explanation.lines else EXIT_FAILED,
            )
    settings = settings_file.read(options.settings, settings_module.Tool)
    return trio.run(_run_with_client, options, settings)


def _check_settings(options: argparse.Namespace) -> reports.Output:
    kind: type = (
        settings_module.Tool if options.tool else settings_module.Daemon
    )
    settings_file.read(options.file, kind)
    return reports.Output(
        text=f"{options.file}: no faults.", data={"findings": []}
    )


async def _run_with_client(
    options: argparse.Namespace, settings: settings_module.Tool
) -> reports.Output:
    client = api.FleetClient(settings=settings)
    try:
        return await _run_fleet_command(options, client)
    finally:
        client.close()


async def _run_fleet_command(
    options: argparse.Namespace, client: api.FleetClient
) -> reports.Output:
    match (options.noun, getattr(options, "verb", None)):
        case ("organisation", "create" | "set") | ("key", "withdraw"):
            return await _submit_change(
                options, client, _build_command(options)
            )
        case ("key", "issue"):
            return await _issue_key(options, client)
        case ("replica", "replace"):
            result = await client.replace_replica(
                options.old_id, options.new_id
            )
            return _result_output(result)
        case ("timeline", _):
            timeline = await client.timeline(
                kind=options.kind,
                request=options.request,
                process=options.process,
                since_ms=options.since_ms,
            )
            return reports.Output(
                text=reports.timeline(timeline), data=timeline
            )
        case _:
            return await _show_status(options, client)


def _build_command(options: argparse.Namespace) -> fleet_commands.Command:
    match (options.noun, options.verb):
        case ("organisation", "create"):
            return fleet_commands.CreateOrganisation(
                change_id=options.change_id,
                name=options.name,
                template=options.template,
                assignments=_parse_assignments(options.assignments),
            )
        case ("organisation", "set"):
            return fleet_commands.SetParameters(
                change_id=options.change_id,
                name=options.name,
                assignments=_parse_assignments(options.assignments),
                expect_version=options.expect_version,
            )
        case _:
            return fleet_commands.WithdrawKey(
                change_id=options.change_id,
                organisation=options.organisation,
                key_id=options.key_id,
            )


async def _submit_change(
    options: argparse.Namespace,
    client: api.FleetClient,
    command: fleet_commands.Command,
) -> reports.Output:
    output = _result_output(await client.submit(command))
    return await _wait_in_force(options, client, output)


async def _issue_key(
    options: argparse.Namespace, client: api.FleetClient
) -> reports.Output:
    key_id = options.key_id or f"key-{options.change_id[:8]}"
    result, key = await client.issue_key(
        options.organisation, key_id, options.change_id
    )
    output = _result_output(result)
    if output.status == EXIT_OK:
        output = reports.Output(
            text=f"{output.text}\nkey id: {key_id}\nkey: {key}\n"
            "The key is not stored and can't be shown again.",
            data={"result": result, "key_id": key_id, "key": key},
        )
    return await _wait_in_force(options, client, output)


async def _wait_in_force(
    options: argparse.Namespace, client: api.FleetClient, output: reports.Output
) -> reports.Output:
    if not options.wait or output.status != EXIT_OK:
        return output
    data = output.data
    accepted = data["result"] if isinstance(data, dict) else data
    rollout = await client.wait_in_force(
        accepted.revision, options.wait_timeout
    )
    is_complete = not rollout.missing and not rollout.silent
    return reports.Output(
        text=f"{output.text}\n{reports.in_force(rollout)}",
        data={"change": data, "rollout": rollout},
        status=EXIT_OK if is_complete else EXIT_NOT_IN_FORCE,
    )


def _result_output(result: fleet_commands.Result) -> reports.Output:
    match result:
        case fleet_commands.Accepted():
            status = EXIT_OK
        case fleet_commands.Conflict():
            status = EXIT_CONFLICT
        case _:
            status = EXIT_INVALID
    return reports.Output(
        text=reports.result(result), data=result, status=status
    )


async def _show_status(
    options: argparse.Namespace, client: api.FleetClient
) -> reports.Output:
    status = await client.status()
    match (options.noun, getattr(options, "verb", None)):
        case ("status", _):
            data = {"status": status, "advice": reports.advise(status)}
            return reports.Output(text=reports.status_screen(status), data=data)
        case ("members", _):
            text = (
                f"{reports.control_table(status)}\n\n"
                f"{reports.node_table(status)}"
            )
            return reports.Output(text=text, data=status)
        case ("organisation", "list"):
            return reports.Output(
                text=reports.organisation_list(status),
                data=status.organisations,
            )
        case ("route", "list"):
            shown = status.organisations
            if options.organisation:
                shown = (
                    _find_organisation(
                        status.organisations, options.organisation
                    ),
                )
            return reports.Output(text=reports.route_list(shown), data=shown)
        case ("key", "list"):
            organisation = _find_organisation(
                status.organisations, options.organisation
            )
            return reports.Output(
                text=reports.key_list(organisation), data=organisation.keys
            )
        case ("organisation", "show"):
            organisation = _find_organisation(
                status.organisations, options.name
            )
            rollout = api.rollout_of(status, organisation.revision)
            return reports.Output(
                text=reports.organisation(organisation, rollout),
                data={"organisation": organisation, "rollout": rollout},
            )
        case _:
            organisation = _find_organisation(
                status.organisations, options.name
            )
            return _show_difference(organisation, options)


def _show_difference(
    organisation: organisation_model.Organisation, options: argparse.Namespace
) -> reports.Output:
    after, faults = templates.apply_assignments(
        organisation.parameters,
        _parse_assignments(options.assignments),
        "parameters",
    )
    if faults:
        raise exceptions.FindingsError(faults)
    return reports.Output(
        text=reports.difference(organisation.parameters, after),
        data={"now": organisation.parameters, "then": after},
    )


def _find_organisation(
    organisations: Sequence[organisation_model.Organisation], name: str
) -> organisation_model.Organisation:
    for organisation in organisations:
        if organisation.name == name:
            return organisation
    known = ", ".join(o.name for o in organisations) or "none"
    raise exceptions.FindingsError(
        (
            exceptions.Finding(
                source="command line",
                key=name,
                text=f"unknown organisation; known: {known}",
            ),
        )
    )


if __name__ == "__main__":
    sys.exit(main())
