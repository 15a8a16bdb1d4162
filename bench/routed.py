"""A routed fleet in this process, with a simulated platform around it.

The simulated upstreams, operator and callers speak the platform's protocol.
Tests and scripts change the state of the upstreams and of the fleet directly.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import tempfile

import trio

from bench import fleet
from sassafrashall import clock
from sassafrashall import control
from sassafrashall import model
from sassafrashall import routed_node
from sassafrashall import settings
from sassafrashall.decisions import voter_placement
from sassafrashall.transport import http
from sassafrashall.transport import http_client
from sassafrashall.transport import http_server

SECRET = "a-secret-of-the-bench"
HEARTBEAT_INTERVAL = 0.5  # seconds
READY_TIMEOUT = 15.0  # seconds
MAX_SEEDS = 3  # controls that the settings name


class Upstream:
    """A simulated upstream that sends heartbeats and records its requests.

    Attributes:
      announce_to: Address at which its node accepts heartbeats.
      incarnation: Instance ID in the target of its heartbeats.
      state: State that its heartbeats carry.
      sequence: Number of its last heartbeat.
      born: Start time that its heartbeats carry, in milliseconds.
      requests: Requests received so far.
      cancelled: Number of requests cancelled while they waited.
      delay: Seconds before it answers.
      held: Requests are answered once this event is set; None for at once.
      answer: Function from a request to its response; None for the default.
      cold_remaining: Time that its heartbeats say it stays cold.
      received_at: When each request arrived, in monotonic seconds.
    """

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
        self.held = None
        self.answer = None
        self.cold_remaining = "0ms"
        self.received_at = []

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
                "cold_remaining": self.cold_remaining,
            },
        }
        return json.dumps(body | changes).encode()

    async def announce(self, **changes):
        """Sends one heartbeat and returns the status of the response."""
        response = await send(
            self.announce_to,
            "PUT",
            f"/-/instances/{self.incarnation}",
            body=self.heartbeat(**changes),
        )
        return response.status

    async def leave(self):
        """Withdraws the upstream from its node and returns the response."""
        return await send(
            self.announce_to, "DELETE", f"/-/instances/{self.incarnation}"
        )

    async def handle(self, raw: http.RawRequest) -> model.Response:
        """Records one request and answers it after the delay."""
        self.requests.append(raw)
        self.received_at.append(clock.monotonic())
        request_id = model.find_header(raw.headers, "request-id") or ""
        try:
            await trio.sleep(self.delay)
            if self.held is not None:
                await self.held.wait()
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
    """Controls and nodes that run in this process.

    Attributes:
      strict: Whether nodes run with `strict_withdrawal`.
      grace: Seconds that nodes have to stop.
      cold_bounds: Bounds of a cold upstream in the settings of the nodes.
      data_centres: Data centre by VM of the nodes; `dc-a` for others.
      evacuation: Seconds within which an evacuation is in force.
      nursery: Nursery of the processes; set by `running`.
      operators: Address for operators of each control.
      callers: Address for callers of each node, by VM.
      readiness: Address of the readiness check of each node, by VM.
      upstreams: Simulated upstream of each node, by VM.
    """

    def __init__(
        self,
        *,
        services,
        controls=1,
        strict=True,
        policy=None,
        grace=6.0,
        losses=None,
        cold_bounds=None,
        pipeline_depth=1,
        data_centres=None,
        evacuation=0.0,
    ):
        self._pipeline_depth = pipeline_depth
        self._losses = losses or voter_placement.Losses()
        self._data_folders = contextlib.ExitStack()
        self._node_settings = {}
        self.grace = grace
        self.cold_bounds = cold_bounds or {}
        self.data_centres = data_centres or {}
        self.evacuation = evacuation
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
        # Reserved in one call: two calls could return the same port.
        addresses = fleet.free_addresses(3 * controls + 6 * len(services))
        self._rpc_addresses, addresses = (
            addresses[:controls],
            addresses[controls:],
        )
        self._control_ops = []
        self._control_folders = {}
        for index in range(controls):
            operators, ops, *addresses = addresses
            self.operators.append(operators)
            self._control_ops.append(ops)
            self._control_folders[index] = self._new_folder()
            self.controls.append(self._new_control(index, first_start=True))
        for vm, service in services.items():
            self._add_node(vm, service, addresses[:6])
            addresses = addresses[6:]

    def _new_folder(self):
        return self._data_folders.enter_context(tempfile.TemporaryDirectory())

    def _new_control(self, index, *, first_start):
        """Returns a control with the data folder that it has now."""
        return control.Control(
            settings=self._daemon_settings(
                role=settings.Role.CONTROL,
                vm=f"control-{index}",
                listen=settings.Listen(
                    ops=self._control_ops[index],
                    rpc=self._rpc_addresses[index],
                    operators=self.operators[index],
                ),
                data_folder=self._control_folders[index],
                routed=settings.Routed(
                    first_start=first_start,
                    losses=self._losses,
                    regions=dict.fromkeys(self.data_centres.values(), "region"),
                ),
            )
        )

    async def wipe_control(self, index, nursery):
        """Stops a control and starts it again with an empty data folder."""
        await self.controls[index].close()
        await self.start_empty_control(index, nursery)

    async def start_empty_control(self, index, nursery):
        """Starts a control that was closed, with an empty data folder."""
        self._control_folders[index] = self._new_folder()
        await self.start_control(index, nursery)

    async def start_control(self, index, nursery):
        """Starts a closed control with the data folder that it had."""
        self.controls[index] = self._new_control(index, first_start=False)
        await self.controls[index].start(nursery)

    def _add_node(self, vm, service, addresses):
        callers, peers, readiness, announcements, ops, upstream = addresses
        self.callers[vm] = callers
        self.readiness[vm] = readiness
        self.upstreams[vm] = Upstream(
            service=service, address=upstream, announce_to=announcements
        )
        self._node_settings[vm] = self._daemon_settings(
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
                grace=settings.Duration(seconds=self.grace),
                evacuation=settings.Duration(seconds=self.evacuation),
                **self.cold_bounds,
                pipeline_depth=self._pipeline_depth,
            ),
        )
        self.new_node(vm)

    def set_heartbeat_ports(self, vm, ports):
        """Sets the ports between which the next node of a VM picks one."""
        node = self._node_settings[vm]
        routed = dataclasses.replace(node.routed, heartbeat_ports=ports)
        self._node_settings[vm] = dataclasses.replace(node, routed=routed)

    def new_node(self, vm):
        """Creates the node of a VM; one before it has to be closed."""
        self.nodes[vm] = routed_node.RoutedNode(
            settings=self._node_settings[vm]
        )
        return self.nodes[vm]

    def _daemon_settings(self, **fields):
        return settings.Daemon(
            data_centre=self.data_centres.get(fields["vm"], "dc-a"),
            fleet_secret=SECRET,
            operator_secret=f"{SECRET}-operator",
            seeds=tuple(self._rpc_addresses[:MAX_SEEDS]),
            controls=tuple(
                settings.Control(
                    vm=str(address), data_centre="", address=address
                )
                for address in self._rpc_addresses[:MAX_SEEDS]
            ),
            policy=self.policy,
            **fields,
        )

    async def start(self, nursery, *, upstreams=True):
        """Starts controls, nodes and, unless told otherwise, upstreams."""
        for process in (*self.controls, *self.nodes.values()):
            await process.start(nursery)
        if upstreams:
            for upstream in self.upstreams.values():
                await nursery.start(upstream.run)

    def close(self):
        """Removes the data folders of the controls."""
        self._data_folders.close()

    async def put_configuration(self, document, *, match="0", at=0):
        """Sends a configuration to a control and returns the response.

        Args:
          document: Configuration, as `document` returns it.
          match: Version that it replaces (`If-Match`); `0` for the first one.
          at: Index of the control.
        """
        return await send(
            self.operators[at],
            "PUT",
            "/-/configuration",
            headers=(("if-match", match),),
            body=json.dumps(document).encode(),
        )

    async def get(self, *headers, vm="vm-a", host="beta.example", path="/x"):
        """Sends one request of a caller and returns the response.

        Args:
          *headers: Headers besides the request ID.
          vm: VM of the node that gets the request.
          host: Host that the request names.
          path: Target of the request.
        """
        return await send(
            self.callers[vm],
            "GET",
            path,
            headers=(("request-id", "r1"), *headers),
            host=host,
        )

    async def evacuate(self, data_centre, *, method="POST", at=0):
        """Asks a control to begin or end an evacuation, returns the response.

        Args:
          data_centre: The data centre.
          method: `POST` to begin, `DELETE` to end.
          at: Index of the control.
        """
        return await send(
            self.operators[at], method, f"/-/evacuation/{data_centre}"
        )

    async def apply_configuration(self, document, *, match="0"):
        """Sends a configuration until it is accepted and every node is ready.

        Raises:
          TooSlowError: This took longer than `READY_TIMEOUT`.
        """
        with trio.fail_after(READY_TIMEOUT):
            while (
                await self.put_configuration(document, match=match)
            ).status != 200:
                await trio.sleep(0.05)
            for vm in self.nodes:
                await self.wait_ready(vm)

    async def wait_ready(self, vm):
        """Waits until a node reports ready and knows all upstreams."""
        while (
            await send(self.readiness[vm], "GET", "/-/readiness")
        ).status != 200:
            await trio.sleep(0.02)
        while len(known_upstreams(self.nodes[vm])) < len(self.nodes):
            await trio.sleep(0.02)


def known_upstreams(node):
    """Returns the VMs of which a node knows the upstream."""
    view = node.membership.view.value
    return [r.vm for r in view.records.values() if r.upstream is not None]


def document(*, version="r1", services=("alpha",), keys=None, **route_changes):
    """Returns a configuration with one route for each service."""
    configuration = {
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
        configuration["tenants"] = {
            name: {"api_keys": [key], "priority": 1, "rate_per_s": 0}
            for name, key in keys.items()
        }
    return configuration


async def send(
    address, method, target, *, headers=(), body=b"", host=None
) -> model.Response:
    """Sends one request on a new connection and returns the response."""
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
async def running(document_in_force, *, prepare=None, **fields):
    """Runs a fleet and yields it once the configuration is in force.

    Args:
      document_in_force: Configuration, as `document` returns it.
      prepare: Function that is called with the fleet before it starts.
      **fields: Arguments of `Fleet`.
    """
    routed = Fleet(**fields)
    try:
        if prepare is not None:
            prepare(routed)
        async with trio.open_nursery() as nursery:
            await routed.start(nursery)
            await routed.apply_configuration(document_in_force)
            routed.nursery = nursery
            yield routed
            nursery.cancel_scope.cancel()
    finally:
        routed.close()
