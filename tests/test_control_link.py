import contextlib

import pytest
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall.controllers import control_link
from sassafrashall.decisions import replication
from sassafrashall.transport import rpc
from tests import fakes
from tests import loopback


class _FakeControl:
    """A fake control that answers every message with its majority age."""

    def __init__(self, majority_age):
        self.majority_age = majority_age
        self.calls = 0
        self.address = loopback.free_address()

    async def handle(self, message, caller):
        if not isinstance(message, protocol.Ping):
            self.calls += 1
        return protocol.Pong(majority_age=self.majority_age)

    @contextlib.asynccontextmanager
    async def running(self):
        server = rpc.RpcServer(
            address=self.address,
            handler=self.handle,
            secrets={"s": rpc.Caller.PROCESS},
            hybrid_clock=clock.HybridClock(),
        )
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            yield self
            await server.close()
            nursery.cancel_scope.cancel()


def _link(*addresses):
    return control_link.ControlLink(
        controls=tuple(
            settings.Control(vm=f"c{n}", data_centre=f"d{n}", address=address)
            for n, address in enumerate(addresses)
        ),
        data_centre="d0",
        secret="s",
        event_log=fakes.event_log(),
    )


async def _call(link):
    message = protocol.SubmitCommand(command=b"")
    return await link.mailbox.ask(
        messages.CallControl(message=message, timeout=3.0)
    )


async def test_call_fails_over_from_an_unresponsive_control(nursery):
    async with (
        _FakeControl(0.1).running() as near,
        _FakeControl(0.2).running() as far,
    ):
        relay = loopback.SilentRelay(near.address)
        await relay.start(nursery)
        link = _link(relay.address, far.address)
        async with fakes.started(link):
            assert (await _call(link)).majority_age == 0.1
            relay.silence()
            with trio.fail_after(2.0):
                assert (await _call(link)).majority_age == 0.2


async def test_stale_control_is_replaced_by_a_fresher_one():
    async with (
        _FakeControl(30.0).running() as near,
        _FakeControl(0.2).running() as far,
    ):
        link = _link(near.address, far.address)
        async with fakes.started(link):
            await _call(link)
            link.mailbox.tell(messages.ControlIsStale(majority_age=30.0))
            with trio.fail_after(2.0):
                while (await _call(link)).majority_age != 0.2:
                    await trio.sleep(0.02)


async def test_stale_control_is_kept_if_no_other_is_reachable():
    async with _FakeControl(30.0).running() as near:
        link = _link(near.address, loopback.free_address())
        async with fakes.started(link):
            await _call(link)
            link.mailbox.tell(messages.ControlIsStale(majority_age=30.0))
            await trio.sleep(1.0)
            assert (await _call(link)).majority_age == 30.0
            assert near.calls == 2


async def test_unreachable_controls_fail_the_call_in_time():
    link = _link(loopback.free_address())
    async with fakes.started(link):
        with trio.fail_after(3.5), pytest.raises(exceptions.RpcError):
            await _call(link)


async def _leave_stale(link, age):
    return await link.mailbox.ask(messages.ControlIsStale(majority_age=age))


# Guards against nodes that learn a change too late: the probe waited for each
# control that was ever known, and nothing was asked of the new one for a while.
async def test_a_fresh_control_is_taken_before_one_that_is_gone_answers(
    nursery,
):
    async with (
        _FakeControl(3.0).running() as stale,
        _FakeControl(0.2).running() as fresh,
        _FakeControl(0.1).running() as gone,
    ):
        relay = loopback.SilentRelay(gone.address)
        await relay.start(nursery)
        link = _link(stale.address, fresh.address, relay.address)
        async with fakes.started(link):
            await _call(link)
            relay.silence()
            with trio.fail_after(control_link.PROBE_TIMEOUT / 2):
                assert await _leave_stale(link, 3.0)
            assert (await _call(link)).majority_age == 0.2


async def test_a_control_that_has_contact_again_is_kept():
    async with (
        _FakeControl(0.3).running() as near,
        _FakeControl(0.1).running() as far,
    ):
        link = _link(near.address, far.address)
        async with fakes.started(link):
            await _call(link)
            assert not await _leave_stale(link, 2.0)
            assert (await _call(link)).majority_age == 0.3


