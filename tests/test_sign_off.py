"""What is known of an upstream that signed off, after its node restarts."""

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import node_membership
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import node_directory
from sassafrashall.transport import codec
from tests import fakes

ADDRESS = model.Address(host="127.0.0.1", port=1)
DRAINING = model.UpstreamState.DRAINING
READY = model.UpstreamState.READY


def _announcement(state, sequence, started_ms=1, incarnation="i-1"):
    return messages.Announce(
        upstream=model.Upstream(
            service="s",
            address=ADDRESS,
            slots=4,
            connection_limit=0,
            state=state,
            incarnation=incarnation,
        ),
        incarnation=incarnation,
        started_ms=started_ms,
        sequence=sequence,
    )


GONE = messages.Announce(upstream=None, incarnation="i-1")


class _Control:
    """A control that outlives the node's process.

    Attributes:
      state: What it has applied of the log.
      answers: Whether it answers at all.
      commits: Whether it commits commands.
      reads: Number of times that sign-offs were read.
      majority_age: Seconds since it had contact with a majority.
    """

    def __init__(self):
        self.state = fleet_state.FleetState()
        self.answers = True
        self.commits = True
        self.reads = 0
        self.majority_age = 0.0
        self.forget_directory()

    def forget_directory(self):
        """Restarts its process, which keeps the log."""
        self._directory = node_directory.Directory()
        self._incarnations = set()

    def cut_off(self):
        """Takes away its contact with the other controls."""
        self.commits = False
        self.majority_age = 5.0

    async def handle(self, message):
        match message:
            case _ if not self.answers:
                await trio.sleep_forever()
            case messages.AskControls() if not self.commits:
                raise exceptions.RpcError("there is no leader")
            case messages.AskControls(message=protocol.SignOffQuery(vm=vm)):
                self.reads += 1
                return protocol.SignOffReply(
                    sign_offs=self.state.sign_offs_of(vm)
                )
            case messages.AskControls(
                message=protocol.SubmitCommand(command=command)
            ):
                self.state, result = fleet_state.apply(
                    self.state, codec.decode(command)
                )
                return protocol.CommandResult(result=codec.encode(result))
            case messages.CallControl(
                message=protocol.Heartbeat(record=record)
            ):
                self._directory = node_directory.merge_record(
                    self._directory, record, 0.0, clock.monotonic()
                )
                held = self._directory.entries["vm"].record.signed_off
                self._incarnations.add(record.incarnation)
                return fakes.heartbeat_reply(
                    signed_off=None if record.signed_off else held,
                    majority_age=self.majority_age,
                    was_in_use=len(self._incarnations) > 1,
                )


def _node(link, incarnation):
    return node_membership.NodeMembership(
        record=fakes.node_record(incarnation=incarnation),
        link=link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        heartbeat_interval=0.02,
    )


def _state(membership):
    upstream = membership.local_upstream.value
    return upstream.state if upstream else None


@pytest.mark.parametrize("gone", [False, True])
async def test_a_sign_off_holds_after_the_node_is_killed_and_restarted(gone):
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                ask = before.mailbox.ask
                await ask(_announcement(READY, 4))
                await ask(_announcement(DRAINING, 5))
                if gone:
                    await ask(GONE)
                # It is killed as soon as this has been acknowledged.
            after = _node(link, 2)
            async with fakes.started(after):
                while not after.view.value.fresh_at > float("-inf"):
                    await after.view.wait_changed()
                # Announcements that were delayed on their way.
                for sequence in (3, 4, 9):
                    await after.mailbox.ask(_announcement(READY, sequence))
                assert _state(after) is not READY
                # The next run of the upstream is another matter.
                await after.mailbox.ask(_announcement(READY, 1, started_ms=2))
                assert _state(after) is READY


async def test_a_delayed_announcement_before_the_first_answer_is_held_back():
    """Guards against a node that believes it until a control answers."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                await before.mailbox.ask(_announcement(READY, 4))
                await before.mailbox.ask(_announcement(DRAINING, 5))
            control.answers = False
            after = _node(link, 2)
            async with fakes.started(after):
                await after.mailbox.ask(_announcement(READY, 4))
                assert _state(after) is None
                after.mailbox.tell(
                    node_membership._HeartbeatReplied(
                        reply=fakes.heartbeat_reply(
                            signed_off=model.SignOff(
                                incarnation="i-1", started_ms=1, gone=False
                            )
                        ),
                        sent_at=clock.monotonic(),
                        record=fakes.node_record(incarnation=2),
                    )
                )
                assert _state(after) is None
                await after.mailbox.ask(_announcement(DRAINING, 6))
                assert _state(after) is DRAINING


async def _wait_until_answered(membership):
    while not membership.view.value.fresh_at > float("-inf"):
        await membership.view.wait_changed()


async def _wait_until_read(control, count):
    """Waits until so many nodes have read the sign-offs in the log."""
    while control.reads < count:
        await trio.sleep(0.01)
    await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize("gone", [False, True])
async def test_a_sign_off_holds_after_the_node_and_its_control_restart(gone):
    """Guards against sign-offs that live only in the memory of processes."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                ask = before.mailbox.ask
                await ask(_announcement(READY, 4))
                await ask(GONE if gone else _announcement(DRAINING, 5))
            control.forget_directory()
            control.commits = False
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 9))
                assert _state(after) is None
                control.commits = True
                await _wait_until_read(control, 2)
                await after.mailbox.ask(_announcement(READY, 10))
                assert _state(after) is None


