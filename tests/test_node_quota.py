import math

import trio

from sassafrashall import clock
from sassafrashall import messages
from sassafrashall.controllers import node_quota
from sassafrashall.decisions import token_cache
from tests import fakes


async def _take_token(quota, timeout=1.0, organisation="org"):
    return await quota.mailbox.ask(
        messages.TakeToken(
            organisation=organisation, deadline=clock.monotonic() + timeout
        )
    )


async def test_slow_control_does_not_cause_a_refusal():
    controls = fakes.FakeControls(delay=3 * node_quota.TOKEN_WAIT)
    controls.tokens = 1
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(link=link.mailbox, counters=fakes.counters())
    async with fakes.started(link, quota):
        assert await _take_token(quota) == messages.TokenGranted()


async def test_request_over_the_rate_is_refused_soon_with_a_wait():
    controls = fakes.FakeControls()
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(link=link.mailbox, counters=fakes.counters())
    async with fakes.started(link, quota):
        with trio.fail_after(0.5):
            refused = await _take_token(quota)
    assert refused == messages.TokenRefused(wait=0.5)


async def test_refusal_says_that_owners_are_unreachable():
    controls = fakes.FakeControls()
    controls.unreachable = True
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(link=link.mailbox, counters=fakes.counters())
    async with fakes.started(link, quota):
        refused = await _take_token(quota)
    assert refused.unreachable


async def test_no_more_requests_admitted_than_tokens_lent():
    controls = fakes.FakeControls()
    controls.tokens = 25
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(link=link.mailbox, counters=fakes.counters())
    answers = []

    async def take_one():
        answers.append(await _take_token(quota))

    async with fakes.started(link, quota), trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(take_one)
    assert answers.count(messages.TokenGranted()) == 25


async def test_high_demand_does_not_borrow_for_each_request():
    controls = fakes.FakeControls()
    controls.tokens = 100_000
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(link=link.mailbox, counters=fakes.counters())
    async with fakes.started(link, quota):
        for _ in range(600):
            await _take_token(quota)
            await trio.sleep(0.001)
        borrows = sum(
            "Borrow" in type(m.message).__name__ for m in link.received
        )
    assert borrows < 200


async def test_prefetches_for_several_organisations_are_batched():
    controls = fakes.FakeControls()
    controls.tokens = 100_000
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(
        link=link.mailbox,
        counters=fakes.counters(),
        borrowing_policy=token_cache.RELAXED,
    )
    async with fakes.started(link, quota):
        for _ in range(300):
            for name in ("a", "b", "c"):
                answer = await _take_token(quota, organisation=name)
                assert answer == messages.TokenGranted()
            await trio.sleep(0.005)
        sent = [type(m.message).__name__ for m in link.received]
    prefetches = [
        m.message for m in link.received if hasattr(m.message, "borrows")
    ]
    assert max(len(message.borrows) for message in prefetches) == 3
    # 900 requests take about 1.5 seconds. The first ones borrow one by one,
    # until there is a demand to prefetch for.
    assert len(sent) < 60


async def test_empty_prefetch_does_not_delay_a_request():
    controls = fakes.FakeControls()
    controls.tokens = 3
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(
        link=link.mailbox,
        counters=fakes.counters(),
        borrowing_policy=token_cache.RELAXED,
    )
    async with fakes.started(link, quota):
        while await _take_token(quota) == messages.TokenGranted():
            pass
        await trio.sleep(0.6)
        controls.tokens = 50
        assert await _take_token(quota) == messages.TokenGranted()


async def test_borrows_back_off_while_owners_have_no_tokens():
    """Guards against a flood of borrows from nodes to the owners.

    It comes about when one organisation is far over its rate at every node.
    """
    controls = fakes.FakeControls(wait=0.01)
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(
        link=link.mailbox,
        counters=fakes.counters(),
        borrowing_policy=token_cache.RELAXED,
    )
    duration = 2.0
    async with fakes.started(link, quota):
        with trio.move_on_after(duration):
            while True:
                await _take_token(quota)
    # The pause doubles from 10 ms up to TOKEN_WAIT.
    doublings = math.log2(node_quota.TOKEN_WAIT / node_quota.MIN_RETRY_PAUSE)
    borrows_per_second = (
        1 / node_quota.TOKEN_WAIT + 1 / node_quota.PREFETCH_RETRY_PAUSE
    )
    assert len(link.received) <= math.ceil(doublings) + math.ceil(
        duration * borrows_per_second
    )


async def test_requests_far_over_a_known_rate_are_refused_at_once():
    """Pattern: one organisation at many times its rate.

    Each of its requests held memory and a timer for TOKEN_WAIT, hundreds a
    second at a node, and its caller learned late what was known at once.
    """
    controls = fakes.FakeControls(wait=0.01)
    controls.tokens = 3
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(
        link=link.mailbox,
        counters=fakes.counters(),
        borrowing_policy=token_cache.RELAXED,
    )
    refused_after = []

    async def take_one():
        asked_at = clock.monotonic()
        if isinstance(await _take_token(quota), messages.TokenRefused):
            refused_after.append(clock.monotonic() - asked_at)

    async with fakes.started(link, quota):
        while await _take_token(quota) == messages.TokenGranted():
            pass
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(take_one)
        at_once = [t for t in refused_after if t < node_quota.TOKEN_WAIT / 2]
        assert len(refused_after) == 100
        assert len(at_once) >= 90
        # Those that still wait find out when there are tokens again.
        controls.tokens = 50
        with trio.fail_after(2):
            while await _take_token(quota) != messages.TokenGranted():
                pass


async def test_the_wait_told_grows_with_the_excess_over_the_rate():
    controls = fakes.FakeControls(wait=0.01)
    link = fakes.ScriptedController(controls.handle)
    quota = node_quota.NodeQuota(
        link=link.mailbox,
        counters=fakes.counters(),
        borrowing_policy=token_cache.RELAXED,
    )
    waits = []
    async with fakes.started(link, quota):
        for step in range(200):
            if step % 10 == 0:
                controls.tokens = 5
            for _ in range(4):
                # Forty asked for where five are lent.
                answer = await _take_token(quota, timeout=0.001)
                if isinstance(answer, messages.TokenRefused):
                    waits.append(answer.wait)
            await trio.sleep(0.005)
    assert max(waits) > 0.5
    assert max(waits) <= node_quota.MAX_OVER_RATE_WAIT
