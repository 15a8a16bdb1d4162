"""Processor time of the choice of an upstream and of the end of the attempt.

    python -m bench.routing_choice [--upstreams N] [--choices N]

The upstreams of one service are spread over three data centres, the policies
are those of the nodes' template, and every upstream reports its load with each
answer. Each second of the node's clock has 400 choices, and a heartbeat's reply
every half of it.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import time

import trio

from bench import hot_path
from sassafrashall import clock
from sassafrashall import events
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.controllers import routing
from sassafrashall.decisions import spillover

SERVICE = "s"
DATA_CENTRES = ("x", "y", "z")
SLOTS = 27
CHOICES_PER_S = 400
REPLY_INTERVAL = 0.5  # seconds


def _record(number: int) -> model.NodeRecord:
    address = model.Address(host="127.0.0.1", port=1 + number)
    return model.NodeRecord(
        vm=f"vm-{number}",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        incarnation=1,
        counter=1,
        peer_address=address,
        ops_address=address,
        upstream=model.Upstream(
            service=SERVICE,
            address=address,
            slots=SLOTS,
            connection_limit=100,
            state=model.UpstreamState.READY,
        ),
    )


def _summary(upstreams: int, now: float) -> spillover.Summary:
    """Returns the loads that the controls tell."""
    slots = SLOTS * upstreams // len(DATA_CENTRES)
    rooms = tuple(
        spillover.Room(
            service=SERVICE,
            data_centre=name,
            slots=slots,
            load=load,
            run_s=0.05,
        )
        for name, load in zip(DATA_CENTRES, (0.7, 0.5, 0.6), strict=True)
    )
    return spillover.summarize(rooms, now, {"vm-3": 1.6, "vm-7": 0.7})


async def _measure(upstreams: int, choices: int, rooms: bool) -> float:
    """Returns the processor seconds of one choice and its end."""
    policy, _ = hot_path.template_settings()
    records = {f"vm-{n}": _record(n) for n in range(upstreams)}
    view = mailbox.Published(initial=model.NodeView(records=records))
    summary = mailbox.Published(initial=spillover.Summary())
    controller = routing.Routing(
        vm="caller",
        data_centre=DATA_CENTRES[0],
        view=view,
        policy=policy,
        event_log=events.EventLog(process="vm", clock=clock.HybridClock()),
        counters=metrics.Metrics(process="vm", data_centre=DATA_CENTRES[0]),
        seed=1,
        summary=summary,
    )
    draw = random.Random(2)
    started = clock.monotonic()
    real_clock = clock.monotonic
    reply_due = 0.0
    async with trio.open_nursery() as nursery:
        await controller.start(nursery)
        before = time.process_time()
        try:
            for number in range(choices):
                now = started + number / CHOICES_PER_S
                # mypy: the clock of this process only.
                clock.monotonic = lambda now=now: now  # type: ignore
                if number / CHOICES_PER_S >= reply_due:
                    reply_due += REPLY_INTERVAL
                    view.publish(dataclasses.replace(view.value, fresh_at=now))
                    if rooms:
                        summary.publish(_summary(upstreams, now))
                choice = await controller.mailbox.ask(
                    messages.ChooseUpstream(
                        service=SERVICE, avoid=frozenset(), route="r", size=0
                    )
                )
                took = 0.04 + 0.02 * draw.random()
                controller.mailbox.tell(
                    messages.AttemptEnded(
                        vm=choice.vm,
                        service=SERVICE,
                        result=messages.AttemptResult.ANSWERED,
                        level=-1,
                        load=int(1000 * draw.random()),
                        latency=took,
                        route="r",
                        run_time=took,
                        failed=False,
                        round_trip=-1.0,
                        size=1500,
                    )
                )
            elapsed = time.process_time() - before
        finally:
            clock.monotonic = real_clock
        await controller.close()
    return elapsed / choices


def main() -> None:
    """Prints the cost with and without loads told by the controls."""
    parser = argparse.ArgumentParser(prog="python -m bench.routing_choice")
    parser.add_argument("--upstreams", type=int, default=80)
    parser.add_argument("--choices", type=int, default=20_000)
    options = parser.parse_args()
    for rooms in (True, False):
        seconds = trio.run(_measure, options.upstreams, options.choices, rooms)
        told = "told" if rooms else "not told"
        print(
            f"{options.upstreams} upstreams, loads {told}: "
            f"{1e6 * seconds:.0f} us of processor time a choice"
        )


if __name__ == "__main__":
    main()
