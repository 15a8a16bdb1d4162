"""The operators' HTTP interface to the fleet, on a control."""

from __future__ import annotations

import hashlib
from typing import Any
import urllib.parse

import trio

from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import fleet_commands
from sassafrashall.platform import documents
from sassafrashall.platform import names
from sassafrashall.platform import node_api
from sassafrashall.platform import values
from sassafrashall.transport import http

COMMIT_TIMEOUT = 0.9  # seconds; operators try another control after 1 s


class OperatorApi:
    """Changes the fleet through the replicated log.

    It reads and replaces the configuration, and evacuates data centres.
    """

    def __init__(
        self,
        *,
        replica: mailbox.Mailbox,
        view: mailbox.Published[messages.FleetView],
        data_centres: frozenset[str],
    ) -> None:
        """Creates the interface.

        Args:
          replica: Mailbox of the task that holds the replica.
          view: The state that this control has applied.
          data_centres: The known data centres.
        """
        self._replica = replica
        self._view = view
        self._data_centres = data_centres

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one request of an operator."""
        path = raw.target.partition("?")[0]
        is_evacuation = path.startswith(names.EVACUATION_PATH)
        if path != names.CONFIGURATION_PATH and not is_evacuation:
            return node_api.json_response(503, {})
        try:
            if is_evacuation:
                return await self._change_evacuation(
                    raw.method,
                    urllib.parse.unquote(
                        path.removeprefix(names.EVACUATION_PATH)
                    ),
                )
            match raw.method:
                case "GET":
                    return await self._read_configuration()
                case "PUT":
                    return await self._replace_configuration(raw)
                case _:
                    return node_api.json_response(405, {})
        except exceptions.FindingsError as error:
            return node_api.findings_response(400, error.findings)
        except exceptions.SassafrashallError as error:
            logs.get().warning(
                "operator request failed", extra={"reason": str(error)}
            )
            return node_api.json_response(503, {"error": error.code})

    async def _read_configuration(self) -> model.Response:
        match await self._submit(fleet_commands.ReadConfiguration()):
            case fleet_commands.CurrentConfiguration(text=text) if text:
                return model.Response(
                    status=200,
                    headers=(("content-type", "application/json"),),
                    body=text,
                )
            case _:
                return node_api.json_response(
                    503, {"error": exceptions.NO_CONFIGURATION}
                )

    async def _replace_configuration(
        self, raw: http.RawRequest
    ) -> model.Response:
        document = documents.decode(raw.body)
        if_match = model.find_header(raw.headers, "if-match") or "0"
        expected_version = values.parse_version(if_match)
        if expected_version is None:
            finding = exceptions.Finding(
                source="If-Match", text="must be a version such as r12, or 0"
            )
            raise exceptions.FindingsError((finding,))
        command = fleet_commands.ReplaceConfiguration(
            expect_version=expected_version,
            document=document,
            digest=hashlib.sha256(raw.body).hexdigest(),
            text=raw.body,
        )
        result = await self._submit(command)
        logs.get().info(
            "configuration change decided",
            extra={
                "version": document.version,
                "builds_on": expected_version,
                "result": type(result).__name__,
            },
        )
        match result:
            case fleet_commands.Accepted(version=version):
                return node_api.json_response(200, {"version": f"r{version}"})
            case fleet_commands.Conflict(version=version, detail=detail):
                return node_api.json_response(
                    412, {"version": f"r{version}", "error": detail}
                )
            case fleet_commands.Rejected(findings=findings):
                return node_api.findings_response(400, findings)
            case _:
                raise TypeError(f"unknown result {result!r}")

    async def _change_evacuation(
        self, method: str, data_centre: str
    ) -> model.Response:
        state = self._view.value.state
        known = self._data_centres | state.evacuations.evacuated
        if data_centre not in known:
            return node_api.json_response(
                404,
                {
                    "error": "unknown_data_centre",
                    "detail": "known: " + ", ".join(sorted(known)),
                },
            )
        command: fleet_commands.Command
        match method:
            case "POST":
                command = fleet_commands.EvacuateDataCentre(
                    data_centre=data_centre, known_revision=state.revision
                )
            case "DELETE":
                command = fleet_commands.EndEvacuation(
                    data_centre=data_centre, known_revision=state.revision
                )
            case _:
                return node_api.json_response(405, {})
        result = await self._submit(command)
        logs.get().info(
            "evacuation decided",
            extra={
                "data_centre": data_centre,
                "method": method,
                "result": type(result).__name__,
            },
        )
        match result:
            case fleet_commands.Accepted(revision=revision):
                return node_api.json_response(200, {"revision": revision})
            case fleet_commands.Conflict(detail=detail):
                # This control was behind; it isn't when the operator repeats.
                return node_api.json_response(
                    503, {"error": "outdated", "detail": detail}
                )
            case _:
                raise TypeError(f"unknown result {result!r}")

    async def _submit(self, command: fleet_commands.Command) -> Any:
        with trio.move_on_after(COMMIT_TIMEOUT):
            return await self._replica.ask(messages.Submit(command=command))
        raise exceptions.RpcError("not committed in time")
