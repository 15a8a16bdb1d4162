from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall.controllers import running_calls
from tests import fakes

TICKET = fakes.ticket()


async def _begin(running, fingerprint="f"):
    return await running.mailbox.ask(
        messages.BeginNested(parent_id="c", fingerprint=fingerprint)
    )


def _end(running, *, retries, succeeded, fingerprint="f"):
    running.mailbox.tell(
        messages.EndNested(
            parent_id="c",
            fingerprint=fingerprint,
            retries=retries,
            succeeded=succeeded,
        )
    )


async def _running():
    running = running_calls.RunningCalls()
    return running


async def test_a_ticket_is_good_only_while_its_call_runs():
    running = await _running()
    async with fakes.started(running):
        early = await _begin(running)
        running.mailbox.tell(
            messages.BeginCall(ticket=TICKET, deadline=clock.monotonic() + 1)
        )
        during = await _begin(running)
        await running.mailbox.ask(messages.EndCall(call_id="c"))
        late = await _begin(running)
    assert early.code == late.code == exceptions.INVALID_TICKET
    assert isinstance(during, messages.NestedBegun)


async def test_tokens_move_along_and_come_back():
    running = await _running()
    async with fakes.started(running):
        running.mailbox.tell(messages.BeginCall(ticket=TICKET, deadline=9e9))
        first = await _begin(running)
        second = await _begin(running, "g")
        _end(running, retries=1, succeeded=True)
        third = await _begin(running, "h")
        assert (first.retries, second.retries, third.retries) == (1, 0, 1)
        left = await running.mailbox.ask(messages.EndCall(call_id="c"))
    assert left == 0


async def test_an_upstreams_own_repeats_draw_from_the_budget():
    running = await _running()
    async with fakes.started(running):
        running.mailbox.tell(messages.BeginCall(ticket=TICKET, deadline=9e9))
        await _begin(running)
        _end(running, retries=1, succeeded=False)
        repeat = await _begin(running)
        _end(running, retries=repeat.retries, succeeded=False)
        again = await _begin(running)
    assert repeat.retries == 0
    assert again.code == exceptions.RETRIES_EXHAUSTED


async def test_a_second_call_after_success_is_no_repeat():
    running = await _running()
    async with fakes.started(running):
        running.mailbox.tell(messages.BeginCall(ticket=TICKET, deadline=9e9))
        await _begin(running)
        _end(running, retries=1, succeeded=True)
        again = await _begin(running)
    assert again.retries == 1
