"""Reads of sign-offs by many nodes that start at the same time."""

import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import sign_off_reader
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from tests import fakes

SIGN_OFF = model.SignOff(incarnation="i", started_ms=1, gone=True)


class _Log:
    """A log that commits once it is told to.

    Attributes:
      state: The applied state.
      commands: Those that were submitted.
    """

    def __init__(self):
        self.state = fleet_state.FleetState()
        self.commands = []
        self.error = None
        self._committing = trio.Event()

    async def handle(self, message):
        self.commands.append(message.command)
        await self._committing.wait()
        if self.error is not None:
            raise self.error
        self.state, result = fleet_state.apply(self.state, message.command)
        return result

    async def commit(self):
        self._committing.set()
        self._committing = trio.Event()
        await trio.testing.wait_all_tasks_blocked()


async def _ask(reader, vm, answers):
    try:
        reply = await reader.mailbox.ask(protocol.SignOffQuery(vm=vm))
        answers[vm] = reply.sign_offs
    except exceptions.RpcError as error:
        answers[vm] = error


async def test_queries_at_the_same_time_share_an_entry():
    """Guards against an entry for each node after a restart of the fleet."""
    log, answers = _Log(), {}
    replica = fakes.ScriptedController(log.handle)
    reader = sign_off_reader.SignOffReader(replica=replica.mailbox)
    async with fakes.started(replica, reader), trio.open_nursery() as nursery:
        nursery.start_soon(_ask, reader, "vm-0", answers)
        await trio.testing.wait_all_tasks_blocked()
        for number in range(1, 100):
            nursery.start_soon(_ask, reader, f"vm-{number}", answers)
        await trio.testing.wait_all_tasks_blocked()
        # These have to see what is committed from now on.
        log.state, _ = fleet_state.apply(
            log.state,
            fleet_commands.RecordSignOff(vm="vm-7", sign_off=SIGN_OFF),
        )
        await log.commit()
        assert answers == {"vm-0": ()}
        await log.commit()
    assert len(log.commands) == 2 and len(answers) == 100
    assert {vm for vm, known in answers.items() if known} == {"vm-7"}


@pytest.mark.parametrize("count", [1, 3])
async def test_queries_fail_with_their_entry_and_the_next_is_read(count):
    log, answers = _Log(), {}
    replica = fakes.ScriptedController(log.handle)
    reader = sign_off_reader.SignOffReader(replica=replica.mailbox)
    async with fakes.started(replica, reader), trio.open_nursery() as nursery:
        log.error = exceptions.RpcError("there is no leader")
        for number in range(count):
            nursery.start_soon(_ask, reader, f"vm-{number}", answers)
        await trio.testing.wait_all_tasks_blocked()
        await log.commit()
        await log.commit()
        assert len(answers) == count
        assert all(answer is log.error for answer in answers.values())
        log.error = None
        nursery.start_soon(_ask, reader, "vm", answers)
        await trio.testing.wait_all_tasks_blocked()
        await log.commit()
    assert answers["vm"] == ()
