"""Stand-in upstreams, which report what they run and may spoil answers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import math
import random
import time
import urllib.parse

import h11
import trio

from bench.soak import callers
from bench.soak import faults
from bench.soak import model as soak_model
from bench.soak import proxy
from sassafrashall import model
from sassafrashall import settings

HEARTBEAT_INTERVAL = 1.0  # seconds
SLOTS = 50
NARROW_SLOTS = 4  # of a service that is overloaded
SPOILT_SHARE = 0.3  # of the answers while an upstream spoils
SHED_SHARE = 0.5  # of the requests while it refuses some
MAX_HEAD = 65536  # bytes; nodes add to heads of up to 16 KB
SERVE_ON = 1.0  # seconds past the drain bound for which one that left serves
SIGN_OFF_TIMEOUT = 4.0  # seconds after which it leaves unacknowledged
REPEAT_DELAY = 0.02  # seconds from an answer to its repetition
HEARTBEAT_TIMEOUT = 1.0  # seconds
MAX_REDIRECTS = 2


class Upstream:
    """Serves one address and announces another, that of its proxy."""

    def __init__(
        self,
        *,
        vm: str,
        service: str,
        address: model.Address,
        announced: model.Address,
        announce_to: model.Address,
        seed: int,
        slots: int = SLOTS,
        starts_cold: bool = False,
        report: Callable[[soak_model.Observation], None],
    ) -> None:
        self._vm = vm
        self._service = service
        self._address = address
        self._announced = announced
        self._announce_to = announce_to
        # Where the last answer asked for heartbeats, until one fails there.
        self._told_address: model.Address | None = None
        self._random = random.Random(f"{seed} {vm}")
        self._report = report
        self._slots = slots
        self._starts_cold = starts_cold
        self._cold_until = 0.0
        self._is_assumed_cold = False
        # When the node got a heartbeat that tells that the upstream is cold.
        self._told_at = math.inf
        self._incarnation = f"i-{vm}"
        self._spoiling: faults.Spoiling | None = None
        self._sequence = 0
        self._born_ms = 1000
        self._state: str | None = "ready"
        self._is_leaving = False

    @property
    def _path(self) -> str:
        return f"/-/instances/{self._incarnation}"

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address, then serves and announces in `nursery`."""
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        nursery.start_soon(self._announce_periodically)

    async def spoil(self, how: faults.Spoiling, seconds: float) -> None:
        """Spoils a share of the answers for some seconds."""
        self._spoiling = how
        await trio.sleep(seconds)
        if self._spoiling is how:
            self._spoiling = None

    def end_overload(self) -> None:
        """Announces as many slots as others from the next heartbeat on."""
        self._slots = SLOTS

    def turn_cold(self, *, is_assumed: bool = False) -> None:
        """Is cold from now on.

        Args:
          is_assumed: Whether its node has to know without a heartbeat.
        """
        now = time.monotonic()
        self._cold_until = now + soak_model.COLD_START
        self._is_assumed_cold = is_assumed
        self._told_at = now if is_assumed else math.inf

    def _cold_remaining(self) -> float:
        return max(0.0, self._cold_until - time.monotonic())

    async def restart(self, fault: faults.RestartUpstream) -> None:
        """Signs off, serves on for a while, and starts again under its id."""
        if self._is_leaving:
            return
        self._is_leaving = True
        if fault.reports_draining:
            self._state = "draining"
            await self._send_until_acknowledged(self._send_heartbeat)
        else:
            self._state = None
            await self._send_until_acknowledged(self._send_sign_off)
        await trio.sleep(soak_model.Bounds().drain + SERVE_ON)
        self._state = None
        if fault.reports_draining:
            await self._send_sign_off()
        await trio.sleep(fault.down)
        # Milliseconds of the clock, as no run of it has begun before.
        self._born_ms = max(self._born_ms + 1, int(time.time() * 1000))
        self._sequence = 0
        self._state = "ready"
        if self._starts_cold:
            self.turn_cold()
        self._report(
            soak_model.UpstreamStarted(vm=self._vm, at=time.monotonic())
        )
        self._is_leaving = False

    async def _send_until_acknowledged(
        self, send: Callable[[], Awaitable[int]]
    ) -> None:
        with trio.move_on_after(SIGN_OFF_TIMEOUT):
            while await send() != 200:
                await trio.sleep(0.1)
            self._report(soak_model.SignedOff(vm=self._vm, at=time.monotonic()))

    async def delay_heartbeat(self, seconds: float) -> None:
        """Sends the heartbeat that is due now some seconds late."""
        if self._state is not None:
            body = self._heartbeat()
            await trio.sleep(seconds)
            # It is given up long before, so that no redirect is followed.
            await self._send("PUT", body)

    async def _announce_periodically(self) -> None:
        while True:
            if self._state is not None:
                await self._send_heartbeat()
            await trio.sleep(HEARTBEAT_INTERVAL)

    async def _send_heartbeat(self) -> int:
        cold_until = self._cold_until
        status = 0
        with trio.move_on_after(HEARTBEAT_TIMEOUT):
            status = await self._send_redirected(self._heartbeat())
        if status == 200 and cold_until == self._cold_until:
            self._told_at = min(self._told_at, time.monotonic())
        return status

    async def _send_redirected(self, body: bytes) -> int:
        """Sends a heartbeat where the node asks for it; returns the status."""
        told, self._told_address = self._told_address, None
        address = told or self._announce_to
        for _ in range(1 + MAX_REDIRECTS):
            response, answer = await callers.send(
                address, "PUT", self._path, body=body
            )
            if response is None or response.status_code != 307:
                break
            location = dict(response.headers)[b"location"].decode()
            address = settings.parse_address(
                urllib.parse.urlsplit(location).netloc
            )
        if response is None or response.status_code != 200:
            return response.status_code if response else 0
        if named := json.loads(answer).get("heartbeat_uri"):
            self._told_address = settings.parse_address(named)
        else:
            self._told_address = told
        return 200

    async def _send_sign_off(self) -> int:
        return await self._send("DELETE", b"")

    def _heartbeat(self) -> bytes:
        self._sequence += 1
        body = {
            "address": str(self._announced),
            "born": self._born_ms,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": "z",
                "slots": self._slots,
            },
            "status": {
                "state": self._state,
                "sequence": self._sequence,
                "cold_remaining": f"{int(1000 * self._cold_remaining())}ms",
            },
        }
        return json.dumps(body).encode()

    async def _send(self, method: str, body: bytes) -> int:
        """Sends a heartbeat or sign-off; returns the status, 0 if it failed."""
        status = 0
        with trio.move_on_after(HEARTBEAT_TIMEOUT):
            status, _ = await callers.send_once(
                self._announce_to, method, self._path, body=body
            )
        return status

    async def _serve(self, stream: trio.SocketStream) -> None:
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD
        )
        try:
            while await self._serve_request(stream, protocol):
                protocol.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.ProtocolError:
            # The node closed the connection in the middle of a request.
            pass
        finally:
            stream.socket.close()

    async def _serve_request(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        request, body = await callers.receive_message(stream, protocol)
        if request is None:
            return False
        headers = dict(request.headers)
        request_id = headers.get(b"request-id", b"").decode()
        target = request.target.decode()
        instance = headers.get(b"target-instance", b"").decode()
        refuses = instance not in ("", self._incarnation)
        if not refuses:
            self._report_cold()
        if not request_id:  # a health check
            await stream.send_all(self._encode(protocol, 200, "", b"", ""))
            return True
        spoiling = None
        match self._spoiling:
            case faults.ShedHalf():
                share = SHED_SHARE
            case _:
                share = SPOILT_SHARE
        if self._spoiling and self._random.random() < share:
            spoiling = self._spoiling
        match spoiling:
            case faults.RepeatedRefusal(with_id=with_id):
                data = self._encode(
                    protocol, 503, request_id if with_id else "", b"", ""
                )
                await stream.send_all(data)
                await trio.sleep(REPEAT_DELAY)
                await stream.send_all(data)
                return True
        if refuses or isinstance(spoiling, faults.ShedHalf):
            status = 421 if refuses else 503
            await stream.send_all(
                self._encode(protocol, status, request_id, b"", "")
            )
            return True
        self._report(
            soak_model.Ran(
                request_id=request_id,
                at=time.monotonic(),
                vm=self._vm,
                target=target,
                body=body,
                sound=spoiling is None,
            )
        )
        size, seconds = parse_target(target)
        await trio.sleep(seconds)
        answer = soak_model.answer_body(request_id, size)
        signature = soak_model.signature(request_id, self._vm)
        data = self._encode(protocol, 200, request_id, answer, signature)
        match spoiling:
            case faults.SecondAnswer():
                await stream.send_all(data)
                await trio.sleep(REPEAT_DELAY)
                await stream.send_all(data)
            case faults.CutAnswer(in_head=in_head, fraction=fraction):
                whole = len(data) - (len(answer) if in_head else 0)
                await stream.send_all(data[: int(whole * fraction)])
                return False
            case faults.ResetAfterRun():
                proxy.reset(stream)
                return False
            case _:
                await stream.send_all(data)
        return True

    def _report_cold(self) -> None:
        """Reports the arrival of a request while its node knows of the cold."""
        now = time.monotonic()
        if self._told_at <= now < self._cold_until:
            self._report(
                soak_model.ColdArrival(
                    vm=self._vm,
                    at=now,
                    told_at=self._told_at,
                    is_assumed=self._is_assumed_cold,
                )
            )

    def _encode(
        self,
        protocol: h11.Connection,
        status: int,
        request_id: str,
        body: bytes,
        signature: str,
    ) -> bytes:
        headers = [("content-length", str(len(body)))]
        if request_id:
            headers.append(("request-id", request_id))
        if signature:
            headers.append(("response-signature", signature))
        elif status != 200:
            headers.append(("not-executed", "1"))
        else:
            headers.append(("instance-id", self._incarnation))
        response = h11.Response(status_code=status, headers=headers)
        data = protocol.send(response) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        return data + (protocol.send(h11.EndOfMessage()) or b"")


def parse_target(target: str) -> tuple[int, float]:
    """Returns the size of the answer in bytes and the time to run, seconds."""
    fields = urllib.parse.parse_qs(target.partition("?")[2])
    with contextlib.suppress(KeyError, ValueError):
        return int(fields["size"][0]), float(fields["ms"][0]) / 1000
    return 0, 0.0
