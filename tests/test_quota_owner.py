import contextlib
import dataclasses

import immutables
import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import organisation_model
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall.controllers import quota_owner
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import quota
from sassafrashall.decisions import replication
from sassafrashall.storage import lease_limit
from tests import fakes
from tests import loopback


def _settings(tmp_path, **routed):
    address = loopback.free_address()
    return settings.Daemon(
        role=settings.Role.CONTROL,
        vm="c",
        data_centre="x",
        listen=settings.Listen(ops=address, rpc=address),
        controls=(),
        fleet_secret="a-secret-of-some-length",
        data_folder=str(tmp_path),
        routed=settings.Routed(**routed) if routed else None,
    )


def _member(replica_id, address="127.0.0.1:1"):
    return replication.Member(
        replica_id=replica_id, vm=replica_id, data_centre="x", address=address
    )


def _view(*, created=1, replayed=0, shares=0, burst=9):
    organisation = organisation_model.Organisation(
        name="org",
        template="web-api",
        parameters=organisation_model.Parameters(
            rate=10, burst=burst, quota_shares=shares
        ),
        created=created,
        revision=created,
    )
    state = fleet_state.FleetState(
        revision=created, organisations=immutables.Map({"org": organisation})
    )
    return messages.FleetView(
        state=state,
        owners=("me", "other", "third"),
        members=(_member("me"), _member("other"), _member("third")),
        replayed_revision=replayed,
    )


async def _borrow(tmp_path, view, wanted=99, forwarded=True):
    message = protocol.Borrow(
        organisation="org", wanted=wanted, forwarded=forwarded
    )
    return await _ask(tmp_path, view, message)


def _status():
    return messages.ReplicaStatus(
        member=_member("me"),
        founded=True,
        membership=replication.Membership(),
        role="leader",
        term=1,
        commit=1,
        leader="me",
        majority_age=0.0,
    )


async def _ask(tmp_path, view, message):
    replica = fakes.ScriptedController(lambda message: _status())
    # The replica becomes an owner before the organisation is created.
    published = mailbox.Published(
        initial=dataclasses.replace(view, state=fleet_state.FleetState())
    )
    owner = quota_owner.QuotaOwner(
        settings=_settings(tmp_path),
        replica=replica.mailbox,
        view=published,
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )
    async with fakes.started(replica, owner):
        published.publish(view)
        return await owner.mailbox.ask(message)


# Guards against an owner that lends nothing until the next change of the fleet:
# it became one before the task that follows the fleet had run.
async def test_share_that_is_held_from_the_start_is_not_missed(tmp_path):
    borrow = protocol.Borrow(organisation="org", wanted=1, forwarded=True)
    # The scheduler runs the two tasks in random order.
    for _ in range(16):
        replica = fakes.ScriptedController(lambda message: _status())
        published = mailbox.Published(initial=messages.FleetView())
        owner = quota_owner.QuotaOwner(
            settings=_settings(tmp_path),
            replica=replica.mailbox,
            view=published,
            event_log=fakes.event_log(),
            counters=fakes.counters(),
        )
        async with fakes.started(replica, owner):
            published.publish(_view())
            await trio.testing.wait_all_tasks_blocked()
            reply = await owner.mailbox.ask(borrow)
            assert reply.wait < quota_owner.MAX_WAIT


async def test_share_of_a_new_organisation_is_full_at_once(tmp_path):
    reply = await _borrow(tmp_path, _view())
    assert [grant.tokens for grant in reply.grants] == [3]


async def test_share_known_before_the_start_is_empty_at_first(tmp_path):
    reply = await _borrow(tmp_path, _view(created=5, replayed=5))
    assert reply.grants == () and reply.wait >= quota.LEASE_TTL


@pytest.fixture
def virtual_time(autojump_clock, monkeypatch):
    """Time that passes only while all tasks sleep; it does not for threads."""

    async def run_sync(function, *args):
        return function(*args)

    monkeypatch.setattr(clock, "monotonic", trio.current_time)
    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)
    # The plugin takes the clock from the arguments of the test.
    return autojump_clock


@contextlib.asynccontextmanager
async def _restarted(
    tmp_path, fraction=0.67, majority_age=0.0, owners=("me", "other", "third")
):
    """Runs an owner, with an organisation from before its start."""
    status = dataclasses.replace(_status(), majority_age=majority_age)
    replica = fakes.ScriptedController(lambda message: status)
    view = _view(created=5, replayed=5, burst=90)
    published = mailbox.Published(
        initial=dataclasses.replace(view, owners=owners)
    )
    owner = quota_owner.QuotaOwner(
        settings=_settings(tmp_path, quota_lease_fraction=fraction),
        replica=replica.mailbox,
        view=published,
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )
    async with fakes.started(replica, owner):
        # What it is an owner of from the start, it was one of before.
        await trio.testing.wait_all_tasks_blocked()
        published.publish(view)
        yield owner


async def _lent(owner):
    borrow = protocol.Borrow(organisation="org", wanted=99, forwarded=True)
    reply = await owner.mailbox.ask(borrow)
    return sum(grant.tokens for grant in reply.grants)