async def test_nodes_stay_while_all_controls_elect_a_leader():
    async with (
        _FakeControl(1.8).running() as near,
        _FakeControl(1.6).running() as far,
    ):
        link = _link(near.address, far.address)
        async with fakes.started(link):
            await _call(link)
            assert not await _leave_stale(link, 1.8)
            assert (await _call(link)).majority_age == 1.8


async def _ask_one(link, address):
    return await link.mailbox.ask(
        messages.CallOneControl(
            address=str(address), message=protocol.Ping(), timeout=1.0
        )
    )


# Guards against a probe of all controls, and its time-outs, where what a node
# heard from other controls tells enough.
async def test_a_control_known_to_be_fresher_is_taken_without_a_probe():
    async with (
        _FakeControl(0.9).running() as near,
        _FakeControl(0.1).running() as far,
    ):
        link = _link(near.address, far.address)
        async with fakes.started(link):
            assert not await _leave_stale(link, 0.9)
            await _ask_one(link, far.address)
            assert not await _leave_stale(link, 0.7)
            assert await _leave_stale(link, 0.9)
            assert (await _call(link)).majority_age == 0.1


# Guards against a switch to a control that has stopped to answer since.
async def test_a_control_that_failed_to_answer_is_not_known_to_be_fresher(
    nursery,
):
    async with (
        _FakeControl(0.9).running() as near,
        _FakeControl(0.1).running() as far,
    ):
        relay = loopback.SilentRelay(far.address)
        await relay.start(nursery)
        link = _link(near.address, relay.address)
        async with fakes.started(link):
            await _ask_one(link, relay.address)
            relay.silence()
            with pytest.raises(exceptions.RpcError):
                await _ask_one(link, relay.address)
            assert not await _leave_stale(link, 0.9)


# Guards against a report of a stale control that is lost, since the nearest
# control was being probed for a return.
async def test_a_stale_control_is_left_while_the_nearest_is_probed(nursery):
    async with (
        _FakeControl(0.1).running() as silent,
        _FakeControl(3.0).running() as stale,
        _FakeControl(0.1).running() as fresh,
    ):
        relay = loopback.SilentRelay(silent.address)
        await relay.start(nursery)
        link = _link(relay.address, stale.address, fresh.address)
        async with fakes.started(link):
            await _call(link)
            relay.silence()
            while (await _call(link)).majority_age != 3.0:
                pass
            # The nearest control is probed again, and does not answer.
            link.mailbox.tell(
                messages.ControlsKnown(
                    members=tuple(
                        _member(n, address)
                        for n, address in enumerate(
                            (relay.address, stale.address, fresh.address)
                        )
                    )
                )
            )
            assert await _leave_stale(link, 3.0)
            assert (await _call(link)).majority_age == 0.1


def _member(number, address):
    return replication.Member(
        replica_id=f"r{number}",
        vm=f"c{number}",
        data_centre=f"d{number}",
        address=str(address),
    )


class _SlowControl(_FakeControl):
    """A fake control that answers queries for sign-offs after a delay."""

    def __init__(self, delay):
        super().__init__(0.1)
        self._delay = delay

    async def handle(self, message, caller):
        if isinstance(message, protocol.SignOffQuery):
            await trio.sleep(self._delay)
            return protocol.SignOffReply(sign_offs=())
        return await super().handle(message, caller)


async def _ask(link, timeout):
    query = protocol.SignOffQuery(vm="vm")
    return await link.mailbox.ask(
        messages.AskControls(message=query, timeout=timeout)
    )


async def test_a_late_control_is_helped_out_and_stays_in_use():
    """Guards against nodes that change their control during an election."""
    async with (
        _SlowControl(30.0).running() as near,
        _SlowControl(0.0).running() as far,
    ):
        far.majority_age = 0.2
        link = _link(near.address, far.address)
        async with fakes.started(link):
            with trio.fail_after(2.0):
                answer = await _ask(link, 30.0)
            assert answer == protocol.SignOffReply(sign_offs=())
            assert (await _call(link)).majority_age == near.majority_age


async def test_a_question_to_controls_that_are_gone_fails():
    link = _link(loopback.free_address(), loopback.free_address())
    async with fakes.started(link):
        with trio.fail_after(2.0), pytest.raises(exceptions.RpcError):
            await _ask(link, 0.5)
