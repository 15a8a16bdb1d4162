import random

import pytest

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.decisions import retries

POLICY = retries.BudgetRetries()


def _call(idempotent=True, budget=2, deadline=10.0):
    request = model.Request(
        method="GET",
        target="/a",
        headers=(),
        body=b"",
        source=model.Source.CALLER,
        received_at=0.0,
    )
    return model.Call(
        request=request,
        root_id="r",
        idempotent=idempotent,
        retries=budget,
        deadline=deadline,
    )


def _refuse(code=exceptions.SHED, run=model.RunState.NOT_RUN):
    return model.Refuse(code=code, detail="", run=run)


@pytest.mark.parametrize(
    ("idempotent", "run", "allowed"),
    [
        (True, model.RunState.UNKNOWN, True),
        (True, model.RunState.NOT_RUN, True),
        (False, model.RunState.NOT_RUN, True),
        (False, model.RunState.UNKNOWN, False),
    ],
)
def test_only_calls_that_cannot_run_twice_are_retried(idempotent, run, allowed):
    call = _call(idempotent=idempotent)
    assert retries.is_retryable(call, _refuse(run=run)) is allowed


def test_a_retry_needs_budget_time_and_a_token():
    full = retries.RetryTokenBucket()
    empty = retries.RetryTokenBucket(tokens=0.5)

    def should_retry(call, token_bucket=full, now=0.0):
        return retries.should_retry(
            POLICY, call, _refuse(), 1, token_bucket, now
        )

    assert should_retry(_call())
    assert not should_retry(_call(budget=0))
    assert not should_retry(_call(), token_bucket=empty)
    assert not should_retry(_call(), now=9.999)


def test_the_token_bucket_bounds_retries_to_a_tenth():
    state, made = retries.RetryTokenBucket(), 0
    for _ in range(1000):
        state = retries.on_first_attempt(state)
        if state.tokens >= 1.0:
            state, made = retries.on_retry(state), made + 1
    assert made <= 1000 * retries.RETRY_RATIO + retries.RETRY_BURST


def test_a_root_call_keeps_one_retry_back():
    assert retries.retries_for_attempt(2, is_root=True) == 1
    assert retries.retries_for_attempt(0, is_root=True) == 0
    assert retries.retries_for_attempt(2, is_root=False) == 2


def test_an_error_answer_of_an_upstream_may_have_run():
    answer = model.Answer(
        response=model.Response(status=503, headers=(), body=b"")
    )
    assert retries.retryable_failure(answer).run is model.RunState.UNKNOWN


def _refusal(code, run=model.RunState.NOT_RUN):
    return model.Refuse(code=code, detail="", run=run)


def _should_retry(refusal, *, attempts=1, tokens=0.0, budget=1):
    call = model.Call(
        request=None, root_id="r", idempotent=True, deadline=9.0, retries=budget
    )
    return retries.should_retry(
        retries.ArrivalRetries(),
        call,
        refusal,
        attempts,
        retries.RetryTokenBucket(tokens=tokens),
        1.0,
    )


def test_a_refusal_before_the_upstream_costs_no_token():
    refusal = _refusal(exceptions.SHED)
    assert retries.retry_cost(retries.ArrivalRetries(), refusal) == 0
    assert _should_retry(refusal, attempts=3, budget=0)
    assert not _should_retry(refusal, attempts=4)


def test_a_retry_after_reaching_an_upstream_costs_tokens():
    for code, run, cost in (
        (exceptions.UPSTREAM_REFUSED, model.RunState.NOT_RUN, 1.0),
        (exceptions.UPSTREAM_FAILED, model.RunState.UNKNOWN, 2.5),
    ):
        refusal = _refusal(code, run)
        assert retries.retry_cost(retries.ArrivalRetries(), refusal) == cost
        assert _should_retry(refusal, tokens=cost)
        assert not _should_retry(refusal, tokens=cost - 0.1)
        assert not _should_retry(refusal, tokens=cost, budget=0)


