"""A node asks other controls for what its own control does not know."""

import contextlib

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import configuration_watch
from sassafrashall.controllers import node_membership
from tests import fakes

INTERVAL = 0.05  # seconds


class _Controls:
    """The link to fake controls, by address.

    Attributes:
      revisions: What each control has applied; None if it does not answer.
      reads: Addresses of the controls that sent their configuration.
    """

    def __init__(self, **revisions):
        self.revisions = revisions
        self.reads = []
        self.proof_age = 1e6
        self.link = fakes.ScriptedController(self._answer)

    async def _answer(self, message):
        match message:
            case messages.ChooseControls():
                return tuple(a for a in self.revisions if a != "own")
            case messages.CallControl():
                return fakes.heartbeat_reply(revision=self.revisions["own"])
            case messages.CallOneControl(address=address, timeout=timeout):
                return await self._answer_one(address, message.message, timeout)
            case messages.AskControls() | messages.SurveyControls():
                return fakes.answer_of_controls(message)
        return None

    async def _answer_one(self, address, message, timeout):
        revision = self.revisions[address]
        if revision is None:
            await trio.sleep(timeout)
            raise exceptions.RpcError("no reply")
        match message:
            case protocol.Ping():
                return protocol.Pong(
                    majority_age=0.1,
                    revision=revision,
                    proof_age=self.proof_age,
                )
            case protocol.ConfigurationQuery():
                self.reads.append(address)
                await trio.sleep(0.02)
                return protocol.ConfigurationReply(
                    revision=revision,
                    organisations=(),
                    withdrawn=("a-key",),
                    proof_age=self.proof_age,
                    document=_document(revision)
                    if message.document_version < revision
                    else None,
                )
        raise exceptions.RpcError("aborted: unknown message type")


def _document(version):
    return configuration.Configuration(
        version=version, routes=(), services=(), organisations=()
    )


@contextlib.asynccontextmanager
async def _node(controls, interval=INTERVAL):
    membership = node_membership.NodeMembership(
        record=fakes.node_record(vm="a"),
        link=controls.link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        heartbeat_interval=10.0,
    )
    watch = configuration_watch.ConfigurationWatch(
        link=controls.link.mailbox,
        membership=membership.mailbox,
        view=membership.view,
        table=membership.table,
        interval=interval,
        counters=fakes.counters(),
    )
    async with fakes.started(controls.link, membership, watch):
        yield membership


async def _wait_for_version(membership, version):
    while membership.table.value is None or (
        membership.table.value.document.version < version
    ):
        await trio.sleep(0.005)


# Guards against a node that waits until it has left a control that is cut off,
# slow or behind before it learns what that one does not know.
async def test_a_change_is_learned_from_a_control_that_is_not_in_use():
    controls = _Controls(own=1, other=1)
    async with _node(controls) as membership:
        with trio.fail_after(2):
            controls.revisions["other"] = 2
            await _wait_for_version(membership, 2)
    assert membership.view.value.configuration.revision == 2
    assert "a-key" in membership.view.value.configuration.withdrawn


# Guards against a node that waits for its next round after all processes have
# lost power: controls start after it, and it refuses requests meanwhile.
async def test_a_node_without_a_configuration_asks_more_often():
    controls = _Controls(own=0, other=0)
    async with _node(controls, interval=10.0) as membership:
        await trio.sleep(2 * configuration_watch.STARTUP_INTERVAL)
        assert membership.table.value is None
        controls.revisions["other"] = 1
        with trio.fail_after(2):
            await _wait_for_version(membership, 1)
        # Later changes are left to the regular rounds.
        controls.revisions["other"] = 2
        await trio.sleep(3 * configuration_watch.STARTUP_INTERVAL)
    assert membership.table.value.document.version == 1


async def test_a_node_of_a_fleet_without_a_configuration_stops_asking_often(
    monkeypatch,
):
    monkeypatch.setattr(configuration_watch, "STARTUP_PERIOD", 0.2)
    controls = _Controls(own=0, other=0)
    async with _node(controls, interval=10.0) as membership:
        await trio.sleep(0.5)
        controls.revisions["other"] = 1
        await trio.sleep(3 * configuration_watch.STARTUP_INTERVAL)
    assert membership.table.value is None


# Guards against questions that wait for each other: one control is gone.
async def test_a_control_that_does_not_answer_holds_up_no_other():
    controls = _Controls(own=1, gone=None, other=2)
    async with _node(controls) as membership:
        with trio.fail_after(configuration_watch.ASK_TIMEOUT / 2):
            await _wait_for_version(membership, 2)


async def test_two_controls_are_not_both_read_for_the_same_change():
    controls = _Controls(own=1, first=2, second=2)
    async with _node(controls) as membership:
        with trio.fail_after(2):
            await _wait_for_version(membership, 2)
        await trio.sleep(2 * configuration_watch.SECOND_READ_DELAY)
    assert len(controls.reads) == 1


async def test_a_control_that_is_behind_changes_nothing():
    controls = _Controls(own=3, behind=2)
    async with _node(controls) as membership:
        await trio.sleep(4 * INTERVAL)
    assert membership.view.value.configuration.revision == 3
    assert controls.reads == []


# Guards against keys that are refused during a cut although their freshness was
# proven: the control in use can't prove it any more.
@pytest.mark.parametrize(("revision", "is_proven"), [(2, True), (1, False)])
async def test_another_control_proves_that_keys_are_fresh(revision, is_proven):
    controls = _Controls(own=2, other=revision)
    controls.proof_age = 0.2
    async with _node(controls) as membership:
        await trio.sleep(4 * INTERVAL)
        fresh_at = membership.view.value.fresh_at
        assert (fresh_at > clock.monotonic() - 1e5) == is_proven


# Builds from before tell no revision and don't know the question for it.
async def test_a_control_that_tells_no_revision_is_not_read():
    controls = _Controls(own=1, old=-1)
    async with _node(controls) as membership:
        await trio.sleep(4 * INTERVAL)
    assert controls.reads == []
    assert membership.view.value.configuration.revision == 1


# Guards against a sign-off that only the control in use knows: nodes beside the
# others go on sending while the controls are cut off from each other.
async def test_a_sign_off_is_told_to_all_controls():
    controls = _Controls(own=1)
    upstream = model.Upstream(
        service="a",
        address=model.Address(host="127.0.0.1", port=1),
        slots=4,
        connection_limit=0,
        state=model.UpstreamState.READY,
    )
    async with _node(controls) as membership:
        for sequence, state in enumerate((upstream, None)):
            await membership.mailbox.ask(
                messages.Announce(
                    upstream=state,
                    incarnation="run",
                    started_ms=1,
                    sequence=sequence,
                )
            )
        await trio.testing.wait_all_tasks_blocked()
    told = [
        message.message.record
        for message in controls.link.received
        if isinstance(message, messages.TellOtherControls)
    ]
    assert told[-1].signed_off is not None
    assert told[-1].upstream is None
