"""Tables and advice for operators, built from a control's status reply."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Any

from sassafrashall import api
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall import protocol
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import shedding
from sassafrashall.decisions import templates

STALE_AGE = 2.0  # seconds without a majority after which a control is stale


@dataclasses.dataclass(frozen=True, kw_only=True)
class Output:
    """Output and exit status of a command.

    Attributes:
      text: Output for people.
      data: Output for programs; any data class, list or mapping.
      status: Exit status.
    """

    text: str
    data: Any
    status: int = 0


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows as aligned columns under a header."""
    texts = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [
        max(len(row[column]) for row in texts) for column in range(len(header))
    ]
    lines = []
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def template_list() -> str:
    """Returns a line for each built-in template."""
    return table(
        ("TEMPLATE", "RATE", "BURST", "SUMMARY"),
        [
            (t.name, f"{t.defaults.rate:g}", t.defaults.burst, t.summary)
            for t in templates.TEMPLATES.values()
        ],
    )


def organisation_list(status: protocol.StatusReply) -> str:
    """Returns a line for each organisation."""
    return table(
        ("ORGANISATION", "TEMPLATE", "RATE", "BURST", "KEYS", "VERSION"),
        [
            (
                o.name,
                o.template,
                f"{o.parameters.rate:g}",
                o.parameters.burst,
                sum(not key.withdrawn for key in o.keys),
                o.version,
            )
            for o in status.organisations
        ],
    )


def organisation(
    shown: organisation_model.Organisation, rollout: api.Rollout
) -> str:
    """Returns one organisation's parameters and where they are in force."""
    rows = [
        ("name", shown.name),
        ("template", shown.template),
        ("version", str(shown.version)),
        ("revision", str(shown.revision)),
        *templates.format_parameters(shown.parameters),
    ]
    return "\n".join([table(("PARAMETER", "VALUE"), rows), in_force(rollout)])


def in_force(rollout: api.Rollout) -> str:
    """Returns a sentence on where a revision is in force."""
    parts = []
    if rollout.missing:
        parts.append(f"not yet on {', '.join(rollout.missing)}")
    if rollout.silent:
        parts.append(f"not known on silent {', '.join(rollout.silent)}")
    where = "; ".join(parts) if parts else "in force on every node"
    return f"Revision {rollout.revision}: {where}."


def difference(
    before: organisation_model.Parameters, after: organisation_model.Parameters
) -> str:
    """Returns the parameters that would change."""
    rows = [
        (name, old, new)
        for (name, old), (_, new) in zip(
            templates.format_parameters(before),
            templates.format_parameters(after),
            strict=True,
        )
        if old != new
    ]
    if not rows:
        return "Nothing would change."
    return table(("PARAMETER", "NOW", "THEN"), rows)


def key_list(shown: organisation_model.Organisation) -> str:
    """Returns the ids and states of an organisation's keys.

    The keys themselves are not stored.
    """
    return table(
        ("KEY", "STATE"),
        [
            (key.key_id, "withdrawn" if key.withdrawn else "valid")
            for key in shown.keys
        ],
    )


def route_list(organisations: Sequence[organisation_model.Organisation]) -> str:
    """Returns a line for each route rule of the organisations."""
    rows: list[tuple[str, str, str]] = []
    for shown in organisations:
        parameters = shown.parameters
        for kind, rules in (
            ("critical", parameters.critical_routes),
            ("bulk", parameters.bulk_routes),
            ("never repeated", parameters.never_repeated_routes),
            ("open", parameters.open_routes),
        ):
            rows.extend((shown.name, kind, str(rule)) for rule in rules)
    return table(("ORGANISATION", "RULE", "ROUTE"), rows)


def evacuation_text(status: protocol.StatusReply) -> str:
    """Returns a sentence on the evacuated data centres; empty without any."""
    if not status.evacuated:
        return ""
    return (
        f"Evacuated: {', '.join(status.evacuated)}. Upstreams there get no "
        "requests."
    )


def control_table(status: protocol.StatusReply) -> str:
    """Returns a line for each control."""
    return table(
        ("CONTROL", "DATA CENTRE", "REPLICA", "ROLE", "REVISION", "MAJORITY"),
        [
            (
                c.vm,
                c.data_centre,
                c.replica_id,
                c.role
                if c.voter or c.role == "silent"
                else f"{c.role}, learner",
                c.revision,
                _format_age(c.majority_age),
            )
            for c in status.controls
        ],
    )


def node_table(status: protocol.StatusReply) -> str:
    """Returns a line for each node."""
    rows = []
    for entry in status.nodes:
        record = entry.record
        upstream = record.upstream
        state = "silent" if entry.lapsed else "alive"
        if record.leaving and not entry.lapsed:
            state = "leaving"
        rows.append(
            (
                record.vm,
                record.data_centre,
                state,
                upstream.service if upstream else "-",
                upstream.state if upstream else "-",
                upstream.slots if upstream else "-",
                shedding_text(entry.load),
                record.configuration_revision,
            )
        )
    header = (
        "NODE",
        "DATA CENTRE",
        "STATE",
        "SERVICE",
        "UPSTREAM",
        "SLOTS",
        "SHEDDING",
        "REVISION",
    )
    return table(header, rows)