def test_retries_at_four_hops_stay_under_a_fifth_of_the_requests():
    """Every hop of a chain of calls retries as its token bucket allows."""
    policy = retries.ArrivalRetries()
    unknown = _refusal(exceptions.UPSTREAM_FAILED, model.RunState.UNKNOWN)
    state = retries.new_token_bucket(policy)
    retried, requests, hops = 0, 1000, 4
    for _ in range(requests):
        state = retries.on_first_attempt(state, policy)
        if state.tokens >= retries.retry_cost(policy, unknown):
            state = retries.on_retry(state, retries.retry_cost(policy, unknown))
            retried += 1
    assert hops * retried <= 0.2 * requests


def test_the_token_bucket_starts_empty_and_has_a_capacity():
    policy = retries.ArrivalRetries()
    assert retries.new_token_bucket(policy).tokens == 0
    full = retries.RetryTokenBucket(tokens=policy.burst)
    assert retries.on_first_attempt(full, policy).tokens == policy.burst


def _call_of(urgency, *, depth=0, priority=None):
    return model.Call(
        request=None,
        root_id="r",
        idempotent=True,
        deadline=9.0,
        retries=3,
        depth=depth,
        urgency=urgency,
        priority=urgency if priority is None else priority,
    )


CRITICAL, NORMAL, BULK = model.Priority
SHED = _refusal(exceptions.UPSTREAM_REFUSED)


def _needed(call, refusal=SHED):
    """Returns the tokens from which on a call is retried."""
    policy = retries.UrgentRetries()
    return next(
        (
            tokens / 100
            for tokens in range(401)
            if retries.should_retry(
                policy,
                call,
                refusal,
                1,
                retries.RetryTokenBucket(tokens=tokens / 100),
                1.0,
            )
        ),
        None,
    )


def test_scarce_tokens_are_kept_for_urgent_calls_and_then_for_nested_ones():
    """Pattern: a narrow service sheds half of its calls; few can be retried."""
    ranks = [
        _call_of(CRITICAL),
        _call_of(CRITICAL, depth=1, priority=NORMAL),
        _call_of(NORMAL, depth=1),
        _call_of(NORMAL),
        _call_of(BULK, depth=1),
        _call_of(BULK),
    ]
    needed = [_needed(call) for call in ranks]
    assert needed == sorted(set(needed))
    assert needed[0] == _needed(_call_of(CRITICAL, depth=1)) == 1.0
    # After any other retry, one of the most urgent calls still gets a token.
    assert needed[2] >= 2.0
    assert needed[-1] < retries.UrgentRetries().burst


@pytest.mark.parametrize("urgency", [None, *model.Priority])
@pytest.mark.parametrize("depth", [0, 1])
def test_with_a_full_bucket_every_call_is_retried_as_before(urgency, depth):
    call = _call_of(urgency, depth=depth, priority=BULK)
    unknown = _refusal(exceptions.UPSTREAM_FAILED, model.RunState.UNKNOWN)
    for refusal in (SHED, unknown):
        assert _needed(call, refusal) is not None
    # Refusals in front of the upstream stay free.
    assert _needed(call, _refusal(exceptions.SHED)) == 0.0


def test_a_call_of_unknown_class_is_retried_as_before():
    assert _needed(_call_of(None, priority=BULK)) == 1.0


