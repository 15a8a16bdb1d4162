"""Fakes of the controllers and controls, and builders of requests."""

from __future__ import annotations

import contextlib

import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.controllers import cold_gate as cold_gates
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import control_survey
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import route_table
from sassafrashall.transport import codec
from sassafrashall.transport import frames


def event_log() -> events.EventLog:
    return events.EventLog(process="test", clock=clock.HybridClock())


class ConnectionLog(connection_log.ConnectionLog):
    """Keeps the closures that are written to it."""

    def __init__(self):
        super().__init__(place="test")
        self.closures = []

    def write(self, closure: connection_log.Closure) -> None:
        self.closures.append(closure)


def counters() -> metrics.Metrics:
    return metrics.Metrics(process="test", data_centre="x")


def request(method="GET", target="/a/b", **fields) -> model.Request:
    values = {
        "headers": (),
        "body": b"",
        "source": model.Source.CALLER,
        "received_at": clock.monotonic(),
    }
    return model.Request(method=method, target=target, **{**values, **fields})


def call(**fields) -> model.Call:
    values = {
        "request": request(),
        "root_id": "root",
        "service": "a",
        "organisation": "org",
        "idempotent": True,
        "deadline": clock.monotonic() + 5.0,
    }
    return model.Call(**{**values, **fields})


def node_record(**fields) -> model.NodeRecord:
    address = model.Address(host="127.0.0.1", port=1)
    values = {
        "vm": "vm",
        "data_centre": "x",
        "incarnation": 1,
        "counter": 1,
        "peer_address": address,
        "ops_address": address,
    }
    return model.NodeRecord(**{**values, **fields})


def heartbeat_reply(**fields) -> protocol.HeartbeatReply:
    """Returns the reply of a control that has no news."""
    values = {
        "directory_source": "c",
        "directory_version": 1,
        "complete": False,
        "entries": (),
        "revision": 0,
        "organisations": (),
        "withdrawn": (),
        "majority_age": 0.0,
    }
    return protocol.HeartbeatReply(**{**values, **fields})


def answer_of_controls(message):
    """Answers for a link to controls that have no news and know no sign-off."""
    match message:
        case messages.AskControls(message=protocol.SignOffQuery()):
            return protocol.SignOffReply(sign_offs=())
        case messages.AskControls():
            return protocol.CommandResult(result=b"")
        case messages.SurveyControls():
            return (control_survey.Answer(majority_age=0.0, steady_for=1e6),)
        case _:
            return heartbeat_reply()


def ticket(**fields) -> model.Ticket:
    values = {
        "organisation": "org",
        "root_id": "r",
        "call_id": "c",
        "node": "n",
        "service": "s",
        "priority": model.Priority.NORMAL,
        "remaining_ms": 100,
        "retries": 1,
        "depth": 0,
        "idempotent": True,
    }
    return model.Ticket(**{**values, **fields})


class HeldRest:
    """The rest of a streamed response, which ends once it is released.

    Attributes:
      released: Set by the test.
      closed: Set when the reader discards the rest.
    """

    def __init__(self, error=None):
        self.released = trio.Event()
        self.closed = trio.Event()
        self._error = error

    async def read(self):
        await self.released.wait()
        if self._error is not None:
            raise self._error
        return b""

    async def close(self):
        self.closed.set()


def answer(status=200, **fields) -> model.Answer:
    response = model.Response(status=status, headers=(), body=b"")
    return model.Answer(response=response, **fields)


def cold_gate(heartbeat) -> cold_gates.ColdGate:
    """Returns the gate of an upstream that gets 15 requests a second if cold.

    Args:
      heartbeat: Where the newest heartbeat is published.
    """
    document = configuration.Configuration(
        version=1,
        services=(
            configuration.Service(name="a", cold_start_s=6.0, cold_rate=4.8),
        ),
    )
    return cold_gates.ColdGate(
        service="a",
        overage=1.5,
        slack=8,
        table=mailbox.Published(initial=route_table.compile_table(document)),
        heartbeat=heartbeat,
        counters=counters(),
    )


def cold_heartbeat(sequence, run=("i1", 1), cold_remaining_s=0.0):
    return cold_rate.Heartbeat(
        run=run,
        sequence=sequence,
        cold_remaining_s=cold_remaining_s,
        heard_at=clock.monotonic(),
    )


def open_call(call=1, **fields) -> frames.OpenCall:
    values = {
        "call": call,
        "call_id": f"c{call}",
        "root_id": "r",
        "service": "s",
        "organisation": "o",
        "caller": "t",
        "priority": 1,
        "remaining_ms": 5000,
        "depth": 0,
        "idempotent": False,
        "confirm": True,
        "method": "POST",
        "target": "/",
        "headers": (),
        "body": b"",
        "more": False,
    }
    return frames.OpenCall(**{**values, **fields})


class ScriptedController(task.Controller):
    """Answers each message with a function's result, or the error it raises.

    Attributes:
      function: Called with the message; may be asynchronous.
      received: All messages, in order of arrival.
    """

    def __init__(self, function):
        super().__init__()
        self.function = function
        self.received = []

    def _handle(self, message, reply: mailbox.Reply) -> None:
        self.received.append(message)
        self._spawn(self._answer, message, reply)

    async def _answer(self, message, reply):
        try:
            result = self.function(message)
            if hasattr(result, "__await__"):
                result = await result
            reply.put(result)
        except exceptions.SassafrashallError as error:
            reply.fail(error)


class FakeControls:
    """A fake of the controls behind a link.

    Attributes:
      state: The replicated state, changed by commands.
      delay: Seconds before each answer.
      wait: The wait in each answer to a request to borrow, in seconds.
      tokens: Tokens left to lend.
      unreachable: Whether every call fails with RpcError.
      results: Each command with its result.
    """

    def __init__(self, *, delay=0.0, wait=0.5):
        self.state = fleet_state.FleetState()
        self.delay = delay
        self.wait = wait
        self.tokens = 0
        self.unreachable = False
        self.results = []

    async def handle(self, message):
        await trio.sleep(self.delay)
        if self.unreachable:
            raise exceptions.RpcError("no control")
        inner = message.message
        match inner:
            case protocol.SubmitCommand():
                command = codec.decode(inner.command)
                self.state, result = fleet_state.apply(self.state, command)
                self.results.append((command, result))
                return protocol.CommandResult(result=codec.encode(result))
            case protocol.Borrow(wanted=wanted):
                return self._lend(wanted)
            case protocol.BorrowAhead(borrows=borrows):
                return protocol.BorrowAheadReply(
                    answers=tuple(self._lend(b.wanted) for b in borrows)
                )
            case _:
                return protocol.Ack()

    def _lend(self, wanted):
        lent = min(wanted, self.tokens)
        self.tokens -= lent
        grant = protocol.LeaseGrant(
            owner="o", lease_id=f"l{self.tokens}", tokens=lent
        )
        return protocol.BorrowReply(
            grants=(grant,) if lent else (), wait=self.wait
        )


@contextlib.asynccontextmanager
async def started(*controllers):
    """Starts controllers, and closes them at the end of the block.

    They are closed in reverse order, as in the product: one that asks another
    regularly must not find it closed.
    """
    async with trio.open_nursery() as nursery:
        for controller in controllers:
            await controller.start(nursery)
        yield
        for controller in reversed(controllers):
            await controller.close()