async def test_a_heartbeat_is_held_back_only_until_sign_offs_are_known():
    """Guards against an upstream that waits for a second heartbeat."""
    control = _Control()
    control.commits = False
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await _wait_until_answered(membership)
            await membership.mailbox.ask(_announcement(READY, 4))
            assert _state(membership) is None
            control.commits = True
            while _state(membership) is not READY:
                await trio.sleep(0.01)


@pytest.mark.parametrize("signs_off", [False, True])
async def test_without_a_leader_the_control_in_use_before_is_believed(
    signs_off,
):
    """Guards against a data centre that is cut off and doesn't go on serving.

    A node restarts there, beside a control that does not.
    """
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(3):
            before = _node(link, 1)
            async with fakes.started(before):
                await _wait_until_answered(before)
                await before.mailbox.ask(_announcement(READY, 4))
                if signs_off:
                    await before.mailbox.ask(GONE)
            control.cut_off()
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 5))
                assert _state(after) is (None if signs_off else READY)


@pytest.mark.parametrize("restarts", ["control", "contact"])
async def test_without_a_leader_no_other_control_is_believed(restarts):
    """Guards against a control that has restarted, or is not cut off."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(3):
            before = _node(link, 1)
            async with fakes.started(before):
                await _wait_until_answered(before)
                await before.mailbox.ask(_announcement(READY, 4))
            control.cut_off()
            if restarts == "control":
                control.forget_directory()
            else:
                control.majority_age = 0.0
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 5))
                assert _state(after) is None


async def test_a_sign_off_that_was_acknowledged_is_committed_later():
    """Guards against a sign-off that is lost if no leader answers at once."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await _wait_until_read(control, 1)
            await membership.mailbox.ask(_announcement(READY, 4))
            control.commits = False
            await membership.mailbox.ask(GONE)
            assert not control.state.sign_offs_of("vm")
            control.commits = True
            while not control.state.sign_offs_of("vm"):
                await trio.sleep(0.01)
    (sign_off,) = control.state.sign_offs_of("vm")
    assert (sign_off.incarnation, sign_off.gone) == ("i-1", True)


# Guards against a release that keeps the ids: the first heartbeat of the next
# run was followed, and none after it, neither `ready` nor `draining`.
async def test_the_next_run_under_an_id_is_followed_after_a_sign_off():
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            ask = membership.mailbox.ask
            await ask(_announcement(READY, 4))
            await ask(_announcement(DRAINING, 5))
            await ask(GONE)
            for sequence in (1, 2, 3):
                await ask(_announcement(READY, sequence, started_ms=2))
            assert _state(membership) is READY
            await ask(_announcement(DRAINING, 4, started_ms=2))
            assert _state(membership) is DRAINING


# Guards against a sign-off that the first heartbeat undoes, since the node has
# just started and knows no start of the run.
async def test_a_late_heartbeat_does_not_undo_the_first_sign_off():
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await membership.mailbox.ask(GONE)
            await membership.mailbox.ask(_announcement(READY, 9))
            assert _state(membership) is None


async def test_without_a_control_a_sign_off_is_acknowledged_in_time():
    """An upstream turns to another node after a second without an answer."""
    control = _Control()
    control.answers = False
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(0.9):
            await membership.mailbox.ask(_announcement(DRAINING, 5))
            assert _state(membership) is DRAINING


def test_a_control_keeps_the_sign_off_of_a_node_that_restarts():
    sign_off = model.SignOff(incarnation="i-1", started_ms=1, gone=True)
    directory = node_directory.merge_record(
        node_directory.Directory(),
        fakes.node_record(signed_off=sign_off),
        0.0,
        1.0,
    )
    for incarnation in (2, 3):
        directory = node_directory.merge_record(
            directory, fakes.node_record(incarnation=incarnation), 0.0, 1.0
        )
    assert directory.entries["vm"].record.signed_off == sign_off
