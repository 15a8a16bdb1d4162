"""A node's HTTP interface to the platform: readiness and heartbeats."""

from __future__ import annotations

from collections.abc import Callable
import re
import time
from typing import Any
import urllib.parse

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.platform import names
from sassafrashall.platform import values
from sassafrashall.transport import codec
from sassafrashall.transport import http

# The platform has no state for an upstream that is warming up.
_UPSTREAM_STATES = {
    "ready": model.UpstreamState.READY,
    "draining": model.UpstreamState.DRAINING,
}
SLOTS_LIMIT = 100_000  # slots of one upstream
# An upstream's incarnation and service are sent on in headers.
_HEADER_TEXT = re.compile(r"[!-~]{1,256}")
# Seconds after which an upstream gives up a heartbeat.
HEARTBEAT_TIMEOUT = 1.0
MAX_REDIRECT_DELAY = 0.7  # seconds of it, the rest is for the second request
# Seconds by which the clock may be stepped back while an upstream starts.
MAX_CLOCK_STEP = 60.0


class Readiness:
    """Answers readiness checks: whether callers may use this node."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves one readiness check."""
        if raw.target.partition("?")[0] != names.READINESS_PATH:
            return json_response(404, {})
        return json_response(200 if self._is_ready() else 503, {})


class Announcements:
    """Receives the heartbeats of the upstream on this VM.

    A heartbeat that may be a late one is redirected to another address, which
    only this process tells. If that is followed once every heartbeat of before
    this process has been given up, the run goes on. Upstreams that don't follow
    it are told the address for their next heartbeats. What arrives there is
    answered with the usual address.
    """

    def __init__(
        self,
        *,
        membership: mailbox.Mailbox,
        upstream: model.Address,
        address: model.Address,
    ) -> None:
        """Creates the handler.

        Args:
          membership: Mailbox of the task that follows the upstream.
          upstream: Address of the upstream.
          address: Where heartbeats usually arrive.
        """
        self._membership = membership
        self._upstream = upstream
        self._address = address
        self._fresh_address: model.Address | None = None
        self._fresh_since = float("inf")  # monotonic seconds
        self._has_redirected = False

    def tell_fresh_address(self, address: model.Address) -> None:
        """Sets the address that only this process tells."""
        self._fresh_address = address
        self._fresh_since = clock.monotonic() + HEARTBEAT_TIMEOUT

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Serves what arrives at the usual address."""
        return await self._handle(raw, is_fresh=False)

    async def handle_fresh(self, raw: http.RawRequest) -> model.Response:
        """Serves what arrives at the address that only this process tells."""
        return await self._handle(raw, is_fresh=True)

    async def _handle(
        self, raw: http.RawRequest, *, is_fresh: bool
    ) -> model.Response:
        """Serves a heartbeat (PUT) or the upstream's sign-off (DELETE)."""
        path = raw.target.partition("?")[0]
        incarnation = urllib.parse.unquote(
            path.removeprefix(names.INSTANCES_PATH)
        )
        if not path.startswith(names.INSTANCES_PATH) or not incarnation:
            return json_response(404, {})
        if _HEADER_TEXT.fullmatch(incarnation) is None:
            finding = exceptions.Finding(
                source="heartbeat",
                key="id",
                text="must be up to 256 visible ASCII characters",
            )
            return findings_response(400, (finding,))
        match raw.method:
            case "PUT":
                try:
                    message = decode(
                        raw.body,
                        incarnation,
                        is_fresh=is_fresh
                        and clock.monotonic() >= self._fresh_since,
                    )
                    self._check_address(message)
                    _check_start(message)
                except exceptions.FindingsError as error:
                    logs.get().warning(
                        "rejected an invalid heartbeat",
                        extra={"findings": [str(f) for f in error.findings]},
                    )
                    return findings_response(400, error.findings)
            case "DELETE":
                message = messages.Announce(
                    upstream=None, incarnation=incarnation
                )
            case _:
                return json_response(405, {})
        try:
            announced = await self._membership.ask(message)
        except exceptions.RpcError as error:
            return json_response(
                503, {"error": error.code, "detail": str(error)}
            )
        if announced.is_held_back and self._fresh_address is not None:
            return await self._answer_held_back(raw.target, self._fresh_address)
        if is_fresh:
            return json_response(
                200, {names.HEARTBEAT_ADDRESS: str(self._address)}
            )
        return json_response(200, {})

    async def _answer_held_back(
        self, target: str, address: model.Address
    ) -> model.Response:
        wait = max(0.0, self._fresh_since - clock.monotonic())
        if self._has_redirected or wait > MAX_REDIRECT_DELAY:
            return json_response(200, {names.HEARTBEAT_ADDRESS: str(address)})
        self._has_redirected = True
        await trio.sleep(wait)
        return model.Response(
            status=307,
            headers=(("location", f"http://{address}{target}"),),
            body=b"",
        )

    def _check_address(self, message: messages.Announce) -> None:
        assert message.upstream is not None
        if message.upstream.address != self._upstream:
            finding = exceptions.Finding(
                source="heartbeat",
                key="address",
                text=f"only {self._upstream} is served here",
            )
            raise exceptions.FindingsError((finding,))


