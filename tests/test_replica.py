"""The replica's task: its start and its end."""

import trio
import trio.testing

from sassafrashall import messages
from sassafrashall.controllers import replica as replica_module
from tests import fakes


def _new_replica(folder):
    return replica_module.Replica(
        vm="a",
        data_centre="x",
        address="127.0.0.1:1",
        folder=str(folder),
        secret="s",
        claim_retention=60.0,
        placement=None,
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )


async def test_a_message_in_the_turn_of_the_stop_does_not_fail_it(tmp_path):
    """Guards against a control that ends with an exception at its stop."""
    for number in range(5):
        replica = _new_replica(tmp_path / str(number))
        async with trio.open_nursery() as nursery:
            await replica.start(nursery)
            await replica.mailbox.ask(messages.ReadReplica())
            await trio.testing.wait_all_tasks_blocked()
            replica.mailbox.tell(messages.ReadReplica())
            await replica.close()