def shedding_text(load: model.NodeLoad | None) -> str:
    """Returns the share that a node sheds of each priority, and the rate."""
    if load is None or (
        load.level >= shedding.ADMIT_ALL_LEVEL and not load.shed_per_second
    ):
        return "-"
    shares = []
    for priority in model.Priority:
        admitted = min(1.0, max(0.0, load.level - priority))
        if admitted < 1.0:
            shares.append(f"{priority.name.lower()} {1 - admitted:.0%}")
    shed = ", ".join(shares) or "queue"
    return f"{shed}; {load.shed_per_second:g}/s"


def quota_table(status: protocol.StatusReply) -> str:
    """Returns a line for each organisation that has used its quota."""
    return table(
        ("ORGANISATION", "TOKENS LENT", "TIMES EMPTY"),
        [(q.organisation, q.lent, q.dry) for q in status.quotas],
    )


def status_screen(status: protocol.StatusReply) -> str:
    """Returns the whole fleet on one screen, with advice."""
    advice = advise(status)
    sections = [
        f"Fleet at revision {status.revision}, as seen by {status.answered_by}"
        f"; last contact with a majority {_format_age(status.majority_age)} "
        "ago.",
        evacuation_text(status),
        control_table(status),
        node_table(status),
        organisation_list(status),
        "What to do next:",
        "\n".join(f"- {line}" for line in advice) or "- Nothing.",
    ]
    return "\n\n".join(section for section in sections if section)


def advise(status: protocol.StatusReply) -> list[str]:
    """Returns advice for the operator, the most urgent first."""
    advice = []
    if status.majority_age > STALE_AGE:
        advice.append(
            f"{status.answered_by} has no majority: changes and claims are "
            "refused. Restore the other controls or the network link."
        )
    advice += _advise_on_voters(status)
    for data_centre in status.evacuated:
        advice.append(
            f"Data centre {data_centre} is evacuated. To end that, send DELETE "
            f"/-/evacuation/{data_centre} to the operators' address of a "
            "control."
        )
    rollout = api.rollout_of(status, status.revision)
    if rollout.missing:
        advice.append(
            f"Nodes without revision {status.revision}: "
            f"{', '.join(rollout.missing)}. A rollout takes 2 s; after that, "
            "check their logs."
        )
    advice += _advise_on_overload(status)
    for vm in rollout.silent:
        advice.append(f"Node {vm} is silent. Is its VM up?")
    services = {
        entry.record.upstream.service
        for entry in status.nodes
        if entry.record.upstream
    }
    for service in sorted(services):
        if not _has_ready_upstream(status, service):
            advice.append(f"Service {service} has no ready upstream.")
    return advice


def _advise_on_voters(status: protocol.StatusReply) -> list[str]:
    """Returns advice on the voters that are silent."""
    advice = []
    controls = {c.replica_id: c for c in status.controls}
    learners = list(status.membership.learners)
    for member in status.membership.voters:
        control = controls.get(member.replica_id)
        if control is not None and control.role != "silent":
            continue
        substitutes = [m for m in learners if m.vm == member.vm] or learners
        if substitutes:
            advice.append(
                f"Replica {member.replica_id} of {member.vm} is unreachable. "
                "If its VM or disk is lost for good: sassafrashallctl replica "
                f"replace {member.replica_id} {substitutes[0].replica_id}"
            )
        else:
            advice.append(
                f"Control {member.vm} is silent. Restart it, or start one with "
                "an empty data folder and replace it."
            )
    return advice


def _advise_on_overload(status: protocol.StatusReply) -> list[str]:
    """Returns advice on the services that shed."""
    overloaded = sorted(
        {
            entry.record.upstream.service
            for entry in status.nodes
            if entry.load
            and entry.load.level < shedding.ADMIT_ALL_LEVEL
            and entry.record.upstream
        }
    )
    if not overloaded:
        return []
    return [
        f"Overloaded: {', '.join(overloaded)}. Requests of the lowest "
        "priority are shed first. If it lasts, add upstreams there or "
        "lower the rate of the organisation that sends most."
    ]


def _has_ready_upstream(status: protocol.StatusReply, service: str) -> bool:
    return any(
        upstream.service == service for upstream in status.ready_upstreams()
    )


def timeline(shown: api.Timeline) -> str:
    """Returns events in their order, one per line."""
    rows = [
        (
            f"{event.time.physical_ms}.{event.time.logical}",
            event.process,
            event.kind,
            event.request or "-",
            event.detail,
        )
        for event in shown.events
    ]
    text = table(("TIME", "PROCESS", "KIND", "REQUEST", "DETAIL"), rows)
    if shown.unreachable:
        text += f"\nUnreachable: {', '.join(shown.unreachable)}."
    return text


def findings(items: Sequence[exceptions.Finding]) -> str:
    """Returns findings, one per line."""
    return "\n".join(str(finding) for finding in items)


def result(outcome: fleet_commands.Result) -> str:
    """Returns the result of a change as a sentence."""
    match outcome:
        case fleet_commands.Accepted(revision=revision, version=version):
            return f"Accepted: revision {revision}, version {version}."
        case fleet_commands.Conflict(version=version, detail=detail):
            return (
                f"Conflict: {detail}; the current version is {version}. "
                "Nothing was changed. Check it with 'organisation show', then "
                f"try again with --expect-version {version}."
            )
        case fleet_commands.Rejected(findings=found):
            return (
                f"Rejected; nothing was changed. {len(found)} fault(s):\n"
                + findings(found)
            )
        case _:
            return str(outcome)


def _format_age(seconds: float) -> str:
    return "never" if seconds > 1e5 else f"{seconds:.1f} s"