# Guards against a fleet that refuses all requests with a key for 3 s after its
# controls have restarted.
async def test_a_restarted_owner_lends_within_the_rest_of_its_share(
    tmp_path, virtual_time
):
    limit = lease_limit.LeaseLimitFile(folder=str(tmp_path))
    limit.write(0.67)
    async with _restarted(tmp_path) as owner:
        await trio.sleep(1.0)
        assert await _lent(owner) == 3  # 10 / 3 a second
        # Until the leases from before have expired, all may be out.
        assert limit.read() == lease_limit.ALL
        await trio.sleep(3 * quota.OWNER_LEASE_TTL)
        assert limit.read() == 0.67
        await trio.sleep(60)
        assert await _lent(owner) == quota.lease_limit(30, 0.67)


# Guards against more than the quota: all of a share may be on leases from
# before a second restart or of an older build.
@pytest.mark.parametrize("recorded", ["1.0", "nan", "0", "", None])
async def test_a_restarted_owner_without_a_limit_lends_nothing_at_first(
    tmp_path, virtual_time, recorded
):
    if recorded is not None:
        (tmp_path / lease_limit.FILE_NAME).write_text(recorded)
    async with _restarted(tmp_path) as owner:
        await trio.sleep(quota.LEASE_TTL)
        assert await _lent(owner) == 0
        await trio.sleep(quota.OWNER_LEASE_TTL)
        assert await _lent(owner) > 0


async def test_a_restarted_owner_without_a_majority_lends_nothing_at_first(
    tmp_path, virtual_time
):
    lease_limit.LeaseLimitFile(folder=str(tmp_path)).write(0.67)
    async with _restarted(tmp_path, majority_age=1e6) as owner:
        await trio.sleep(quota.LEASE_TTL)
        assert await _lent(owner) == 0
        await trio.sleep(quota.OWNER_LEASE_TTL)
        assert await _lent(owner) > 0


# Guards against trust in a limit that another owner of the share did not keep.
async def test_an_owner_that_takes_over_a_share_lends_nothing_at_first(
    tmp_path, virtual_time
):
    lease_limit.LeaseLimitFile(folder=str(tmp_path)).write(0.67)
    async with _restarted(tmp_path, owners=("gone", "other", "third")) as owner:
        await trio.sleep(quota.LEASE_TTL)
        assert await _lent(owner) == 0
        await trio.sleep(quota.OWNER_LEASE_TTL)
        assert await _lent(owner) > 0


# Guards against an owner that lends nothing for as long as its disk hangs.
async def test_a_disk_that_hangs_holds_up_no_owner_after_old_leases_expired(
    tmp_path, virtual_time, monkeypatch
):
    limit = lease_limit.LeaseLimitFile(folder=str(tmp_path))
    limit.write(0.67)
    run_sync = trio.to_thread.run_sync

    async def hang_on_writes(function, *args):
        if function.__name__ == "write":
            await trio.sleep(100)
        return await run_sync(function, *args)

    monkeypatch.setattr(trio.to_thread, "run_sync", hang_on_writes)
    async with _restarted(tmp_path) as owner:
        await trio.sleep(quota.OWNER_LEASE_TTL - 0.1)
        assert await _lent(owner) == 0
        await trio.sleep(1.1)
        assert await _lent(owner) == 3  # 10 / 3 a second
        await trio.sleep(30)
        assert limit.read() == 0.67
        assert await _lent(owner) == quota.lease_limit(30, 0.67)


# Guards against a limit that is exceeded before its file tells so.
async def test_a_limit_that_cannot_be_written_is_kept(
    tmp_path, virtual_time, monkeypatch
):
    lease_limit.LeaseLimitFile(folder=str(tmp_path)).write(0.5)

    def fail(self, fraction):
        raise OSError("no space left on device")

    monkeypatch.setattr(lease_limit.LeaseLimitFile, "write", fail)
    async with _restarted(tmp_path, fraction=1.0) as owner:
        await trio.sleep(1.0)
        assert await _lent(owner) == 0
        await trio.sleep(60)
        assert await _lent(owner) == 15


async def test_unreachable_owners_differ_from_owners_without_tokens(tmp_path):
    owners = ("other", "me", "third")
    view = dataclasses.replace(_view(burst=1, shares=1), owners=owners)
    assert quota.owner_share("org", 10, 1, "me", owners, 1)[1] == 0
    reply = await _borrow(tmp_path, view, forwarded=False)
    assert reply.unreachable and reply.grants == ()


async def test_unknown_organisation_gets_no_tokens(tmp_path):
    view = dataclasses.replace(_view(), state=fleet_state.FleetState())
    reply = await _borrow(tmp_path, view, forwarded=False)
    assert reply.grants == ()


async def test_prefetch_lends_from_the_own_share_only(tmp_path):
    prefetch = protocol.BorrowAhead(
        borrows=(
            protocol.Borrow(organisation="org", wanted=2),
            protocol.Borrow(organisation="org", wanted=9),
            protocol.Borrow(organisation="org", wanted=9),
            protocol.Borrow(organisation="unknown", wanted=9),
        )
    )
    reply = await _ask(tmp_path, _view(), prefetch)
    lent = [sum(g.tokens for g in answer.grants) for answer in reply.answers]
    assert lent == [2, 1, 0, 0]