def _check_start(message: messages.Announce) -> None:
    """Checks that the run of the upstream has begun.

    Raises:
      FindingsError: It begins in the future. Held, such an announcement would
        be newer than all of a true run.
    """
    if message.started_ms / 1000 > time.time() + MAX_CLOCK_STEP:
        finding = exceptions.Finding(
            source="heartbeat", key="born", text="is in the future"
        )
        raise exceptions.FindingsError((finding,))


def decode(
    body: bytes, incarnation: str, *, is_fresh: bool = False
) -> messages.Announce:
    """Returns the announcement in the body of a heartbeat.

    Args:
      body: The body.
      incarnation: Id of the run that sent it.
      is_fresh: See `messages.Announce`.

    Raises:
      FindingsError: With every fault of the body.
    """
    reader = values.Reader(source="heartbeat")
    document = reader.parse_object(body)
    if reader.findings:
        raise exceptions.FindingsError(reader.findings)
    info = reader.read_object(document, "info", "")
    status = reader.read_object(document, "status", "")
    state = status.get("state")
    if not isinstance(state, str) or state not in _UPSTREAM_STATES:
        reader.add_finding("status.state", f"unknown state {state!r}")
        state = "draining"
    slots = reader.read_integer(info, "slots", "info.")
    if not 1 <= slots <= SLOTS_LIMIT:
        reader.add_finding("info.slots", f"not within 1 to {SLOTS_LIMIT}")
    service = reader.read_string(info, "service", "info.")
    if _HEADER_TEXT.fullmatch(service) is None:
        reader.add_finding(
            "info.service", "must be up to 256 visible ASCII characters"
        )
    address = model.Address(host="", port=0)
    try:
        address = settings.parse_address(
            reader.read_string(document, "address", "", "-")
        )
    except ValueError as error:
        reader.add_finding("address", str(error))
    message = messages.Announce(
        upstream=model.Upstream(
            service=service,
            address=address,
            slots=slots,
            connection_limit=0,
            state=_UPSTREAM_STATES[state],
            incarnation=incarnation,
        ),
        incarnation=incarnation,
        # Start time in milliseconds; orders restarts of the upstream.
        started_ms=reader.read_integer(document, "born", "", 0),
        sequence=reader.read_integer(status, "sequence", "status."),
        cold_remaining_s=_read_cold_remaining(status),
        is_fresh=is_fresh,
    )
    if reader.findings:
        raise exceptions.FindingsError(reader.findings)
    return message


def _read_cold_remaining(status: dict[str, Any]) -> float | None:
    """Returns the seconds for which the upstream stays cold, None if not told.

    A value that is not a time is not a reason to lose the upstream.
    """
    value = status.get("cold_remaining")
    if value is None:
        return None
    try:
        return settings.parse_duration(str(value)).seconds
    except ValueError:
        return 0.0 if value == 0 else None


def json_response(status: int, document: Any) -> model.Response:
    """Returns a response with a JSON body."""
    return model.Response(
        status=status,
        headers=(("content-type", "application/json"),),
        body=codec.to_json(document),
    )


def findings_response(
    status: int, findings: tuple[exceptions.Finding, ...]
) -> model.Response:
    """Returns a JSON response that lists every finding."""
    return json_response(
        status,
        {
            "error": exceptions.BAD_REQUEST,
            "findings": [str(f) for f in findings],
        },
    )
