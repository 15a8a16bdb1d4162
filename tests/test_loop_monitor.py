import time

import trio

from sassafrashall.controllers import loop_monitor
from tests import fakes


async def test_a_blocked_loop_is_recorded_with_its_delay():
    counters = fakes.counters()
    async with fakes.started(loop_monitor.LoopMonitor(counters=counters)):
        await trio.sleep(0.02)
        time.sleep(0.4)
        await trio.sleep(0.05)
    text = counters.render()[1].decode()
    samples = [
        line
        for line in text.splitlines()
        if line.startswith("sassafrashall_loop_delay_seconds_sum")
    ]
    assert len(samples) == 1 and float(samples[0].split()[-1]) > 0.25
