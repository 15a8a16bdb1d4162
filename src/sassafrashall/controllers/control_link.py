"""The node's link to the controls: selects the control that it calls."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.decisions import control_choice
from sassafrashall.decisions import control_survey
from sassafrashall.decisions import replication
from sassafrashall.transport import rpc

ATTEMPT_TIMEOUT = 0.6  # seconds for a call to one control
RETRY_PAUSE = 0.1  # seconds to wait once all controls have failed
PROBE_TIMEOUT = 0.5  # seconds
SURVEY_TIMEOUT = 0.2  # seconds for each of the calls to a control
HEDGE_DELAY = 0.15  # seconds until a further control is asked as well
FAILBACK_INTERVAL = 5.0  # seconds between probes of the nearest control


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Probed:
    """The result of probing controls for their contact with a majority.

    Attributes:
      ages: Addresses of the controls that answered, each with the seconds
        since its last contact with a majority.
      current_age: The same age for the control in use; negative infinity if
        only a fresh control may replace it.
      reply: Is told whether another control is in use now.
    """

    ages: tuple[tuple[str, float], ...]
    current_age: float
    reply: mailbox.Reply


class ControlLink(task.Controller):
    """Owns the RPC clients and sends calls to one control at a time.

    It prefers the controls of its own data centre, switches when a call fails
    or the control has lost its majority, and switches back once the nearest
    control is fresh again. Calls for one control go to that one only.
    """

    def __init__(
        self,
        *,
        controls: tuple[settings_module.Control, ...],
        data_centre: str,
        secret: str,
        event_log: events.EventLog,
    ) -> None:
        super().__init__()
        self._data_centre = data_centre
        self._clients = rpc.ClientPool(
            secret=secret, hybrid_clock=event_log.clock
        )
        self._events = event_log
        self._addresses: tuple[str, ...] = self._nearest_first(
            [
                (str(control.address), control.data_centre)
                for control in controls
            ]
        )
        # The members of the replicated log, as far as they are known.
        self._members = self._addresses
        # The settings may name a part of them.
        self._members_known = False
        self._current = self._addresses[0]
        self._probing_all = False
        self._probing_nearest = False
        # When each control last had contact with a majority, as it last told,
        # in monotonic seconds; without those that failed to answer since.
        self._contacts: dict[str, float] = {}
        self._next_to_ask = 0

    def _nearest_first(
        self, located_addresses: list[tuple[str, str]]
    ) -> tuple[str, ...]:
        """Returns the addresses, with those of our data centre first.

        Args:
          located_addresses: Pairs of an address and its data centre.
        """
        located_addresses = sorted(
            located_addresses, key=lambda pair: pair[1] != self._data_centre
        )
        return tuple(address for address, _ in located_addresses)

    async def _setup(self) -> None:
        self._spawn(self._fail_back)

    async def _teardown(self) -> None:
        self._clients.close()

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.CallControl():
                self._spawn(self._call, message, reply)
            case messages.CallOneControl():
                self._spawn(self._call_one, message, reply)
            case messages.AskControls():
                self._spawn(self._ask_in_steps, message, reply)
            case messages.SurveyControls():
                self._spawn(self._survey, message, reply)
            case messages.TellOtherControls(message=told):
                for address in self._members:
                    if address != self._current:
                        call = messages.CallOneControl(
                            address=address,
                            message=told,
                            timeout=ATTEMPT_TIMEOUT,
                        )
                        self._spawn(self._call_one, call, mailbox.NO_REPLY)
            case messages.ChooseControls():
                asked, self._next_to_ask = control_choice.controls_to_ask(
                    self._members, self._current, self._next_to_ask
                )
                reply.put(asked)
            case messages.ControlIsStale(majority_age=age):
                self._leave_stale(age, reply)
            case messages.ControlsKnown(members=members):
                self._update_members(members)
            case _Probed():
                self._on_probed(message)

    def _update_members(self, members: tuple[replication.Member, ...]) -> None:
        """Updates the addresses to those of the current members.

        The addresses in the settings may be long out of date.
        """
        current_members = [
            (member.address, member.data_centre) for member in members
        ]
        member_addresses = {address for address, _ in current_members}
        # A former member may still know the controls that replaced it.
        former_addresses = tuple(
            a for a in self._addresses if a not in member_addresses
        )
        self._members = self._nearest_first(current_members)
        self._members_known = True
        self._addresses = self._members + former_addresses
        self._contacts = {
            address: contact
            for address, contact in self._contacts.items()
            if address in member_addresses
        }
        nearest = self._addresses[0]
        if self._current != nearest and not self._probing_nearest:
            self._probing_nearest = True
            self._spawn(self._probe, (nearest,), float("-inf"))

    def _leave_stale(self, age: float, reply: mailbox.Reply) -> None:
        """Switches to a fresher control; looks for one if none is known."""
        fresher = control_choice.find_fresher(
            self._current,
            age,
            self._addresses,
            self._contacts,
            clock.monotonic(),
        )
        if fresher is not None:
            self._switch_to(fresher)
            reply.put(True)
        elif self._probing_all or not control_choice.is_stale(age):
            reply.put(False)
        else:
            self._probing_all = True
            self._spawn(self._probe, self._addresses, age, reply)

    async def _call(
        self, message: messages.CallControl, reply: mailbox.Reply
    ) -> None:
        """Tries the controls in turn until one answers or the call expires."""
        deadline = clock.monotonic() + message.timeout
        error: exceptions.SassafrashallError | None = None
        attempts = 0
        while not reply.abandoned:
            if attempts and attempts % len(self._addresses) == 0:
                # All controls fail while they elect a leader.
                await trio.sleep(RETRY_PAUSE)
            time_left = deadline - clock.monotonic()
            if time_left <= 0:
                break
            attempts += 1
            address = self._current
            try:
                answer = await self._clients.get(address).call(
                    message.message, min(time_left, ATTEMPT_TIMEOUT)
                )
            except exceptions.RpcError as failure:
                error = failure
                self._contacts.pop(address, None)
                if address == self._current:
                    self._switch_to(self._address_after(address))
                continue
            reply.put(answer)
            return
        reply.fail(error or exceptions.RpcError("no control answered in time"))

    async def _call_one(
        self, message: messages.CallOneControl, reply: mailbox.Reply
    ) -> None:
        sent_at = clock.monotonic()
        try:
            answer = await self._clients.get(message.address).call(
                message.message, message.timeout
            )
        except exceptions.RpcError as error:
            self._contacts.pop(message.address, None)
            reply.fail(error)
            return
        match answer:
            case protocol.Pong(majority_age=age):
                self._contacts[message.address] = sent_at - age
        reply.put(answer)

    async def _ask_in_steps(
        self, message: messages.AskControls, reply: mailbox.Reply
    ) -> None:
        """Asks one control after the other, until one has answered."""
        errors: list[exceptions.RpcError] = []

        async def ask(address: str, ended: trio.Event) -> None:
            try:
                answer = await self._clients.get(address).call(
                    message.message, message.timeout
                )
                reply.put(answer)
                nursery.cancel_scope.cancel()
            except exceptions.RpcError as error:
                errors.append(error)
            ended.set()

        first = self._addresses.index(self._current)
        async with trio.open_nursery() as nursery:
            for address in (
                *self._addresses[first:],
                *self._addresses[:first],
            ):
                ended = trio.Event()
                nursery.start_soon(ask, address, ended)
                with trio.move_on_after(HEDGE_DELAY):
                    await ended.wait()
        if not reply.done:
            reply.fail(errors[-1])

    async def _survey(
        self, message: messages.SurveyControls, reply: mailbox.Reply
    ) -> None:
        """Asks all members at the same time."""
        if not self._members_known:
            reply.put(())
            return
        answers: list[control_survey.Answer] = []

        async def ask(client: rpc.RpcClient) -> None:
            answers.append(await _ask_for_contact(client, message.record))

        async with trio.open_nursery() as nursery:
            for address in self._members:
                nursery.start_soon(ask, self._clients.get(address))
        reply.put(tuple(answers))

    def _address_after(self, address: str) -> str:
        index = self._addresses.index(address)
        return self._addresses[(index + 1) % len(self._addresses)]

    def _switch_to(self, address: str) -> None:
        if address == self._current:
            return
        self._current = address
        self._events.record("control.switched", detail=address)
        logs.get().info(
            "switched to another control", extra={"control": address}
        )

    async def _probe(
        self,
        addresses: tuple[str, ...],
        current_age: float,
        reply: mailbox.Reply = mailbox.NO_REPLY,
    ) -> None:
        """Asks controls for their contact with a majority.

        It ends once the control in use, if it is asked, and a fresh one have
        answered: others may be gone for good.
        """
        ages: list[tuple[str, float]] = []

        async def ask(address: str) -> None:
            try:
                pong = await self._clients.get(address).call(
                    protocol.Ping(), PROBE_TIMEOUT
                )
            except exceptions.RpcError:
                return
            ages.append((address, pong.majority_age))
            if (
                self._current not in addresses or self._current in dict(ages)
            ) and not all(control_choice.is_stale(age) for _, age in ages):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask, address)
        self.mailbox.tell(
            _Probed(ages=tuple(ages), current_age=current_age, reply=reply)
        )

    def _on_probed(self, message: _Probed) -> None:
        if message.current_age == float("-inf"):
            self._probing_nearest = False
        else:
            self._probing_all = False
        before = self._current
        self._switch_to(
            control_choice.choose_control(
                self._current,
                message.current_age,
                self._addresses,
                dict(message.ages),
            )
        )
        message.reply.put(self._current != before)

    async def _fail_back(self) -> None:
        """Switches back to the nearest control once it is fresh again."""
        while True:
            await trio.sleep(FAILBACK_INTERVAL)
            nearest = self._addresses[0]
            if self._current != nearest and not self._probing_nearest:
                self._probing_nearest = True
                await self._probe((nearest,), float("-inf"))


async def _ask_for_contact(
    client: rpc.RpcClient, record: model.NodeRecord | None
) -> control_survey.Answer:
    """Asks a control for its contact with a majority.

    Args:
      client: Calls the control.
      record: The node's record, which it stores before; None if it need not.
    """
    try:
        if record is not None:
            await client.call(
                protocol.RecordChanged(record=record), SURVEY_TIMEOUT
            )
        pong = await client.call(protocol.Ping(), SURVEY_TIMEOUT)
    except exceptions.RpcError as error:
        return control_survey.Answer(is_down=error.refused)
    return control_survey.Answer(
        majority_age=pong.majority_age, steady_for=pong.steady_for
    )
