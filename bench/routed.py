"""A routed fleet in this process, with stand-ins for the platform around it.

The stand-ins speak the platform's protocol: an upstream that sends heartbeats
and answers requests, an operator, and callers. They hold mutable state, as
scripts do.
"""

from __future__ import annotations

import contextlib
import json
import tempfile

import trio

from bench import fleet
from sassafrashall import control
from sassafrashall import model
from sassafrashall import routed_node
from sassafrashall import settings
from sassafrashall.transport import http
from sassafrashall.transport import http_client
from sassafrashall.transport import http_server

SECRET = "a-secret-of-the-bench"
HEARTBEAT_INTERVAL = 0.5  # seconds
READY_TIMEOUT = 15.0  # seconds


class Upstream:
    """An upstream that records what it was asked and answers as told."""

    def __init__(self, *, service, address, announce_to, slots=50):
        self.service = service
        self.address = address
        self.announce_to = announce_to
        self.slots = slots
        self.incarnation = f"i-{service}-{address.port}"
        self.state = "ready"
        self.sequence = 0
        self.born = 1000
        self.requests = []
        self.cancelled = 0
        self.delay = 0.0
        self.answer = None

    def heartbeat(self, **changes):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "address": str(self.address),
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "z",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": "0ms",
            },
        }
        return json.dumps(body | changes).encode()

    async def announce(self, **changes):
        """Sends one heartbeat and returns the status of the answer."""
        response = await send(
            self.announce_to,
            "PUT",
            f"/-/instances/{self.incarnation}",
            body=self.heartbeat(**changes),
        )
        return response.status

    async def leave(self):
        """Says farewell."""
        return await send(
            self.announce_to, "DELETE", f"/-/instances/{self.incarnation}"
        )

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Answers one request."""
        self.requests.append(raw)
        request_id = model.find_header(raw.headers, "request-id") or ""
        try:
            await trio.sleep(self.delay)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        if self.answer is not None:
            return self.answer(raw)
        return model.Response(
            status=200,
            headers=(
                ("request-id", request_id),
                ("response-signature", f"of-{request_id}"),
            ),
            body=b"answer to " + raw.body,
        )

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serves and sends heartbeats until it is cancelled."""
        server = http_server.Server(
            address=self.address,
            handler=self.handle,
            source=model.Source.CALLER,
        )
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            task_status.started()
            while True:
                with contextlib.suppress(Exception):
                    await self.announce()
                await trio.sleep(HEARTBEAT_INTERVAL)


