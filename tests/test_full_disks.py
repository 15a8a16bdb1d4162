"""Controls whose disks are full for a while, one after the other."""

from __future__ import annotations

import subprocess
import sys
import textwrap

from bench import routed
import pytest
import trio

from sassafrashall.decisions import replication
from sassafrashall.storage import log_store

ACK = 4.0  # seconds, the bound of an acknowledgement
FULL = 2.5  # seconds for which a disk is full
CATCH_UP = 4.0  # seconds until a lost control counts no longer as lost


def _refuse_writes(control):
    """Lets the writes of a control fail; returns a function that ends it."""
    store = control._replica._store
    persist = store.persist

    def refuse(actions):
        raise log_store.WriteError("database or disk is full")

    store.persist = refuse

    def end():
        store.persist = persist

    return end


class _Operator:
    """Sends changes in turn, each until it is acknowledged."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.version = 1
        self.slowest = 0.0
        self.refused = []
        self._stopped = False
        self._ended = trio.Event()

    async def change(self):
        before, self.version = self.version, self.version + 1
        document = routed.document(version=f"r{self.version}")
        began = trio.current_time()
        attempt = 0
        while True:
            attempt += 1
            response = None
            with trio.move_on_after(1.0):
                try:
                    response = await self._fleet.put_configuration(
                        document,
                        match=f"r{before}",
                        at=attempt % len(self._fleet.operators),
                    )
                except Exception:
                    pass
            if response is not None and response.status == 200:
                break
            if response is not None and response.status < 500:
                self.refused.append(response)
            await trio.sleep(0.05)
        self.slowest = max(self.slowest, trio.current_time() - began)

    async def change_regularly(self):
        while not self._stopped:
            await self.change()
            await trio.sleep(0.1)
        self._ended.set()

    async def stop(self):
        """Waits for the change in progress: the next one builds on it."""
        self._stopped = True
        await self._ended.wait()


async def _version_at(fleet, index):
    response = await routed.send(
        fleet.operators[index], "GET", "/-/configuration"
    )
    return response.body


# Guards against controls that end, and changes that stay unanswered long after
# the last disk had room again.
@pytest.mark.parametrize("replaces", [False, True])
async def test_disks_full_by_turns_hold_up_no_change(replaces):
    async with routed.running(
        routed.document(), services={"vm-a": "alpha"}, controls=3
    ) as fleet:
        operator = _Operator(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(operator.change_regularly)
            for index in (0, 1, 2, 0):
                end = _refuse_writes(fleet.controls[index])
                await trio.sleep(FULL)
                end()
                if replaces and index == 1:
                    # A control is replaced while the one before catches up.
                    await trio.sleep(CATCH_UP)
                    await fleet.wipe_control(2, fleet.nursery)
                    await trio.sleep(CATCH_UP)
                await trio.sleep(0.2)
            await trio.sleep(3.0)
            with trio.fail_after(ACK):
                await operator.stop()
        with trio.fail_after(ACK):
            await operator.change()
            for index in range(3):
                version = f'"r{operator.version}"'.encode()
                while version not in await _version_at(fleet, index):
                    await trio.sleep(0.1)
        assert not operator.refused
        assert operator.version > 20
        assert operator.slowest < ACK


async def test_a_disk_that_is_full_at_the_start_is_waited_for(tmp_path):
    """Guards against a control that ends again and again meanwhile."""
    fleet = routed.Fleet(services={}, controls=1)
    store = fleet.controls[0]._replica._store
    opened, attempts = store.open, []

    def refuse():
        attempts.append(trio.current_time)
        if len(attempts) < 3:
            raise log_store.WriteError("database or disk is full")
        return opened()

    store.open = refuse
    try:
        async with trio.open_nursery() as nursery:
            with trio.fail_after(5):
                await fleet.controls[0].start(nursery)
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()
    assert len(attempts) == 3


_SCRIPT = """
    import resource, sys
    from sassafrashall.decisions import replication
    from sassafrashall.storage import log_store

    def entry(index):
        return replication.Append(
            entries=(replication.Entry(index=index, term=1, command=b"x"),)
        )

    store = log_store.LogStore(folder=sys.argv[1])
    store.open()
    store.persist((entry(1), entry(2)))
    _, most = resource.getrlimit(resource.RLIMIT_FSIZE)
    for _ in range(3):
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, most))
        try:
            store.persist((entry(3),))
        except log_store.WriteError as error:
            print(error)
        else:
            sys.exit("it was written")
        resource.setrlimit(resource.RLIMIT_FSIZE, (most, most))
    store.persist((entry(3),))
    store.close()
"""


def test_a_refused_write_changes_nothing_and_the_next_one_counts(tmp_path):
    subprocess.run(
        [sys.executable, "-c", textwrap.dedent(_SCRIPT), str(tmp_path)],
        check=True,
        timeout=20,
        stdout=subprocess.DEVNULL,
    )
    contents = log_store.LogStore(folder=str(tmp_path)).open()
    assert [entry.index for entry in contents.entries] == [1, 2, 3]
    assert contents.entries[0] == replication.Entry(
        index=1, term=1, command=b"x"
    )
