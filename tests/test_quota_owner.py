import dataclasses

import immutables
import trio
import trio.testing

from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import organisation_model
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall.controllers import quota_owner
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import quota
from sassafrashall.decisions import replication
from tests import fakes
from tests import loopback


def _settings(tmp_path):
    address = loopback.free_address()
    return settings.Daemon(
        role=settings.Role.CONTROL,
        vm="c",
        data_centre="x",
        listen=settings.Listen(ops=address, rpc=address),
        controls=(),
        fleet_secret="a-secret-of-some-length",
        data_folder=str(tmp_path),
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