class Fleet:
    """Controls and nodes that run in this process."""

    def __init__(self, *, services, controls=1, strict=True, policy=None):
        self._folders = contextlib.ExitStack()
        self.strict = strict
        self.policy = policy or settings.Policy(
            limit="fixed",
            routing="least-loaded",
            retries="arrivals",
            early_shed="none",
        )
        self.nursery = None
        self.operators = []
        self.callers = {}
        self.readiness = {}
        self.controls = []
        self.nodes = {}
        self.upstreams = {}
        # All at once, so that none is handed out twice.
        free = fleet.free_addresses(3 * controls + 6 * len(services))
        self._rpcs, free = free[:controls], free[controls:]
        self._control_pages = []
        for place in range(controls):
            operators, ops, *free = free
            self.operators.append(operators)
            self._control_pages.append(ops)
            self.controls.append(self._control(place, first_start=True))
        for vm, service in services.items():
            self._add_node(vm, service, free[:6])
            free = free[6:]

    def _control(self, place, *, first_start):
        """Returns a control with an empty folder."""
        return control.Control(
            settings=self._daemon(
                role=settings.Role.CONTROL,
                vm=f"control-{place}",
                listen=settings.Listen(
                    ops=self._control_pages[place],
                    rpc=self._rpcs[place],
                    operators=self.operators[place],
                ),
                data_folder=self._folders.enter_context(
                    tempfile.TemporaryDirectory()
                ),
                routed=settings.Routed(first_start=first_start),
            )
        )

    async def wipe_control(self, place, nursery):
        """Stops a control and starts it with an empty folder."""
        await self.controls[place].close()
        self.controls[place] = self._control(place, first_start=False)
        await self.controls[place].start(nursery)

    def _add_node(self, vm, service, addresses):
        callers, peers, readiness, announcements, ops, upstream = addresses
        self.callers[vm] = callers
        self.readiness[vm] = readiness
        self.upstreams[vm] = Upstream(
            service=service, address=upstream, announce_to=announcements
        )
        self.nodes[vm] = routed_node.RoutedNode(
            settings=self._daemon(
                role=settings.Role.NODE,
                vm=vm,
                listen=settings.Listen(
                    ops=ops,
                    callers=callers,
                    peers=peers,
                    readiness=readiness,
                    announcements=announcements,
                ),
                routed=settings.Routed(
                    service=service,
                    upstream=upstream,
                    strict_withdrawal=self.strict,
                ),
            )
        )

    def _daemon(self, **fields):
        return settings.Daemon(
            data_centre="dc-a",
            fleet_secret=SECRET,
            operator_secret=f"{SECRET}-operator",
            seeds=tuple(self._rpcs),
            controls=tuple(
                settings.Control(vm=str(s), data_centre="", address=s)
                for s in self._rpcs
            ),
            policy=self.policy,
            **fields,
        )

    async def start(self, nursery, *, upstreams=True):
        """Starts everything but the configuration."""
        for process in (*self.controls, *self.nodes.values()):
            await process.start(nursery)
        if upstreams:
            for upstream in self.upstreams.values():
                await nursery.start(upstream.run)

    def close(self):
        """Removes the data folders."""
        self._folders.close()

    async def configure(self, document, *, match="0", at=0):
        """Replaces the configuration and returns the operator's response."""
        return await send(
            self.operators[at],
            "PUT",
            "/-/configuration",
            headers=(("if-match", match),),
            body=json.dumps(document).encode(),
        )

    async def configured(self, document, *, match="0"):
        """Sends a configuration until it is accepted, in force and served."""
        with trio.fail_after(READY_TIMEOUT):
            while (await self.configure(document, match=match)).status != 200:
                await trio.sleep(0.05)
            for vm in self.nodes:
                await self.ready(vm)

    async def ready(self, vm):
        """Waits until a node is ready and knows every upstream."""
        while (
            await send(self.readiness[vm], "GET", "/-/readiness")
        ).status != 200:
            await trio.sleep(0.02)
        while len(known_upstreams(self.nodes[vm])) < len(self.nodes):
            await trio.sleep(0.02)


def known_upstreams(node):
    """Returns the VMs whose upstream a node knows."""
    view = node.membership.view.value
    return [r.vm for r in view.records.values() if r.upstream is not None]


def document(*, version="r1", services=("alpha",), keys=None, **route_changes):
    """Returns a configuration with one route for each service."""
    found = {
        "version": version,
        "routes": {
            f"r-{service}": {
                "host": f"{service}.example",
                "path_prefix": "/",
                "route_type": "idempotent",
                "timeout": "5s",
                "target_latency": "1s",
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "public": keys is None,
            }
            | route_changes
            for service in services
        },
        "services": {
            service: {"health_path": "/health", "max_connections": 100}
            for service in services
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 26,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    if keys is not None:
        found["tenants"] = {
            name: {"api_keys": [key], "priority": 1, "rate_per_s": 0}
            for name, key in keys.items()
        }
    return found


async def send(
    address, method, target, *, headers=(), body=b"", host=None
) -> model.Response:
    """Sends one request on a connection of its own."""
    connection = await http_client.ClientConnection.open(address)
    request = http.RawRequest(
        method=method,
        target=target,
        headers=(("host", host or str(address)), *headers),
        body=body,
        source=model.Source.CALLER,
        received_at=0.0,
    )
    try:
        return await connection.exchange(request)
    finally:
        await connection.close()


@contextlib.asynccontextmanager
async def running(document_in_force, **fields):
    """Runs a fleet with a configuration in force."""
    routed = Fleet(**fields)
    try:
        async with trio.open_nursery() as nursery:
            await routed.start(nursery)
            await routed.configured(document_in_force)
            routed.nursery = nursery
            yield routed
            nursery.cancel_scope.cancel()
    finally:
        routed.close()
