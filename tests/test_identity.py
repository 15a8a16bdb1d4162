import dataclasses

import pytest

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall.decisions import templates
from sassafrashall.filters import identity
from tests import fakes


def _view(*, fresh_at=None, **parameters):
    defaults = templates.TEMPLATES["research-allocation"].defaults
    organisation = organisation_model.Organisation(
        name="org",
        template="research-allocation",
        parameters=dataclasses.replace(defaults, **parameters),
    )
    configuration = organisation_model.Configuration(
        revision=1,
        organisations={"org": organisation},
        keys={identity.digest("sesame"): "org"},
    )
    return mailbox.Published(
        initial=model.NodeView(
            configuration=configuration,
            fresh_at=clock.monotonic() if fresh_at is None else fresh_at,
        )
    )


async def _identify(request, view=None, running_calls=None):
    identity_filter = identity.IdentityFilter(
        node="n",
        view=view or _view(),
        running=running_calls.mailbox if running_calls else None,
    )
    call = model.Call(request=request, root_id="root")
    return await identity_filter.handle(call)


async def test_the_key_determines_the_organisation():
    passed = await _identify(fakes.request(key="sesame"))
    assert passed.call.organisation == "org"


@pytest.mark.parametrize("key", ["", "wrong"])
async def test_an_unknown_or_missing_key_is_refused(key):
    refused = await _identify(fakes.request(key=key))
    assert refused.code == exceptions.UNKNOWN_KEY


async def test_an_open_route_needs_no_key_but_a_wrong_one_is_refused():
    view = _view(
        open_routes=(organisation_model.RouteRule(method="GET", prefix="/a"),)
    )
    passed = await _identify(fakes.request(), view)
    assert passed.call.organisation == "org"
    wrong = await _identify(fakes.request(key="wrong"), view)
    assert wrong.code == exceptions.UNKNOWN_KEY


@pytest.mark.parametrize(
    ("method", "target", "priority", "idempotent"),
    [
        ("GET", "/balance/1", model.Priority.CRITICAL, True),
        ("POST", "/grant/commit", model.Priority.CRITICAL, False),
        ("GET", "/calendar/week", model.Priority.BULK, True),
        ("GET", "/balances/1", model.Priority.NORMAL, True),
        ("POST", "/other", model.Priority.NORMAL, False),
    ],
)
async def test_route_rules(method, target, priority, idempotent):
    request = fakes.request(method, target, key="sesame")
    call = (await _identify(request)).call
    assert (call.priority, call.idempotent) == (priority, idempotent)


async def test_a_freshness_bound_refuses_keys_on_stale_configuration():
    stale = _view(fresh_at=clock.monotonic() - 10, freshness_bound_s=5.0)
    refused = await _identify(fakes.request(key="sesame"), stale)
    assert refused.code == exceptions.STALE_CONFIGURATION
    unbounded = _view(fresh_at=clock.monotonic() - 10)
    passed = await _identify(fakes.request(key="sesame"), unbounded)
    assert isinstance(passed, model.Forward)


async def test_a_ticket_of_another_node_is_refused():
    ticket = fakes.ticket(node="other")
    refused = await _identify(fakes.request(ticket=ticket))
    assert refused.code == exceptions.INVALID_TICKET
    refused = await _identify(fakes.request(bad_ticket=True))
    assert refused.code == exceptions.INVALID_TICKET
