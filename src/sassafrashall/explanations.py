"""Explains one request from the log files of several processes."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

from sassafrashall import exceptions
from sassafrashall import reports

# What each code means for the request, and what to do about it.
_CAUSES = {
    exceptions.UNKNOWN_KEY: (
        "The key is not in the configuration in force; check whether a newer "
        "version withdrew it."
    ),
    exceptions.UNKNOWN_ROUTE: (
        "No route covers its host and path in the configuration in force."
    ),
    exceptions.OVER_RATE: (
        "Its organisation had used up its quota for the whole fleet; raise the "
        "rate, or let the caller wait as long as Retry-After says."
    ),
    exceptions.NO_QUOTA_OWNER: (
        "No control that owns a share of the quota could be reached."
    ),
    exceptions.STALE_CONFIGURATION: (
        "The node had no recent proof that the key was still valid; look for "
        "controls that could not be reached at that time."
    ),
    exceptions.NO_CONFIGURATION: (
        "The node had just started and had no configuration yet."
    ),
    exceptions.SHED: "The upstream's slots and its queue were full.",
    exceptions.MEMORY_SHORT: "The node had no memory left for the request.",
    exceptions.NO_UPSTREAM: "No upstream of the service was ready.",
    exceptions.PEER_UNREACHABLE: (
        "The node beside the upstream could not be reached."
    ),
    exceptions.UPSTREAM_REFUSED: (
        "The upstream said that it did not run the request."
    ),
    exceptions.UPSTREAM_FAILED: (
        "The connection to the upstream failed; whether the request ran is not "
        "known."
    ),
    exceptions.UPSTREAM_SILENT: "The upstream did not accept a connection.",
    exceptions.DEADLINE_EXCEEDED: (
        "The caller's deadline or the route's timeout passed."
    ),
    exceptions.STOPPING: "The node or its upstream was stopping.",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """What the log files say about one request.

    Attributes:
      lines: Log lines that name the request, in order of time.
      cause: One sentence; empty if the lines give no cause.
      skipped: Number of lines that could not be parsed.
    """

    request_id: str
    lines: tuple[dict[str, Any], ...]
    cause: str
    skipped: int

    def text(self) -> str:
        """Returns a table for people."""
        if not self.lines:
            return (
                f"No log line names request {self.request_id}. Log lines are "
                "rate-limited: look for `suppressed` around its time."
            )
        rows = [
            (
                line.get("time", ""),
                line.get("process", ""),
                line.get("step", ""),
                line.get("message", ""),
                line.get("code", line.get("status", "")),
                line.get("took_ms", ""),
                line.get("detail", ""),
            )
            for line in self.lines
        ]
        header = ("TIME", "PROCESS", "STEP", "WHAT", "CODE", "MS", "DETAIL")
        cause = self.cause or "Its upstream answered it."
        return f"{reports.table(header, rows)}\n\n{cause}"


def explain(request_id: str, paths: list[str]) -> Explanation:
    """Reads log files and returns what they say about a request.

    Raises:
      FindingsError: Some files can't be read; there is a finding for each.
    """
    findings: list[exceptions.Finding] = []
    lines: list[dict[str, Any]] = []
    skipped = 0
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            findings.append(exceptions.Finding(source=path, text=str(error)))
            continue
        records, unparsed = _lines_of(request_id, text)
        lines.extend(records)
        skipped += unparsed
    if findings:
        raise exceptions.FindingsError(tuple(findings))
    lines.sort(key=lambda line: str(line.get("time", "")))
    return Explanation(
        request_id=request_id,
        lines=tuple(lines),
        cause=_cause_of(lines),
        skipped=skipped,
    )


def _lines_of(request_id: str, text: str) -> tuple[list[dict[str, Any]], int]:
    """Returns the records that name a request, and how many did not parse."""
    records, skipped = [], 0
    for line in text.splitlines():
        if request_id not in line:
            continue
        # A log collector may have put a prefix before the JSON object.
        start = line.find("{")
        try:
            record = json.loads(line[max(0, start) :])
        except ValueError:
            skipped += 1
            continue
        if isinstance(record, dict) and record.get("request_id") == request_id:
            records.append(record)
    return records, skipped


def _cause_of(lines: list[dict[str, Any]]) -> str:
    """Returns the cause by the latest decision that is nearest the caller."""
    entry_lines = [line for line in lines if line.get("step") == "entry"]
    for line in reversed(entry_lines or lines):
        code = line.get("code")
        if code is not None:
            return _CAUSES.get(code, f"It ended with {code}.")
        if int(line.get("status", 0)) >= 500:
            return "Its upstream itself answered with a server error."
        if 0 < line.get("target_ms", 0) < line.get("took_ms", 0):
            return (
                "It was served, but later than its route's target latency; "
                "compare the worker's time with the entry's, and check the "
                "upstream's load."
            )
    return ""
