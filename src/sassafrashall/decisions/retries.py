"""Retries: a budget for each call tree and a token bucket for each node.

The budget bounds the retries of one root call and all calls below it. The
token bucket bounds the retries of a node to a ratio of its first attempts.
When a service sheds half of its calls, there are tokens for few of them;
`UrgentRetries` keeps those for the calls that are worth most.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import exceptions
from sassafrashall import model

RETRY_RATIO = 0.1  # retries per first attempt at one node
RETRY_BURST = 10.0  # capacity of a node's token bucket
MIN_RETRY_TIME = 0.005  # minimum seconds left until the deadline
# Fraction of the tolerated ratio that the services of a chain use together.
CHAIN_SHARE = 0.9
# Retries that all nodes together may have saved up for the services of a chain.
# The platform tolerates 50 in any 10 s beyond the ratio.
CHAIN_BURST = 40.0
# Rank of the roots of the least urgent class, among all but the most urgent.
_LAST_RANK = 2 * (len(model.Priority) - 1) - 1

# Refusals that an attempt at another upstream may avoid.
_RETRYABLE_CODES = frozenset(
    {
        exceptions.SHED,
        exceptions.STOPPING,
        exceptions.NO_UPSTREAM,
        exceptions.PEER_UNREACHABLE,
        exceptions.UPSTREAM_FAILED,
        exceptions.UPSTREAM_SILENT,
        exceptions.UPSTREAM_REFUSED,
    }
)

# Refusals by a node that did not send the request to its upstream.
_REFUSED_BEFORE_UPSTREAM = frozenset(
    {
        exceptions.SHED,
        exceptions.STOPPING,
        exceptions.NO_UPSTREAM,
        exceptions.PEER_UNREACHABLE,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRetries:
    """Never retries."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FixedRetries:
    """Retries up to `count` times at each hop; the baseline."""

    count: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetRetries:
    """Charges every retry to the call tree's budget and the node's tokens."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ArrivalRetries:
    """Charges a retry only if the request may have reached an upstream.

    A refusal before the upstream costs the upstream nothing, so a few retries
    at other upstreams need no token.

    If a request may have run, a retry repeats the calls that it made and adds
    load at every service below. Such a retry costs more than the retry of a
    request that did not run.

    Attributes:
      ratio: Tokens added for each first attempt at a service.
      burst: Capacity of the token bucket that a node keeps for each service.
        It is empty at the start.
      unknown_run_cost: Tokens for the retry of a request that may have run.
      max_refusals: A refusal before the upstream is retried as long as no more
        than this number of attempts was made.
      tolerated_ratio: Retries per request that a service tolerates, those of
        the services above included.
    """

    ratio: float = 0.08
    burst: float = 4.0
    unknown_run_cost: float = 2.5
    max_refusals: int = 3
    tolerated_ratio: float = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class UrgentRetries(ArrivalRetries):
    """Like `ArrivalRetries`, with the last tokens for the most urgent calls.

    The bucket gets and spends as many tokens, so that the bounds on retries
    hold as before. A call whose class is not known is retried as before, and
    so is any call while the bucket is full.

    Attributes:
      reserve: Tokens that only the most urgent class may use. With 1, such a
        call got one retry and seldom the second one that half of them need.
      spread: Tokens between the first and the last of the other ranks.
    """

    reserve: float = 2.0
    spread: float = 0.5


Policy: TypeAlias = NoRetries | FixedRetries | BudgetRetries | ArrivalRetries


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryTokenBucket:
    """The token bucket that bounds the retries of a node.

    Attributes:
      tokens: Tokens left; for the price of a retry see `retry_cost`.
    """

    tokens: float = RETRY_BURST


def policy_for_chain(policy: Policy, chain: int, nodes: int) -> Policy:
    """Returns the policy for the calls to one service.

    `ArrivalRetries` is made for long chains of calls. On a shorter one, each
    service may use more of what the last one tolerates.

    Args:
      policy: The policy for a chain of any length.
      chain: Number of services on the longest chain of calls through this one;
        0 if not known.
      nodes: Number of nodes, each of which has a token bucket.
    """
    if not isinstance(policy, ArrivalRetries) or chain < 1:
        return policy
    share = CHAIN_SHARE * policy.tolerated_ratio / chain
    ratio = max(policy.ratio, share)
    cost = min(policy.unknown_run_cost, max(1.0, ratio / share))
    return dataclasses.replace(
        policy,
        ratio=ratio,
        unknown_run_cost=cost,
        burst=max(cost, CHAIN_BURST / (chain * max(1, nodes))),
    )


def on_first_attempt(
    state: RetryTokenBucket, policy: Policy | None = None
) -> RetryTokenBucket:
    """Adds the tokens of a first attempt, up to the capacity."""
    ratio, burst = RETRY_RATIO, RETRY_BURST
    if isinstance(policy, ArrivalRetries):
        ratio, burst = policy.ratio, policy.burst
    return RetryTokenBucket(tokens=min(burst, state.tokens + ratio))


def new_token_bucket(policy: Policy) -> RetryTokenBucket:
    """Returns the token bucket of a node that starts."""
    return RetryTokenBucket(
        tokens=0.0 if isinstance(policy, ArrivalRetries) else RETRY_BURST
    )


def retry_cost(policy: Policy, refusal: model.Refuse) -> float:
    """Returns the tokens that a retry after this refusal costs."""
    if not isinstance(policy, ArrivalRetries):
        return 1.0
    if refused_before_upstream(refusal):
        return 0.0
    return (
        1.0
        if refusal.run is model.RunState.NOT_RUN
        else policy.unknown_run_cost
    )


def reserved_tokens(policy: Policy, call: model.Call) -> float:
    """Returns the tokens that a retry of this call must leave to others.

    Nested calls go before roots of their class, since refusing one wastes what
    its tree has cost.
    """
    match policy:
        case UrgentRetries(reserve=reserve, spread=spread):
            urgency = call.urgency
            if urgency is None:
                return 0.0
            if urgency == min(model.Priority):
                # A class above that of the call's own route is an estimate
                # that is often wrong.
                is_estimated = call.depth > 0 and urgency < call.priority
                return reserve / 2.0 if is_estimated else 0.0
            rank = 2 * (urgency - 1) + (call.depth == 0)
            return reserve + spread * rank / _LAST_RANK
        case _:
            return 0.0


def token_bucket_key(policy: Policy, service: str) -> str:
    """Returns the key of the token bucket of calls to this service.

    Under `ArrivalRetries` every service has its own; else all share one.
    """
    return service if isinstance(policy, ArrivalRetries) else ""


def refused_before_upstream(refusal: model.Refuse) -> bool:
    """Returns whether the request was refused before it reached an upstream."""
    return (
        refusal.run is model.RunState.NOT_RUN
        and refusal.code in _REFUSED_BEFORE_UPSTREAM
    )


def on_retry(state: RetryTokenBucket, tokens: float = 1.0) -> RetryTokenBucket:
    """Removes the tokens of a retry."""
    return RetryTokenBucket(tokens=state.tokens - tokens)


def retries_for_attempt(retries: int, *, is_root: bool) -> int:
    """Returns the retries of a call's budget to hand over with an attempt.

    A root call keeps one retry back, since those handed over are lost if the
    attempt gets no answer. A nested call hands over all, because a retry close
    to the failure repeats the least work.
    """
    return max(0, retries - 1) if is_root else retries


def retryable_failure(outcome: model.Outcome) -> model.Refuse | None:
    """Returns the failure in an outcome that a retry might avoid, or None.

    An upstream that answers with status 502, 503 or 504 may still have run the
    request.
    """
    match outcome:
        case model.Refuse():
            return outcome
        case model.Answer(response=model.Response(status=502 | 503 | 504)):
            return model.Refuse(
                code=exceptions.UPSTREAM_FAILED,
                detail="the upstream failed or refused the request",
                run=model.RunState.UNKNOWN,
            )
        case _:
            return None


def is_retryable(call: model.Call, refusal: model.Refuse) -> bool:
    """Returns whether a retry is useful and can't run the call twice.

    An idempotent call may run twice.
    """
    safe = call.idempotent or refusal.run is model.RunState.NOT_RUN
    return safe and refusal.code in _RETRYABLE_CODES


def should_retry(
    policy: Policy,
    call: model.Call,
    refusal: model.Refuse,
    attempts: int,
    token_bucket: RetryTokenBucket,
    now: float,
) -> bool:
    """Returns whether to retry a call.

    Args:
      policy: The retry policy in force.
      call: The call with the retries left in its budget.
      refusal: How the last attempt ended.
      attempts: Attempts made so far at this hop.
      token_bucket: The token bucket of this node.
      now: Monotonic seconds.
    """
    if not is_retryable(call, refusal):
        return False
    if call.deadline - now < MIN_RETRY_TIME:
        return False
    match policy:
        case NoRetries():
            return False
        case FixedRetries(count=count):
            return attempts <= count
        case BudgetRetries():
            return call.retries > 0 and token_bucket.tokens >= 1.0
        case ArrivalRetries(max_refusals=max_refusals):
            if refused_before_upstream(refusal):
                return attempts <= max_refusals
            needed = retry_cost(policy, refusal) + reserved_tokens(policy, call)
            # A full bucket is enough for any retry.
            needed = min(needed, policy.burst)
            return call.retries > 0 and token_bucket.tokens >= needed