def _play_shedding(policy, *, calls_per_s, roots_per_s, seed=1):
    """Plays the retries of one node at a service that sheds 55% of its calls.

    Returns:
      The times of the first attempts and of the retries, and the fractions of
      the urgent roots and of the nested calls that are served.
    """
    draw = random.Random(seed)
    bucket = retries.new_token_bucket(policy)
    firsts, retried = [], []
    served = {0: [], 1: []}
    at = 0.0
    while at < 60.0:
        at += draw.expovariate(calls_per_s + roots_per_s)
        nested = draw.random() * (calls_per_s + roots_per_s) < calls_per_s
        call = _call_of(NORMAL if nested else CRITICAL, depth=int(nested))
        bucket = retries.on_first_attempt(bucket, policy)
        firsts.append(at)
        for attempts in (1, 2, 3, 4):
            if draw.random() >= 0.55:
                break
            if attempts == 4 or not retries.should_retry(
                policy, call, SHED, attempts, bucket, 1.0
            ):
                attempts = 0
                break
            bucket = retries.on_retry(bucket, 1.0)
            retried.append(at)
        served[int(nested)].append(attempts > 0)
    return firsts, retried, *(sum(s) / len(s) for s in served.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_roots_are_retried_first_beside_many_nested_calls(seed):
    """Pattern: upstreams shed 55%; 36 nested calls a second to 1.4 roots.

    Guards against tokens that less urgent calls, which are many and fail all
    the same, use up.
    """
    rates = {"calls_per_s": 36.0, "roots_per_s": 1.4, "seed": seed}
    *_, roots, nested = _play_shedding(retries.UrgentRetries(), **rates)
    *_, roots_before, nested_before = _play_shedding(
        retries.ArrivalRetries(), **rates
    )
    assert roots > 0.7
    assert roots > 1.3 * roots_before
    assert nested > 0.9 * nested_before


@pytest.mark.parametrize("roots_per_s", [0.5, 5.0, 100.0])
def test_the_reserve_adds_no_retries_in_any_window(roots_per_s):
    """Guards against retries over the ratio that the fleet tolerates."""
    policy = retries.UrgentRetries()
    firsts, retried, *_ = _play_shedding(
        policy, calls_per_s=36.0, roots_per_s=roots_per_s
    )
    assert len(retried) <= policy.ratio * len(firsts)
    for begin in range(0, 50):
        made, first = (
            sum(begin <= at < begin + 10.0 for at in times)
            for times in (retried, firsts)
        )
        assert made <= policy.ratio * first + policy.burst


def test_a_chain_that_is_not_known_has_the_policy_for_any_chain():
    policy = retries.ArrivalRetries()
    assert retries.policy_for_chain(policy, 0, 12) is policy
    assert retries.policy_for_chain(POLICY, 3, 12) is POLICY


@pytest.mark.parametrize("chain", range(1, 10))
def test_the_services_of_a_chain_share_what_its_last_one_tolerates(chain):
    policy = retries.policy_for_chain(retries.ArrivalRetries(), chain, 12)
    unknown = _refusal(exceptions.UPSTREAM_FAILED, model.RunState.UNKNOWN)
    per_request = policy.ratio / retries.retry_cost(policy, unknown)
    longest = 5  # from which on the policy for any chain is as strict
    assert chain * per_request <= 0.2 or chain > longest
    assert per_request >= 0.032


def _play_failing_upstreams(nodes, fraction, rate, seconds=30.0):
    """Plays calls that fail, and returns the times of calls and of repeats.

    Pattern: a service whose runs make no calls works for 10 s; then each
    upstream resets a fraction of its connections once it has read the request.
    """
    random_numbers = random.Random(1)
    policy = retries.policy_for_chain(retries.ArrivalRetries(), 1, nodes)
    unknown = _refusal(exceptions.UPSTREAM_FAILED, model.RunState.UNKNOWN)
    buckets = [retries.new_token_bucket(policy) for _ in range(nodes)]
    calls, repeats = [], []
    for number in range(int(rate * seconds)):
        now, node = number / rate, number % nodes
        calls.append(now)
        buckets[node] = retries.on_first_attempt(buckets[node], policy)
        attempts, call = 1, _call(deadline=now + 9.0)
        while now >= 10.0 and random_numbers.random() < fraction:
            if not retries.should_retry(
                policy, call, unknown, attempts, buckets[node], now
            ):
                break
            buckets[node] = retries.on_retry(
                buckets[node], retries.retry_cost(policy, unknown)
            )
            attempts += 1
            call = _call(budget=call.retries - 1, deadline=now + 9.0)
            repeats.append(now)
    return calls, repeats


@pytest.mark.parametrize("nodes", [3, 12, 71])
@pytest.mark.parametrize("fraction", [0.45, 0.55, 1.0])
@pytest.mark.parametrize("rate", [20.0, 200.0, 1000.0])
def test_repeats_of_calls_to_a_failing_service_stay_within_the_budget(
    nodes, fraction, rate
):
    calls, repeats = _play_failing_upstreams(nodes, fraction, rate)
    for begin in repeats:
        counted = sum(begin <= at < begin + 10.0 for at in repeats)
        asked = sum(begin - 10.0 <= at < begin for at in calls)
        assert counted <= 0.2 * asked + 50


def test_most_of_the_budget_is_there_for_a_service_without_calls():
    """Guards against calls that fail while the budget is left unused."""
    calls, repeats = _play_failing_upstreams(3, 0.45, 200.0, seconds=20.0)
    assert len(repeats) >= 0.8 * 0.2 * sum(at >= 10.0 for at in calls)
